package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
)

// process runs the state chart of the process. It is safe for concurrent use. Actions run on the goroutine that fires the
// event, without mu held.
type process struct {
	mu      sync.Mutex
	machine *chart.Machine
	actions map[chart.Action]func()
	trail   *audit.Trail
	log     zerolog.Logger
	// lastCheck is the wall-clock time of the last check, in nanoseconds since the Unix epoch; 0 before the first.
	lastCheck atomic.Int64
}

func newProcess(actions map[chart.Action]func(), trail *audit.Trail, log zerolog.Logger) (*process, error) {
	c, err := charts.Load(charts.Process, knownActions(actions)...)
	if err != nil {
		return nil, err
	}
	return &process{machine: chart.NewMachine(c), actions: actions, trail: trail, log: log}, nil
}

func knownActions(actions map[chart.Action]func()) []chart.Action {
	known := make([]chart.Action, 0, len(actions))
	for a := range actions {
		known = append(known, a)
	}
	return known
}

// State returns the current state of the process.
func (p *process) State() chart.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.State()
}

// Serving reports whether the process accepts requests from callers.
func (p *process) Serving() bool { return p.State() == charts.ProcessServing }

// Paused reports whether the process was paused since the last check. It compares wall-clock times, since the monotonic clock
// may stop while the machine is suspended.
func (p *process) Paused(now time.Time) bool {
	before := p.lastCheck.Load()
	return before != 0 && time.Duration(now.UnixNano()-before) > pauseThreshold
}

// MarkChecked records now as the time of the last check.
func (p *process) MarkChecked(now time.Time) { p.lastCheck.Store(now.UnixNano()) }

// Current reports whether the process may make decisions from its current snapshot: it has joined, and the last check is at
// most pauseThreshold old. It returns false for a request that arrives between the end of a pause and the next check.
func (p *process) Current(now time.Time) bool {
	if time.Duration(now.UnixNano()-p.lastCheck.Load()) > pauseThreshold {
		return false
	}
	state := p.State()
	return state == charts.ProcessServing || state == charts.ProcessDraining
}

// Fire makes the transition for event, audits it and runs its actions. It returns false if the current state does not accept
// the event.
func (p *process) Fire(event chart.Event) bool {
	from, to, pending, ok := p.transition(event)
	if !ok {
		return false
	}
	p.trail.Add(audit.Record{
		Time: time.Now(), Kind: audit.StateChange, Subject: "process",
		Detail: string(from) + " -> " + string(to) + " on " + string(event),
	})
	for _, a := range pending {
		p.actions[a]()
	}
	return true
}

func (p *process) transition(event chart.Event) (from, to chart.State, pending []chart.Action, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from = p.machine.State()
	if !p.machine.Can(event) {
		return from, from, nil, false
	}
	pending, err := p.machine.Fire(event)
	if err != nil {
		p.log.Error().Err(err).Msg("process chart rejected an event")
		return from, from, nil, false
	}
	return from, p.machine.State(), pending, true
}
