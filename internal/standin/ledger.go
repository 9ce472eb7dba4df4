package standin

import (
	"sync"
	"time"
)

// End says how a run ended at a target.
type End string

// The ends of a run.
const (
	// Running says that the run has not ended.
	Running End = "running"
	// Answered says that the whole answer was handed to the connection.
	Answered End = "answered"
	// Failed says that the target answered with an error after it ran the request.
	Failed End = "failed"
	// Stopped says that cancellation or the deadline ended the run.
	Stopped End = "stopped"
	// Crashed says that the target went down during the run.
	Crashed End = "crashed"
)

// Run is one execution of a request at a target: the truth that callers' answers are compared with.
type Run struct {
	Request string
	// Attempt is the caller's number of the attempt, or "".
	Attempt string
	Target  string
	// Life counts the starts of the target.
	Life  int
	Start time.Time
	Stop  time.Time
	End   End
	// Poison says that the request was marked to crash its target.
	Poison bool
}

// Ledger records every run at every target that shares it. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
	byID map[string][]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byID: map[string][]int{}}
}

// begin records the start of a run and returns its index.
func (l *Ledger) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End = Running
	l.runs = append(l.runs, r)
	i := len(l.runs) - 1
	l.byID[r.Request] = append(l.byID[r.Request], i)
	return i
}

// end records the end of a run.
func (l *Ledger) end(i int, at time.Time, e End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].Stop = at
	l.runs[i].End = e
}

// Runs returns the runs of one request in order of their start.
func (l *Ledger) Runs(request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, 0, len(l.byID[request]))
	for _, i := range l.byID[request] {
		out = append(out, l.runs[i])
	}
	return out
}

// All returns every run in order of its start.
func (l *Ledger) All() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
