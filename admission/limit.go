package admission

import (
	"math"
	"time"
)

// Bounds of the limiter.
const (
	// successesPerSlot is the number of successes that each slot above the cold limit needs.
	successesPerSlot = 4
	// coldStreak is the number of slow answers in a row that mean a cold target.
	coldStreak = 6
	// goodFactor is the ratio to the mean up to which an answer shows that the target is not cold.
	goodFactor = 1.1
	// slowPart is the part of slow answers, against those in time, that belongs to a target's usual spread.
	slowPart = 1.0 / 4
	// Doubts add up while no good answer comes: 1 for a request over goodFactor, more for late and slow ones. holdDoubt
	// holds the limit at the cold one.
	lateDoubt = 3
	slowDoubt = 5
	holdDoubt = 5
)

// limiter holds the belief about how much the target bears.
//
// It works in two steps. Late requests, running or just ended, with no good answer to a later one, hold the limit at the cold one at once; the first good
// answer ends that, so a wrong suspicion costs little. Slow answers in a row, spread over more than a service time, begin a
// cold start; a stall of this process or of the target ends all answers together and does not count.
type limiter struct {
	slots, coldSlots int
	coldPeriod       time.Duration
	baseline         baseline
	// since is the first success of this cold start; zero before it.
	since     time.Time
	successes int
	warm      bool
	// goodStart is the latest start of a request with a good answer.
	goodStart time.Time
	// streak counts slow answers since the last good one; the first of them came at streakSince.
	streak      int
	streakSince time.Time
	// doubt is the doubt of answers since the last good one.
	doubt int
	// credit lets a slow answer into the baseline once it reaches 1.
	credit float64
	// held says that late requests hold the limit at the cold one.
	held bool
	// colds counts the cold starts that were noticed without announcement.
	colds uint64
}

// reset begins a cold start.
func (l *limiter) reset() {
	l.since = time.Time{}
	l.successes = 0
	l.warm = false
	l.streak = 0
	l.credit = 0
	l.doubt = 0
	l.held = false
	l.baseline.reset()
}

// limit returns the number of requests that may be in flight.
func (l *limiter) limit(now time.Time) int {
	n := l.ramp(now)
	if l.held {
		n = min(n, l.coldSlots)
	}
	return n
}

func (l *limiter) ramp(now time.Time) int {
	if l.warm {
		return l.slots
	}
	if l.since.IsZero() {
		return l.coldSlots
	}
	n := l.coldSlots + min(l.byTime(now), l.successes/successesPerSlot)
	l.warm = n >= l.slots && now.Sub(l.since) >= l.coldPeriod
	return min(n, l.slots)
}

// byTime returns the slots above the cold limit that the time since the first success allows.
func (l *limiter) byTime(now time.Time) int {
	rise := l.slots - l.coldSlots
	if now.Sub(l.since) >= l.coldPeriod {
		return rise
	}
	return int(float64(rise) * float64(now.Sub(l.since)) / float64(l.coldPeriod))
}

func (l *limiter) phase(now time.Time) Phase {
	l.ramp(now)
	switch {
	case l.held:
		return Suspect
	case l.warm:
		return Warm
	case l.since.IsZero():
		return Cold
	}
	return Warming
}

// success counts a whole answer towards the ramp.
func (l *limiter) success(now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
	l.successes = min(l.successes+1, successesPerSlot*l.slots)
}

// observe takes the latency in seconds of an answer, relative to the request's cost.
func (l *limiter) observe(now time.Time, e *entry, latency float64) {
	l.acquit(e, latency)
	l.doubt += l.weigh(e, latency)
	if latency < l.baseline.slowAfter(e.kind) {
		l.credit = min(1, l.credit+slowPart)
		l.baseline.learn(e.kind, latency)
		return
	}
	if l.evidence(e) {
		l.suspect(now, e)
	}
	if l.credit >= 1 {
		l.credit = 0
		l.baseline.learn(e.kind, latency)
	}
}

// acquit ends a suspicion for an answer that only a warm target gives.
func (l *limiter) acquit(e *entry, latency float64) {
	if e.kind.samples == 0 || latency <= goodFactor*e.kind.mean {
		l.streak = 0
		l.doubt = 0
		l.goodStart = later(l.goodStart, e.started)
	}
}

// evidence reports whether a late request speaks against the target: none that started after it got a good answer.
func (l *limiter) evidence(e *entry) bool { return e.started.After(l.goodStart) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// suspect takes one slow answer, or one refusal by the target, as evidence of a cold start.
func (l *limiter) suspect(now time.Time, e *entry) {
	if l.streak == 0 {
		l.streakSince = now
	}
	l.streak++
	if l.streak >= coldStreak && now.Sub(l.streakSince).Seconds() >= e.kind.mean {
		l.colds++
		l.reset()
	}
}

// weigh returns how much an answer, or a request without one, of that latency in seconds speaks for a cold target.
func (l *limiter) weigh(e *entry, latency float64) int {
	if !l.evidence(e) || latency <= goodFactor*e.kind.mean || latency < lateFloor.Seconds() {
		return 0
	}
	late := l.baseline.lateAfter(e.kind)
	switch {
	case math.IsInf(late, 1):
		return 0
	case latency >= max(late, slowFactor*e.kind.mean):
		return slowDoubt
	case latency >= late:
		return lateDoubt
	}
	return 1
}

// hold judges by the doubt that the requests in flight add to that of the answers.
func (l *limiter) hold(inFlight int) { l.held = l.streak > 0 || l.doubt+inFlight >= holdDoubt }
