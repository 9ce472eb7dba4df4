package standin

import (
	"sync"
	"time"
)

// Outcome is how a run ended at a target.
type Outcome string

// The values of Outcome.
const (
	// Running means that the run has not ended.
	Running Outcome = "running"
	// Answered means that the complete response was written to the connection.
	Answered Outcome = "answered"
	// Failed means that the target ran the request and responded with an error.
	Failed Outcome = "failed"
	// Stopped means that the run was cancelled or reached its deadline.
	Stopped Outcome = "stopped"
	// Crashed means that the target crashed during the run.
	Crashed Outcome = "crashed"
)

// Run is one execution of a request at a target. Tests compare the responses that callers received with the recorded runs.
type Run struct {
	// Request is the value of RequestHeader.
	Request string
	// Attempt is the number that the caller gave the attempt in AttemptHeader, or "".
	Attempt string
	// Target is the name of the target.
	Target string
	// Incarnation counts the starts of the target: 1 for its first start, one more for each crash.
	Incarnation int
	Start       time.Time
	// Stop is the time at which the run ended; zero while it is running.
	Stop    time.Time
	Outcome Outcome
	// Poison is true if the request was marked to crash its target.
	Poison bool
}

// Ledger records the runs of all targets that share it. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
	byID map[string][]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byID: map[string][]int{}}
}

// recordStart records the start of a run and returns the index of the run.
func (l *Ledger) recordStart(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Outcome = Running
	l.runs = append(l.runs, r)
	i := len(l.runs) - 1
	l.byID[r.Request] = append(l.byID[r.Request], i)
	return i
}

// recordEnd records how and when the run with index i ended.
func (l *Ledger) recordEnd(i int, at time.Time, e Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].Stop = at
	l.runs[i].Outcome = e
}

// Runs returns a copy of the runs of one request, in order of their start.
func (l *Ledger) Runs(request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, 0, len(l.byID[request]))
	for _, i := range l.byID[request] {
		out = append(out, l.runs[i])
	}
	return out
}

// All returns a copy of all runs, in order of their start.
func (l *Ledger) All() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
