package pacer

import (
	"testing"
	"time"
)

// Load pattern: link saturation at one machine. Uploads of 60 KB are offered at twice what a link of 10 Mbit/s carries.
func TestInletKeepsTheLinkBelowItsRate(t *testing.T) {
	const rate, body = 10e6 / 8, 60_000
	i := NewInlet(rate)
	now := epoch
	let, refused := 0, 0
	var longest time.Duration
	for range 400 {
		wait, ok := i.Take(now, body, now.Add(500*time.Millisecond))
		if ok {
			let++
			longest = max(longest, wait)
		} else {
			refused++
			if wait <= 0 {
				t.Fatal("refused without a time to come back")
			}
		}
		now = now.Add(25 * time.Millisecond)
	}
	carried := float64(let*body) / 10
	if carried < 0.6*rate || carried > 0.8*rate {
		t.Errorf("%.0f bytes a second were let in over a link of %.0f", carried, float64(rate))
	}
	if refused == 0 || longest > 500*time.Millisecond {
		t.Errorf("%d refused, the longest wait was %v", refused, longest)
	}
}

// Load pattern: a calm day. An upload meets no wait, and small messages never do.
func TestInletLetsACalmDayPass(t *testing.T) {
	i := NewInlet(10e6 / 8)
	now := epoch
	for range 50 {
		if wait, ok := i.Take(now, 60_000, now.Add(time.Second)); !ok || wait > 0 {
			t.Fatalf("an upload waits %v", wait)
		}
		if wait, ok := i.Take(now, Large-1, now); !ok || wait > 0 {
			t.Fatalf("a small message waits %v", wait)
		}
		now = now.Add(100 * time.Millisecond)
	}
}

func TestWideAndUnknownLinksAreNotBounded(t *testing.T) {
	for _, rate := range []float64{0, 125e6} {
		i := NewInlet(rate)
		for range 1000 {
			if wait, ok := i.Take(epoch, 1<<20, epoch); i.Bounded() || !ok || wait > 0 {
				t.Fatalf("a link of %.0f is bounded", rate)
			}
		}
	}
}
