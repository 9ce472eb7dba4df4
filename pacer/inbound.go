package pacer

import "time"

// Limits of inbound messages.
const (
	// linkShare is the fraction of a machine's link that large messages may use; the rest is for callers, small messages and
	// state.
	linkShare = 0.7
	// window limits the data in flight, expressed as its transfer time: about one round trip between regions plus the time
	// to read a message.
	window = 50 * time.Millisecond
	// WideLinkRate is the link rate in bytes per second above which the target's slots limit large messages before the link
	// does.
	WideLinkRate = 100e6 / 8
)

// Inbound schedules large messages that arrive over a machine's link one after the other, so that small messages do not
// queue behind them. Senders ask for permission before they send. It is not safe for concurrent use. The zero value has no
// limit.
type Inbound struct {
	rate float64
	// freeAt is the time at which the link will have carried all admitted messages.
	freeAt time.Time
}

// NewInbound returns an Inbound for a link with the given rate in bytes per second. It has no limit if rate is unknown (0)
// or at least WideLinkRate.
func NewInbound(rate float64) *Inbound {
	if rate <= 0 || rate >= WideLinkRate {
		return &Inbound{}
	}
	return &Inbound{rate: linkShare * rate}
}

// Bounded reports whether large messages need permission.
func (i *Inbound) Bounded() bool { return i.rate > 0 }

// Wait returns the time after which a message announced now may be sent.
func (i *Inbound) Wait(now time.Time) time.Duration { return max(i.freeAt.Sub(now), window) - window }

// Reserve reserves the link for a message of the given size in bytes and returns the time after which it may be sent. If the
// message would not have arrived by latest, it reserves nothing and returns false with the time after which to ask again.
func (i *Inbound) Reserve(now time.Time, bytes int64, latest time.Time) (time.Duration, bool) {
	if !i.Bounded() || bytes < LargeMessageBytes {
		return 0, true
	}
	wait := i.Wait(now)
	transfer := time.Duration(float64(bytes) / i.rate * float64(time.Second))
	if now.Add(wait + transfer).After(latest) {
		return wait, false
	}
	if i.freeAt.Before(now) {
		i.freeAt = now
	}
	i.freeAt = i.freeAt.Add(transfer)
	return wait, true
}
