package admission

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// The queue of a cold target must stay short enough for its requests to be served before their deadlines.
func TestColdTargetQueueShrinksWithLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	limits := catalogue.ServiceLimits{Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2, ColdPeriod: catalogue.Duration(5 * time.Second)}
	gate := New(now, limits, Shares{"a": 1})
	count := map[Verdict]int{}
	for i := range 30 {
		d := gate.Offer(now, Request{ID: ID(i + 1), Organisation: "a", Class: catalogue.Interactive})
		count[d.Verdict]++
		if d.Verdict == Refused && d.Reason != ColdTarget {
			t.Fatalf("request %d refused for %q", i, d.Reason)
		}
	}
	if count[Admitted] != 2 || count[Queued] != 4 {
		t.Fatalf("verdicts of a cold target with 2 of 20 slots: %v, want 2 admitted and 4 queued", count)
	}
}
