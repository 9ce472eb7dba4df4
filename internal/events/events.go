// Package events names the events that a process logs, with the fields of each, and bounds how many lines requests cause.
package events

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Names of the events; Table tells what they mean.
const (
	Started         = "started"
	Stopping        = "stopping"
	Stopped         = "stopped"
	Reloaded        = "settings reloaded"
	SettingsRefused = "settings refused"
	PartFailed      = "part failed"
	ListenerFailed  = "listener failed"

	StoreAnswers   = "store answers"
	StoreSilent    = "store is silent"
	EntryUnused    = "entry is not used"
	ConfigInForce  = "configuration is in force"
	DomainOut      = "failure domain is out of service"
	DomainBack     = "failure domain is back in service"
	TargetListed   = "target is listed"
	TargetLeaving  = "target is leaving"
	TargetGone     = "target is gone"
	ParentShunned  = "parent is not followed"
	LearntFromPeer = "learnt from a peer"
	PeerMalformed  = "peer sent what can't be read"
	PeerCut        = "peer left before its answer"

	TargetLife    = "target began a new life"
	TargetSuspect = "target may be cold"
	TargetCold    = "target is cold"
	TargetWarm    = "target is warm"
	CheckFailed   = "health check failed"

	RequestAnswered = "request answered"
	RequestRefused  = "request refused"
	RequestFailed   = "request failed"
	AttemptEnded    = "attempt ended"
	NoRoute         = "no route"
	BodyBroken      = "request body broke off"
	AnswerCut       = "answer not sent whole"
	CallRefused     = "call refused"
	CallFailed      = "call failed"
)

// Event describes one kind of line. Every line has time, level, msg (the name) and instance besides.
type Event struct {
	Name, Meaning string
	Fields        []string
}

// Table lists all events with their fields.
var Table = []Event{
	{Started, "the process begins", []string{"service", "target", "domain"}},
	{Stopping, "the signal to stop came; callers and peers are sent elsewhere", []string{"active"}},
	{Stopped, "the process ends; active requests, if any, are given up", []string{"took", "active"}},
	{Reloaded, "changed settings were read and are good", nil},
	{SettingsRefused, "changed settings can't be used; those in force stay", []string{"error"}},
	{PartFailed, "a part of the process failed and is started again", []string{"detail"}},
	{ListenerFailed, "a listener takes no more connections", []string{"listener", "error"}},

	{StoreAnswers, "the store answers after a silence", []string{"silent"}},
	{StoreSilent, "the store does not answer; what is known stays in force", []string{"revision", "error"}},
	{EntryUnused, "an entry of the store names nothing that can be used", []string{"error"}},
	{ConfigInForce, "a configuration was put in force", []string{"config", "routes", "revision"}},
	{DomainOut, "operators took a failure domain out of service", []string{"domain", "revision"}},
	{DomainBack, "operators took a failure domain back into service", []string{"domain", "revision"}},
	{TargetListed, "a target may get requests", []string{"target", "service", "addr", "domain", "revision"}},
	{TargetLeaving, "a target gets no new requests", []string{"target", "service", "addr", "domain", "revision"}},
	{TargetGone, "a target is not listed any more", []string{"target", "service", "addr", "domain", "revision"}},
	{ParentShunned, "the parent is silent or knows too little; the store is read instead", []string{"parent", "age", "error"}},
	{LearntFromPeer, "the store is silent and a peer knew more", []string{"peer", "revision", "age"}},
	{PeerMalformed, "a message from a peer can't be read", []string{"from", "error"}},
	{PeerCut, "a peer left before it had its answer", []string{"error"}},

	{TargetLife, "the own target began a new life", []string{"target", "born", "cold", "slots"}},
	{TargetSuspect, "the own target may be cold; starts are bounded until it says otherwise", []string{"why"}},
	{TargetCold, "the own target says that it is cold", []string{"target", "cold"}},
	{TargetWarm, "the own target says that it is warm", nil},
	{CheckFailed, "the own target did not pass a health check", []string{"error"}},

	{RequestAnswered, "a target's answer was passed on; a share of these is logged", []string{"request", "route", "service", "target", "status", "tried", "took", "left", "config", "age"}},
	{RequestRefused, "the request has not run and won't; the caller was told when to come back", []string{"request", "route", "service", "status", "reason", "tried", "took", "left", "back", "config", "age"}},
	{RequestFailed, "no target's answer came, and the request may have run, or the target's answer was a failure", []string{"request", "route", "service", "target", "status", "reason", "tried", "took", "left", "config", "age"}},
	{AttemptEnded, "an attempt at a target brought no good answer; wait and known are what was believed of the target and how old that was", []string{"request", "target", "domain", "run", "reason", "arrived", "wait", "known", "running", "waiting", "slots", "left", "revision"}},
	{NoRoute, "no route of the configuration in force takes the request", []string{"request", "host", "path", "config", "age"}},
	{BodyBroken, "the caller broke off while it sent the request", []string{"request", "error"}},
	{AnswerCut, "the caller's connection was broken, since the answer could not be sent whole", []string{"request", "error"}},
	{CallRefused, "the gate of the own target refused a request", []string{"request", "route", "priority", "reason", "running", "waiting", "slots", "wait", "cold", "left", "back", "revision"}},
	{CallFailed, "the own target gave no whole answer", []string{"request", "route", "reason", "arrived", "took", "left", "error"}},
}

// Bounds of the lines that requests cause in one process.
const (
	// linesPerSecond and burstLines keep the cost of lines below some tenths of a percent of a core.
	linesPerSecond = 150
	burstLines     = 600
)

// Budget decides which lines about requests are written. It is safe for concurrent use.
type Budget struct {
	limit *rate.Limiter
	// every is the number of good requests of which one is logged; 0 logs none.
	every   uint64
	seen    atomic.Uint64
	dropped atomic.Uint64
}

// NewBudget returns a budget that logs one of each every good requests, and all else up to the bound.
func NewBudget(every uint64) *Budget {
	return &Budget{limit: rate.NewLimiter(linesPerSecond, burstLines), every: every}
}

// Sample reports whether a line about a request that went well is written.
func (b *Budget) Sample() bool {
	return b.every > 0 && b.seen.Add(1)%b.every == 0 && b.Take()
}

// Take reports whether a line about a request is written, and counts it as dropped if not.
func (b *Budget) Take() bool {
	if b.limit.Allow() {
		return true
	}
	b.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that went beyond the bound.
func (b *Budget) Dropped() uint64 { return b.dropped.Load() }
