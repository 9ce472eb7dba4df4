package pacer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// download is a response of a test, with the time at which the link has carried all of it.
type download struct {
	*Response
	arrived time.Time
}

// send runs a link of rate bytes per second until all responses have been sent, and returns the longest queue that a small message would
// have found on it, as transfer time. Responses are added at the times of their key.
func send(t *testing.T, o *Outbound, rate float64, add map[time.Duration][]*download, bytes int64) time.Duration {
	t.Helper()
	now, linkFreeAt, longest, waiting := epoch, epoch, time.Duration(0), 0
	for _, list := range add {
		waiting += len(list)
	}
	for step := time.Duration(0); waiting > 0; step += time.Millisecond {
		if step > time.Minute {
			t.Fatal("responses are not sent")
		}
		now = epoch.Add(step)
		for _, d := range add[step] {
			left := bytes
			d.Grant = func(part int) {
				if linkFreeAt.Before(now) {
					linkFreeAt = now
				}
				linkFreeAt = linkFreeAt.Add(time.Duration(float64(part) / rate * float64(time.Second)))
				if left -= int64(part); left > 0 {
					o.Ask(now, d.Response)
					return
				}
				d.arrived = linkFreeAt
				waiting--
				o.Remove(now, d.Response)
			}
			o.Add(d.Response, bytes)
			o.Ask(now, d.Response)
		}
		o.Tick(now)
		longest = max(longest, linkFreeAt.Sub(now))
	}
	return longest
}

// Load pattern: ten downloads of 90 KB leave a machine with 10 Mbit/s at the same moment, for which the schedule has 0.96 s. A small response
// or the handshake of a connection waits for at most two parts, and the link does not idle.
func TestSmallMessagesPassLargeResponses(t *testing.T) {
	const rate, bytes = 10e6 / 8, 90_000
	o := NewOutbound(rate)
	var all []*download
	for n := range 10 {
		all = append(all, &download{Response: &Response{SoftDeadline: epoch.Add(2 * time.Second).Add(time.Duration(n))}})
	}
	longest := send(t, o, rate, map[time.Duration][]*download{0: all}, bytes)
	if limit := 40 * time.Millisecond; longest > limit {
		t.Errorf("a small message would wait %v, want at most %v", longest, limit)
	}
	if last, limit := all[9].arrived.Sub(epoch), time.Second; last > limit {
		t.Errorf("the last response arrived after %v, want %v", last, limit)
	}
	for n, d := range all[1:] {
		if d.arrived.Before(all[n].arrived) {
			t.Errorf("response %d arrived before %d, whose objective ends earlier", n+1, n)
		}
	}
}

// Load pattern: five downloads that will miss their objective are being sent when one arrives that can still meet its own.
func TestResponsesThatMeetTheirObjectivePrecedeLateOnes(t *testing.T) {
	const rate, bytes = 10e6 / 8, 200_000
	o := NewOutbound(rate)
	var late []*download
	for range 5 {
		late = append(late, &download{Response: &Response{SoftDeadline: epoch.Add(100 * time.Millisecond)}})
	}
	onTime := &download{Response: &Response{SoftDeadline: epoch.Add(500 * time.Millisecond)}}
	send(t, o, rate, map[time.Duration][]*download{0: late, 50 * time.Millisecond: {onTime}}, bytes)
	if onTime.arrived.After(onTime.SoftDeadline) {
		t.Errorf("arrived %v after its objective", onTime.arrived.Sub(onTime.SoftDeadline))
	}
}

// Load pattern: downloads of 90 KB are offered at 1.5 times the rate that a link of 10 Mbit/s carries, with an objective of one second.
// Those that are admitted can meet it, and the others are told when to come back.
func TestDownloadsBeyondTheLinkAreRefused(t *testing.T) {
	const bytes = 90_000
	o := NewOutbound(10e6 / 8)
	now, refused := epoch, 0
	for range 100 {
		latest := now.Add(time.Second)
		if ok, retryAfter := o.Fits(now, bytes, 150*time.Millisecond, latest, false); !ok {
			refused++
			if retryAfter <= 0 || retryAfter > maxBacklog {
				t.Fatalf("retry-after %v", retryAfter)
			}
		} else {
			r := &Response{SoftDeadline: latest, Grant: func(int) {}}
			if arrives := now.Add(o.Wait(now) + o.TransferTime(bytes)); arrives.After(latest) {
				t.Fatalf("admitted a response that arrives %v late", arrives.Sub(latest))
			}
			o.Add(r, bytes)
		}
		now = now.Add(48 * time.Millisecond)
		for _, r := range o.responses { // the link carries 48 ms of the first response
			r.left -= int64(o.rate * 0.048)
			if r.left <= 0 {
				o.Remove(now, r)
			}
			break
		}
	}
	if refused < 15 || refused > 60 {
		t.Errorf("%d of 100 refused", refused)
	}
}

// A reader that stopped reading, such as a process behind a cut link, does not hold up the others.
func TestStalledResponseHoldsUpNoOther(t *testing.T) {
	const rate, bytes = 10e6 / 8, 90_000
	o := NewOutbound(rate)
	granted := 0
	stalled := &Response{SoftDeadline: epoch.Add(time.Second), Grant: func(int) { granted++ }}
	o.Add(stalled, bytes)
	o.Ask(epoch, stalled)
	other := &download{Response: &Response{SoftDeadline: epoch.Add(2 * time.Second)}}
	send(t, o, rate, map[time.Duration][]*download{0: {other}}, bytes)
	if granted != 1 || other.arrived.After(other.SoftDeadline) {
		t.Errorf("%d parts granted to the stalled one; the other arrived after %v", granted, other.arrived.Sub(epoch))
	}
	if wait := o.Wait(epoch.Add(100 * time.Millisecond)); wait < o.TransferTime(bytes-partBytes) {
		t.Errorf("wait of %v while the first response is being sent", wait)
	}
	if wait := o.Wait(epoch.Add(time.Second)); wait > 0 {
		t.Errorf("wait of %v behind a response that is not read", wait)
	}
	o.Remove(epoch.Add(time.Minute), stalled)
	if o.Waiting() != 0 || o.Wait(epoch.Add(time.Minute)) != 0 {
		t.Errorf("%d responses and a wait of %v remain", o.Waiting(), o.Wait(epoch.Add(time.Minute)))
	}
}

// Expectations that end, in any order, leave nothing behind; wide and unknown links have no limit.
func TestOutboundInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOutbound(10e6 / 8)
		now, granted := epoch, 0.0
		var responses []*Response
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				r := &Response{SoftDeadline: now.Add(time.Second), Grant: func(bytes int) { granted += float64(bytes) }}
				o.Add(r, int64(rapid.IntRange(LargeMessageBytes, 540_000).Draw(t, "bytes")))
				responses = append(responses, r)
			case 1:
				if len(responses) > 0 {
					o.Ask(now, responses[rapid.IntRange(0, len(responses)-1).Draw(t, "which")])
				}
			case 2:
				if len(responses) > 0 {
					o.Remove(now, responses[0])
					responses = responses[1:]
				}
			case 3:
				o.Tick(now)
			}
			if limit := o.rate*(now.Sub(epoch)+outboundWindow).Seconds() + partBytes; granted > limit+1 {
				t.Fatalf("%.0f bytes granted, the link has carried %.0f", granted, limit)
			}
		}
	})
	for _, rate := range []float64{0, 125e6} {
		o := NewOutbound(rate)
		if ok, _ := o.Fits(epoch, 1<<30, 0, epoch, false); !ok || o.Bounded() {
			t.Errorf("link of %.0f bytes per second is bounded", rate)
		}
	}
}
