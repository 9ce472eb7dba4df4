// Package once runs a keyed request at most once, also if its caller sends it again.
//
// Each instance of a service is a voter. An instance that receives a keyed request, the executor, must first bind the key
// to itself: a majority of the voters must record that no other incarnation may run the request. An incarnation is one run
// of an instance's process; its records are kept in memory only. A voter records a key only if its incarnation was mature
// (see Table.Mature) before the key was made, so records lost with an earlier incarnation cannot matter. Any two majorities
// have a voter in common, and a voter binds a key permanently to one incarnation; so at most one incarnation runs the
// request.
//
// Two executors may know different sets of voters. A voter refuses to vote for an executor whose set lacks a voter that it
// knows, and returns its own set; a new incarnation matures only after a majority of the other voters has added it.
// Majorities of different sets therefore have a voter in common. A voter that left or died still counts for the keys made
// before.
//
// Table does no I/O: time is passed in as an argument, messages are arguments and results, and the caller serializes the
// calls.
//
// Assumptions, all stated in docs/design/once.md: the clocks of instances differ by at most MaxClockSkew; a caller's clock
// is not ahead by more than that (keys from the future are refused); an instance that has been off the instance list for
// DropAfter is dead.
package once

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Durations of the protocol.
const (
	// KeyTTL is the age up to which a key is accepted and remembered.
	KeyTTL = 10 * time.Minute
	// MaxClockSkew is the greatest difference between the clocks of two instances.
	MaxClockSkew = time.Second
	// MatureAfter is the minimum age of an incarnation that records keys. It covers the lag of the instance list.
	MatureAfter = 5 * time.Second
	// DropAfter is the time for which a voter still counts after it disappeared from the instance list without a Departure.
	DropAfter = 2 * time.Minute
	// PauseGap is the time between two calls after which the process counts as paused and its incarnation must mature
	// again.
	PauseGap = 10 * time.Second
)

// Key identifies a request that must run at most once.
type Key struct {
	Organisation string `cbor:"1,keyasint"`
	Route        string `cbor:"2,keyasint"`
	// Value is the caller's Idempotency-Key. A UUID of version 7 contains the time at which it was made.
	Value string `cbor:"3,keyasint"`
}

// madeAt returns the time at which the key was made. A key without a time is treated as KeyTTL old, so only incarnations
// older than that record it.
func (k Key) madeAt(now time.Time) time.Time {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 {
		return now.Add(-KeyTTL)
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// hash returns the rendezvous hash of the key and an instance. The instance with the greatest hash ranks first.
func (k Key) hash(instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{k.Organisation, k.Route, k.Value, instance} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Rank orders instances for a key by rendezvous hashing: the first one is asked to execute the request, the next one if the
// first is unreachable. Safety does not depend on the order.
func Rank(k Key, instances []string) []string {
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(k.hash(b), k.hash(a)), cmp.Compare(a, b))
	})
	return out
}

// Incarnation identifies one run of an instance's process.
type Incarnation struct {
	Instance string `cbor:"1,keyasint"`
	// Start is the start of the process in nanoseconds since the Unix epoch.
	Start int64 `cbor:"2,keyasint"`
}

// Voter is an instance of the service and its region.
type Voter struct {
	Instance string `cbor:"1,keyasint"`
	Region   string `cbor:"2,keyasint"`
}

// Announcement informs another voter of a new incarnation and of the voters that it knows.
type Announcement struct {
	From   Incarnation `cbor:"1,keyasint"`
	Voters []Voter     `cbor:"2,keyasint"`
}

// AnnouncementReply is the reply to an Announcement.
type AnnouncementReply struct {
	From   Incarnation `cbor:"1,keyasint"`
	Voters []Voter     `cbor:"2,keyasint"`
	// Mature reports whether the replying incarnation binds keys itself.
	Mature bool `cbor:"3,keyasint"`
}

// Departure states that an incarnation binds and runs no keys made after At. Table.Leave returns it.
type Departure struct {
	From Incarnation `cbor:"1,keyasint"`
	// At is the time in nanoseconds since the Unix epoch.
	At int64 `cbor:"2,keyasint"`
}

// VoteRequest asks a voter to bind a key to an executor.
type VoteRequest struct {
	Key         Key         `cbor:"1,keyasint"`
	Fingerprint uint64      `cbor:"2,keyasint"`
	Executor    Incarnation `cbor:"3,keyasint"`
	// Voters are the voters among which the executor needs a majority.
	Voters []Voter `cbor:"4,keyasint"`
}

// VoteKind is the result of a VoteRequest.
type VoteKind uint8

// Kinds of votes.
const (
	// Granted means that the key is bound to the executor that sent the request.
	Granted VoteKind = iota + 1
	// Bound means that the key is bound to another incarnation.
	Bound
	// Missing means that the executor does not know all voters; Vote.Voters lists them.
	Missing
	// NotMature means that the voter's incarnation matured too late for the key, or that the voter is leaving or not
	// listed.
	NotMature
	// Full means that the voter can record no more keys.
	Full
	// Rejected means that the key is too old, from the future, or bound with another fingerprint.
	Rejected
)

// Vote is a voter's reply to a VoteRequest.
type Vote struct {
	Kind VoteKind    `cbor:"1,keyasint"`
	From Incarnation `cbor:"2,keyasint"`
	// Holder is the incarnation that the key is bound to.
	Holder Incarnation `cbor:"3,keyasint,omitempty"`
	// Voters are the voters that the sender knows.
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// Reason is the cause for which a keyed request was not run by a call.
type Reason string

// Reasons of a Refusal.
const (
	// Immature means that the executor's incarnation matured too recently for the key.
	Immature Reason = "executor-immature"
	// KeyTooOld means that the key is older than KeyTTL.
	KeyTooOld Reason = "key-too-old"
	// KeyAhead means that the key's time is ahead of the executor's clock by more than MaxClockSkew.
	KeyAhead Reason = "key-clock-ahead"
	// KeyReused means that the key was used with a different request before.
	KeyReused Reason = "key-reused"
	// BoundElsewhere means that the key is bound to another incarnation.
	BoundElsewhere Reason = "held-elsewhere"
	// NoMajority means that no majority of the voters granted the key.
	NoMajority Reason = "no-majority"
	// MemoryFull means that the executor can record no more keys.
	MemoryFull Reason = "memory-full"
	// ResponseLost means that the request may have run but its response is not known.
	ResponseLost Reason = "answer-lost"
	// Withdrawn means that the executor is leaving the service or is not on the instance list.
	Withdrawn Reason = "withdrawn"
)

// Remedy returns what the caller can do about the refusal.
func (r Reason) Remedy() string {
	switch r {
	case Immature, NoMajority, MemoryFull, Withdrawn:
		return "send the request again with the same Idempotency-Key after a second"
	case KeyTooOld:
		return "ask the service whether the request ran; use a new UUIDv7 for a new request"
	case KeyAhead:
		return "set the caller's clock and use a new UUIDv7"
	case KeyReused:
		return "use a new Idempotency-Key for a different request"
	case BoundElsewhere, ResponseLost:
		return "ask the service whether the request ran"
	}
	return "send the request again with the same Idempotency-Key"
}

// Refusal is the error for a keyed request that this call did not run.
type Refusal struct {
	Reason Reason
	// NotRun reports that the request has never run under this key and that only this incarnation may still run it. If
	// false, it is not known whether the request ran.
	NotRun bool
	// Holder is the incarnation to which the key is bound. It is set for BoundElsewhere.
	Holder Incarnation
}

// Error returns the reason and the remedy.
func (r *Refusal) Error() string {
	return "keyed request: " + string(r.Reason) + "; " + r.Reason.Remedy()
}

// VerdictKind is the action that the caller of a Table must take.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// Run the request now, then call Finish, Abort or MarkLost.
	Run VerdictKind = iota + 1
	// Poll the voters in Verdict.Peers with Verdict.VoteRequest. Call HandleVote with each vote, and Close if no more will
	// arrive.
	Poll
	// Join the call that runs the request or polls under the same key.
	Join
	// Replay the remembered response.
	Replay
	// Refuse the request.
	Refuse
	// Wait for more votes.
	Wait
)

// Verdict is the decision of a Table on a keyed request.
type Verdict struct {
	Kind VerdictKind
	// VoteRequest and Peers are set for Poll.
	VoteRequest VoteRequest
	Peers       []string
	// Response is set for Replay.
	Response []byte
	// Refusal is set for Refuse.
	Refusal *Refusal
}

func refuse(reason Reason, notRun bool, holder Incarnation) Verdict {
	return Verdict{Kind: Refuse, Refusal: &Refusal{Reason: reason, NotRun: notRun, Holder: holder}}
}
