// Package pacer limits the rate at which a process sends over a link shared with others, based on the delay of its small
// messages: the rate decreases by a factor while the link queues, and increases slowly otherwise. Processes that do so share
// the link evenly without coordination.
//
// The package is pure: the caller passes the time.
package pacer

import "time"

// Limits and intervals of the pacer.
const (
	// LargeMessageBytes is the size from which messages are paced. Smaller ones always pass, since they measure the delay.
	LargeMessageBytes = 8 << 10
	// fullLinkDelay is the queueing delay from which a link counts as full: the transfer time of a few large messages.
	fullLinkDelay = 100 * time.Millisecond
	// decreaseFactor is the fraction of the rate that remains after a full link is detected. Detections within
	// decreaseInterval, the time in which the last decrease takes effect, count once.
	decreaseFactor   = 0.6
	decreaseInterval = 250 * time.Millisecond
	// increasePerSecond is the fraction by which the rate grows per second while the link is not full, so that a halved rate
	// recovers within a few seconds.
	increasePerSecond = 0.25
	// minRate and maxRate limit the rate in bytes per second: one large message every few seconds, and more than any link in
	// use carries.
	minRate = 64 << 10
	maxRate = 32 << 20
	// burst is the time whose allowance may be sent at once.
	burst = 300 * time.Millisecond
	// delayWeight is the weight of one observation in the mean delay; baseDelayWindow is the time after which the base delay
	// of the link is measured again.
	delayWeight     = 0.3
	baseDelayWindow = 20 * time.Second
	// throughputWindow is the time over which the throughput is measured.
	throughputWindow = time.Second
)

// Pacer limits the bytes sent over one link. It is not safe for concurrent use. The zero value starts at maxRate.
type Pacer struct {
	rate   float64
	tokens float64
	last   time.Time
	// baseDelay is the lowest delay observed within about baseDelayWindow, delay the mean of recent observations.
	baseDelay, delay time.Duration
	baseDelayAt      time.Time
	decreasedAt      time.Time
	// sent is the number of bytes sent, decaying over throughputWindow; it approximates the throughput.
	sent float64
}

// advance updates the rate and the allowance for the time since the last call.
func (p *Pacer) advance(now time.Time) {
	if p.last.IsZero() {
		p.rate, p.tokens, p.last = maxRate, maxRate*burst.Seconds(), now
	}
	elapsed := now.Sub(p.last).Seconds()
	if elapsed <= 0 {
		return
	}
	p.last = now
	p.sent -= p.sent * min(elapsed/throughputWindow.Seconds(), 1)
	if now.Sub(p.decreasedAt) > decreaseInterval {
		p.rate = min(p.rate*(1+increasePerSecond*elapsed), maxRate)
	}
	p.tokens = min(p.tokens+p.rate*elapsed, p.rate*burst.Seconds())
}

// Observe records the round-trip delay of a small message.
func (p *Pacer) Observe(now time.Time, delay time.Duration) {
	p.advance(now)
	if p.baseDelay == 0 || delay < p.baseDelay || now.Sub(p.baseDelayAt) > baseDelayWindow {
		p.baseDelay, p.baseDelayAt = delay, now
	}
	p.delay += time.Duration(delayWeight * float64(delay-p.delay))
	if p.delay-p.baseDelay < fullLinkDelay || now.Sub(p.decreasedAt) < decreaseInterval {
		return
	}
	p.decreasedAt = now
	p.rate = max(decreaseFactor*min(p.rate, p.sent/throughputWindow.Seconds()), minRate)
	p.tokens = min(p.tokens, 0)
}

// QueueingDelay returns the current queueing delay of the link.
func (p *Pacer) QueueingDelay() time.Duration { return max(p.delay-p.baseDelay, 0) }

// Wait returns the time after which a message of the given size in bytes may be sent, or 0 if it may be sent now.
func (p *Pacer) Wait(now time.Time, bytes int) time.Duration {
	p.advance(now)
	if bytes < LargeMessageBytes || p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}

// RecordSent records that a message of the given size in bytes is sent. A large message may overdraw the allowance; later
// ones wait until it is positive again.
func (p *Pacer) RecordSent(now time.Time, bytes int) {
	p.advance(now)
	p.sent += float64(bytes)
	p.tokens -= float64(bytes)
}
