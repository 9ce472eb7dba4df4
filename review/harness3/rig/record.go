package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
	runs  map[string][]string
	// services maps the endpoints that have run requests to their services.
	services map[string]string
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now(), runs: map[string][]string{}, services: map[string]string{}}, nil
}

// Write adds a line with the time since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Run records that an endpoint has begun to work on a request.
func (r *Record) Run(endpoint, service, attempt, method, host, uri, from string, bytes int) {
	r.Write("run      %s at %s of %s: %s %s%s from %s, body of %d bytes", attempt, endpoint, service, method, host, uri, from, bytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], endpoint)
	r.services[endpoint] = service
}

// ServiceThatRan returns the service of the endpoint that has begun to work on a request last, or "".
func (r *Record) ServiceThatRan(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.runs[attempt]; len(runs) > 0 {
		return r.services[runs[len(runs)-1]]
	}
	return ""
}

// Runs returns the endpoints that have begun to work on a request.
func (r *Record) Runs(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[attempt]...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Write(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
