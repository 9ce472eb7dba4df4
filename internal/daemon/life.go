package daemon

import (
	"sync"
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
