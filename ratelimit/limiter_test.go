package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLimiterBoundsEverySpan checks the invariant of Limiter for requests that come at any time, while the limit stays the same.
func TestLimiterBoundsEverySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		burst := time.Duration(rapid.IntRange(0, 1000).Draw(rt, "burst")) * time.Millisecond
		rate := rapid.Float64Range(0, 500).Draw(rt, "rate")
		l, now := NewLimiter(burst), start
		l.SetLimit(now, Limit{PerSecond: rate, Limited: true})
		var starts []time.Time
		for range rapid.IntRange(1, 200).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "gap")) * time.Millisecond)
			if available := l.Available(now, 1000); (available > 0) != l.Ready(now) {
				rt.Fatalf("%d starts are available, ready is %v", available, l.Ready(now))
			}
			if l.Ready(now) {
				l.Start(now)
				starts = append(starts, now)
			}
		}
		for i := range starts {
			for j := i; j < len(starts); j++ {
				if got, most := float64(j-i+1), rate*(starts[j].Sub(starts[i])+burst).Seconds()+1.001; got > most {
					rt.Fatalf("%v starts within %v, more than %v", got, starts[j].Sub(starts[i]), most)
				}
			}
		}
	})
}

func TestChangedLimitKeepsStartsAhead(t *testing.T) {
	l := NewLimiter(0)
	l.SetLimit(start, Limit{PerSecond: 1, Limited: true})
	l.Start(start)
	l.Start(start) // two starts ahead
	for _, test := range []struct {
		rate float64
		want time.Duration
	}{{100, 20 * time.Millisecond}, {0.5, 4 * time.Second}, {0, maxSpacing}, {10, 200 * time.Millisecond}} {
		l.SetLimit(start, Limit{PerSecond: test.rate, Limited: true})
		if got := l.Wait(start, 0); got < test.want-time.Millisecond || got > test.want+time.Millisecond {
			t.Errorf("at %v per second: the next start is in %v, want %v", test.rate, got, test.want)
		}
	}
	l.SetLimit(start, Limit{})
	if !l.Ready(start) || l.Available(start, 7) != 7 {
		t.Error("not ready without a limit")
	}
}
