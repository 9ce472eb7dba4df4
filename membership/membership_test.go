package membership

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/origin"
)

func inst(name string, state origin.State) origin.Instance {
	return origin.Instance{Name: name, FailureDomain: "fd", State: state, PeerAddr: name}
}

// TestLeavesContactsAndLaggingList applies sequences of list changes, contacts and leaves for one instance and checks
// after each step whether it counts as a member and as usable.
func TestLeavesContactsAndLaggingList(t *testing.T) {
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
		{"listed, suspect, usable again", []step{
			{name: "listed", do: func(v *View, now time.Time) { v.ApplyList(now, []origin.Instance{inst("x", origin.Live)}, nil) }, member: true, usable: true},
			{name: "suspect", do: func(v *View, now time.Time) { v.Suspect("x", now.Add(3*time.Second)) }, member: true},
			{name: "suspicion ends", after: 3 * time.Second, member: true, usable: true},
		}},
		{"leave overrides the list, a new incarnation overrides the leave", []step{
			{name: "observed", do: func(v *View, now time.Time) { v.Observe(now, inst("x", origin.Live), 5) }, member: true, usable: true},
			{name: "leaves", do: func(v *View, now time.Time) { v.RecordLeave(now, "x", 5) }},
			{name: "list lags", do: func(v *View, now time.Time) { v.ApplyList(now, []origin.Instance{inst("x", origin.Live)}, nil) }},
			{name: "late heartbeat", do: func(v *View, now time.Time) { v.Observe(now, inst("x", origin.Live), 5); v.Refresh(now, "x") }},
			{name: "new incarnation", do: func(v *View, now time.Time) { v.Observe(now, inst("x", origin.Live), 6) }, member: true, usable: true},
			{name: "leave of the old incarnation", do: func(v *View, now time.Time) { v.RecordLeave(now, "x", 5) }, member: true, usable: true},
		}},
		{"leave before the list", []step{
			{name: "leaves", do: func(v *View, now time.Time) { v.RecordLeave(now, "x", 5) }},
			{name: "listed", do: func(v *View, now time.Time) { v.ApplyList(now, []origin.Instance{inst("x", origin.Live)}, nil) }},
			{name: "leave expires", after: LeaveTTL, member: true, usable: true},
		}},
		{"observed but not listed", []step{
			{name: "observed", do: func(v *View, now time.Time) { v.Observe(now, inst("x", origin.Live), 1) }, member: true, usable: true},
			{name: "removed from the list", do: func(v *View, now time.Time) { v.ApplyList(now, nil, []string{"x"}) }, member: true, usable: true},
			{name: "contact expires", after: ContactTTL, do: func(v *View, now time.Time) { v.Prune(now) }},
		}},
		{"listed as leaving, observed as live", []step{
			{name: "listed as leaving", do: func(v *View, now time.Time) { v.ApplyList(now, []origin.Instance{inst("x", origin.Leaving)}, nil) }},
			{name: "observed", do: func(v *View, now time.Time) { v.Observe(now, inst("x", origin.Live), 1) }, member: true, usable: true},
		}},
	} {
		v, now := New(inst("self", origin.Live), 1), start
		for _, s := range tt.steps {
			now = now.Add(s.after)
			if s.do != nil {
				s.do(v, now)
			}
			m := v.Get("x")
			if member := m != nil && v.IsMember(now, m); member != s.member {
				t.Errorf("%s, %s: member %v", tt.name, s.name, member)
			}
			if usable := m != nil && v.IsUsable(now, m); usable != s.usable {
				t.Errorf("%s, %s: usable %v", tt.name, s.name, usable)
			}
		}
	}
}

func TestOrderIncludesSelfInRankOrder(t *testing.T) {
	v, now := New(inst("self", origin.Live), 1), time.Unix(1000, 0)
	v.ApplyList(now, []origin.Instance{inst("a", origin.Live), inst("b", origin.Live), inst("self", origin.Leaving)}, nil)
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
