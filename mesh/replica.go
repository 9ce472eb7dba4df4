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
	// ExpiresIn is set on a removal that has not taken effect: the time until it does.
	ExpiresIn time.Duration
}

func (e Entry) present() bool { return e.Config != nil || e.Target != nil || e.OutOfService != "" }

// ExpiryGrace is the time after an outage of the store for which a target is kept although its entry expired during the
// outage. Live targets are listed again within two seconds of the end of the outage.
const ExpiryGrace = 2500 * time.Millisecond

// Replica is a local replica of the store's entries and builds states from them. It is not safe for concurrent use.
//
// Invariants: the version of the configuration never decreases; an entry never returns to an earlier revision, nor from its
// removal to a revision before it; a target whose entry expired during an outage of the store is kept until ExpiryGrace after
// its end. Changes may thus come from several sources at once and arrive in any order.
type Replica struct {
	revision uint64
	entries  map[string]Entry
	config   *Config
	// expiring maps the keys of targets whose removal has not taken effect to the time at which it does.
	expiring map[string]time.Time
	// graceEnd is the time until which a removal may be an expiry caused by the outage.
	graceEnd time.Time
	// removals holds the latest removals, oldest first. It is complete for revisions above historyStart.
	removals     []removal
	historyStart uint64
	// versions holds earlier versions of large entries, oldest first, as bases of patches.
	versions map[string][]Entry
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
	return &Replica{entries: map[string]Entry{}, expiring: map[string]time.Time{}, versions: map[string][]Entry{}}
}

// Revision returns the store revision up to which the replica is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// StoreRecovered records that the store responds again after an outage, which starts the grace period of expired targets.
func (r *Replica) StoreRecovered(now time.Time) { r.graceEnd = now.Add(ExpiryGrace) }

// Apply applies changes up to revision and reports whether anything changed.
func (r *Replica) Apply(now time.Time, entries []Entry, revision uint64) bool {
	changed := false
	for _, e := range entries {
		changed = r.apply(now, e) || changed
	}
	if r.revision == 0 {
		r.historyStart = revision
	}
	r.revision = max(r.revision, revision)
	return changed
}

// Replace applies a full listing of the store at revision; entries that it does not contain are removed. A listing older than
// the replica is ignored. It reports whether anything changed.
func (r *Replica) Replace(now time.Time, entries []Entry, revision uint64) bool {
	if revision < r.revision {
		return false
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, e := range r.entries {
		if !listed[key] && e.present() {
			entries = append(entries, Entry{Key: key, Revision: revision})
		}
	}
	return r.Apply(now, entries, revision)
}

func (r *Replica) apply(now time.Time, e Entry) bool {
	current, ok := r.entries[e.Key]
	if e.Revision <= r.revision || ok && e.Revision <= current.Revision {
		return false // included already, since the replica is complete up to its revision
	}
	if !ok && !e.present() {
		return false
	}
	if e.Config != nil && (r.config == nil || e.Config.Version > r.config.Version) {
		r.config = e.Config
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
		delete(r.entries, e.Key)
		return current.present()
	}
	r.keepVersion(current)
	r.entries[e.Key] = e
	return true
}

// effectiveFrom returns the time from which on a change takes effect. This is now, except for the removal of a target whose
// entry may only have expired.
func (r *Replica) effectiveFrom(now time.Time, current, e Entry) time.Time {
	if e.present() || current.Target == nil || current.Target.Leaving {
		return now
	}
	if e.ExpiresIn > 0 {
		return now.Add(e.ExpiresIn)
	}
	return r.graceEnd
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

// Expire removes the targets whose grace period has ended and reports whether there were any.
func (r *Replica) Expire(now time.Time) bool {
	changed := false
	for key, until := range r.expiring {
		if now.Before(until) {
			continue
		}
		delete(r.expiring, key)
		delete(r.entries, key)
		changed = true
	}
	return changed
}

// NextExpiry returns the time of the next removal by Expire, or the zero time.
func (r *Replica) NextExpiry() time.Time {
	var next time.Time
	for _, until := range r.expiring {
		if next.IsZero() || until.Before(next) {
			next = until
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
	return newState(r.revision, r.config, targets, outOfService)
}

// Change is a changed entry with the version that the requester has, if known.
type Change struct {
	Entry
	// Base is nil unless the entry is large and its earlier version is kept.
	Base *Entry
}

// Since returns the changes after a revision, removals included. It returns a full listing instead, and reports so, if after
// is 0 or lies before the kept history.
func (r *Replica) Since(now time.Time, after uint64) (changes []Change, full bool) {
	full = after == 0 || after < r.historyStart
	if full {
		after = 0
	}
	for key, e := range r.entries {
		if _, pending := r.expiring[key]; !pending && e.Revision > after {
			changes = append(changes, Change{Entry: e, Base: r.base(key, after)})
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
