package pacer

import (
	"slices"
	"time"
)

// Limits of inbound messages.
const (
	// linkShare is the fraction of a machine's link that large messages may use; the rest is for callers, small messages and
	// state.
	linkShare = 0.7
	// window limits the data in flight, expressed as its transfer time: about one round trip between regions plus the time
	// to read a message.
	window = 50 * time.Millisecond
	// maxLateness is the time after the planned end of a message for which the next ones wait for it. Its sender may have stopped.
	maxLateness = 500 * time.Millisecond
	// WideLinkRate is the link rate in bytes per second above which the target's slots limit large messages before the link
	// does.
	WideLinkRate = 100e6 / 8
)

// Inbound schedules large messages that arrive over a machine's link one after the other, so that small messages do not
// queue behind them. Senders ask for permission before they send. It is not safe for concurrent use. The zero value has no
// limit.
//
// Invariant: the link carries at most one reserved message at a time, in the order of the reservations, except that each is sent
// up to window early. A message that arrives later than planned shows that other traffic fills the link; the next ones wait for it, at
// most maxLateness.
type Inbound struct {
	rate float64
	// freeAt is the time at which the link will have carried all admitted messages.
	freeAt time.Time
	// waiting holds the reservations whose messages may not be sent yet, in order.
	waiting []*Reservation
	// arriving holds the reservations between Begin and End.
	arriving []*Reservation
	// heldBack is the time for which the reservations in waiting were moved back since a message is late.
	heldBack time.Duration
}

// Reservation is the turn of a message on a link.
type Reservation struct {
	// begin is the time at which the link is free for the message, transfer how long it carries it.
	begin    time.Time
	transfer time.Duration
	// latest is the time by which the message has to arrive.
	latest time.Time
	moved  chan struct{}
}

// Wait returns the time after which the message may be sent.
func (r *Reservation) Wait(now time.Time) time.Duration {
	return max(r.begin.Sub(now), window) - window
}

// Moved returns a channel that receives a value after Wait has become shorter.
func (r *Reservation) Moved() <-chan struct{} { return r.moved }

// notify makes Moved deliver a value.
func (r *Reservation) notify() {
	select {
	case r.moved <- struct{}{}:
	default: // a value is already there
	}
}

// NewInbound returns an Inbound for a link with the given rate in bytes per second. It has no limit if rate is unknown (0)
// or at least WideLinkRate.
func NewInbound(rate float64) *Inbound {
	if rate <= 0 || rate >= WideLinkRate {
		return &Inbound{}
	}
	return &Inbound{rate: linkShare * rate}
}

// SpareRate returns what large messages leave of a link, both in bytes per second; 0 if the rate is unknown.
func SpareRate(rate float64) float64 {
	if rate >= WideLinkRate {
		return rate
	}
	return (1 - linkShare) * rate
}

// Bounded reports whether large messages need permission.
func (i *Inbound) Bounded() bool { return i.rate > 0 }

// Wait returns the time after which a message announced now may be sent.
func (i *Inbound) Wait(now time.Time) time.Duration {
	i.holdBack(now)
	return max(i.freeAt.Sub(now), window) - window
}

// WaitFor returns the time after which the message of a reservation may be sent. It returns false if the message, which may have been
// moved back since the reservation, would arrive too late.
func (i *Inbound) WaitFor(now time.Time, r *Reservation) (wait time.Duration, inTime bool) {
	i.holdBack(now)
	wait = r.Wait(now)
	return wait, r.moved == nil || !now.Add(wait+r.transfer).After(r.latest.Add(window))
}

// Begin records that the message of a reservation is being sent. End must be called once it has arrived, or failed.
func (i *Inbound) Begin(now time.Time, r *Reservation) {
	if r.moved == nil { // not bounded
		return
	}
	i.dropStarted(now)
	i.arriving = append(i.arriving, r)
}

// End records that the message of a reservation has arrived, or will not.
func (i *Inbound) End(now time.Time, r *Reservation) {
	i.arriving = slices.DeleteFunc(i.arriving, func(other *Reservation) bool { return other == r })
	if i.heldBack == 0 || i.isLate(now) {
		return
	}
	if early := min(i.heldBack, i.nextBegin().Sub(now)); early > 0 {
		i.move(-early)
	}
	i.heldBack = 0
}

// holdBack moves the waiting messages back while one that should have arrived has not.
func (i *Inbound) holdBack(now time.Time) {
	if !i.isLate(now) {
		return
	}
	if delay := now.Add(2 * window).Sub(i.nextBegin()); delay > 0 {
		i.move(delay)
		i.heldBack += delay
	}
}

// isLate reports whether a message has not arrived although it was planned to.
func (i *Inbound) isLate(now time.Time) bool {
	return slices.ContainsFunc(i.arriving, func(r *Reservation) bool {
		late := now.Sub(r.begin.Add(r.transfer))
		return late > window && late <= maxLateness
	})
}

// nextBegin returns the time at which the next message begins, which may have no reservation yet.
func (i *Inbound) nextBegin() time.Time {
	if len(i.waiting) > 0 {
		return i.waiting[0].begin
	}
	return i.freeAt
}

// move changes the begin of all waiting messages, and of those without a reservation, by d.
func (i *Inbound) move(d time.Duration) {
	for _, r := range i.waiting {
		r.begin = r.begin.Add(d)
		if d < 0 {
			r.notify()
		}
	}
	i.freeAt = i.freeAt.Add(d)
}

// Reserve reserves the link for a message of the given size in bytes and returns the reservation, with the time after which the
// message may be sent. If the message would not have arrived by latest, Reserve reserves nothing and returns false, with the time
// after which to ask again.
func (i *Inbound) Reserve(now time.Time, bytes int64, latest time.Time) (*Reservation, time.Duration, bool) {
	if !i.Bounded() || bytes < LargeMessageBytes {
		return &Reservation{begin: now}, 0, true
	}
	wait := i.Wait(now)
	transfer := time.Duration(float64(bytes) / i.rate * float64(time.Second))
	if now.Add(wait + transfer).After(latest) {
		return nil, wait, false
	}
	if i.freeAt.Before(now) {
		i.freeAt = now
	}
	r := &Reservation{begin: i.freeAt, transfer: transfer, latest: latest, moved: make(chan struct{}, 1)}
	i.freeAt = i.freeAt.Add(transfer)
	i.dropStarted(now)
	if wait > 0 {
		i.waiting = append(i.waiting, r)
	}
	return r, wait, true
}

// Cancel gives up a reservation and moves the later ones up. It has no effect once the message may be sent.
func (i *Inbound) Cancel(now time.Time, r *Reservation) {
	i.dropStarted(now)
	at := slices.Index(i.waiting, r)
	if at < 0 {
		return
	}
	i.waiting = slices.Delete(i.waiting, at, at+1)
	next := r.begin
	for _, later := range i.waiting[at:] {
		later.begin = next
		next = next.Add(later.transfer)
		later.notify()
	}
	i.freeAt = next
}

// dropStarted drops the reservations whose messages may be sent from the list of those that wait.
func (i *Inbound) dropStarted(now time.Time) {
	n := 0
	for n < len(i.waiting) && i.waiting[n].Wait(now) == 0 {
		n++
	}
	i.waiting = slices.Delete(i.waiting, 0, n)
}
