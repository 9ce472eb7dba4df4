// Package admission decides which requests may run on one target, and when. A Gate stands in front of its target and is
// the only way to it, so its counts are exact.
//
// A Gate is a pure decision: it does no I/O, reads no clock and starts no goroutine. Time comes in as an argument, and the
// caller serializes all calls. Call Tick at least every TickInterval.
//
// Invariants:
//   - A request is granted only while fewer requests are in flight than the limit in force, and never more than
//     Connections or Slots at once.
//   - A target in cold start is given at most ColdSlots at first; the limit rises to Slots over ColdPeriod, counted by time
//     and by successes, whichever is less.
//   - A request that is refused or dropped was never granted: it did not run.
//   - While requests wait, each organisation gets slot-time in proportion to its share, up to a constant lag; what one
//     leaves unused goes to the others.
//   - No organisation can keep others out of the queue: over its part of the queue, its newest requests give way.
package admission

import (
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// ID names a request at one gate. The caller chooses it; it must be unique among waiting and running requests.
type ID uint64

// Request is what the gate needs to know of a request.
type Request struct {
	ID           ID
	Organisation string
	Class        catalogue.Class
	// Deadline is the time by which the answer must have ended; zero means none.
	Deadline time.Time
	// Kind groups requests of like latency, such as the name of the route; latencies are judged within their kind.
	Kind string
	// Cost is the expected slot-time relative to a usual request of the target; zero means 1.
	Cost float64
}

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts.
const (
	// Admitted requests run now.
	Admitted Verdict = iota + 1
	// Queued requests wait; a later call grants or drops them.
	Queued
	// Refused requests did not run and don't wait.
	Refused
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "admitted"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	}
	return "unknown"
}

// Reason says why a request was refused or dropped. In every case it did not run.
type Reason string

// The reasons.
const (
	QueueFull    Reason = "queue-full"
	PastDeadline Reason = "deadline"
	Leaving      Reason = "draining"
	ColdTarget   Reason = "cold"
	Duplicate    Reason = "duplicate-id"
	Abandoned    Reason = "cancelled"
)

// Remedy returns what the caller can do.
func (r Reason) Remedy() string {
	switch r {
	case QueueFull:
		return "send fewer requests at once, or raise the organisation's share or the service's queue"
	case PastDeadline:
		return "allow a longer timeout or retry on a less loaded target"
	case Leaving:
		return "retry on another target; this one is leaving"
	case ColdTarget:
		return "retry on another target; this one is in cold start"
	case Duplicate:
		return "give each request its own ID"
	case Abandoned:
		return "none; the caller cancelled the request"
	}
	return "retry on another target"
}

// Drop is a waiting request that will not run.
type Drop struct {
	ID     ID
	Reason Reason
}

// Changes are the waiting requests whose fate a call has decided. The slices belong to the caller.
type Changes struct {
	// Granted requests run now.
	Granted []ID
	// Dropped requests did not run.
	Dropped []Drop
	// Drained says that the gate drains and that nothing runs or waits any more.
	Drained bool
}

// Decision is the answer to an offered request. Changes concern other requests.
type Decision struct {
	Verdict Verdict
	// Reason is set for Refused.
	Reason Reason
	Changes
}

// Result is how a request ended at the target.
type Result uint8

// The results.
const (
	// OK is a whole answer.
	OK Result = iota + 1
	// Failed is an answer that reports an error, or a broken one.
	Failed
	// Shed is the target's own refusal because of load.
	Shed
	// Crashed is a connection that the target refused or reset: it has died or restarted.
	Crashed
	// Cancelled requests were given up by the caller.
	Cancelled
)

// Outcome tells the gate how a running request ended.
type Outcome struct {
	Result Result
	// Latency is the time from sending the request to the head of its answer; zero means the whole time in flight.
	Latency time.Duration
}

// Phase is the gate's belief about its target.
type Phase uint8

// The phases.
const (
	// Cold targets are given ColdSlots; nothing has succeeded yet.
	Cold Phase = iota + 1
	// Warming targets are given a rising limit.
	Warming
	// Warm targets are given Slots.
	Warm
	// Suspect targets have late answers: they are given ColdSlots until an answer comes in time.
	Suspect
	// Draining targets finish what runs.
	Draining
	// Drained targets run nothing and take nothing.
	Drained
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"unknown", "cold", "warming", "warm", "suspect", "draining", "drained"}[min(int(p), int(Drained))]
}

// Load is the state that goes back to frontends with each answer.
type Load struct {
	InFlight int
	// Limit is the number of requests that may be in flight now; 0 while draining.
	Limit  int
	Queued int
	Phase  Phase
}

// Times that bound the gate's decisions.
const (
	// TickInterval is the longest time between two calls of Tick in a healthy process.
	TickInterval = 50 * time.Millisecond
	// PauseGap is the gap between two calls from which on the process counts as having been paused: beliefs about the target
	// from before are void.
	PauseGap = 2 * time.Second
	// promoteAfter is the waiting time that raises a request's urgency by one class, so that none starves.
	promoteAfter = 400 * time.Millisecond
)

// Shares are the weights of organisations; an organisation that is missing shares OtherShare with all others missing.
type Shares map[string]float64

// OtherShare is the weight of all organisations without a share of their own, together.
const OtherShare = 0.01
