package chart

import (
	"fmt"
	"slices"

	"github.com/chervilwell/chervilwell/jsonc"
)

// checker gathers the problems of one chart.
type checker struct {
	jsonc.Problems
	chart   *Chart
	states  map[State]bool
	events  map[Event]bool
	actions map[Action]bool
}

// check verifies the invariants of the chart and fills its index of transitions.
func (c *Chart) check(known []Action) jsonc.Problems {
	k := &checker{chart: c}
	if c.def.Name == "" {
		k.Add("", "name", "chart has no name", "name it")
	}
	k.states = declare(k, "states", stateNames(c.def.States))
	k.events = declare(k, "events", c.def.Events)
	k.actions = declare(k, "actions", c.def.Actions)
	k.checkKnown(known)
	if !k.states[c.def.Initial] {
		k.Add("", "initial", fmt.Sprintf("initial state %q is not declared", c.def.Initial), "name one of the states")
	}
	for i := range c.def.Transitions {
		k.checkTransition(i)
	}
	k.checkUse()
	k.checkReach()
	return k.Problems
}

func stateNames(defs []StateDef) []State {
	out := make([]State, len(defs))
	for i, s := range defs {
		out[i] = s.Name
	}
	return out
}

// declare returns the set of names and adds a problem for each empty or repeated one.
func declare[T ~string](k *checker, list string, names []T) map[T]bool {
	set := make(map[T]bool, len(names))
	for i, n := range names {
		path := fmt.Sprintf("%s[%d]", list, i)
		if n == "" {
			k.Add("", path, "name is empty", "name it")
		}
		if set[n] {
			k.Add("", path, fmt.Sprintf("%q is declared twice", n), "keep one")
		}
		set[n] = true
	}
	return set
}

func (k *checker) checkKnown(known []Action) {
	if known == nil {
		return
	}
	for i, a := range k.chart.def.Actions {
		if !slices.Contains(known, a) {
			k.Add("", fmt.Sprintf("actions[%d]", i), fmt.Sprintf("action %q is unknown to the program", a),
				fmt.Sprintf("use one of %q", known))
		}
	}
}

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
		k.Add("", path, fmt.Sprintf("a second transition leaves state %q on event %q", t.From, t.Event), "keep one")
		return
	}
	k.chart.edges[key] = t
}

// checkUse finds events and actions that no transition uses, and states whose ways out contradict their declaration.
func (k *checker) checkUse() {
	events, actions, leaves := map[Event]bool{}, map[Action]bool{}, map[State]bool{}
	for _, t := range k.chart.def.Transitions {
		events[t.Event] = true
		leaves[t.From] = true
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
		case s.Final && leaves[s.Name]:
			k.Add("", path, fmt.Sprintf("final state %q has a way out", s.Name), "remove the transition or the mark")
		case !s.Final && !leaves[s.Name]:
			k.Add("", path, fmt.Sprintf("state %q has no way out", s.Name), "add a transition or mark it final")
		}
	}
}

// checkReach finds states that no chain of transitions from the initial state reaches.
func (k *checker) checkReach() {
	def := &k.chart.def
	if !k.states[def.Initial] {
		return
	}
	reached := map[State]bool{def.Initial: true}
	for grew := true; grew; {
		grew = false
		for _, t := range def.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				grew = true
			}
		}
	}
	for i, s := range def.States {
		if !reached[s.Name] {
			k.Add("", fmt.Sprintf("states[%d]", i), fmt.Sprintf("state %q is unreachable", s.Name),
				"add a transition that leads to it or remove it")
		}
	}
}
