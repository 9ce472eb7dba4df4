package pacer

import (
	"testing"
	"time"
)

// Load pattern: link saturation at one machine. Uploads of 60 KB are offered at twice the rate that a link of 10 Mbit/s
// carries.
func TestInboundKeepsLinkBelowItsRate(t *testing.T) {
	const rate, body = 10e6 / 8, 60_000
	i := NewInbound(rate)
	now := epoch
	admitted, refused := 0, 0
	var longest time.Duration
	for range 400 {
		wait, ok := i.Reserve(now, body, now.Add(500*time.Millisecond))
		if ok {
			admitted++
			longest = max(longest, wait)
		} else {
			refused++
			if wait <= 0 {
				t.Fatal("refused without a retry-after")
			}
		}
		now = now.Add(25 * time.Millisecond)
	}
	carried := float64(admitted*body) / 10
	if carried < 0.6*rate || carried > 0.8*rate {
		t.Errorf("%.0f bytes per second admitted over a link of %.0f", carried, float64(rate))
	}
	if refused == 0 || longest > 500*time.Millisecond {
		t.Errorf("%d refused, longest wait %v", refused, longest)
	}
}

// Load pattern: low load. Uploads do not wait, and small messages never do.
func TestInboundDoesNotDelayLowLoad(t *testing.T) {
	i := NewInbound(10e6 / 8)
	now := epoch
	for range 50 {
		if wait, ok := i.Reserve(now, 60_000, now.Add(time.Second)); !ok || wait > 0 {
			t.Fatalf("upload waits %v", wait)
		}
		if wait, ok := i.Reserve(now, LargeMessageBytes-1, now); !ok || wait > 0 {
			t.Fatalf("small message waits %v", wait)
		}
		now = now.Add(100 * time.Millisecond)
	}
}

func TestWideAndUnknownLinksAreUnbounded(t *testing.T) {
	for _, rate := range []float64{0, 125e6} {
		i := NewInbound(rate)
		for range 1000 {
			if wait, ok := i.Reserve(epoch, 1<<20, epoch); i.Bounded() || !ok || wait > 0 {
				t.Fatalf("link of %.0f bytes per second is bounded", rate)
			}
		}
	}
}
