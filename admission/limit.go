package admission

import (
	"math"
	"time"
)

// Thresholds of the limiter.
const (
	// successesPerSlot is the number of successes required for each slot above the cold limit.
	successesPerSlot = 4
	// slowStreakLimit is the number of consecutive slow answers at which the target counts as cold.
	slowStreakLimit = 6
	// normalFactor is the ratio to the mean latency up to which an answer is normal, which shows that the target is not
	// cold.
	normalFactor = 1.1
	// slowRatio is the ratio of slow answers to those in time that belongs to a target's usual spread.
	slowRatio = 1.0 / 4
	// Suspicion accumulates until an answer has normal latency: 1 for each request over normalFactor, lateSuspicion or
	// slowSuspicion for late and slow ones. From capLevel on, the limit is capped at the cold limit.
	lateSuspicion = 3
	slowSuspicion = 5
	capLevel      = 5
)

// limiter estimates how many requests the target can run at once.
//
// It reacts in two steps. Late requests, running or just ended, cap the limit at the cold one at once, unless a request
// started after them had a normal answer; the first normal answer lifts the cap, so a false suspicion costs little.
// Consecutive slow answers that are spread over more than a service time begin a cold start; a stall of this process or of
// the target delays all answers together and does not count.
type limiter struct {
	slots, coldSlots int
	coldPeriod       time.Duration
	baseline         baseline
	// rampStart is the time of the first success of this cold start; zero before it.
	rampStart time.Time
	successes int
	warm      bool
	// normalStart is the latest start time of a request whose answer was normal.
	normalStart time.Time
	// streak counts slow answers since the last normal one; the first of them ended at streakSince.
	streak      int
	streakSince time.Time
	// suspicion is the sum for the answers since the last normal one.
	suspicion int
	// slowCredit allows a slow answer to be added to the baseline once it reaches 1.
	slowCredit float64
	// capped is set while late requests cap the limit at the cold one.
	capped bool
	// detectedColdStarts counts the cold starts that were detected from latencies or refusals, without an announcement.
	detectedColdStarts uint64
}

// reset begins a cold start.
func (l *limiter) reset() {
	l.rampStart = time.Time{}
	l.successes = 0
	l.warm = false
	l.streak = 0
	l.slowCredit = 0
	l.suspicion = 0
	l.capped = false
	l.baseline.reset()
}

// limit returns the number of requests that may be in flight.
func (l *limiter) limit(now time.Time) int {
	n := l.rampLimit(now)
	if l.capped {
		n = min(n, l.coldSlots)
	}
	return n
}

func (l *limiter) rampLimit(now time.Time) int {
	if l.warm {
		return l.slots
	}
	if l.rampStart.IsZero() {
		return l.coldSlots
	}
	n := l.coldSlots + min(l.slotsByTime(now), l.successes/successesPerSlot)
	l.warm = n >= l.slots && now.Sub(l.rampStart) >= l.coldPeriod
	return min(n, l.slots)
}

// slotsByTime returns the number of slots above the cold limit that the time since the first success allows.
func (l *limiter) slotsByTime(now time.Time) int {
	rise := l.slots - l.coldSlots
	if now.Sub(l.rampStart) >= l.coldPeriod {
		return rise
	}
	return int(float64(rise) * float64(now.Sub(l.rampStart)) / float64(l.coldPeriod))
}

func (l *limiter) phase(now time.Time) Phase {
	l.rampLimit(now)
	switch {
	case l.capped:
		return Suspect
	case l.warm:
		return Warm
	case l.rampStart.IsZero():
		return Cold
	}
	return Warming
}

// recordSuccess counts a complete answer towards the ramp.
func (l *limiter) recordSuccess(now time.Time) {
	if l.rampStart.IsZero() {
		l.rampStart = now
	}
	l.successes = min(l.successes+1, successesPerSlot*l.slots)
}

// observe records the latency of an answer, in seconds and divided by the request's cost.
func (l *limiter) observe(now time.Time, e *entry, latency float64) {
	l.clearSuspicion(e, latency)
	l.suspicion += l.suspicionOf(e, latency)
	if latency < l.baseline.slowThreshold(e.kind) {
		l.slowCredit = min(1, l.slowCredit+slowRatio)
		l.baseline.record(e.kind, latency)
		return
	}
	if l.isEvidence(e) {
		l.recordSlow(now, e)
	}
	if l.slowCredit >= 1 {
		l.slowCredit = 0
		l.baseline.record(e.kind, latency)
	}
}

// clearSuspicion discards all suspicion if the answer's latency is normal, which only a warm target achieves.
func (l *limiter) clearSuspicion(e *entry, latency float64) {
	if e.kind.samples == 0 || latency <= normalFactor*e.kind.mean {
		l.streak = 0
		l.suspicion = 0
		l.normalStart = later(l.normalStart, e.started)
	}
}

// isEvidence reports whether a late request indicates a cold target: no request that started after it had a normal
// answer.
func (l *limiter) isEvidence(e *entry) bool { return e.started.After(l.normalStart) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordSlow counts one slow answer, or one refusal by the target, as evidence of a cold start.
func (l *limiter) recordSlow(now time.Time, e *entry) {
	if l.streak == 0 {
		l.streakSince = now
	}
	l.streak++
	if l.streak >= slowStreakLimit && now.Sub(l.streakSince).Seconds() >= e.kind.mean {
		l.detectedColdStarts++
		l.reset()
	}
}

// suspicionOf returns the suspicion that a latency in seconds adds, of an answer or of a request still in flight.
func (l *limiter) suspicionOf(e *entry, latency float64) int {
	if !l.isEvidence(e) || latency <= normalFactor*e.kind.mean || latency < lateFloor.Seconds() {
		return 0
	}
	late := l.baseline.lateThreshold(e.kind)
	switch {
	case math.IsInf(late, 1):
		return 0
	case latency >= max(late, slowFactor*e.kind.mean):
		return slowSuspicion
	case latency >= late:
		return lateSuspicion
	}
	return 1
}

// setCap caps the limit during a streak of slow answers, or while the suspicion from answers plus that from running
// requests reaches capLevel.
func (l *limiter) setCap(running int) { l.capped = l.streak > 0 || l.suspicion+running >= capLevel }
