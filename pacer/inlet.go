package pacer

import "time"

// Figures of an inlet.
const (
	// share is the part of a machine's link that large messages may take; the rest is for callers, small messages and state.
	share = 0.7
	// ahead is the time whose bytes may be under way at once, about a round trip between regions with the time to read a message.
	ahead = 50 * time.Millisecond
	// Wide is the rate of a link, in bytes a second, from which on a target's places bound large messages sooner than the link.
	Wide = 100e6 / 8
)

// Inlet plans the large messages that come in over a machine's own link, one after the other, so that small ones don't queue behind
// them. Senders ask before they send. It is not safe for concurrent use. The zero value bounds nothing.
type Inlet struct {
	rate float64
	// free is when the link will have carried all messages that were let in.
	free time.Time
}

// NewInlet returns an inlet for a link that carries rate bytes a second; it bounds nothing if the link is wide or its rate unknown.
func NewInlet(rate float64) *Inlet {
	if rate <= 0 || rate >= Wide {
		return &Inlet{}
	}
	return &Inlet{rate: share * rate}
}

// Bounded reports whether large messages have to ask.
func (i *Inlet) Bounded() bool { return i.rate > 0 }

// Wait returns the time after which a message that asks now may be sent.
func (i *Inlet) Wait(now time.Time) time.Duration { return max(i.free.Sub(now), ahead) - ahead }

// Take lets a message of some bytes in and returns when it may be sent, or false if it would not have come in by the latest time; then
// the time returned is when to ask again.
func (i *Inlet) Take(now time.Time, bytes int64, latest time.Time) (time.Duration, bool) {
	if !i.Bounded() || bytes < Large {
		return 0, true
	}
	wait := i.Wait(now)
	takes := time.Duration(float64(bytes) / i.rate * float64(time.Second))
	if now.Add(wait + takes).After(latest) {
		return wait, false
	}
	if i.free.Before(now) {
		i.free = now
	}
	i.free = i.free.Add(takes)
	return wait, true
}
