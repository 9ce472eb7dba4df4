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

// life walks the chart of the process. It is safe for concurrent use; actions run on the goroutine that fires the event.
type life struct {
	mu      sync.Mutex
	machine *chart.Machine
	actions map[chart.Action]func()
	trail   *audit.Trail
	log     zerolog.Logger
	// looked is the wall-clock time of the last look at the process, in nanoseconds since 1970.
	looked atomic.Int64
}

func newLife(actions map[chart.Action]func(), trail *audit.Trail, log zerolog.Logger) (*life, error) {
	c, err := charts.Load(charts.Process, knownActions(actions)...)
	if err != nil {
		return nil, err
	}
	return &life{machine: chart.NewMachine(c), actions: actions, trail: trail, log: log}, nil
}

func knownActions(actions map[chart.Action]func()) []chart.Action {
	known := make([]chart.Action, 0, len(actions))
	for a := range actions {
		known = append(known, a)
	}
	return known
}

// State returns the current state of the process.
func (l *life) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Serving reports whether callers' requests are taken.
func (l *life) Serving() bool { return l.State() == charts.ProcessServing }

// Paused reports whether the process was paused since the last look. Times are of the wall clock, since the monotonic one
// may stand still while the machine is suspended.
func (l *life) Paused(now time.Time) bool {
	before := l.looked.Load()
	return before != 0 && time.Duration(now.UnixNano()-before) > pauseThreshold
}

// Looked notes the time of a look.
func (l *life) Looked(now time.Time) { l.looked.Store(now.UnixNano()) }

// Current reports whether the process may decide by what it holds: it has joined, and was looked at lately. A request that
// comes between the end of a pause and the next look finds it not current.
func (l *life) Current(now time.Time) bool {
	if time.Duration(now.UnixNano()-l.looked.Load()) > pauseThreshold {
		return false
	}
	state := l.State()
	return state == charts.ProcessServing || state == charts.ProcessDraining
}

// Fire takes the event's transition and carries out its actions. It reports false where the state does not take the event.
func (l *life) Fire(event chart.Event) bool {
	from, to, todo, ok := l.transition(event)
	if !ok {
		return false
	}
	l.trail.Add(audit.Record{
		Time: time.Now(), Kind: audit.StateChange, Subject: "process",
		Detail: string(from) + " -> " + string(to) + " on " + string(event),
	})
	for _, a := range todo {
		l.actions[a]()
	}
	return true
}

func (l *life) transition(event chart.Event) (from, to chart.State, todo []chart.Action, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = l.machine.State()
	if !l.machine.Can(event) {
		return from, from, nil, false
	}
	todo, err := l.machine.Fire(event)
	if err != nil {
		l.log.Error().Err(err).Msg("process chart refused an event")
		return from, from, nil, false
	}
	return from, l.machine.State(), todo, true
}
