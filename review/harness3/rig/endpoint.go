package rig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an endpoint, those of the small deployment's sheet.
const (
	slots      = 18
	maxQueue   = 72
	heartbeat  = 1500 * time.Millisecond
	lapseAfter = 3 * heartbeat
	coldStart  = 3 * time.Second
	healthTime = 6 * time.Millisecond
)

// Endpoint is a stand-in for an application endpoint. Each start is a new incarnation with a new ID.
type Endpoint struct {
	Service, Addr, Zone string
	// Work returns the running time of a request for a path.
	Work   func(path string) time.Duration
	store  *Store
	record *Record

	mu        sync.Mutex
	id        string
	born      int64
	coldUntil time.Time
	listener  net.Listener
	conns     map[net.Conn]struct{}
	slots     chan struct{}
	queued    int
	down      chan struct{}
	seq       int
	// deadly is that of SetDeadly, or nil.
	deadly *Deadly
}

// Deadly describes requests that crash an endpoint.
type Deadly struct {
	// Selects reports whether requests for a path are deadly.
	Selects func(path string) bool
	// Answers reports whether the incarnation answers the request with a failure, after its usual running time, before it crashes.
	Answers bool
	// After is the time to the crash: from the answer, or else from the moment at which the incarnation begins to run the request. It does not
	// drop the request meanwhile.
	After time.Duration
	// DownFor is the time from the crash to the start of the next incarnation.
	DownFor time.Duration
	// Crashed is called at each crash.
	Crashed func()
}

// SetDeadly makes requests deadly.
func (e *Endpoint) SetDeadly(d *Deadly) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadly = d
}

// deadlyFor returns how a request for a path crashes the endpoint, or nil.
func (e *Endpoint) deadlyFor(path string) *Deadly {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.deadly == nil || !e.deadly.Selects(path) {
		return nil
	}
	return e.deadly
}

// Start starts an incarnation; cold reports whether it is cold.
func (e *Endpoint) Start(cold bool) error {
	l, err := net.Listen("tcp4", e.Addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.born, e.seq = fmt.Sprintf("i-%010x", rand.Uint64()>>24), time.Now().UnixMilli(), 0
	e.coldUntil = time.Time{}
	if cold {
		e.coldUntil = time.Now().Add(coldStart)
	}
	e.listener, e.conns, e.slots, e.queued, e.down = l, map[net.Conn]struct{}{}, make(chan struct{}, slots), 0, make(chan struct{})
	id, down := e.id, e.down
	server := &http.Server{Handler: e.handler(id, e.slots, down), ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch state {
		case http.StateNew:
			if e.id == id {
				e.conns[c] = struct{}{}
			}
		case http.StateClosed:
			if e.id == id {
				delete(e.conns, c)
			}
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}}
	go func() { _ = server.Serve(l) }()
	go e.report(id, down)
	e.record.Write("endpoint %s of %s in %s starts at %s, cold: %v", id, e.Service, e.Zone, e.Addr, cold)
	return nil
}

// Crash ends the present incarnation: it refuses connections and resets those that are open. Its entry lapses later.
func (e *Endpoint) Crash() { e.crash(e.ID()) }

// crash ends an incarnation and reports whether it was running.
func (e *Endpoint) crash(id string) bool {
	e.mu.Lock()
	if e.id != id || e.listener == nil {
		e.mu.Unlock()
		return false
	}
	_ = e.listener.Close()
	e.listener = nil
	close(e.down)
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	e.record.Write("endpoint %s of %s crashes", id, e.Service)
	time.AfterFunc(lapseAfter, func() { e.store.Remove("servers/" + id) })
	return true
}

// runDeadly runs a deadly request in an incarnation until it has crashed.
func (e *Endpoint) runDeadly(id string, d *Deadly, down <-chan struct{}) {
	select {
	case <-time.After(d.After):
	case <-down:
		return
	}
	if !e.crash(id) {
		return
	}
	d.Crashed()
	time.AfterFunc(d.DownFor, func() {
		if err := e.Start(true); err != nil {
			e.record.Say("an endpoint can't start again: %v", err)
		}
	})
}

// ID returns the ID of the present incarnation.
func (e *Endpoint) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// report writes the entry of an incarnation until it ends.
func (e *Endpoint) report(id string, down <-chan struct{}) {
	for {
		e.mu.Lock()
		e.seq++
		entry := map[string]any{
			"Service": e.Service, "Address": e.Addr, "Zone": e.Zone, "Version": "v1", "Slots": slots, "State": "ready",
			"ColdS": max(time.Until(e.coldUntil).Seconds(), 0), "Seq": e.seq, "born": e.born,
		}
		e.mu.Unlock()
		e.store.Put("servers/"+id, entry)
		select {
		case <-down:
			return
		case <-time.After(heartbeat):
		}
	}
}

// handler serves the requests of an incarnation.
func (e *Endpoint) handler(id string, free chan struct{}, down <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(wire.AttemptID)
		if attempt != "" {
			w.Header().Set(wire.AttemptID, attempt)
		}
		health := r.URL.Path == "/health"
		if want := r.Header.Get(wire.Expected); want != "" && want != id {
			w.Header().Set(wire.InstanceID, id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if !health && attempt == "" {
			w.Header().Set(wire.NotExecuted, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case free <- struct{}{}:
		default:
			if !e.queue(1) {
				w.Header().Set(wire.NotExecuted, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			select {
			case free <- struct{}{}:
				e.queue(-1)
			case <-r.Context().Done():
				e.queue(-1)
				return
			case <-down:
				return
			}
		}
		defer func() { <-free }()
		if health {
			e.serveHealth(w, id)
			return
		}
		e.record.Run(id, e.Service, attempt, r.Method, r.Host, r.URL.RequestURI(), r.Header.Get(wire.Caller), len(body))
		status := http.StatusOK
		switch d := e.deadlyFor(r.URL.Path); {
		case d != nil && d.Answers:
			status = http.StatusInternalServerError
			defer func() { go e.runDeadly(id, d, down) }()
		case d != nil:
			e.runDeadly(id, d, down)
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(e.Work(r.URL.Path)):
		case <-down:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		text := strings.Repeat(attempt+"\n", 20)
		w.Header().Set(wire.Signature, id+"."+attempt)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// queue changes the length of the queue and reports whether there was room.
func (e *Endpoint) queue(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queued+n > maxQueue {
		return false
	}
	e.queued += n
	return true
}

func (e *Endpoint) serveHealth(w http.ResponseWriter, id string) {
	time.Sleep(healthTime)
	e.mu.Lock()
	cold := max(time.Until(e.coldUntil), 0)
	e.mu.Unlock()
	w.Header().Set(wire.InstanceID, id)
	w.Header().Set(wire.ColdMs, strconv.FormatInt(cold.Milliseconds(), 10))
	w.WriteHeader(http.StatusOK)
}
