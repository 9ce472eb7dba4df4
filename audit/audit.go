// Package audit keeps a bounded trail of what changed in a process, why, and what an operator can do about it.
//
// Invariants: sequence numbers rise by one with each record and are never reused; the trail never holds more than its
// capacity, and the oldest records are dropped first. Each record is also written as one log line, so a dropped record
// is lost from memory only.
package audit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Kind is the kind of event that a record describes.
type Kind string

// The kinds of events.
const (
	// Applied says that a snapshot was put in force.
	Applied Kind = "applied"
	// Refused says that a snapshot was refused as a whole; the one in force stayed.
	Refused Kind = "refused"
	// RevertedSource says that a source offered an older revision than the one in force.
	RevertedSource Kind = "reverted-source"
	// Conflict says that one revision was offered with two digests.
	Conflict Kind = "conflict"
	// StateChange says that a state chart took a transition.
	StateChange Kind = "state-change"
	// OutOfService says that operators took a failure domain or an instance out of service.
	OutOfService Kind = "out-of-service"
	// InService says that operators returned a failure domain or an instance to service.
	InService Kind = "in-service"
	// Drain says that a process or target began or finished draining.
	Drain Kind = "drain"
	// Quarantine says that a target or a request fingerprint was quarantined or released.
	Quarantine Kind = "quarantine"
	// Certificate says that a certificate was loaded, replaced or refused.
	Certificate Kind = "certificate"
	// Role says that the process took or left a role, such as reader.
	Role Kind = "role"
	// Source says that the platform became unreachable, stale or reachable again.
	Source Kind = "source"
	// Budget says that an organisation went over a budget, such as its changes per day.
	Budget Kind = "budget"
)

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	return []Kind{
		Applied, Refused, RevertedSource, Conflict, StateChange, OutOfService, InService,
		Drain, Quarantine, Certificate, Role, Source, Budget,
	}
}

// IsProblem reports whether records of the kind call for an operator's attention.
func (k Kind) IsProblem() bool {
	switch k {
	case Refused, RevertedSource, Conflict, Quarantine, Budget:
		return true
	}
	return false
}

// Record is one event of the trail.
type Record struct {
	// Seq is the sequence number, given by the trail, from 1.
	Seq uint64 `json:"seq"`
	// Time is when the event happened; the trail fills in the current time where it is zero.
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Subject names what the event is about, such as `route "stock-view"` or an instance.
	Subject string `json:"subject"`
	// Detail says what happened.
	Detail string `json:"detail"`
	// Remedy says what an operator can do; empty where nothing needs doing.
	Remedy string `json:"remedy,omitempty"`
	// Revision is the revision of the catalogue concerned, or 0.
	Revision uint64 `json:"revision,omitempty"`
	// Digest is the hexadecimal digest of the catalogue concerned, or empty.
	Digest string `json:"digest,omitempty"`
}

// DefaultCapacity is the number of records that a trail keeps where its author names none.
const DefaultCapacity = 1024

// Trail is a bounded ring of records. It is safe for concurrent use.
type Trail struct {
	log zerolog.Logger

	mu   sync.Mutex
	ring []Record
	last uint64
	// counts holds the number of records ever added of each kind.
	counts map[Kind]uint64
}

// New returns an empty trail of the given capacity in records; a capacity below 1 means DefaultCapacity.
func New(capacity int, log zerolog.Logger) *Trail {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Trail{log: log, ring: make([]Record, 0, capacity), counts: map[Kind]uint64{}}
}

// Add appends a record, gives it the next sequence number and logs it. A full trail drops its oldest record.
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

// slot returns the place of the record with the given sequence number.
func (t *Trail) slot(seq uint64) int { return int((seq - 1) % uint64(cap(t.ring))) }

// Since returns the records held whose sequence numbers exceed seq, oldest first. Records dropped meanwhile are missing:
// the first one returned then has a number above seq+1.
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

// Last returns the sequence number of the newest record, or 0.
func (t *Trail) Last() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Count returns the number of records of a kind that were ever added, dropped ones included.
func (t *Trail) Count(kind Kind) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[kind]
}
