// Package chart loads state machines from chart files, validates them and runs them.
//
// A chart file is JSON with comments. It lists states, events, actions and transitions:
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
// Invariants of a loaded chart: every state is reachable from the initial state; exactly the final states have no outgoing
// transition; a state has at most one transition per event; every state, event and action of a transition is declared; and
// every declared event and action is used by a transition.
package chart

import (
	"fmt"
	"slices"

	"github.com/chervilwell/chervilwell/jsonc"
)

// State is the name of a state.
type State string

// Event is the name of an event, which triggers a transition.
type Event string

// Action is the name of an action of a transition. The owner of the machine executes it when the transition is taken.
type Action string

// StateDef is the declaration of a state.
type StateDef struct {
	Name State  `json:"name"`
	Doc  string `json:"doc"`
	// Final marks a state without outgoing transitions.
	Final bool `json:"final"`
}

// Transition is the transition from state From to state To on an event. From and To may be equal.
type Transition struct {
	From    State    `json:"from"`
	Event   Event    `json:"event"`
	To      State    `json:"to"`
	Actions []Action `json:"actions"`
}

// file is the content of a chart file.
type file struct {
	Name        string       `json:"name"`
	Doc         string       `json:"doc"`
	Initial     State        `json:"initial"`
	States      []StateDef   `json:"states"`
	Events      []Event      `json:"events"`
	Actions     []Action     `json:"actions"`
	Transitions []Transition `json:"transitions"`
}

// edge identifies a transition.
type edge struct {
	from  State
	event Event
}

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	def   file
	edges map[edge]*Transition
}

// Load parses and validates a chart file. If known is not nil, it must contain every action of the chart; pass the actions
// that the owner of the machine can execute. The error is of type jsonc.Problems and lists all problems; name is used there
// as the name of the file.
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

// States returns the states in the order of their declaration.
func (c *Chart) States() []StateDef { return slices.Clone(c.def.States) }

// Events returns the events in the order of their declaration.
func (c *Chart) Events() []Event { return slices.Clone(c.def.Events) }

// Actions returns the actions in the order of their declaration.
func (c *Chart) Actions() []Action { return slices.Clone(c.def.Actions) }

// Transitions returns the transitions in the order of the chart file.
func (c *Chart) Transitions() []Transition { return slices.Clone(c.def.Transitions) }

// Next returns the transition from a state on an event, or false if the chart has none. The caller must not modify the
// Actions of the transition.
func (c *Chart) Next(from State, event Event) (Transition, bool) {
	t, ok := c.edges[edge{from, event}]
	if !ok {
		return Transition{}, false
	}
	return *t, true
}

// RefusedError is returned by Machine.Fire if the current state has no transition on the event.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error returns the cause and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("chart %s: state %q has no transition on event %q; call Can first or add the transition to the chart", e.Chart, e.State, e.Event)
}

// Machine holds the current state of a chart. It executes no actions itself and is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the initial state of the chart.
func NewMachine(c *Chart) *Machine { return &Machine{chart: c, state: c.def.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Chart returns the chart of the machine.
func (m *Machine) Chart() *Chart { return m.chart }

// Can reports whether the current state has a transition on the event.
func (m *Machine) Can(event Event) bool {
	_, ok := m.chart.Next(m.state, event)
	return ok
}

// Fire takes the transition on the event and returns its actions in the order of execution. If the current state has no
// such transition, Fire returns a *RefusedError and the state does not change.
func (m *Machine) Fire(event Event) ([]Action, error) {
	t, ok := m.chart.Next(m.state, event)
	if !ok {
		return nil, &RefusedError{Chart: m.chart.def.Name, State: m.state, Event: event}
	}
	m.state = t.To
	return slices.Clone(t.Actions), nil
}
