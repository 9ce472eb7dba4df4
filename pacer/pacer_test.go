package pacer

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// link is a queue that drains at a constant rate, shared by several processes.
type link struct {
	rate      float64
	queued    float64
	now       time.Time
	baseDelay time.Duration
	carried   float64
}

func (l *link) advance(to time.Time) {
	drained := min(l.rate*to.Sub(l.now).Seconds(), l.queued)
	l.queued -= drained
	l.carried += drained
	l.now = to
}

func (l *link) delay() time.Duration {
	return l.baseDelay + time.Duration(l.queued/l.rate*float64(time.Second))
}

// Load pattern: the only targets of an upload service are in the other region, and six processes offer more than the link
// carries. Small requests must still cross quickly, and the link must stay in use.
func TestUploadsLeaveRoomForSmallRequests(t *testing.T) {
	const processes, length = 6, 40 * time.Second
	l := &link{rate: 7e6, now: epoch, baseDelay: 25 * time.Millisecond}
	pacers := make([]Pacer, processes)
	slow, small, refused, sent := 0, 0, 0, 0
	for at := epoch; at.Before(epoch.Add(length)); at = at.Add(10 * time.Millisecond) {
		l.advance(at)
		step := int(at.Sub(epoch) / (10 * time.Millisecond))
		for i := range pacers {
			p := &pacers[i]
			l.queued += 1500
			p.RecordSent(at, 1500)
			p.Observe(at, l.delay())
			if at.Sub(epoch) > 5*time.Second {
				small++
				if l.delay() > l.baseDelay+250*time.Millisecond {
					slow++
				}
			}
			if (step+i*3)%16 == 0 { // six uploads of 280 KB per second from each process, 10 MB/s in total
				if p.Wait(at, 280_000) > 0 {
					refused++
					continue
				}
				p.RecordSent(at, 280_000)
				l.queued += 280_000
				sent++
			}
		}
	}
	if share := float64(slow) / float64(small); share > 0.05 {
		t.Errorf("fraction %.2f of small requests was delayed by over 250 ms at the link", share)
	}
	const twoThirds = 0.65
	if use := l.carried / (l.rate * length.Seconds()); use < twoThirds {
		t.Errorf("link utilisation is %.2f", use)
	}
	if sent == 0 || refused == 0 {
		t.Errorf("%d sent, %d refused", sent, refused)
	}
}

func TestFreeLinkCausesNoWait(t *testing.T) {
	var p Pacer
	for i := range 1000 {
		at := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		p.Observe(at, 25*time.Millisecond)
		if wait := p.Wait(at, 280_000); wait > 0 {
			t.Fatalf("waits %v after %d messages", wait, i)
		}
		p.RecordSent(at, 100_000)
	}
}

func TestSmallMessagesAlwaysPass(t *testing.T) {
	var p Pacer
	p.Observe(epoch, 20*time.Millisecond)
	for i := range 20 {
		p.Observe(epoch.Add(time.Duration(i)*300*time.Millisecond), time.Second)
	}
	now := epoch.Add(6 * time.Second)
	p.RecordSent(now, 1<<20)
	if p.Wait(now, LargeMessageBytes) == 0 || p.Wait(now, LargeMessageBytes-1) != 0 {
		t.Error("small and large messages are not distinguished on a full link")
	}
	if p.QueueingDelay() < 500*time.Millisecond {
		t.Errorf("delay %v", p.QueueingDelay())
	}
}
