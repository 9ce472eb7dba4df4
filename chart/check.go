package chart

import (
	"fmt"
	"slices"

	"github.com/chervilwell/chervilwell/jsonc"
)

// checker collects the problems of a chart.
type checker struct {
	jsonc.Problems
	chart   *Chart
	states  map[State]bool
	events  map[Event]bool
	actions map[Action]bool
}

// check returns all violations of the invariants of the chart and fills c.edges.
func (c *Chart) check(known []Action) jsonc.Problems {
	k := &checker{chart: c}
	if c.def.Name == "" {
		k.Add("", "name", "chart has no name", "set its name")
	}
	k.states = nameSet(k, "states", stateNames(c.def.States))
	k.events = nameSet(k, "events", c.def.Events)
	k.actions = nameSet(k, "actions", c.def.Actions)
	k.checkActions(known)
	if !k.states[c.def.Initial] {
		k.Add("", "initial", fmt.Sprintf("initial state %q is not declared", c.def.Initial), "use one of the declared states")
	}
	for i := range c.def.Transitions {
		k.checkTransition(i)
	}
	k.checkUnused()
	k.checkReachable()
	return k.Problems
}

func stateNames(defs []StateDef) []State {
	out := make([]State, len(defs))
	for i, s := range defs {
		out[i] = s.Name
	}
	return out
}

// nameSet returns the set of the names. It adds a problem for each empty or duplicate name.
func nameSet[T ~string](k *checker, list string, names []T) map[T]bool {
	set := make(map[T]bool, len(names))
	for i, n := range names {
		path := fmt.Sprintf("%s[%d]", list, i)
		if n == "" {
			k.Add("", path, "name is empty", "set the name")
		}
		if set[n] {
			k.Add("", path, fmt.Sprintf("%q is declared twice", n), "remove one declaration")
		}
		set[n] = true
	}
	return set
}

// checkActions adds a problem for each action of the chart that known does not contain. A nil known allows all actions.
func (k *checker) checkActions(known []Action) {
	if known == nil {
		return
	}
	for i, a := range k.chart.def.Actions {
		if !slices.Contains(known, a) {
			k.Add("", fmt.Sprintf("actions[%d]", i), fmt.Sprintf("action %q is not implemented by the program", a),
				fmt.Sprintf("use one of %q", known))
		}
	}
}

// checkTransition checks the references of transition i and adds it to the edges of the chart.
func (k *checker) checkTransition(i int) {
	t := &k.chart.def.Transitions[i]
	path := fmt.Sprintf("transitions[%d]", i)
	if !k.states[t.From] {
		k.Add("", path+".from", fmt.Sprintf("state %q is not declared", t.From), "add it to states")
	}
	if !k.states[t.To] {
		k.Add("", path+".to", fmt.Sprintf("state %q is not declared", t.To), "add it to states")
	}
	if !k.events[t.Event] {
		k.Add("", path+".event", fmt.Sprintf("event %q is not declared", t.Event), "add it to events")
	}
	for j, a := range t.Actions {
		if !k.actions[a] {
			k.Add("", fmt.Sprintf("%s.actions[%d]", path, j), fmt.Sprintf("action %q is not declared", a), "add it to actions")
		}
	}
	key := edge{t.From, t.Event}
	if _, ok := k.chart.edges[key]; ok {
		k.Add("", path, fmt.Sprintf("state %q has a second transition on event %q", t.From, t.Event), "remove one of them")
		return
	}
	k.chart.edges[key] = t
}

// checkUnused adds a problem for each event and action that no transition uses, and for each state that is final and has an
// outgoing transition, or is not final and has none.
func (k *checker) checkUnused() {
	events, actions, hasOutgoing := map[Event]bool{}, map[Action]bool{}, map[State]bool{}
	for _, t := range k.chart.def.Transitions {
		events[t.Event] = true
		hasOutgoing[t.From] = true
		for _, a := range t.Actions {
			actions[a] = true
		}
	}
	for i, e := range k.chart.def.Events {
		if !events[e] {
			k.Add("", fmt.Sprintf("events[%d]", i), fmt.Sprintf("event %q is never used", e), "remove it or add its transition")
		}
	}
	for i, a := range k.chart.def.Actions {
		if !actions[a] {
			k.Add("", fmt.Sprintf("actions[%d]", i), fmt.Sprintf("action %q is never used", a), "remove it or add it to a transition")
		}
	}
	for i, s := range k.chart.def.States {
		path := fmt.Sprintf("states[%d]", i)
		switch {
		case s.Final && hasOutgoing[s.Name]:
			k.Add("", path, fmt.Sprintf("final state %q has an outgoing transition", s.Name), "remove the transition or \"final\"")
		case !s.Final && !hasOutgoing[s.Name]:
			k.Add("", path, fmt.Sprintf("state %q has no outgoing transition", s.Name), "add a transition or set \"final\"")
		}
	}
}

// checkReachable adds a problem for each state that can't be reached from the initial state.
func (k *checker) checkReachable() {
	def := &k.chart.def
	if !k.states[def.Initial] {
		return
	}
	reached := map[State]bool{def.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range def.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				changed = true
			}
		}
	}
	for i, s := range def.States {
		if !reached[s.Name] {
			k.Add("", fmt.Sprintf("states[%d]", i), fmt.Sprintf("state %q is unreachable", s.Name),
				"add a transition to it or remove it")
		}
	}
}
