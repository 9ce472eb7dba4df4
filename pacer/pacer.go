// Package pacer bounds the bytes that a process sends over a link that it shares with others, by the delay that its small messages
// meet there: the rate falls by a part while the link queues, and rises slowly while it does not. Processes that do so share the
// link evenly without a word between them.
//
// The package is pure: the caller passes the time.
package pacer

import "time"

// Figures of the pacer.
const (
	// Large is the size in bytes from which on a message is held to the rate. Smaller ones pass, since they show the delay.
	Large = 8 << 10
	// queueing is the delay above the link's own from which on it counts as full: a few large messages of one link's time.
	queueing = 100 * time.Millisecond
	// cut is what is left of the rate after a sign of a full link; signs within cutInterval, the time in which the last cut shows,
	// count once.
	cut         = 0.6
	cutInterval = 250 * time.Millisecond
	// rise is the part by which the rate grows in a second without such a sign, so that a halved rate is back in some seconds.
	rise = 0.25
	// minRate and maxRate bound the rate in bytes a second: a large message every few seconds, and more than any link here carries.
	minRate = 64 << 10
	maxRate = 32 << 20
	// burst is the time whose bytes may be sent at once.
	burst = 300 * time.Millisecond
	// follow is the weight of one observation in the delay, settle the time in which the link's own delay is learnt anew.
	follow = 0.3
	settle = 20 * time.Second
	// measure is the time over which the throughput is taken.
	measure = time.Second
)

// Pacer bounds what is sent over one link. It is not safe for concurrent use. The zero value allows maxRate.
type Pacer struct {
	rate   float64
	tokens float64
	last   time.Time
	// own is the least delay seen of late, delay the present one.
	own, delay time.Duration
	ownAt      time.Time
	cutAt      time.Time
	// sent decays over measure and so follows the throughput.
	sent float64
}

// advance adds what the time since the last call allows.
func (p *Pacer) advance(now time.Time) {
	if p.last.IsZero() {
		p.rate, p.tokens, p.last = maxRate, maxRate*burst.Seconds(), now
	}
	passed := now.Sub(p.last).Seconds()
	if passed <= 0 {
		return
	}
	p.last = now
	p.sent -= p.sent * min(passed/measure.Seconds(), 1)
	if now.Sub(p.cutAt) > cutInterval {
		p.rate = min(p.rate*(1+rise*passed), maxRate)
	}
	p.tokens = min(p.tokens+p.rate*passed, p.rate*burst.Seconds())
}

// Observe notes the delay that a small message met, there and back.
func (p *Pacer) Observe(now time.Time, delay time.Duration) {
	p.advance(now)
	if p.own == 0 || delay < p.own || now.Sub(p.ownAt) > settle {
		p.own, p.ownAt = delay, now
	}
	p.delay += time.Duration(follow * float64(delay-p.delay))
	if p.delay-p.own < queueing || now.Sub(p.cutAt) < cutInterval {
		return
	}
	p.cutAt = now
	p.rate = max(cut*min(p.rate, p.sent/measure.Seconds()), minRate)
	p.tokens = min(p.tokens, 0)
}

// Delay returns the queueing delay that messages meet now.
func (p *Pacer) Delay() time.Duration { return max(p.delay-p.own, 0) }

// Wait returns the time after which a message may be sent; 0 if it may be now.
func (p *Pacer) Wait(now time.Time, bytes int) time.Duration {
	p.advance(now)
	if bytes < Large || p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}

// Sent notes a message that is sent. A large one may overdraw what is allowed, and the next ones wait for it.
func (p *Pacer) Sent(now time.Time, bytes int) {
	p.advance(now)
	p.sent += float64(bytes)
	p.tokens -= float64(bytes)
}
