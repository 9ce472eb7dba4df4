// Package chart reads state charts from JSON with comments, checks them and interprets them.
//
// A chart file lists states, events, actions and transitions:
//
//	{
//	  "name": "door", "initial": "closed",
//	  "states": [{"name": "closed"}, {"name": "open"}],
//	  "events": ["push", "pull"], "actions": ["ring"],
//	  "transitions": [
//	    {"from": "closed", "event": "push", "to": "open", "actions": ["ring"]},
//	    {"from": "open", "event": "pull", "to": "closed"},
//	  ],
//	}
//
// Invariants of a loaded chart: every state is reachable from the initial one; a state without a way out is final, and
// a final state has no way out; at most one transition leaves a state on one event; every state, event and action named
// by a transition is declared, and every event and action declared is used.
package chart

import (
	"fmt"
	"slices"

	"github.com/chervilwell/chervilwell/jsonc"
)

// State is the name of a state.
type State string

// Event is the name of something that happens to what the chart describes.
type Event string

// Action is the name of something to do when a transition is taken. The owner of the machine carries it out.
type Action string

// StateDef declares a state.
type StateDef struct {
	Name State  `json:"name"`
	Doc  string `json:"doc"`
	// Final marks a state that is never left.
	Final bool `json:"final"`
}

// Transition leads from a state on an event to a state; From and To may be equal.
type Transition struct {
	From    State    `json:"from"`
	Event   Event    `json:"event"`
	To      State    `json:"to"`
	Actions []Action `json:"actions"`
}

// file is the form of a chart on disk.
type file struct {
	Name        string       `json:"name"`
	Doc         string       `json:"doc"`
	Initial     State        `json:"initial"`
	States      []StateDef   `json:"states"`
	Events      []Event      `json:"events"`
	Actions     []Action     `json:"actions"`
	Transitions []Transition `json:"transitions"`
}

// edge is the key of a transition.
type edge struct {
	from  State
	event Event
}

// Chart is a checked state chart. It is immutable and safe for concurrent use.
type Chart struct {
	def   file
	edges map[edge]*Transition
}

// Load reads and checks a chart. If known is not nil, every action of the chart must be in it: pass the actions that the
// owner of the machine can carry out. The error is of type jsonc.Problems and lists everything wrong.
func Load(name string, data []byte, known []Action) (*Chart, error) {
	var def file
	pos, err := jsonc.Decode(name, data, &def)
	if err != nil {
		return nil, err
	}
	c := &Chart{def: def, edges: make(map[edge]*Transition, len(def.Transitions))}
	problems := c.check(known)
	pos.Locate(problems)
	problems.Sort()
	if len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.def.Name }

// Doc returns the description of the chart.
func (c *Chart) Doc() string { return c.def.Doc }

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.def.Initial }

// States returns the declared states in order.
func (c *Chart) States() []StateDef { return slices.Clone(c.def.States) }

// Events returns the declared events in order.
func (c *Chart) Events() []Event { return slices.Clone(c.def.Events) }

// Actions returns the declared actions in order.
func (c *Chart) Actions() []Action { return slices.Clone(c.def.Actions) }

// Transitions returns the transitions in order.
func (c *Chart) Transitions() []Transition { return slices.Clone(c.def.Transitions) }

// Next returns the transition that leaves a state on an event. The caller must not change its actions.
func (c *Chart) Next(from State, event Event) (Transition, bool) {
	t, ok := c.edges[edge{from, event}]
	if !ok {
		return Transition{}, false
	}
	return *t, true
}

// RefusedError says that an event has no transition from the machine's state.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error names the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("chart %s: state %q takes no event %q; check Can first or add the transition to the chart", e.Chart, e.State, e.Event)
}

// Machine walks a chart. It is pure and not safe for concurrent use: the goroutine of the duty owns it.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the initial state of the chart.
func NewMachine(c *Chart) *Machine { return &Machine{chart: c, state: c.def.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Chart returns the chart that the machine walks.
func (m *Machine) Chart() *Chart { return m.chart }

// Can reports whether the current state takes the event.
func (m *Machine) Can(event Event) bool {
	_, ok := m.chart.Next(m.state, event)
	return ok
}

// Fire takes the transition of the event and returns the actions to carry out, in order. Where there is none it returns a
// *RefusedError and the state stays.
func (m *Machine) Fire(event Event) ([]Action, error) {
	t, ok := m.chart.Next(m.state, event)
	if !ok {
		return nil, &RefusedError{Chart: m.chart.def.Name, State: m.state, Event: event}
	}
	m.state = t.To
	return slices.Clone(t.Actions), nil
}
