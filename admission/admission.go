// Package admission decides which requests may run on one target, and when. A Gate stands in front of its target and is
// the only way to it, so its counts are exact.
//
// A Gate is a pure state machine: it does no I/O, reads no clock and starts no goroutine. The current time is an argument of
// its methods, and the caller must serialize all calls. Call Tick at least every TickInterval.
//
// Invariants:
//   - A request is granted only while fewer requests are in flight than the current limit, and never more than Connections
//     or Slots run at once.
//   - A target in cold start is limited to ColdSlots at first; the limit rises to Slots over ColdPeriod, by time or by
//     successes, whichever allows less.
//   - A request that is refused or dropped was never granted: it did not run.
//   - While requests wait, each organisation gets slot-time in proportion to its share, up to a constant lag; unused
//     slot-time goes to the other organisations.
//   - No organisation can keep others out of the queue: if it exceeds its part of a full queue, its newest requests are
//     dropped.
package admission

import (
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// ID identifies a request at one gate. It is chosen by the caller and must be unique among waiting and running
// requests.
type ID uint64

// Request is the description of a request on which the gate bases its decisions.
type Request struct {
	ID           ID
	Organisation string
	Class        catalogue.Class
	// Deadline is the time by which the answer must have ended; zero means none.
	Deadline time.Time
	// Kind groups requests of similar latency, such as the name of the route; latencies are compared within their kind.
	Kind string
	// Cost is the expected slot-time relative to an average request of the target; zero means 1.
	Cost float64
}

// Verdict is the kind of a decision.
type Verdict uint8

// Verdicts of Gate.Offer.
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

// Reason is why a request was refused or dropped. In every case it did not run.
type Reason string

// Reasons of refusals and drops.
const (
	QueueFull       Reason = "queue-full"
	PastDeadline    Reason = "deadline"
	Leaving         Reason = "draining"
	ColdTarget      Reason = "cold"
	Duplicate       Reason = "duplicate-id"
	CallerCancelled Reason = "cancelled"
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
	case CallerCancelled:
		return "none; the caller cancelled the request"
	}
	return "retry on another target"
}

// Drop is a waiting request that will not run.
type Drop struct {
	ID     ID
	Reason Reason
}

// Changes lists the waiting requests that a call has granted or dropped. The caller owns the slices.
type Changes struct {
	// Granted requests run now.
	Granted []ID
	// Dropped requests did not run.
	Dropped []Drop
	// Drained is set if the gate is draining and no request runs or waits any more.
	Drained bool
}

// Decision is the result of Gate.Offer. Changes concern requests other than the offered one.
type Decision struct {
	Verdict Verdict
	// Reason is set for Refused.
	Reason Reason
	Changes
}

// Result is how a request ended at the target.
type Result uint8

// Results of a request.
const (
	// OK is a complete answer.
	OK Result = iota + 1
	// Failed is an answer that reports an error, or an incomplete one.
	Failed
	// Shed is a refusal by the target itself because of load.
	Shed
	// Crashed is a connection that the target refused or reset: its process has died or restarted.
	Crashed
	// Cancelled requests were cancelled by the caller.
	Cancelled
)

// Outcome describes how a running request ended.
type Outcome struct {
	Result Result
	// Latency is the time from sending the request to the head of its answer; zero means the whole time in flight.
	Latency time.Duration
}

// Phase is the state of a target as estimated by its gate.
type Phase uint8

// Phases of a target.
const (
	// Cold targets are limited to ColdSlots; no request has succeeded yet.
	Cold Phase = iota + 1
	// Warming targets have a limit that rises from ColdSlots to Slots.
	Warming
	// Warm targets are limited to Slots.
	Warm
	// Suspect targets answer late: they are limited to ColdSlots until an answer has normal latency.
	Suspect
	// Draining targets finish the requests in flight and accept no new ones.
	Draining
	// Drained targets run no requests and accept none.
	Drained
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"unknown", "cold", "warming", "warm", "suspect", "draining", "drained"}[min(int(p), int(Drained))]
}

// Load is the state of a gate that is returned to frontends with each answer.
type Load struct {
	InFlight int
	// Limit is the number of requests that may be in flight now; 0 while draining.
	Limit  int
	Queued int
	Phase  Phase
}

// Intervals of the gate.
const (
	// TickInterval is the longest time between two calls of Tick in a healthy process.
	TickInterval = 50 * time.Millisecond
	// PauseGap is the gap between two calls beyond which the process counts as having been paused: the target's state
	// from before the pause is discarded.
	PauseGap = 2 * time.Second
	// promoteAfter is the waiting time after which a request moves up one class, so that no class starves.
	promoteAfter = 400 * time.Millisecond
)

// Shares maps organisations to their weights. All organisations that are not listed share the weight OtherShare.
type Shares map[string]float64

// OtherShare is the total weight of all organisations without a share of their own.
const OtherShare = 0.01
