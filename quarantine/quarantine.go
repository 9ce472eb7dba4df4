// Package quarantine finds requests that crash their targets and keeps them from doing so again.
//
// A request is known by its fingerprint. The requests in flight when a target crashes are suspects. A suspect runs only at one
// instance, its home, and there only one suspect at a time. If the target crashes again meanwhile, the suspect is the cause:
// it is quarantined everywhere. If it succeeds it is cleared everywhere.
//
// Decisions are pure: time comes in as an argument, notices to other instances go out and in as values, the caller
// serializes. Send the notice of a crash to the service's instances before the crashed requests' callers are answered, so
// that a resend meets instances that know.
//
// Invariants:
//   - While all instances hear the notices and agree on homes, a request crashes at most two targets until its quarantine
//     ends.
//   - A request that ran beside a suspect under trial is not blamed for its crash.
//   - Notices may be lost, doubled or late: a clearance is never undone by an older suspicion, and a quarantine never by a
//     clearance.
//   - At most MaxEntries fingerprints are kept.
package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times and bounds.
const (
	// SuspectLife is the time for which a suspicion is kept.
	SuspectLife = 10 * time.Minute
	// QuarantineLife is the time for which a request stays quarantined.
	QuarantineLife = time.Hour
	// clearLife is the time for which a clearance outweighs older suspicions that come late.
	clearLife = time.Minute
	// MaxEntries is the number of fingerprints kept; beyond it the one that ends first is forgotten.
	MaxEntries = 4096
	// MaxNotice is the number of fingerprints of each kind in one notice.
	MaxNotice = 256
)

// Fingerprint tells requests apart.
type Fingerprint uint64

// Request is what a fingerprint is made of.
type Request struct {
	Organisation string
	Route        string
	Method       string
	// Target is the path with its query.
	Target string
	// Key is the idempotency key, or empty.
	Key string
	// BodyDigest is a digest of the body, or 0 if the request has none or a Key.
	BodyDigest uint64
}

// Of returns the fingerprint of a request.
func Of(r Request) Fingerprint {
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

// Home returns the instance at which a suspect runs: the first by rendezvous hashing. It returns "" for no instances.
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

// Verdict is a decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Free requests are not suspected.
	Free Verdict = iota + 1
	// Suspect requests run only at their home.
	Suspect
	// Busy says that another suspect is on trial at this instance; retry after it.
	Busy
	// Quarantined requests don't run.
	Quarantined
)

// Remedy returns what to do on a verdict that refuses; it is empty for the others.
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

// Notice tells other instances of the service. Times are nanoseconds since 1970.
type Notice struct {
	// From is the instance that says so, At the time of the crash or of the clearance.
	From        string        `cbor:"1,keyasint"`
	At          int64         `cbor:"2,keyasint"`
	Suspects    []Fingerprint `cbor:"3,keyasint,omitempty"`
	Quarantined []Fingerprint `cbor:"4,keyasint,omitempty"`
	Cleared     []Fingerprint `cbor:"5,keyasint,omitempty"`
}

// Empty reports whether the notice says nothing.
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

// List is what one instance knows. Create it with New.
type List struct {
	self    string
	entries map[Fingerprint]entry
	running map[Fingerprint]int
	// trial is the suspect that runs here; onTrial says whether there is one.
	trial   Fingerprint
	onTrial bool
}

// New returns an empty list of an instance.
func New(self string) *List {
	return &List{self: self, entries: map[Fingerprint]entry{}, running: map[Fingerprint]int{}}
}

// Judge returns what is known of a request, for a frontend: Free, Suspect or Quarantined.
func (l *List) Judge(now time.Time, f Fingerprint) Verdict {
	if len(l.entries) == 0 {
		return Free
	}
	e, ok := l.entries[f]
	if !ok || now.After(e.until) {
		return Free
	}
	switch e.state {
	case suspected:
		return Suspect
	case quarantined:
		return Quarantined
	}
	return Free
}

// Begin asks to run a request at this instance's target. It runs if the verdict is Free, or Suspect with home set; then End
// must be called.
func (l *List) Begin(now time.Time, f Fingerprint, home bool) Verdict {
	v := l.Judge(now, f)
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

// End says that a request is over and whether it succeeded. The notice tells others of a clearance; send it unless Empty.
func (l *List) End(now time.Time, f Fingerprint, succeeded bool) Notice {
	if l.running[f]--; l.running[f] <= 0 {
		delete(l.running, f)
	}
	if l.onTrial && l.trial == f {
		l.onTrial = false
	}
	if !succeeded || l.Judge(now, f) != Suspect {
		return Notice{}
	}
	l.put(now, f, entry{cleared, now, now.Add(clearLife)})
	return Notice{From: l.self, At: now.UnixNano(), Cleared: []Fingerprint{f}}
}

// Crashed says that the instance's target crashed. Call it once for each crash, before End of the requests that it ended.
// The notice names a suspect on trial as the cause, or else all requests in flight as suspects.
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

// Apply takes a notice, this instance's own or another's.
func (l *List) Apply(now time.Time, n Notice) {
	at := time.Unix(0, n.At)
	for _, f := range bounded(n.Cleared) {
		if e, ok := l.entries[f]; !ok || (e.state != quarantined && e.at.Before(at)) {
			l.put(now, f, entry{cleared, at, at.Add(clearLife)})
		}
	}
	for _, f := range bounded(n.Suspects) {
		l.suspect(now, f, at, len(n.Suspects) == 1)
	}
	for _, f := range bounded(n.Quarantined) {
		l.put(now, f, entry{quarantined, at, at.Add(QuarantineLife)})
	}
}

// suspect takes a crash. A request that was alone in flight at its second crash is the cause.
func (l *List) suspect(now time.Time, f Fingerprint, at time.Time, alone bool) {
	e, ok := l.entries[f]
	ok = ok && !now.After(e.until)
	switch {
	case ok && (e.state == quarantined || !e.at.Before(at)):
		return
	case ok && e.state == suspected && alone:
		l.put(now, f, entry{quarantined, at, at.Add(QuarantineLife)})
	default:
		l.put(now, f, entry{suspected, at, at.Add(SuspectLife)})
	}
}

func bounded(list []Fingerprint) []Fingerprint { return list[:min(len(list), MaxNotice)] }

// put keeps an entry and forgets the ended ones, and if need be the one that ends first, when the list is full.
func (l *List) put(now time.Time, f Fingerprint, e entry) {
	if !now.Before(e.until) {
		return
	}
	if _, known := l.entries[f]; !known && len(l.entries) >= MaxEntries {
		l.makeRoom(now)
	}
	l.entries[f] = e
}

func (l *List) makeRoom(now time.Time) {
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
func (l *List) Counts(now time.Time) (suspects, isolated int) {
	for f := range l.entries {
		switch l.Judge(now, f) {
		case Suspect:
			suspects++
		case Quarantined:
			isolated++
		}
	}
	return suspects, isolated
}
