package ratelimit

import "time"

// maxSpacing is the longest time between two starts that a limiter computes with. No request waits that long.
const maxSpacing = time.Hour

// Limiter bounds the rate of starts by a limit (generic cell rate algorithm). It is not safe for concurrent use.
//
// Invariant: while the limit is r per second, at most r*(t+burst)+1 requests start within any t.
type Limiter struct {
	limit Limit
	// burst is the time for which unused starts are kept.
	burst time.Duration
	// even is the time of the next start if starts were evenly spaced.
	even time.Time
}

// NewLimiter returns a limiter without a limit. After an idle time, as many requests may start at once as the limit allows within
// burst, and one more.
func NewLimiter(burst time.Duration) *Limiter { return &Limiter{burst: burst} }

// Limited reports whether there is a limit.
func (l *Limiter) Limited() bool { return l.limit.Limited }

// SetLimit changes the limit. Starts that were ahead of the former limit are as many starts ahead of the new one.
func (l *Limiter) SetLimit(now time.Time, limit Limit) {
	if ahead := l.even.Sub(now); l.limit.Limited && limit.Limited && ahead > 0 {
		starts := float64(ahead) / float64(l.limit.spacing())
		l.even = now.Add(time.Duration(starts * float64(limit.spacing())))
	}
	if !limit.Limited {
		l.even = time.Time{}
	}
	l.limit = limit
}

// Ready reports whether a request may start now.
func (l *Limiter) Ready(now time.Time) bool { return l.Wait(now, 0) <= 0 }

// Start counts a request that starts now.
func (l *Limiter) Start(now time.Time) {
	if !l.limit.Limited {
		return
	}
	if l.even.Before(now) {
		l.even = now
	}
	l.even = l.even.Add(l.limit.spacing())
}

// Wait returns the time until a request may start that is preceded by ahead others. It is 0 or less if that is now.
func (l *Limiter) Wait(now time.Time, ahead int) time.Duration {
	switch {
	case !l.limit.Limited:
		return 0
	case l.limit.PerSecond <= 0:
		return maxSpacing
	}
	even := now
	if l.even.After(now) {
		even = l.even
	}
	return even.Add(-l.burst).Sub(now) + l.limit.spacing()*time.Duration(ahead)
}

// Spacing returns the time between evenly spaced starts, or 0 without a limit.
func (l *Limiter) Spacing() time.Duration {
	if !l.limit.Limited {
		return 0
	}
	return l.limit.spacing()
}

// Available returns how many of n requests may start now.
func (l *Limiter) Available(now time.Time, n int) int {
	if !l.limit.Limited {
		return n
	}
	wait := l.Wait(now, 0)
	if wait > 0 {
		return 0
	}
	return int(min(float64(-wait)/float64(max(l.limit.spacing(), 1))+1, float64(n)))
}

// spacing returns the time between evenly spaced starts, at most maxSpacing.
func (l Limit) spacing() time.Duration {
	return time.Duration(min(float64(time.Second)/max(l.PerSecond, 0), float64(maxSpacing)))
}
