// Package quarantine finds requests that crash their targets and prevents them from running again.
//
// A request is identified by its fingerprint. The requests in flight when a target crashes are suspects, except for those that
// the target has answered shortly before. A suspect runs only at one target, its home, and there only one suspect runs at a time
// (its trial). If the target crashes during the trial, the suspect is taken as the cause and is quarantined. If the target
// answers the request, the suspicion is cleared.
//
// List does no I/O: time is passed in as an argument, notices to other instances are arguments and results, and the caller
// serializes the calls. Send a notice to the service's instances before the callers of the requests concerned get their
// responses, so that a resent request reaches only instances that have the notice.
//
// Notices contain no points in time, so that the clocks of instances need not agree: crashes have IDs, and a clearance names the
// crashes that it covers.
//
// Invariants:
//   - If all instances receive the notices and agree on homes, a request that runs at one target at a time crashes at most two
//     until its quarantine ends. If several targets run it at the same moment, it is quarantined after the third crash at the
//     latest.
//   - A request that ran beside a suspect on trial is not made a suspect by the crash.
//   - Notices may be lost, duplicated, reordered or delayed: a suspicion never undoes a clearance of the same crash, and a
//     clearance never undoes a quarantine.
//   - At most MaxEntries fingerprints are kept.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
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
	// clearanceTTL is the time for which a clearance overrides suspicions that arrive late.
	clearanceTTL = time.Minute
	// answeredTTL is the time for which an answered request is not made a suspect by a crash.
	answeredTTL = 10 * time.Second
	// unansweredTTL is the time for which a request that ended without an answer counts as in flight: its target may still be
	// working on it.
	unansweredTTL = time.Second
	// downTTL is the time after its crash for which a target is not chosen as a home. Until then it has usually been removed from
	// the list of targets, or replaced by a new incarnation with another name.
	downTTL = 5 * time.Second
	// crashesToConvict is the number of crashes after which a request is quarantined even if others were in flight each time.
	crashesToConvict = 3
	// MaxEntries is the maximum number of fingerprints kept. Beyond it the entry that expires first is evicted.
	MaxEntries = 4096
	// MaxNotice is the maximum number of records in a notice.
	MaxNotice = 256
	// maxCrashes is the maximum number of crashes kept for a fingerprint, and maxDown the maximum number of crashed targets.
	maxCrashes = 8
	maxDown    = 1024
	// maxLabelBytes is the maximum length of a label.
	maxLabelBytes = 256
)

// Fingerprint is a hash that identifies a request.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Request holds the properties from which a fingerprint is computed: all that a target can tell apart, except what changes when the caller
// sends the request again.
type Request struct {
	// Organisation is the organisation that sent the request, or empty.
	Organisation string
	// Caller is the service that sent the request, or empty if targets are not told.
	Caller string
	// Service is the service that is asked to run the request.
	Service string
	// Route is the name of the route, or the host if routes have no lasting names.
	Route  string
	Method string
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
	for _, part := range [...]string{r.Organisation, r.Caller, r.Service, r.Route, r.Method, r.Target, r.Key} {
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

// Crash is one crash of a target, as evidence against a request that was in flight.
type Crash struct {
	// ID is the same at all instances.
	ID uint64 `cbor:"1,keyasint"`
	// Alone is set if no other request can have been the cause: this one was on trial, or alone in flight.
	Alone bool `cbor:"2,keyasint,omitempty"`
	// Cleared is set if a target has answered the request since.
	Cleared bool `cbor:"3,keyasint,omitempty"`
}

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []Crash     `cbor:"2,keyasint,omitempty"`
	Quarantined bool        `cbor:"3,keyasint,omitempty"`
	// ExpiresInMs is the time in milliseconds for which the record remains valid.
	ExpiresInMs int64 `cbor:"4,keyasint"`
	// Label describes the request to operators. It may be empty.
	Label string `cbor:"5,keyasint,omitempty"`
	// Prefix is set for a request that is known by its head and the start of its body.
	Prefix Prefix `cbor:"6,keyasint,omitzero"`
}

// Notice informs other instances of crashes and clearances.
type Notice struct {
	// From is the sending instance.
	From    string   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint,omitempty"`
	// Down holds the names of targets that have crashed.
	Down []string `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the notice contains nothing.
func (n Notice) Empty() bool { return len(n.Records)+len(n.Down) == 0 }

// Quarantined returns the records of quarantined requests.
func (n Notice) Quarantined() []Record {
	var out []Record
	for _, r := range n.Records {
		if r.Quarantined {
			out = append(out, r)
		}
	}
	return out
}

// entry is what an instance knows of one request.
type entry struct {
	crashes     []Crash
	quarantined bool
	since       time.Time
	until       time.Time
	label       string
	prefix      Prefix
}

// suspected returns the number of crashes that are not cleared, and whether one of them was caused by no other request.
func (e *entry) suspected() (crashes int, alone bool) {
	for _, c := range e.crashes {
		if !c.Cleared {
			crashes++
			alone = alone || c.Alone
		}
	}
	return crashes, alone
}

// Run is one run of a request at the local target.
type Run struct {
	// Fingerprint identifies the request; Label describes it to operators and may be nil.
	Fingerprint Fingerprint
	Label       fmt.Stringer
	// Body is set if the request's body is passed on while it is read, so that its fingerprint follows from what has passed. Fingerprint
	// is that of the request's head then, until the end of the run.
	Body *Digest
	// Prefix is what the fingerprint covers of a request with a long body. It is set by the List if Body is set.
	Prefix Prefix
	// crash is the ID of the crash of the target that ended the run; valid if crashed is set.
	crash   uint64
	crashed bool
}

// Crashed reports whether the run was ended by a crash of the target that has been recorded.
func (r *Run) Crashed() bool { return r.crashed }

// Ending is how a run ended.
type Ending uint8

// Endings.
const (
	// Answered means that the target answered the request.
	Answered Ending = iota + 1
	// Unanswered means that there was no answer; the target may still be working on the request.
	Unanswered
	// NotRun means that the target has not run the request, so that the request is not the cause of a crash.
	NotRun
	// Inconclusive means that nothing follows from the end of the run.
	Inconclusive
)

// unansweredRun is a run that ended without an answer.
type unansweredRun struct {
	run *Run
	at  time.Time
}

// List holds the suspected, quarantined and cleared requests known to one instance. Create it with New. It is not safe for
// concurrent use.
type List struct {
	self    string
	entries map[Fingerprint]*entry
	running map[*Run]struct{}
	// trial is the suspect that runs here, or nil.
	trial *Run
	// unanswered holds the runs that ended without an answer, oldest first.
	unanswered []unansweredRun
	// answered holds the requests answered in the present period of answeredTTL, answeredBefore those of the one before.
	answered, answeredBefore map[Fingerprint]struct{}
	answeredSince            time.Time
	// down holds the end of downTTL for each target that has crashed.
	down map[string]time.Time
}

// New returns an empty list for the named instance.
func New(self string) *List {
	return &List{
		self: self, entries: map[Fingerprint]*entry{}, running: map[*Run]struct{}{},
		answered: map[Fingerprint]struct{}{}, answeredBefore: map[Fingerprint]struct{}{}, down: map[string]time.Time{},
	}
}

// Lookup returns the state of a request for a frontend: Unsuspected, Suspect or Quarantined.
func (l *List) Lookup(now time.Time, f Fingerprint) Verdict {
	e := l.entry(now, f)
	if e == nil {
		return Unsuspected
	}
	if e.quarantined {
		return Quarantined
	}
	if crashes, _ := e.suspected(); crashes > 0 {
		return Suspect
	}
	return Unsuspected
}

// entry returns the entry of a request, or nil if there is none or it has expired.
func (l *List) entry(now time.Time, f Fingerprint) *entry {
	if len(l.entries) == 0 {
		return nil
	}
	e := l.entries[f]
	if e == nil || now.After(e.until) {
		return nil
	}
	return e
}

// Home returns the target at which a suspect runs. Targets that have crashed lately are used only if there is no other.
func (l *List) Home(now time.Time, f Fingerprint, targets []string) string {
	up := slices.DeleteFunc(slices.Clone(targets), func(name string) bool { return now.Before(l.down[name]) })
	if len(up) == 0 {
		up = targets
	}
	return Home(f, up)
}

// Begin asks to run a request at this instance's target. The request may run if the verdict is Unsuspected, or Suspect with
// home set. End must then be called with the run.
func (l *List) Begin(now time.Time, r *Run, home bool) Verdict {
	v := l.Lookup(now, r.Fingerprint)
	switch {
	case v == Quarantined || (v == Suspect && !home):
		return v
	case v == Suspect && l.trial != nil:
		return Busy
	case v == Suspect:
		l.trial = r
	}
	l.running[r] = struct{}{}
	return v
}

// End records the end of a run. The returned notice announces a clearance; send it unless it is Empty.
func (l *List) End(now time.Time, r *Run, how Ending) Notice {
	delete(l.running, r)
	r.identify()
	if l.trial == r {
		l.trial = nil
	}
	switch how {
	case Answered:
		l.addAnswered(now, r.Fingerprint)
		return l.clear(now, r.Fingerprint, func(Crash) bool { return true })
	case Unanswered:
		if !r.crashed {
			l.addUnanswered(now, r)
		}
	case NotRun:
		if r.crashed {
			return l.clear(now, r.Fingerprint, func(c Crash) bool { return c.ID == r.crash })
		}
	case Inconclusive:
	}
	return Notice{}
}

// clear clears the crashes of a suspect that are selected, and returns the notice of it.
func (l *List) clear(now time.Time, f Fingerprint, selected func(Crash) bool) Notice {
	if l.Lookup(now, f) != Suspect {
		return Notice{}
	}
	e := l.entries[f]
	for i, c := range e.crashes {
		e.crashes[i].Cleared = c.Cleared || selected(c)
	}
	if crashes, _ := e.suspected(); crashes == 0 {
		e.until = now.Add(clearanceTTL)
	}
	return Notice{From: l.self, Records: []Record{l.record(now, f)}}
}

// Unanswered returns the number of runs that ended lately without an answer, so that their target may still crash.
func (l *List) Unanswered(now time.Time) int {
	n := 0
	for _, u := range l.unanswered {
		if now.Sub(u.at) < unansweredTTL {
			n++
		}
	}
	return n
}

// addUnanswered remembers a run that ended without an answer.
func (l *List) addUnanswered(now time.Time, r *Run) {
	expired := 0
	for expired < len(l.unanswered) && now.Sub(l.unanswered[expired].at) >= unansweredTTL {
		expired++
	}
	if len(l.unanswered)-expired >= MaxNotice {
		expired++
	}
	l.unanswered = append(l.unanswered[expired:], unansweredRun{r, now})
}

// addAnswered remembers an answered request.
func (l *List) addAnswered(now time.Time, f Fingerprint) {
	if age := now.Sub(l.answeredSince); age >= answeredTTL {
		l.answeredSince = now
		l.answered, l.answeredBefore = l.answeredBefore, l.answered
		clear(l.answered)
		if age >= 2*answeredTTL {
			clear(l.answeredBefore)
		}
	}
	if len(l.answered) < MaxEntries {
		l.answered[f] = struct{}{}
	}
}

// answeredLately reports whether the local target has answered a request within answeredTTL, or a little longer ago: at most twice
// that.
func (l *List) answeredLately(now time.Time, f Fingerprint) bool {
	age := now.Sub(l.answeredSince)
	_, present := l.answered[f]
	_, before := l.answeredBefore[f]
	return present && age < 2*answeredTTL || before && age < answeredTTL
}

// Crashed records a crash of the instance's target, which has the given name. The ID must be different for each crash. Call it
// once for each crash, before End of the requests that the crash ended. The suspect on trial is quarantined; without a trial all
// requests in flight become suspects.
func (l *List) Crashed(now time.Time, id uint64, target string) Notice {
	suspects := map[Fingerprint]*Run{}
	for r := range l.running {
		r.crash, r.crashed = id, true
		r.identify()
		if l.trial == nil && !r.unidentified() && !l.answeredLately(now, r.Fingerprint) {
			suspects[r.Fingerprint] = r
		}
	}
	if l.trial != nil {
		suspects[l.trial.Fingerprint] = l.trial
		l.trial = nil
	} else {
		for _, u := range l.unanswered {
			if now.Sub(u.at) < unansweredTTL && !u.run.unidentified() && !l.answeredLately(now, u.run.Fingerprint) {
				suspects[u.run.Fingerprint] = u.run
			}
		}
	}
	l.unanswered = nil
	clear(l.running)
	n := Notice{From: l.self, Down: []string{target}}
	for f, r := range suspects {
		record := Record{Fingerprint: f, Crashes: []Crash{{ID: id, Alone: len(suspects) == 1}}, ExpiresInMs: SuspicionTTL.Milliseconds(), Prefix: r.Prefix}
		if r.Label != nil {
			record.Label = r.Label.String()
		}
		n.Records = append(n.Records, record)
	}
	slices.SortFunc(n.Records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	n.Records = n.Records[:min(len(n.Records), MaxNotice)]
	l.Apply(now, n)
	for i, r := range n.Records {
		n.Records[i] = l.record(now, r.Fingerprint)
	}
	return n
}

// record returns the record of a known request.
func (l *List) record(now time.Time, f Fingerprint) Record {
	e := l.entries[f]
	return Record{
		Fingerprint: f, Crashes: slices.Clone(e.crashes), Quarantined: e.quarantined, ExpiresInMs: e.until.Sub(now).Milliseconds(), Label: e.label,
		Prefix: e.prefix,
	}
}

// Apply processes a notice of this or another instance, and reports whether it contained news.
func (l *List) Apply(now time.Time, n Notice) bool {
	news := false
	for _, r := range n.Records[:min(len(n.Records), MaxNotice)] {
		news = l.merge(now, r) || news
	}
	for _, name := range n.Down[:min(len(n.Down), MaxNotice)] {
		if !now.Before(l.down[name]) {
			l.addDown(now, name)
			news = true
		}
	}
	return news
}

// merge adds what a record says to what is known, and reports whether it contained news.
func (l *List) merge(now time.Time, r Record) bool {
	expiresIn := time.Duration(min(r.ExpiresInMs, QuarantineTTL.Milliseconds())) * time.Millisecond
	if expiresIn <= 0 || (len(r.Crashes) == 0 && !r.Quarantined) {
		return false
	}
	known := l.entry(now, r.Fingerprint)
	e := known
	if e == nil {
		e = &entry{since: now, label: r.Label[:min(len(r.Label), maxLabelBytes)], prefix: r.Prefix}
	}
	news := false
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashes)] {
		news = e.addCrash(c) || news
	}
	crashes, alone := e.suspected()
	if !e.quarantined && (r.Quarantined || crashes >= crashesToConvict || crashes > 1 && alone) {
		e.quarantined, news = true, true
	}
	if !news {
		return false
	}
	ttl := clearanceTTL
	switch {
	case e.quarantined:
		ttl = QuarantineTTL
	case crashes > 0:
		ttl = SuspicionTTL
	}
	if known != nil || !r.Quarantined && e.quarantined {
		expiresIn = ttl
	}
	e.until = now.Add(min(ttl, expiresIn))
	if known == nil {
		l.put(now, r.Fingerprint, e)
	}
	return true
}

// addCrash adds a crash and reports whether it, or its clearance, was unknown.
func (e *entry) addCrash(c Crash) bool {
	i := slices.IndexFunc(e.crashes, func(known Crash) bool { return known.ID == c.ID })
	if i < 0 {
		if len(e.crashes) >= maxCrashes {
			cleared := slices.IndexFunc(e.crashes, func(known Crash) bool { return known.Cleared })
			if cleared < 0 {
				return false
			}
			e.crashes = slices.Delete(e.crashes, cleared, cleared+1)
		}
		e.crashes = append(e.crashes, c)
		return true
	}
	merged := Crash{ID: c.ID, Alone: c.Alone || e.crashes[i].Alone, Cleared: c.Cleared || e.crashes[i].Cleared}
	news := merged != e.crashes[i]
	e.crashes[i] = merged
	return news
}

// addDown records that a target has crashed.
func (l *List) addDown(now time.Time, name string) {
	if len(l.down) >= maxDown {
		maps.DeleteFunc(l.down, func(_ string, until time.Time) bool { return now.After(until) })
	}
	if len(l.down) >= maxDown {
		clear(l.down)
	}
	l.down[name] = now.Add(downTTL)
}

// put stores an entry. If the list is full it first removes the expired entries, and if there are none the entry that
// expires first.
func (l *List) put(now time.Time, f Fingerprint, e *entry) {
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

// About returns what is known of a request and of crashed targets, for an instance that handles the request too. It is empty if
// the request has not been in flight at a crash.
func (l *List) About(now time.Time, f Fingerprint) Notice {
	if l.entry(now, f) == nil {
		return Notice{}
	}
	return Notice{From: l.self, Records: []Record{l.record(now, f)}, Down: l.downTargets(now)}
}

// All returns what is known of all suspected and quarantined requests, as far as it fits in a notice, quarantined ones first.
func (l *List) All(now time.Time) Notice {
	n := Notice{From: l.self, Down: l.downTargets(now)}
	for _, held := range l.Held(now) {
		n.Records = append(n.Records, l.record(now, held.Fingerprint))
	}
	n.Records = n.Records[:min(len(n.Records), MaxNotice)]
	return n
}

func (l *List) downTargets(now time.Time) []string {
	var out []string
	for name, until := range l.down {
		if now.Before(until) && len(out) < MaxNotice {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Held describes a request that is suspected or quarantined.
type Held struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	// Since is the time since which this instance has known of it, Until the time at which it is released. Crashes is the number of
	// crashes that it is suspected of.
	Since, Until time.Time
	Crashes      int
	Label        string
}

// Held returns the suspected and quarantined requests: quarantined ones first, and those by fingerprint.
func (l *List) Held(now time.Time) []Held {
	var out []Held
	for f, e := range l.entries {
		if v := l.Lookup(now, f); v != Unsuspected {
			crashes, _ := e.suspected()
			out = append(out, Held{Fingerprint: f, Verdict: v, Since: e.since, Until: e.until, Crashes: crashes, Label: e.label})
		}
	}
	slices.SortFunc(out, func(a, b Held) int {
		return cmp.Or(-cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
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
