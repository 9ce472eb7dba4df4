// Package retry decides whether a failed attempt of a request is followed by another one.
//
// Decisions are pure: time and randomness come in as arguments, and the caller serializes. No request is hedged.
//
// Invariants:
//   - A request that may not be repeated is sent again only if the last attempt is proven not to have run.
//   - The attempts of a request and of all calls nested in it are counted together: there are at most MaxRetries retries
//     in the whole tree, as long as calls are made one after another and answers bring the count back.
//   - Over time, retries are at most Ratio of successes plus Burst.
//   - A retry begins only with MinUseful or more left until the deadline.
package retry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// Bounds of retries.
const (
	// MaxRetries is the number of retries for one request, nested calls included.
	MaxRetries = 3
	// MaxDepth is the number of nested calls through which the count is carried.
	MaxDepth = 8
	// Ratio is the part of successes that may be retried.
	Ratio = 0.1
	// Burst is the number of retries allowed without earlier successes.
	Burst = 10
	// MinUseful is the least time left that makes an attempt worthwhile.
	MinUseful = 5 * time.Millisecond
	// minAttempt is the least time that an attempt is given while another one may follow.
	minAttempt = 100 * time.Millisecond
	// backoffBase is the mean delay before the second retry; each further one doubles it. The first is sent at once, to
	// another target.
	backoffBase = 10 * time.Millisecond
	// tokenUnit is the cost of a retry in tokens; a success earns Ratio of it.
	tokenUnit = 1.0
)

// Hop is how far the next process is.
type Hop uint8

// The hops.
const (
	SameInstance Hop = iota
	SameRegion
	AcrossRegions
)

// allowance is the time for a hop there and back, kept from the time passed on.
func (h Hop) allowance() time.Duration {
	switch h {
	case SameInstance:
		return 0
	case SameRegion:
		return 4 * time.Millisecond
	}
	return 26 * time.Millisecond
}

// Timeout returns the time to pass on to the next process: what is left until the deadline less the hop's allowance, at
// least 0.
func Timeout(now, deadline time.Time, hop Hop) time.Duration {
	return max(0, deadline.Sub(now)-hop.allowance())
}

// AttemptTimeout returns the time until the head of an answer after which an attempt is given up, so that another one still
// fits before the deadline: half of what is left. It is all that is left for a request that may not be sent again, and
// for the last attempt.
func AttemptTimeout(now, deadline time.Time, repeat catalogue.Repeat, retries Count) time.Duration {
	left := max(0, deadline.Sub(now))
	if repeat != catalogue.Safe || retries >= MaxRetries || left < 2*minAttempt {
		return left
	}
	return left / 2
}

// Budget is the retry budget of one process for one service. Create it with NewBudget.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Succeeded earns a part of a retry.
func (b *Budget) Succeeded() { b.tokens = min(Burst, b.tokens+Ratio*tokenUnit) }

// Left returns the number of retries that the budget allows now.
func (b *Budget) Left() int { return int(b.tokens / tokenUnit) }

// take spends one retry.
func (b *Budget) take() bool {
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}

// Count is the number of retries spent for a request so far, by all processes that its calls passed.
type Count int

// Absorb takes in the count that came back with an answer.
func (c Count) Absorb(answered Count) Count { return max(c, answered) }

// Failure is a failed attempt.
type Failure struct {
	// Repeat is the route's word on repetition.
	Repeat catalogue.Repeat
	// NotRun says that the attempt is proven not to have reached a target.
	NotRun bool
	// BodyGone says that the request's body was consumed and can't be sent again.
	BodyGone bool
	// Final says that another target would not answer otherwise, as for a request that is malformed or too large.
	Final bool
	// Retries is the number spent so far, nested calls included.
	Retries Count
	// Deadline is the end of the request's time.
	Deadline time.Time
}

// Reason is the cause of a decision.
type Reason string

// The reasons.
const (
	// NotRun retries because the attempt did not run.
	NotRun Reason = "not-run"
	// Idempotent retries because the route is safe to repeat.
	Idempotent Reason = "idempotent"
	// MayHaveRun refuses because the request may have run and must not be repeated.
	MayHaveRun Reason = "may-have-run"
	// NoBody refuses because the body is gone.
	NoBody Reason = "body-consumed"
	// Pointless refuses because every target would answer the same.
	Pointless Reason = "final-answer"
	// NoAttempts refuses because the request's retries are spent.
	NoAttempts Reason = "attempts-spent"
	// NoTime refuses because the deadline is too near.
	NoTime Reason = "deadline"
	// NoBudget refuses because too many requests are being retried.
	NoBudget Reason = "budget-spent"
)

// Remedy returns what the caller can do after a refusal; it is empty for a retry.
func (r Reason) Remedy() string {
	switch r {
	case MayHaveRun:
		return "ask the service whether the request ran, or send it again with the same Idempotency-Key"
	case NoBody:
		return "send the request again; its body was too large to be kept"
	case Pointless:
		return "correct the request"
	case NoAttempts, NoBudget:
		return "retry after a backoff of a second or more"
	case NoTime:
		return "allow a longer timeout"
	}
	return ""
}

// Decision says whether to retry.
type Decision struct {
	Retry  bool
	Reason Reason
	// After is the delay before the retry.
	After time.Duration
	// Retries is the count to send with the next attempt.
	Retries Count
}

// String returns the decision for logs.
func (d Decision) String() string {
	if d.Retry {
		return fmt.Sprintf("retry after %s (%s)", d.After, d.Reason)
	}
	return fmt.Sprintf("no retry (%s)", d.Reason)
}

// Decide decides on a failed attempt. It spends one retry of the budget if the answer is yes.
func Decide(now time.Time, rng *rand.Rand, b *Budget, f Failure) Decision {
	no := func(r Reason) Decision { return Decision{Reason: r, Retries: f.Retries} }
	switch {
	case !f.NotRun && f.Repeat != catalogue.Safe:
		return no(MayHaveRun)
	case f.Final:
		return no(Pointless)
	case f.BodyGone:
		return no(NoBody)
	case f.Retries >= MaxRetries:
		return no(NoAttempts)
	}
	after := backoff(rng, f.Retries)
	if f.Deadline.Sub(now) < after+MinUseful {
		return no(NoTime)
	}
	if !b.take() {
		return no(NoBudget)
	}
	reason := Idempotent
	if f.NotRun {
		reason = NotRun
	}
	return Decision{Retry: true, Reason: reason, After: after, Retries: f.Retries + 1}
}

// backoff returns a random delay between half and one and a half of the mean for the retry that follows n earlier ones.
func backoff(rng *rand.Rand, n Count) time.Duration {
	if n <= 0 {
		return 0
	}
	mean := backoffBase << (min(n, MaxRetries) - 1)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}
