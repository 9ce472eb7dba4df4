// Package audit implements a bounded in-memory audit trail of a process. A record describes a change, its cause and the
// remedy available to operators.
//
// Invariants: sequence numbers increase by one with each record and are never reused; the trail never holds more records
// than its capacity, and the oldest records are dropped first. Each record is also written as one log line, so dropped
// records remain in the log.
package audit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Kind is the kind of event that a record describes.
type Kind string

// Kinds of events.
const (
	// Applied means that a snapshot was put in force.
	Applied Kind = "applied"
	// Refused means that a snapshot was refused as a whole. The snapshot in force did not change.
	Refused Kind = "refused"
	// RevertedSource means that a source offered a revision older than the revision in force.
	RevertedSource Kind = "reverted-source"
	// Conflict means that one revision was offered with two different digests.
	Conflict Kind = "conflict"
	// StateChange means that a state machine took a transition (see package chart).
	StateChange Kind = "state-change"
	// OutOfService means that operators took a failure domain or an instance out of service.
	OutOfService Kind = "out-of-service"
	// InService means that operators returned a failure domain or an instance to service.
	InService Kind = "in-service"
	// Drain means that a process or target began or finished draining.
	Drain Kind = "drain"
	// Quarantine means that a target or a request fingerprint was quarantined or released from quarantine.
	Quarantine Kind = "quarantine"
	// Certificate means that a certificate was loaded, replaced or refused.
	Certificate Kind = "certificate"
	// Role means that the process began or ended a role, such as reader.
	Role Kind = "role"
	// Source means that the platform became unreachable, stale or reachable again.
	Source Kind = "source"
	// Budget means that an organisation exceeded a budget, such as its changes per day.
	Budget Kind = "budget"
)

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	return []Kind{
		Applied, Refused, RevertedSource, Conflict, StateChange, OutOfService, InService,
		Drain, Quarantine, Certificate, Role, Source, Budget,
	}
}

// IsProblem reports whether records of the kind require an operator's attention. They are logged at level warn.
func (k Kind) IsProblem() bool {
	switch k {
	case Refused, RevertedSource, Conflict, Quarantine, Budget:
		return true
	}
	return false
}

// Record is an entry of the trail, which describes one event.
type Record struct {
	// Seq is the sequence number, starting at 1. It is set by Trail.Add.
	Seq uint64 `json:"seq"`
	// Time is the time of the event. If it is zero, Trail.Add sets it to the current time.
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Subject is the object of the event, such as `route "stock-view"` or the name of an instance.
	Subject string `json:"subject"`
	// Detail describes the event.
	Detail string `json:"detail"`
	// Remedy is the action to be taken by an operator; empty if none is needed.
	Remedy string `json:"remedy,omitempty"`
	// Revision is the revision of the catalogue that the event concerns, or 0 if it concerns none.
	Revision uint64 `json:"revision,omitempty"`
	// Digest is the hexadecimal digest of that catalogue, or empty.
	Digest string `json:"digest,omitempty"`
}

// DefaultCapacity is the capacity of a trail, in records, if New is given none.
const DefaultCapacity = 1024

// Trail is a ring buffer of records. It is safe for concurrent use.
type Trail struct {
	log zerolog.Logger

	mu sync.Mutex // guards the fields below
	// ring is indexed by slot. Its capacity is that of the trail.
	ring []Record
	// last is the sequence number of the newest record.
	last uint64
	// counts holds the number of records added of each kind, including dropped ones.
	counts map[Kind]uint64
}

// New returns an empty trail that holds at most capacity records and logs to log. A capacity below 1 means DefaultCapacity.
func New(capacity int, log zerolog.Logger) *Trail {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Trail{log: log, ring: make([]Record, 0, capacity), counts: map[Kind]uint64{}}
}

// Add assigns the next sequence number to a record, appends and logs it. If the trail is full, its oldest record is dropped.
func (t *Trail) Add(r Record) {
	r = t.append(r)
	event := t.log.Info()
	if r.Kind.IsProblem() {
		event = t.log.Warn()
	}
	event = event.Uint64("seq", r.Seq).Str("kind", string(r.Kind)).Str("subject", r.Subject).Str("detail", r.Detail)
	if r.Remedy != "" {
		event = event.Str("remedy", r.Remedy)
	}
	if r.Revision != 0 {
		event = event.Uint64("revision", r.Revision).Str("digest", r.Digest)
	}
	event.Msg("audit")
}

// append stores r with its sequence number and time set and returns it.
func (t *Trail) append(r Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	t.last++
	t.counts[r.Kind]++
	r.Seq = t.last
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, r)
	} else {
		t.ring[t.slot(r.Seq)] = r
	}
	return r
}

// slot returns the index in ring of the record with the given sequence number.
func (t *Trail) slot(seq uint64) int { return int((seq - 1) % uint64(cap(t.ring))) }

// Since returns the records with sequence numbers above seq, oldest first. If such records have been dropped, the first
// record returned has a sequence number above seq+1.
func (t *Trail) Since(seq uint64) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.last - uint64(len(t.ring)) + 1
	if seq+1 > first {
		first = seq + 1
	}
	if seq >= t.last {
		return nil
	}
	out := make([]Record, 0, t.last-first+1)
	for n := first; n <= t.last; n++ {
		out = append(out, t.ring[t.slot(n)])
	}
	return out
}

// Last returns the sequence number of the newest record, or 0 if none was added.
func (t *Trail) Last() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Count returns the number of records of a kind that were added, including dropped ones.
func (t *Trail) Count(kind Kind) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[kind]
}
