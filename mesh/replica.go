package mesh

import "time"

// Entry is one decoded entry of the store. Exactly one of Config, Target and OutOfService is set, or none if the entry was
// removed or is invalid.
type Entry struct {
	// Key is the key of the entry in the store.
	Key string
	// Revision is the store revision of the entry's last change.
	Revision uint64
	Config   *Config
	Target   *Target
	// OutOfService is the name of a failure domain that is out of service while the entry exists.
	OutOfService string
	// Raw is the undecoded value, kept to be sent to other processes.
	Raw []byte
	// ExpiresIn is set on a removal that has not taken effect, and on an entry whose removal has not: the time until it does.
	ExpiresIn time.Duration
	// EffectiveIn is set on an entry that is not in effect yet: the time until it is.
	EffectiveIn time.Duration
}

func (e Entry) present() bool { return e.Config != nil || e.Target != nil || e.OutOfService != "" }

// ExpiryGrace is the time after an outage of the store for which a target is kept although its entry expired during the
// outage, and the time after a restore of the store for which what was known before prevails over the copy. Live targets are listed
// again, and lost changes written again, within two seconds of the end of the outage.
const ExpiryGrace = 2500 * time.Millisecond

// Replica is a local replica of the store's entries and builds states from them. It is not safe for concurrent use.
//
// Invariants: the position never decreases; the version of the configuration never decreases; a target that is leaving does not
// become ready again within its incarnation; within an epoch, an entry never returns to an earlier revision, nor from its removal to
// a revision before it; a target whose entry expired during an outage of the store is kept until ExpiryGrace after its end. Changes
// may thus come from several sources at once and arrive in any order.
//
// The first listing of a later epoch is one of a restored store: entries that it lacks, and entries that it has although they are
// known to have been removed, may be those of a copy that is out of date. Neither takes effect before ExpiryGrace has passed,
// within which the store gets the lost changes again. After that the listing applies.
type Replica struct {
	position Position
	entries  map[string]Entry
	config   *Config
	// expiring maps the keys of entries whose removal has not taken effect to the time at which it does.
	expiring map[string]time.Time
	// held holds entries that are not in effect yet, by key.
	held map[string]heldEntry
	// graceEnd is the time until which a removal may be an expiry caused by the outage.
	graceEnd time.Time
	// removals holds the latest removals of this epoch, oldest first. It is complete for revisions above historyStart.
	removals     []removal
	historyStart uint64
	// removed holds the last content of removed entries by key, at most maxRemovals.
	removed map[string]Entry
	// versions holds earlier versions of large entries, oldest first, as bases of patches.
	versions map[string][]Entry
}

// heldEntry is an entry that takes effect at a time.
type heldEntry struct {
	entry Entry
	from  time.Time
}

// removal is the removal of an entry.
type removal struct {
	key      string
	revision uint64
}

// Limits of the history kept for other processes.
const (
	// maxRemovals is the number of removals kept: some minutes of an ordinary day of the largest fleet.
	maxRemovals = 1024
	// largeEntry is the size in bytes from which on earlier versions of an entry are kept, maxVersions the number of these.
	largeEntry  = 4 << 10
	maxVersions = 3
)

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		entries: map[string]Entry{}, expiring: map[string]time.Time{}, held: map[string]heldEntry{},
		removed: map[string]Entry{}, versions: map[string][]Entry{},
	}
}

// Position returns the position of the store up to which the replica is complete.
func (r *Replica) Position() Position { return r.position }

// StoreRecovered records that the store responds again after an outage, which starts the grace period of expired targets.
func (r *Replica) StoreRecovered(now time.Time) { r.graceEnd = now.Add(ExpiryGrace) }

// Apply applies changes up to a position and reports whether anything changed. Changes of another epoch are ignored.
func (r *Replica) Apply(now time.Time, entries []Entry, to Position) bool {
	if r.position.Revision > 0 && to.Epoch != r.position.Epoch {
		return false
	}
	return r.applyAll(now, entries, to)
}

func (r *Replica) applyAll(now time.Time, entries []Entry, to Position) bool {
	changed := false
	for _, e := range entries {
		changed = r.apply(now, e) || changed
	}
	if r.position.Revision == 0 {
		r.historyStart = to.Revision
	}
	if to.After(r.position) {
		r.position = to
	}
	return changed
}

// Replace applies a full listing of the store at a position; entries that it does not contain are removed. A listing older than
// the replica is ignored. It reports whether anything changed.
func (r *Replica) Replace(now time.Time, entries []Entry, at Position) bool {
	if r.position.After(at) {
		return false
	}
	expiresIn := time.Duration(0)
	if r.position.Revision > 0 && at.Epoch != r.position.Epoch {
		expiresIn = ExpiryGrace
		entries = r.beginEpoch(entries, at.Epoch)
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, e := range r.entries {
		if !listed[key] && e.present() {
			entries = append(entries, Entry{Key: key, Revision: at.Revision, ExpiresIn: expiresIn})
		}
	}
	for key := range r.held {
		if !listed[key] {
			entries = append(entries, Entry{Key: key, Revision: at.Revision})
		}
	}
	return r.applyAll(now, entries, at)
}

// beginEpoch prepares the replica for the first listing of an epoch and returns the listing, in which the entries that are known to
// be out of date have their EffectiveIn set. The known entries precede all revisions of the epoch, except those that stand for an entry
// not in effect yet.
func (r *Replica) beginEpoch(listing []Entry, epoch uint64) []Entry {
	out := make([]Entry, 0, len(listing))
	heldRevisions := map[string]uint64{}
	for _, e := range listing {
		if r.outOfDate(e) {
			if e.ExpiresIn > 0 {
				continue
			}
			e.EffectiveIn = max(e.EffectiveIn, ExpiryGrace)
			heldRevisions[e.Key] = e.Revision
		}
		out = append(out, e)
	}
	for key, e := range r.entries {
		e.Revision = heldRevisions[key]
		r.entries[key] = e
	}
	r.position = Position{Epoch: epoch}
	r.removals = nil
	clear(r.expiring) // the grace period starts again
	clear(r.held)
	clear(r.versions)
	return out
}

// outOfDate reports whether an entry of a restored store is known to have been removed, or replaced by a later incarnation.
func (r *Replica) outOfDate(e Entry) bool {
	if current, ok := r.entries[e.Key]; ok && current.present() {
		return e.Target != nil && current.Target != nil && e.Target.StartedMs < current.Target.StartedMs
	}
	removed, ok := r.removed[e.Key]
	switch {
	case !ok:
		return false
	case e.Target != nil && removed.Target != nil:
		return e.Target.StartedMs <= removed.Target.StartedMs
	}
	return e.OutOfService != "" && removed.OutOfService != ""
}

func (r *Replica) apply(now time.Time, e Entry) bool {
	current, ok := r.entries[e.Key]
	if e.Revision <= r.position.Revision {
		return false // included already, since the replica is complete up to its position
	}
	if e.EffectiveIn > 0 {
		r.held[e.Key] = heldEntry{e, now.Add(e.EffectiveIn)}
		return false
	}
	h, isHeld := r.held[e.Key]
	if ok && e.Revision <= current.Revision || isHeld && e.Revision < h.entry.Revision || !ok && !isHeld && !e.present() {
		return false
	}
	delete(r.held, e.Key)
	if !e.present() && current.Config != nil {
		e.Config, e.Raw = current.Config, current.Raw // a configuration stays in force
	}
	if !e.present() {
		r.recordRemoval(e.Key, e.Revision)
	}
	if until := r.effectiveFrom(now, current, e); until.After(now) {
		if _, pending := r.expiring[e.Key]; !pending {
			r.expiring[e.Key] = until
		}
		current.Revision = e.Revision
		r.entries[e.Key] = current
		return false
	}
	delete(r.expiring, e.Key)
	if !e.present() {
		r.remove(e.Key)
		return current.present()
	}
	if e.ExpiresIn > 0 {
		r.recordRemoval(e.Key, e.Revision) // for processes that get the changes from this one
		r.expiring[e.Key] = now.Add(e.ExpiresIn)
		e.ExpiresIn = 0
	}
	r.keepVersion(current)
	r.put(e)
	return true
}

// put stores an entry, with the known content instead if that is later.
func (r *Replica) put(e Entry) {
	known, ok := r.entries[e.Key]
	if !ok {
		known = r.removed[e.Key]
	}
	switch {
	case e.Config != nil && known.Config != nil && known.Config.Version > e.Config.Version:
		e.Config, e.Raw = known.Config, known.Raw
	case e.Target != nil && !e.Target.Leaving && known.Target != nil && known.Target.Leaving &&
		e.Target.StartedMs != 0 && e.Target.StartedMs == known.Target.StartedMs:
		e.Target, e.Raw = known.Target, known.Raw
	}
	if e.Config != nil && (r.config == nil || e.Config.Version > r.config.Version) {
		r.config = e.Config
	}
	delete(r.removed, e.Key)
	r.entries[e.Key] = e
}

// remove removes an entry and remembers its content.
func (r *Replica) remove(key string) {
	if len(r.removed) >= maxRemovals {
		clear(r.removed)
	}
	if e, ok := r.entries[key]; ok && e.present() {
		r.removed[key] = e
	}
	delete(r.entries, key)
}

// effectiveFrom returns the time from which on a change takes effect. This is now, except for a removal that may be one by a restore
// of the store, and for the removal of a target whose entry may only have expired. A target that is leaving is removed at once.
func (r *Replica) effectiveFrom(now time.Time, current, e Entry) time.Time {
	isTarget := current.Target != nil && !current.Target.Leaving
	switch {
	case e.present():
		return now
	case e.ExpiresIn > 0 && (isTarget || current.OutOfService != ""):
		return now.Add(e.ExpiresIn)
	case isTarget:
		return r.graceEnd
	}
	return now
}

func (r *Replica) recordRemoval(key string, revision uint64) {
	r.removals = append(r.removals, removal{key, revision})
	if n := len(r.removals) - maxRemovals; n > 0 {
		r.historyStart = r.removals[n-1].revision
		r.removals = r.removals[n:]
	}
}

func (r *Replica) keepVersion(old Entry) {
	if len(old.Raw) < largeEntry {
		return
	}
	list := append(r.versions[old.Key], old)
	r.versions[old.Key] = list[max(len(list)-maxVersions, 0):]
}

// Expire lets the removals and entries take effect whose time has come, and reports whether there were any.
func (r *Replica) Expire(now time.Time) bool {
	changed := false
	for key, until := range r.expiring {
		if now.Before(until) {
			continue
		}
		delete(r.expiring, key)
		r.remove(key)
		changed = true
	}
	for key, h := range r.held {
		if now.Before(h.from) {
			continue
		}
		delete(r.held, key)
		h.entry.EffectiveIn = 0
		r.put(h.entry)
		changed = true
	}
	return changed
}

// NextExpiry returns the next time at which Expire changes anything, or the zero time.
func (r *Replica) NextExpiry() time.Time {
	var next time.Time
	for _, until := range r.expiring {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for _, h := range r.held {
		if next.IsZero() || h.from.Before(next) {
			next = h.from
		}
	}
	return next
}

// State builds the state from all entries.
func (r *Replica) State() *State {
	targets, outOfService := map[string]*Target{}, map[string]bool{}
	for key, e := range r.entries {
		switch {
		case e.Target != nil:
			targets[key] = e.Target
		case e.OutOfService != "":
			outOfService[e.OutOfService] = true
		}
	}
	return newState(r.position, r.config, targets, outOfService)
}

// Change is a changed entry with the version that the requester has, if known.
type Change struct {
	Entry
	// Base is nil unless the entry is large and its earlier version is kept.
	Base *Entry
}

// Since returns the changes after a position, removals included. It returns a full listing instead, and reports so, if the position
// is zero, lies before the kept history, or is one of another epoch.
func (r *Replica) Since(now time.Time, position Position) (changes []Change, full bool) {
	after := position.Revision
	full = after == 0 || after < r.historyStart || position.Epoch != r.position.Epoch
	if full {
		after = 0
	}
	for key, e := range r.entries {
		until, pending := r.expiring[key]
		switch {
		case pending && !full:
			continue // see below
		case pending:
			e.ExpiresIn = max(until.Sub(now), 1)
		}
		if full || e.Revision > after {
			changes = append(changes, Change{Entry: e, Base: r.base(key, after)})
		}
	}
	for _, h := range r.held {
		if e := h.entry; full || e.Revision > after {
			e.EffectiveIn = max(h.from.Sub(now), 1)
			changes = append(changes, Change{Entry: e})
		}
	}
	if full {
		return changes, true
	}
	for _, removed := range r.removals {
		if e, exists := r.entries[removed.key]; removed.revision > after && (!exists || e.Revision == removed.revision) {
			expiresIn := time.Duration(0)
			if until, pending := r.expiring[removed.key]; pending {
				expiresIn = max(until.Sub(now), 1)
			}
			changes = append(changes, Change{Entry: Entry{Key: removed.key, Revision: removed.revision, ExpiresIn: expiresIn}})
		}
	}
	return changes, false
}

// base returns the version of a large entry that was current at a revision, or nil.
func (r *Replica) base(key string, at uint64) *Entry {
	if at == 0 {
		return nil
	}
	list := r.versions[key]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Revision <= at {
			return &list[i]
		}
	}
	return nil
}

// Entry returns the entry stored under key.
func (r *Replica) Entry(key string) (Entry, bool) {
	e, ok := r.entries[key]
	return e, ok
}
