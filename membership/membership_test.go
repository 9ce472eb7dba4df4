package membership

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/origin"
)

func inst(name string, state origin.State) origin.Instance {
	return origin.Instance{Name: name, FailureDomain: "fd", State: state, PeerAddr: name}
}

// TestOwnWordsAndLaggingList walks through what a process may learn of one instance, in order.
func TestOwnWordsAndLaggingList(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		name   string
		do     func(v *View, now time.Time)
		after  time.Duration
		member bool
		usable bool
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"listed, silent, back", []step{
			{name: "listed", do: func(v *View, now time.Time) { v.List(now, []origin.Instance{inst("x", origin.Live)}, nil) }, member: true, usable: true},
			{name: "silent", do: func(v *View, now time.Time) { v.Suspect("x", now.Add(3*time.Second)) }, member: true},
			{name: "suspicion ends", after: 3 * time.Second, member: true, usable: true},
		}},
		{"leaving word wins over the list, a new life over the word", []step{
			{name: "heard", do: func(v *View, now time.Time) { v.Heard(now, inst("x", origin.Live), 5) }, member: true, usable: true},
			{name: "leaves", do: func(v *View, now time.Time) { v.Left(now, "x", 5) }},
			{name: "list lags", do: func(v *View, now time.Time) { v.List(now, []origin.Instance{inst("x", origin.Live)}, nil) }},
			{name: "late heartbeat", do: func(v *View, now time.Time) { v.Heard(now, inst("x", origin.Live), 5); v.HeardAgain(now, "x") }},
			{name: "new life", do: func(v *View, now time.Time) { v.Heard(now, inst("x", origin.Live), 6) }, member: true, usable: true},
			{name: "old word again", do: func(v *View, now time.Time) { v.Left(now, "x", 5) }, member: true, usable: true},
		}},
		{"leaving word before the list", []step{
			{name: "leaves", do: func(v *View, now time.Time) { v.Left(now, "x", 5) }},
			{name: "listed", do: func(v *View, now time.Time) { v.List(now, []origin.Instance{inst("x", origin.Live)}, nil) }},
			{name: "word is old", after: LeftFor, member: true, usable: true},
		}},
		{"heard but not listed", []step{
			{name: "heard", do: func(v *View, now time.Time) { v.Heard(now, inst("x", origin.Live), 1) }, member: true, usable: true},
			{name: "list lacks it", do: func(v *View, now time.Time) { v.List(now, nil, []string{"x"}) }, member: true, usable: true},
			{name: "silent for long", after: HeardFor, do: func(v *View, now time.Time) { v.Prune(now) }},
		}},
		{"list says leaving, instance speaks", []step{
			{name: "leaving on the list", do: func(v *View, now time.Time) { v.List(now, []origin.Instance{inst("x", origin.Leaving)}, nil) }},
			{name: "heard", do: func(v *View, now time.Time) { v.Heard(now, inst("x", origin.Live), 1) }, member: true, usable: true},
		}},
	} {
		v, now := New(inst("self", origin.Live), 1), start
		for _, s := range tt.steps {
			now = now.Add(s.after)
			if s.do != nil {
				s.do(v, now)
			}
			m := v.Get("x")
			if member := m != nil && v.Member(now, m); member != s.member {
				t.Errorf("%s, %s: member %v", tt.name, s.name, member)
			}
			if usable := m != nil && v.Usable(now, m); usable != s.usable {
				t.Errorf("%s, %s: usable %v", tt.name, s.name, usable)
			}
		}
	}
}

func TestOrderHasSelfAndRanks(t *testing.T) {
	v, now := New(inst("self", origin.Live), 1), time.Unix(1000, 0)
	v.List(now, []origin.Instance{inst("a", origin.Live), inst("b", origin.Live), inst("self", origin.Leaving)}, nil)
	order := v.Order(now, "fd")
	if len(order) != 3 {
		t.Fatalf("%d members, want 3", len(order))
	}
	for i := 1; i < len(order); i++ {
		if !Before(order[i-1], order[i]) {
			t.Errorf("%s is not before %s", order[i-1].Name, order[i].Name)
		}
	}
}
