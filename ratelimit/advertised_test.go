package ratelimit

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestAdvertisedLimitHoldsUntilResponseWithout(t *testing.T) {
	var a Advertised
	limit := Limit{PerSecond: 10, Limited: true}
	for i, step := range []struct {
		sent, now float64
		stated    Limit
		want      Limit
		changed   bool
	}{
		{0, 1, Limit{}, Limit{}, false},
		{1, 2, limit, limit, true},
		{1.5, 2.5, Limit{}, limit, false}, // sent before the limit was known
		{2.6, 3, limit, limit, false},
		{3.1, 4, Limit{PerSecond: 0, Limited: true}, Limit{Limited: true}, true},
		{4.1, 5, Limit{}, Limit{}, true},
	} {
		if changed := a.Observe(at(step.sent), at(step.now), step.stated); changed != step.changed || a.Limit() != step.want {
			t.Errorf("step %d: got %+v, changed %v; want %+v, %v", i, a.Limit(), changed, step.want, step.changed)
		}
	}
}
