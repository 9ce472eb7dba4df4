// Package once runs a request that must not be repeated at most once, also when its caller sends it again.
//
// The instances of a service are its seats. Whoever is given a keyed request, the executor, first binds the key to itself:
// a majority of the seats must record that no other life may run it. A life is one run of an instance's process; it keeps
// what it recorded in memory only. A seat records a key only if its life has been mature since before the key was made, so
// nothing that an earlier life knew can matter. Any two majorities share a seat, and a seat binds a key to one life for
// good; so at most one life ever runs it.
//
// The views of two executors may differ. A seat refuses to record for an executor that lacks a seat it knows, and tells it;
// a new life is mature only after a majority of the other seats has learnt of it. Majorities over differing views share a
// seat because of that. A seat that left or died counts for the keys made before.
//
// All decisions are pure: time comes in as an argument, messages go out and in as values, the caller serializes.
//
// Assumptions, all stated in docs/design/once.md: clocks of instances differ by at most MaxSkew; a caller's clock is not ahead
// by more than that (keys from the future are refused); an instance that the list has dropped for DropAfter is dead.
package once

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Times of the protocol.
const (
	// Window is the age up to which a key is accepted and remembered.
	Window = 10 * time.Minute
	// MaxSkew is the greatest difference between two clocks.
	MaxSkew = time.Second
	// MatureAfter is the least age of a life that records keys. It covers the lag of the list of instances.
	MatureAfter = 5 * time.Second
	// DropAfter is the time for which a seat counts after the list has dropped it without a word of its own.
	DropAfter = 2 * time.Minute
	// PauseGap is the gap between two calls after which a life counts as paused and must mature again.
	PauseGap = 10 * time.Second
)

// Key names a request that must not be repeated.
type Key struct {
	Organisation string `cbor:"1,keyasint"`
	Route        string `cbor:"2,keyasint"`
	// Value is the caller's Idempotency-Key. A UUID of version 7 carries the time at which it was made.
	Value string `cbor:"3,keyasint"`
}

// madeAt returns when the key was made. A key without a time counts as made a Window ago, so that only lives older than
// that record it.
func (k Key) madeAt(now time.Time) time.Time {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 {
		return now.Add(-Window)
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// hash returns the place of an instance for the key; the greatest comes first.
func (k Key) hash(instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{k.Organisation, k.Route, k.Value, instance} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Rank orders instances for a key by rendezvous hashing: the first is asked to execute it, the next if the first can't be
// reached. Safety does not depend on the order.
func Rank(k Key, instances []string) []string {
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(k.hash(b), k.hash(a)), cmp.Compare(a, b))
	})
	return out
}

// Life is one run of an instance's process.
type Life struct {
	Instance string `cbor:"1,keyasint"`
	// Start is the start of the process in nanoseconds since 1970.
	Start int64 `cbor:"2,keyasint"`
}

// Seat is an instance of the service with its region.
type Seat struct {
	Instance string `cbor:"1,keyasint"`
	Region   string `cbor:"2,keyasint"`
}

// Hello makes a life known to another seat.
type Hello struct {
	From  Life   `cbor:"1,keyasint"`
	Seats []Seat `cbor:"2,keyasint"`
}

// Welcome answers a Hello.
type Welcome struct {
	From  Life   `cbor:"1,keyasint"`
	Seats []Seat `cbor:"2,keyasint"`
	// Mature says that the life that answers binds keys itself.
	Mature bool `cbor:"3,keyasint"`
}

// Farewell is a life's word that it binds and runs nothing that is made after At. Send it when Leave was called.
type Farewell struct {
	From Life `cbor:"1,keyasint"`
	// At is the time in nanoseconds since 1970.
	At int64 `cbor:"2,keyasint"`
}

// Ask asks a seat to bind a key to an executor.
type Ask struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Executor    Life   `cbor:"3,keyasint"`
	// Seats are the seats that the executor counts.
	Seats []Seat `cbor:"4,keyasint"`
}

// VoteKind is a seat's answer to an Ask.
type VoteKind uint8

// The kinds of votes.
const (
	// Granted says that the key is bound to the executor that asked.
	Granted VoteKind = iota + 1
	// Bound says that the key is bound to another life.
	Bound
	// Missing says that the executor lacks seats; they come with the vote.
	Missing
	// Young says that the seat's life is too young for the key.
	Young
	// Full says that the seat's memory is full.
	Full
	// Rejected says that the key is too old, from the future, or bound with another fingerprint.
	Rejected
)

// Vote is a seat's answer to an Ask.
type Vote struct {
	Kind VoteKind `cbor:"1,keyasint"`
	From Life     `cbor:"2,keyasint"`
	// Holder is the life that the key is bound to.
	Holder Life `cbor:"3,keyasint,omitempty"`
	// Seats are the seats that the voter knows.
	Seats []Seat `cbor:"4,keyasint,omitempty"`
}

// Reason says why a keyed request was not run now.
type Reason string

// The reasons.
const (
	// Immature executors have started too recently.
	Immature Reason = "executor-immature"
	// KeyTooOld keys are older than the Window.
	KeyTooOld Reason = "key-too-old"
	// KeyAhead keys are from the future.
	KeyAhead Reason = "key-clock-ahead"
	// KeyReused keys came with another request before.
	KeyReused Reason = "key-reused"
	// HeldElsewhere keys are bound to another life.
	HeldElsewhere Reason = "held-elsewhere"
	// NoMajority says that too few seats answered.
	NoMajority Reason = "no-majority"
	// MemoryFull says that no more keys can be remembered.
	MemoryFull Reason = "memory-full"
	// AnswerLost says that the request may have run but its answer is not known.
	AnswerLost Reason = "answer-lost"
	// Withdrawn executors have left the service.
	Withdrawn Reason = "withdrawn"
)

// Remedy returns what the caller can do.
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
	case HeldElsewhere, AnswerLost:
		return "ask the service whether the request ran"
	}
	return "send the request again with the same Idempotency-Key"
}

// Refusal says that the request was not run by this call.
type Refusal struct {
	Reason Reason
	// NotRun says that the request has never run under this key and this life alone may still run it. Otherwise it is not
	// known whether it ran.
	NotRun bool
	// Holder is the life to which the key is bound, for HeldElsewhere.
	Holder Life
}

// Error implements error and names the remedy.
func (r *Refusal) Error() string {
	return "keyed request: " + string(r.Reason) + "; " + r.Reason.Remedy()
}

// VerdictKind is what to do with a keyed request.
type VerdictKind uint8

// The kinds of verdicts.
const (
	// Run the request now and call Finish, Withdraw or Lose.
	Run VerdictKind = iota + 1
	// Poll the seats in Verdict.Peers with Verdict.Ask, and call Count with each vote and Close when no more will come.
	Poll
	// Join the request that is running or being polled for under the same key.
	Join
	// Replay the remembered answer.
	Replay
	// Refuse the request.
	Refuse
	// Wait for further votes.
	Wait
)

// Verdict is a decision on a keyed request.
type Verdict struct {
	Kind    VerdictKind
	Ask     Ask
	Peers   []string
	Answer  []byte
	Refusal *Refusal
}

func refuse(reason Reason, notRun bool, holder Life) Verdict {
	return Verdict{Kind: Refuse, Refusal: &Refusal{Reason: reason, NotRun: notRun, Holder: holder}}
}
