// Package retry decides whether a failed attempt of a request is retried.
//
// Its functions do no I/O: time and randomness are arguments, and the caller must serialize all calls that use the same
// Budget. No request is hedged.
//
// Invariants:
//   - A request that is not safe to retry is sent again only if the last attempt is proven not to have run.
//   - The attempts of a request and of all calls nested in it are counted together: there are at most MaxRetries retries
//     in the whole tree, provided that calls are made one after another and answers return the count.
//   - Over time, retries are at most Ratio times the successes plus Burst.
//   - A retry begins only with MinTimeLeft or more left until the deadline.
package retry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// Limits and intervals of retries.
const (
	// MaxRetries is the number of retries for one request, nested calls included.
	MaxRetries = 3
	// MaxDepth is the number of nested calls through which the count is passed on.
	MaxDepth = 8
	// Ratio is the number of retries that each success adds to the budget.
	Ratio = 0.1
	// Burst is the number of retries allowed without earlier successes.
	Burst = 10
	// MinTimeLeft is the least time until the deadline with which a retry is made.
	MinTimeLeft = 5 * time.Millisecond
	// minAttemptTime is the shortest timeout of an attempt that may be followed by a retry.
	minAttemptTime = 100 * time.Millisecond
	// backoffBase is the mean delay before the second retry; each further one doubles it. The first retry is sent at
	// once, to another target.
	backoffBase = 10 * time.Millisecond
	// retryCost is the cost of a retry in tokens; a success earns Ratio of it.
	retryCost = 1.0
)

// Hop is the distance to the next process.
type Hop uint8

// The hops, shortest first.
const (
	SameInstance Hop = iota
	SameRegion
	AcrossRegions
)

// allowance returns the time for a round trip over the hop, which is subtracted from the timeout passed on.
func (h Hop) allowance() time.Duration {
	switch h {
	case SameInstance:
		return 0
	case SameRegion:
		return 4 * time.Millisecond
	}
	return 26 * time.Millisecond
}

// Timeout returns the timeout to pass on to the next process: the time until the deadline less the hop's allowance, at
// least 0.
func Timeout(now, deadline time.Time, hop Hop) time.Duration {
	return max(0, deadline.Sub(now)-hop.allowance())
}

// AttemptTimeout returns the timeout for the head of an attempt's answer. It is half of the time until the deadline, so
// that a retry still fits. It is all of the time for a request that is not safe to retry, for the last attempt, and if
// half would be less than minAttemptTime.
func AttemptTimeout(now, deadline time.Time, policy catalogue.RetryPolicy, retries Count) time.Duration {
	left := max(0, deadline.Sub(now))
	if policy != catalogue.RetrySafe || retries >= MaxRetries || left < 2*minAttemptTime {
		return left
	}
	return left / 2
}

// Budget is the retry budget of one process for one service. Create it with NewBudget.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// RecordSuccess records a success, which adds Ratio of a retry to the budget.
func (b *Budget) RecordSuccess() { b.tokens = min(Burst, b.tokens+Ratio*retryCost) }

// Remaining returns the number of retries that the budget allows now.
func (b *Budget) Remaining() int { return int(b.tokens / retryCost) }

// take spends one retry and reports whether the budget allowed it.
func (b *Budget) take() bool {
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}

// Count is the number of retries spent for a request so far, by all processes on its path.
type Count int

// Merge returns the count updated with the one that an answer returned.
func (c Count) Merge(answered Count) Count { return max(c, answered) }

// Failure describes a failed attempt.
type Failure struct {
	// Retry is the retry policy of the route.
	Retry catalogue.RetryPolicy
	// NotRun is set if the attempt is proven not to have reached a target.
	NotRun bool
	// BodyConsumed is set if the request's body was consumed and can't be sent again.
	BodyConsumed bool
	// Final is set if any other target would return the same answer, as for a request that is malformed or too large.
	Final bool
	// Retries is the number of retries spent so far, nested calls included.
	Retries Count
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// Reason is the cause of a decision.
type Reason string

// Reasons for and against a retry.
const (
	// NotRun allows a retry because the attempt did not run.
	NotRun Reason = "not-run"
	// Idempotent allows a retry because the route is safe to retry.
	Idempotent Reason = "idempotent"
	// MayHaveRun refuses because the request may have run and is not safe to retry.
	MayHaveRun Reason = "may-have-run"
	// BodyConsumed refuses because the body can't be sent again.
	BodyConsumed Reason = "body-consumed"
	// FinalAnswer refuses because every target would return the same answer.
	FinalAnswer Reason = "final-answer"
	// AttemptsSpent refuses because the request's retries are spent.
	AttemptsSpent Reason = "attempts-spent"
	// DeadlineTooNear refuses because less than MinTimeLeft would remain after the back-off.
	DeadlineTooNear Reason = "deadline"
	// BudgetSpent refuses because too many requests are being retried.
	BudgetSpent Reason = "budget-spent"
)

// Remedy returns what the caller can do after a refusal; it is empty for a retry.
func (r Reason) Remedy() string {
	switch r {
	case MayHaveRun:
		return "ask the service whether the request ran, or send it again with the same Idempotency-Key"
	case BodyConsumed:
		return "send the request again; its body was too large to be kept"
	case FinalAnswer:
		return "correct the request"
	case AttemptsSpent, BudgetSpent:
		return "retry after a backoff of a second or more"
	case DeadlineTooNear:
		return "allow a longer timeout"
	}
	return ""
}

// Decision is the result of Decide.
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

// Decide decides whether a failed attempt is retried. A retry spends one from the budget.
func Decide(now time.Time, rng *rand.Rand, b *Budget, f Failure) Decision {
	refuse := func(r Reason) Decision { return Decision{Reason: r, Retries: f.Retries} }
	switch {
	case !f.NotRun && f.Retry != catalogue.RetrySafe:
		return refuse(MayHaveRun)
	case f.Final:
		return refuse(FinalAnswer)
	case f.BodyConsumed:
		return refuse(BodyConsumed)
	case f.Retries >= MaxRetries:
		return refuse(AttemptsSpent)
	}
	after := backoff(rng, f.Retries)
	if f.Deadline.Sub(now) < after+MinTimeLeft {
		return refuse(DeadlineTooNear)
	}
	if !b.take() {
		return refuse(BudgetSpent)
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
