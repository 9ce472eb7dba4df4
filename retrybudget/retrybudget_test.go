package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetriesStayWithinLimits(t *testing.T) {
	limits := Limits{Ratio: 0.1, Slack: 3, Window: 10 * time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		var b Budget
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "retry") {
				if b.AllowRetry(now, limits) {
					retries = append(retries, now)
				}
				continue
			}
			b.RecordRequest(now, limits)
			requests = append(requests, now)
		}
		within := func(list []time.Time, end time.Time) (n float64) {
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < limits.Window {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			if got, limit := within(retries, end), limits.Slack+limits.Ratio*within(requests, end); got > limit {
				rt.Fatalf("%v retries in the window ending at %v, limit %v", got, end, limit)
			}
		}
	})
}

func TestRetriesExpireAfterWindow(t *testing.T) {
	limits := Limits{Slack: 1, Window: 10 * time.Second}
	var b Budget
	now := time.Unix(1_000_000, 0)
	if !b.AllowRetry(now, limits) || b.AllowRetry(now.Add(9*time.Second), limits) || !b.AllowRetry(now.Add(12*time.Second), limits) {
		t.Error("want exactly one retry per window")
	}
}
