package gate

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/ratelimit"
)

func limit(perSecond float64) ratelimit.Limit {
	return ratelimit.Limit{PerSecond: perSecond, Limited: true}
}

// mostIn returns the largest number of starts within any span.
func (s *simulation) mostIn(span time.Duration) int {
	most := 0
	for i := range s.starts {
		n := 0
		for _, start := range s.starts[i:] {
			if start.Sub(s.starts[i]) <= span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Load pattern: a target with free slots states a limit of a third of the arrivals. The limit is used, and not exceeded; requests
// that it leaves no room for are refused at once, with the time at which there is room.
func TestRateLimitBoundsStarts(t *testing.T) {
	for _, rate := range []float64{0.5, 4.8, 43.5, 130.6} {
		s := newSimulation(18)
		s.gate.SetRateLimit(s.now, limit(rate))
		const duration = 20 * time.Second
		for at := epoch; at.Before(epoch.Add(duration)); at = at.Add(time.Duration(float64(time.Second) / (3 * rate))) {
			s.advance(at)
			r := s.request(1, 250*time.Millisecond, time.Second)
			refused := false
			verdict := s.offer(r, 50*time.Millisecond, func(run bool, _ time.Time) { refused = !run })
			_, retryAfter := s.gate.Fits(s.now, s.request(1, 250*time.Millisecond, time.Second))
			if verdict == Refuse && (!refused || retryAfter <= 0 || !s.gate.AtRateLimit(s.now)) {
				t.Fatalf("rate %v: refused %v with a retry-after of %v", rate, refused, retryAfter)
			}
		}
		if got := float64(s.mostIn(4 * time.Second)); got > 1.5*4*rate+5 {
			t.Errorf("rate %v: %v starts in 4 s", rate, got)
		}
		if got := float64(len(s.starts)); got < 0.9*rate*duration.Seconds()-1 {
			t.Errorf("rate %v: only %v starts in %v", rate, got, duration)
		}
	}
}

// A limit that is lowered to 0 refuses the queued requests at once; it ends with the limit.
func TestLoweredRateLimitRefusesQueuedRequests(t *testing.T) {
	s := newSimulation(1)
	s.gate.SetRateLimit(s.now, limit(100))
	refused := 0
	for range 3 {
		s.offer(s.request(1, time.Second, time.Second), 50*time.Millisecond, func(run bool, _ time.Time) {
			if !run {
				refused++
			}
		})
	}
	if refused != 0 {
		t.Fatalf("%d of 3 requests were refused with a slot for them in time", refused)
	}
	s.gate.SetRateLimit(s.now, limit(0))
	if refused != 2 {
		t.Errorf("%d of 2 queued requests were refused", refused)
	}
	if load := s.gate.Load(s.now); load.Free != 0 {
		t.Errorf("a limit of 0 leaves room for %d requests", load.Free)
	}
	s.advance(s.now.Add(time.Second))
	s.gate.SetRateLimit(s.now, ratelimit.Limit{})
	if v := s.offer(s.request(1, 300*time.Millisecond, time.Second), time.Millisecond, func(bool, time.Time) {}); v != Run {
		t.Errorf("verdict %d after the end of the limit", v)
	}
}
