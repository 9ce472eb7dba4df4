// Package quarantine finds requests that crash their targets and prevents them from running again.
//
// A request is identified by its fingerprint. The requests in flight when a target crashes are suspects. A suspect runs
// only at one instance, its home, and there only one suspect runs at a time (its trial). If the target crashes during the
// trial, the suspect is taken as the cause and is quarantined at all instances. If the request succeeds, it is cleared at
// all instances.
//
// List does no I/O: time is passed in as an argument, notices to other instances are arguments and results, and the caller
// serializes the calls. Send the notice of a crash to the service's instances before the callers of the crashed requests
// get their responses, so that a resent request reaches only instances that have the notice.
//
// Invariants:
//   - If all instances receive the notices and agree on homes, a request crashes at most two targets until its quarantine
//     ends.
//   - A request that ran beside a suspect on trial is not made a suspect by the crash.
//   - Notices may be lost, duplicated or delayed: an older suspicion never undoes a clearance, and a clearance never undoes
//     a quarantine.
//   - At most MaxEntries fingerprints are kept.
package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Durations and limits.
const (
	// SuspicionTTL is the time for which a suspicion is kept.
	SuspicionTTL = 10 * time.Minute
	// QuarantineTTL is the time for which a request stays quarantined.
	QuarantineTTL = time.Hour
	// clearanceTTL is the time for which a clearance overrides older suspicions that arrive late.
	clearanceTTL = time.Minute
	// MaxEntries is the maximum number of fingerprints kept. Beyond it the entry that expires first is evicted.
	MaxEntries = 4096
	// MaxNotice is the maximum number of fingerprints of each kind in a notice.
	MaxNotice = 256
)

// Fingerprint is a hash that identifies a request.
type Fingerprint uint64

// Request holds the properties from which a fingerprint is computed.
type Request struct {
	Organisation string
	Route        string
	Method       string
	// Target is the path and query.
	Target string
	// Key is the idempotency key, or empty.
	Key string
	// BodyDigest is a digest of the body, or 0 if the request has no body or has a Key.
	BodyDigest uint64
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Organisation, r.Route, r.Method, r.Target, r.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	var digest [8]byte
	binary.LittleEndian.PutUint64(digest[:], r.BodyDigest)
	_, _ = d.Write(digest[:])
	return Fingerprint(d.Sum64())
}

// Home returns the instance at which a suspect runs: the first by rendezvous hashing. It returns "" if there are no
// instances.
func Home(f Fingerprint, instances []string) string {
	var home string
	var best uint64
	for _, name := range instances {
		var d xxhash.Digest
		d.ResetWithSeed(uint64(f))
		_, _ = d.WriteString(name)
		if h := d.Sum64(); home == "" || h > best || (h == best && name < home) {
			home, best = name, h
		}
	}
	return home
}

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Unsuspected requests run without restriction.
	Unsuspected Verdict = iota + 1
	// Suspect requests run only at their home.
	Suspect
	// Busy means that another suspect is on trial at this instance; retry when it has ended.
	Busy
	// Quarantined requests don't run.
	Quarantined
)

// Remedy returns what the caller can do about a verdict that refuses the request. It is empty for other verdicts.
func (v Verdict) Remedy() string {
	switch v {
	case Suspect:
		return "retry at the request's home instance"
	case Busy:
		return "retry after a backoff; another suspect is on trial"
	case Quarantined:
		return "do not send the request again; it crashed its targets"
	}
	return ""
}

// Notice informs the other instances of the service of a crash or a clearance. Times are nanoseconds since the Unix epoch.
type Notice struct {
	// From is the sending instance; At is the time of the crash or clearance.
	From        string        `cbor:"1,keyasint"`
	At          int64         `cbor:"2,keyasint"`
	Suspects    []Fingerprint `cbor:"3,keyasint,omitempty"`
	Quarantined []Fingerprint `cbor:"4,keyasint,omitempty"`
	Cleared     []Fingerprint `cbor:"5,keyasint,omitempty"`
}

// Empty reports whether the notice contains no fingerprints.
func (n Notice) Empty() bool { return len(n.Suspects)+len(n.Quarantined)+len(n.Cleared) == 0 }

type state uint8

const (
	suspected state = iota + 1
	quarantined
	cleared
)

type entry struct {
	state state
	at    time.Time
	until time.Time
}

// List holds the suspected, quarantined and cleared requests known to one instance. Create it with New. It is not safe for
// concurrent use.
type List struct {
	self    string
	entries map[Fingerprint]entry
	running map[Fingerprint]int
	// trial is the suspect that runs here; valid if onTrial is true.
	trial   Fingerprint
	onTrial bool
}

// New returns an empty list for the named instance.
func New(self string) *List {
	return &List{self: self, entries: map[Fingerprint]entry{}, running: map[Fingerprint]int{}}
}

// Lookup returns the state of a request for a frontend: Unsuspected, Suspect or Quarantined.
func (l *List) Lookup(now time.Time, f Fingerprint) Verdict {
	if len(l.entries) == 0 {
		return Unsuspected
	}
	e, ok := l.entries[f]
	if !ok || now.After(e.until) {
		return Unsuspected
	}
	switch e.state {
	case suspected:
		return Suspect
	case quarantined:
		return Quarantined
	}
	return Unsuspected
}

// Begin asks to run a request at this instance's target. The request may run if the verdict is Unsuspected, or Suspect with
// home set. End must then be called.
func (l *List) Begin(now time.Time, f Fingerprint, home bool) Verdict {
	v := l.Lookup(now, f)
	switch {
	case v == Quarantined || (v == Suspect && !home):
		return v
	case v == Suspect && l.onTrial:
		return Busy
	case v == Suspect:
		l.trial, l.onTrial = f, true
	}
	l.running[f]++
	return v
}

// End records that a request ended and whether it succeeded. The returned notice announces a clearance; send it unless it
// is Empty.
func (l *List) End(now time.Time, f Fingerprint, succeeded bool) Notice {
	if l.running[f]--; l.running[f] <= 0 {
		delete(l.running, f)
	}
	if l.onTrial && l.trial == f {
		l.onTrial = false
	}
	if !succeeded || l.Lookup(now, f) != Suspect {
		return Notice{}
	}
	l.put(now, f, entry{cleared, now, now.Add(clearanceTTL)})
	return Notice{From: l.self, At: now.UnixNano(), Cleared: []Fingerprint{f}}
}

// Crashed records a crash of the instance's target. Call it once for each crash, before End of the requests that the crash
// ended. The notice quarantines the suspect on trial, or else makes all requests in flight suspects.
func (l *List) Crashed(now time.Time) Notice {
	n := Notice{From: l.self, At: now.UnixNano()}
	if l.onTrial {
		n.Quarantined = []Fingerprint{l.trial}
	} else {
		n.Suspects = l.inFlight()
	}
	l.Apply(now, n)
	return n
}

func (l *List) inFlight() []Fingerprint {
	out := make([]Fingerprint, 0, len(l.running))
	for f := range l.running {
		out = append(out, f)
	}
	slices.Sort(out)
	return out[:min(len(out), MaxNotice)]
}

// Apply processes a notice of this or another instance.
func (l *List) Apply(now time.Time, n Notice) {
	at := time.Unix(0, n.At)
	for _, f := range truncate(n.Cleared) {
		if e, ok := l.entries[f]; !ok || (e.state != quarantined && e.at.Before(at)) {
			l.put(now, f, entry{cleared, at, at.Add(clearanceTTL)})
		}
	}
	for _, f := range truncate(n.Suspects) {
		l.addSuspect(now, f, at, len(n.Suspects) == 1)
	}
	for _, f := range truncate(n.Quarantined) {
		l.put(now, f, entry{quarantined, at, at.Add(QuarantineTTL)})
	}
}

// addSuspect records that a request was in flight at a crash. A suspect that was alone in flight at a later crash is
// quarantined.
func (l *List) addSuspect(now time.Time, f Fingerprint, at time.Time, alone bool) {
	e, ok := l.entries[f]
	ok = ok && !now.After(e.until)
	switch {
	case ok && (e.state == quarantined || !e.at.Before(at)):
		return
	case ok && e.state == suspected && alone:
		l.put(now, f, entry{quarantined, at, at.Add(QuarantineTTL)})
	default:
		l.put(now, f, entry{suspected, at, at.Add(SuspicionTTL)})
	}
}

func truncate(list []Fingerprint) []Fingerprint { return list[:min(len(list), MaxNotice)] }

// put stores an entry. If the list is full it first removes the expired entries, and if there are none the entry that
// expires first.
func (l *List) put(now time.Time, f Fingerprint, e entry) {
	if !now.Before(e.until) {
		return
	}
	if _, known := l.entries[f]; !known && len(l.entries) >= MaxEntries {
		l.evict(now)
	}
	l.entries[f] = e
}

func (l *List) evict(now time.Time) {
	var first Fingerprint
	var until time.Time
	for f, e := range l.entries {
		if now.After(e.until) {
			delete(l.entries, f)
		} else if until.IsZero() || e.until.Before(until) {
			first, until = f, e.until
		}
	}
	if len(l.entries) >= MaxEntries {
		delete(l.entries, first)
	}
}

// Counts returns the number of suspects and of quarantined requests.
func (l *List) Counts(now time.Time) (suspects, quarantines int) {
	for f := range l.entries {
		switch l.Lookup(now, f) {
		case Suspect:
			suspects++
		case Quarantined:
			quarantines++
		}
	}
	return suspects, quarantines
}
