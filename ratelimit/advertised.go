// Package ratelimit decides when requests may start at a target that limits their rate.
//
// The package does no I/O and reads no clock: the caller passes the time.
package ratelimit

import "time"

// Limit is an upper bound on the rate of requests. The zero value is no limit.
type Limit struct {
	// PerSecond is the number of requests per second that a limited target accepts from all callers together; it may be 0.
	PerSecond float64
	// Limited reports whether there is a limit.
	Limited bool
}

// Advertised is the limit that a target states in its responses. The zero value is no limit. It is not safe for concurrent use.
type Advertised struct {
	limit Limit
	// statedAt is the arrival of the latest response that stated a limit.
	statedAt time.Time
}

// Limit returns the limit in force.
func (a *Advertised) Limit() Limit { return a.limit }

// StatedAt returns the arrival of the latest response that stated a limit.
func (a *Advertised) StatedAt() time.Time { return a.statedAt }

// Observe records what the response to a request sent at sent states, and reports whether the limit in force has changed. A response
// that states no limit ends the one in force, unless its request was sent before the latest statement of a limit arrived: responses
// may arrive out of order.
func (a *Advertised) Observe(sent, now time.Time, stated Limit) bool {
	if !stated.Limited && a.limit.Limited && !sent.After(a.statedAt) {
		return false
	}
	if stated.Limited {
		a.statedAt = now
	}
	changed := a.limit != stated
	a.limit = stated
	return changed
}

// Reset removes the limit, for example since another target has taken the place of the one that stated it.
func (a *Advertised) Reset() { *a = Advertised{} }
