package admission

import (
	"math"
	"time"
)

// Bounds of the limiter.
const (
	// successesPerSlot is the number of successes that each slot above the cold limit needs.
	successesPerSlot = 4
	// baselineSamples is the number of latencies that make a baseline.
	baselineSamples = 32
	// slowFactor and slowDeviations say from which latency on an answer is slow, against the baseline.
	slowFactor     = 4
	slowDeviations = 5
	// slowFloor is the least latency that counts as slow.
	slowFloor = 20 * time.Millisecond
	// suspectStreak slow answers in a row halve the limit; coldStreak of them mean that the target has turned cold.
	suspectStreak = 2
	coldStreak    = 4
	// latencyGain is the part of a new sample in the moving averages.
	latencyGain = 1.0 / 16
)

// limiter holds the belief about how much the target bears.
type limiter struct {
	slots, coldSlots int
	coldPeriod       time.Duration
	// since is the first success of this cold start; zero before it.
	since     time.Time
	successes int
	warm      bool
	// squeeze is a lower limit while slow answers raise a suspicion; 0 means none.
	squeeze   int
	streak    int
	samples   int
	mean, dev float64 // seconds
	// colds counts the cold starts that were noticed without announcement.
	colds uint64
}

// reset begins a cold start.
func (l *limiter) reset() {
	l.since = time.Time{}
	l.successes = 0
	l.warm = false
	l.squeeze = 0
	l.streak = 0
	l.samples = 0
}

// limit returns the number of requests that may be in flight.
func (l *limiter) limit(now time.Time) int {
	n := l.ramp(now)
	if l.squeeze > 0 {
		n = min(n, l.squeeze)
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
	if n >= l.slots && l.coldPeriod <= now.Sub(l.since) {
		l.warm = true
	}
	return min(n, l.slots)
}

// byTime returns the slots above the cold limit that the time since the first success allows.
func (l *limiter) byTime(now time.Time) int {
	rise := l.slots - l.coldSlots
	if l.coldPeriod <= 0 || now.Sub(l.since) >= l.coldPeriod {
		return rise
	}
	return int(float64(rise) * float64(now.Sub(l.since)) / float64(l.coldPeriod))
}

func (l *limiter) phase(now time.Time) Phase {
	l.ramp(now)
	switch {
	case l.warm:
		return Warm
	case l.since.IsZero():
		return Cold
	}
	return Warming
}

// slowAt returns the latency in seconds from which on an answer is slow; infinite before there is a baseline.
func (l *limiter) slowAt() float64 {
	if l.samples < baselineSamples {
		return math.Inf(1)
	}
	return max(slowFloor.Seconds(), slowFactor*l.mean, l.mean+slowDeviations*l.dev)
}

// success counts a whole answer towards the ramp.
func (l *limiter) success(now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
	l.successes = min(l.successes+1, successesPerSlot*l.slots)
}

// observe takes a latency in seconds, relative to the request's cost.
func (l *limiter) observe(now time.Time, seconds float64) {
	if seconds >= l.slowAt() {
		l.suspect(now)
		return
	}
	l.streak = 0
	if l.squeeze > 0 {
		l.squeeze++
		if l.squeeze >= l.slots {
			l.squeeze = 0
		}
	}
	l.learn(seconds)
}

func (l *limiter) learn(seconds float64) {
	if l.samples == 0 {
		l.mean, l.dev = seconds, seconds/2
	}
	gain := max(latencyGain, 1/float64(l.samples+1))
	l.samples = min(l.samples+1, baselineSamples)
	l.dev += gain * (math.Abs(seconds-l.mean) - l.dev)
	l.mean += gain * (seconds - l.mean)
}

// suspect takes one piece of evidence that the target is cold.
func (l *limiter) suspect(now time.Time) {
	l.streak++
	switch {
	case l.streak >= coldStreak:
		l.colds++
		l.reset()
	case l.streak >= suspectStreak:
		l.squeeze = max(l.coldSlots, l.limit(now)/2)
	}
}
