// Package events defines the events that a process logs, with their fields, and limits the rate of log lines about requests.
package events

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Event names, as logged in msg. Table describes them.
const (
	Started         = "started"
	Stopping        = "stopping"
	Stopped         = "stopped"
	Reloaded        = "settings reloaded"
	SettingsRefused = "settings refused"
	ComponentFailed = "part failed"
	ListenerFailed  = "listener failed"
	PollFailed      = "connections can't be polled"

	StoreRecovered     = "store answers"
	StoreNotResponding = "store is silent"
	EntryIgnored       = "entry is not used"
	ConfigInForce      = "configuration is in force"
	DomainOut          = "failure domain is out of service"
	DomainBack         = "failure domain is back in service"
	TargetListed       = "target is listed"
	TargetLeaving      = "target is leaving"
	TargetGone         = "target is gone"
	ParentNotUsed      = "parent is not followed"
	StateReadFromPeer  = "learnt from a peer"
	PeerMalformed      = "peer sent what can't be read"
	PeerDisconnected   = "peer left before its answer"
	NoticeNotSent      = "notice was not sent"
	StoreCallFailed    = "store call failed"
	StoreRestored      = "store was restored from a copy"
	ListingIgnored     = "listing is older than the state"
	SlowReply          = "slow reply"
	LongUpdateSent     = "long update sent"
	LongUpdateReceived = "long update received"

	TargetRestarted   = "target began a new life"
	TargetMaybeCold   = "target may be cold"
	TargetCold        = "target is cold"
	TargetWarm        = "target is warm"
	HealthCheckFailed = "health check failed"
	TargetCrashed     = "target crashed"

	RateLimitStated        = "target limits its rate"
	RateLimitEnded         = "target ended its rate limit"
	TargetAnnouncedLeaving = "target announces that it is leaving"
	NoticeInvalid          = "target's header is not used"

	RequestAnswered       = "request answered"
	RequestRefused        = "request refused"
	RequestFailed         = "request failed"
	AttemptEnded          = "attempt ended"
	NoRoute               = "no route"
	KeyRefused            = "key refused"
	QuotaRefused          = "organisation is over its quota"
	QuotaCollector        = "collector of quotas replies"
	QuotaReportFailed     = "report of quotas failed"
	RequestBodyIncomplete = "request body broke off"
	ResponseIncomplete    = "answer not sent whole"
	CallRefused           = "call refused"
	CallFailed            = "call failed"
	CallerLeft            = "caller left"
	CallAbandoned         = "call was abandoned"
	LinkBusy              = "link is busy with responses"
	RequestQuarantined    = "request is quarantined"
)

// Event describes one kind of log line. Every line also has the fields time, level, msg (the name) and instance.
type Event struct {
	Name, Meaning string
	Fields        []string
}

// Table lists all events. docs/operate/events.md is generated from it.
var Table = []Event{
	{Started, "the process has started", []string{"service", "target", "domain"}},
	{Stopping, "the process received the stop signal; callers and peers are sent to other processes", []string{"active"}},
	{Stopped, "the process exits; requests that are still active are cancelled", []string{"took", "active"}},
	{Reloaded, "the settings file was read again and is valid", nil},
	{SettingsRefused, "the changed settings file is invalid; the settings in force stay in use", []string{"error"}},
	{ComponentFailed, "a component of the process failed and is restarted", []string{"detail"}},
	{PollFailed, "connections cannot be polled for callers that have left; some of them are noticed late until this ends", []string{"error"}},
	{ListenerFailed, "a listener stopped accepting connections", []string{"listener", "error"}},

	{StoreRecovered, "the store responds again; silent is the time for which it did not", []string{"silent"}},
	{StoreNotResponding, "the store does not respond; the present state stays in use", []string{"revision", "error"}},
	{StoreCallFailed, "a call to the store did not succeed; took is its duration, age the time since the last known contact with the store", []string{"took", "age", "error"}},
	{StoreRestored, "the store responds with a later epoch: it was restored from a copy and has lost changes; revision is that of the response, known the one reached in the epoch before", []string{"source", "epoch", "before", "revision", "known"}},
	{ListingIgnored, "a listing of the store, or of a peer, is older than the state and changes nothing", []string{"source", "epoch", "before", "revision", "known"}},
	{EntryIgnored, "an entry of the store is invalid and is ignored", []string{"error"}},
	{ConfigInForce, "a configuration is now in force; source is the peer that supplied it, or store", []string{"config", "routes", "revision", "source"}},
	{DomainOut, "an operator took a failure domain out of service", []string{"domain", "revision"}},
	{DomainBack, "an operator put a failure domain back into service", []string{"domain", "revision"}},
	{TargetListed, "a target was added to the list and may receive requests", []string{"target", "service", "addr", "domain", "revision"}},
	{TargetLeaving, "a target is stopping and receives no new requests", []string{"target", "service", "addr", "domain", "revision"}},
	{TargetGone, "a target was removed from the list", []string{"target", "service", "addr", "domain", "revision"}},
	{ParentNotUsed, "the parent does not respond in time or its state is too old; the process polls the next ancestor or the standby, or reads the store", []string{"parent", "age", "took", "error"}},
	{StateReadFromPeer, "newer state was read from a peer that is not the parent, or arrived late", []string{"peer", "revision", "age"}},
	{PeerMalformed, "a message from a peer cannot be decoded", []string{"from", "error"}},
	{PeerDisconnected, "a peer disconnected before the response was sent", []string{"error"}},
	{NoticeNotSent, "a notice about requests that crash targets did not reach another process; that process learns of them from the next request or notice", []string{"error"}},
	{SlowReply, "a peer, or the store, responded long after the time for which it held the request; took is the duration of the call, held the time reported by the peer, or the wait asked of the store", []string{"from", "took", "held", "revision"}},
	{LongUpdateSent, "a state update of 16 KB or more was sent to another process; took is the time to compute and send it after the wait", []string{"to", "bytes", "full", "took", "revision"}},
	{LongUpdateReceived, "16 KB or more of changes were read from a peer or the store; newer tells whether this process did not have them, took includes the time for which the request was held", []string{"from", "bytes", "newer", "took", "revision"}},

	{TargetRestarted, "the local target has restarted or was replaced", []string{"target", "born", "cold", "slots"}},
	{TargetMaybeCold, "the local target may be cold; the start rate of requests is limited until the target reports that it is warm", []string{"why"}},
	{TargetCold, "the local target reports that it is cold", []string{"target", "cold"}},
	{TargetWarm, "the local target reports that it is warm", nil},
	{HealthCheckFailed, "the local target failed a health check", []string{"error"}},
	{TargetCrashed, "the local target broke off requests and refuses connections; fingerprints are those of the requests that may be the cause, of which some are quarantined and the others suspected from now on", []string{"target", "suspects", "quarantined", "fingerprints"}},
	{RequestQuarantined, "a request has crashed its targets and is refused from now on; crashes is the number of targets, what describes the request", []string{"fingerprint", "crashes", "what"}},
	{RateLimitStated, "the local target states, in a response or a health check (field source), the rate of requests per second that it accepts; before is the limit until then, 0 if none", []string{"target", "rate", "before", "source"}},
	{RateLimitEnded, "the local target no longer limits the rate of requests", []string{"target", "before", "source"}},
	{TargetAnnouncedLeaving, "the local target states that it is about to stop", []string{"target", "source"}},
	{NoticeInvalid, "a header in which the local target describes its state is invalid and is ignored", []string{"source", "error"}},

	{LinkBusy, "a download was refused because its response would not have left over the machine's link in time; wait is the time until the link is free for another one, responses the number of those that wait; reported once a second at most", []string{"wait", "responses"}},
	{RequestAnswered, "a target's response was returned to the caller; only a sample of these events is logged", []string{"request", "route", "service", "target", "status", "tried", "took", "left", "config", "age"}},
	{RequestRefused, "the request did not run and will not run; the caller received a retry-after (field back)", []string{"request", "route", "service", "status", "reason", "tried", "took", "left", "back", "config", "age"}},
	{RequestFailed, "no target responded and the request may have run, or the target responded with an error", []string{"request", "route", "service", "target", "status", "reason", "tried", "took", "left", "config", "age"}},
	{AttemptEnded, "an attempt at a target did not succeed; wait is the expected wait at the target, known the age of the load report that it follows from", []string{"request", "target", "domain", "run", "reason", "arrived", "wait", "known", "running", "waiting", "slots", "left", "revision"}},
	{KeyRefused, "no organisation of the configuration in force holds the key of the request, or it has none; the key itself is not logged", []string{"request", "route", "config", "age"}},
	{QuotaRefused, "a request was refused by the quota of its organisation; cause is over-quota if the organisation exceeds it and the collector lets a fraction pass, unreported if this process waits for its next report, no-collector if it admits only its part of the quota since no collector replies; back is the retry-after that the collector expects", []string{"request", "route", "organisation", "cause", "fraction", "rate", "burst", "back", "config"}},
	{QuotaCollector, "another process, or this one, now settles the use of quotas for this process", []string{"collector"}},
	{QuotaReportFailed, "a process did not reply to a report of the use of quotas; the next candidate gets it", []string{"collector", "error"}},
	{NoRoute, "no route of the configuration in force matches the request", []string{"request", "host", "path", "config", "age"}},
	{RequestBodyIncomplete, "the caller disconnected while it sent the request body", []string{"request", "error"}},
	{ResponseIncomplete, "the response could not be sent completely; the caller's connection was closed", []string{"request", "error"}},
	{CallRefused, "the admission gate of the local target refused a request", []string{"request", "route", "priority", "reason", "running", "waiting", "slots", "wait", "cold", "left", "back", "revision"}},
	{CallFailed, "the local target did not send a complete response; fingerprint identifies the request over the attempts of its caller", []string{"request", "route", "fingerprint", "reason", "arrived", "took", "left", "error"}},
	{CallerLeft, "the caller closed its connection before the response; took is the time from the arrival of the request until then, after how long this process still worked on it", []string{"request", "route", "kind", "service", "tried", "took", "after"}},
	{CallAbandoned, "the caller of a call left, or its frontend no longer needed the response; took is the time from its arrival until then, queued and ran are how long it remained in the queue and at the target after that; a call that is not retryable runs to its end once it has started", []string{"request", "route", "retryable", "arrived", "took", "queued", "ran"}},
}

// Limits of the log lines about requests, per process.
const (
	// linesPerSecond and burstLines keep the cost of logging below a few tenths of a percent of one core.
	linesPerSecond = 150
	burstLines     = 600
)

// Budget decides which log lines about requests are written. It is safe for concurrent use.
type Budget struct {
	limiter *rate.Limiter
	// every is the sampling interval of successful requests: one in every is logged; 0 logs none.
	every     uint64
	successes atomic.Uint64
	dropped   atomic.Uint64
}

// NewBudget returns a budget that samples one in every successful requests, or none if every is 0, and permits all other lines up
// to the rate limit.
func NewBudget(every uint64) *Budget {
	return &Budget{limiter: rate.NewLimiter(linesPerSecond, burstLines), every: every}
}

// Sample reports whether to write a line about a successful request.
func (b *Budget) Sample() bool {
	return b.every > 0 && b.successes.Add(1)%b.every == 0 && b.Allow()
}

// Allow reports whether to write a line about a request. If not, it counts the line as dropped.
func (b *Budget) Allow() bool {
	if b.limiter.Allow() {
		return true
	}
	b.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that were not written because of the rate limit.
func (b *Budget) Dropped() uint64 { return b.dropped.Load() }
