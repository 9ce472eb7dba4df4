// Package retrybudget limits the retries that a process sends to a service, so that the retries of all processes stay within a
// fraction of the service's requests.
//
// The package is pure: the caller passes the time.
package retrybudget

import "time"

// Limits are the limits of a retry budget.
type Limits struct {
	// Ratio is the number of retries allowed per request within Window.
	Ratio float64
	// Slack is the number of retries allowed per Window in addition.
	Slack  float64
	Window time.Duration
}

// buckets is the number of steps in which a window slides.
const buckets = 10

// bucket counts the requests and retries of one step of the sliding window.
type bucket struct {
	step              int64
	requests, retries float64
}

// Budget counts the requests and retries for one service. It is not safe for concurrent use.
//
// Invariant: the retries allowed within any Window are at most Slack plus Ratio times the requests of that window.
type Budget struct{ ring [buckets + 1]bucket }

// RecordRequest counts a request. Its first attempt must not be taken from the budget.
func (b *Budget) RecordRequest(now time.Time, l Limits) { b.at(now, l).requests++ }

// AllowRetry reports whether one more retry is allowed, and counts it if so.
func (b *Budget) AllowRetry(now time.Time, l Limits) bool {
	step := stepOf(now, l)
	var requests, retries float64
	for i := range b.ring {
		if c := &b.ring[i]; c.step > step-buckets-1 && c.step <= step {
			retries += c.retries
			if c.step > step-buckets {
				requests += c.requests
			}
		}
	}
	if retries+1 > l.Slack+l.Ratio*requests {
		return false
	}
	b.at(now, l).retries++
	return true
}

// stepOf returns the number of the step that contains now.
func stepOf(now time.Time, l Limits) int64 { return now.UnixNano() / int64(l.Window/buckets) }

// at returns the bucket of the step that contains now, emptied if it held an earlier step.
func (b *Budget) at(now time.Time, l Limits) *bucket {
	step := stepOf(now, l)
	c := &b.ring[step%int64(len(b.ring))]
	if c.step != step {
		*c = bucket{step: step}
	}
	return c
}
