package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRepeatsStayWithinTheirPart(t *testing.T) {
	terms := Terms{Ratio: 0.1, Slack: 3, Window: 10 * time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		var b Budget
		now := time.Unix(1_000_000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "repeat") {
				if b.Spend(now, terms) {
					repeats = append(repeats, now)
				}
				continue
			}
			b.Request(now, terms)
			requests = append(requests, now)
		}
		within := func(list []time.Time, end time.Time) (n float64) {
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < terms.Window {
					n++
				}
			}
			return n
		}
		for _, end := range repeats {
			if got, most := within(repeats, end), terms.Slack+terms.Ratio*within(requests, end); got > most {
				rt.Fatalf("%v repeats in the window that ends at %v, at most %v", got, end, most)
			}
		}
	})
}

func TestRepeatsAreForgottenAfterTheWindow(t *testing.T) {
	terms := Terms{Slack: 1, Window: 10 * time.Second}
	var b Budget
	now := time.Unix(1_000_000, 0)
	if !b.Spend(now, terms) || b.Spend(now.Add(9*time.Second), terms) || !b.Spend(now.Add(12*time.Second), terms) {
		t.Error("a window does not allow one repeat")
	}
}
