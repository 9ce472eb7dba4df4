package mesh

import "time"

// Fact is one decoded entry of the store. Exactly one of Config, Target and Out is set, or none if the entry was removed or is
// invalid.
type Fact struct {
	// Key is the key of the entry in the store.
	Key string
	// Revision is the store revision of the entry's last change.
	Revision uint64
	Config   *Config
	Target   *Target
	// Out is the name of a failure domain that is out of service while the entry exists.
	Out string
	// Raw is the undecoded value, kept to be sent to other processes.
	Raw []byte
	// ExpiresIn is set on a removal that has not taken effect: the time until it does.
	ExpiresIn time.Duration
}

func (e Fact) present() bool { return e.Config != nil || e.Target != nil || e.Out != "" }

// ExpiryGrace is the time after an outage of the store for which a target is kept although its entry expired during the
// outage. Live targets are listed again within two seconds of the end of the outage.
const ExpiryGrace = 2500 * time.Millisecond

// Book is a local replica of the store's entries and builds states from them. It is not safe for concurrent use.
//
// Invariants: the version of the configuration never decreases; an entry never returns to an earlier revision; a target whose
// entry expired during an outage of the store is kept until ExpiryGrace after its end.
type Book struct {
	revision uint64
	entries  map[string]Fact
	config   *Config
	// expiring maps the keys of targets whose removal has not taken effect to the time at which it does.
	expiring map[string]time.Time
	// graceEnd is the time until which a removal may be an expiry caused by the outage.
	graceEnd time.Time
	// removals holds the latest removals, oldest first. It is complete for revisions above historyStart.
	removals     []removal
	historyStart uint64
	// versions holds earlier versions of large entries, oldest first, as bases of patches.
	versions map[string][]Fact
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

// NewBook returns an empty replica.
func NewBook() *Book {
	return &Book{entries: map[string]Fact{}, expiring: map[string]time.Time{}, versions: map[string][]Fact{}}
}

// Revision returns the store revision up to which the replica is complete.
func (b *Book) Revision() uint64 { return b.revision }

// StoreRecovered records that the store responds again after an outage, which starts the grace period of expired targets.
func (b *Book) StoreRecovered(now time.Time) { b.graceEnd = now.Add(ExpiryGrace) }

// Apply applies changes up to revision and reports whether anything changed.
func (b *Book) Apply(now time.Time, entries []Fact, revision uint64) bool {
	changed := false
	for _, e := range entries {
		changed = b.apply(now, e) || changed
	}
	if b.revision == 0 {
		b.historyStart = revision
	}
	b.revision = max(b.revision, revision)
	return changed
}

// Replace applies a full listing of the store at revision; entries that it does not contain are removed. A listing older than
// the replica is ignored. It reports whether anything changed.
func (b *Book) Replace(now time.Time, entries []Fact, revision uint64) bool {
	if revision < b.revision {
		return false
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, e := range b.entries {
		if !listed[key] && e.present() {
			entries = append(entries, Fact{Key: key, Revision: revision})
		}
	}
	return b.Apply(now, entries, revision)
}

func (b *Book) apply(now time.Time, e Fact) bool {
	current, ok := b.entries[e.Key]
	if ok && e.Revision <= current.Revision {
		return false
	}
	if !ok && !e.present() {
		return false
	}
	if e.Config != nil && (b.config == nil || e.Config.Version > b.config.Version) {
		b.config = e.Config
	}
	if !e.present() {
		b.recordRemoval(e.Key, e.Revision)
	}
	if until := b.effectiveFrom(now, current, e); until.After(now) {
		if _, pending := b.expiring[e.Key]; !pending {
			b.expiring[e.Key] = until
		}
		current.Revision = e.Revision
		b.entries[e.Key] = current
		return false
	}
	delete(b.expiring, e.Key)
	if !e.present() {
		delete(b.entries, e.Key)
		return current.present()
	}
	b.keepVersion(current)
	b.entries[e.Key] = e
	return true
}

// effectiveFrom returns the time from which on a change takes effect. This is now, except for the removal of a target whose
// entry may only have expired.
func (b *Book) effectiveFrom(now time.Time, current, e Fact) time.Time {
	if e.present() || current.Target == nil || current.Target.Leaving {
		return now
	}
	if e.ExpiresIn > 0 {
		return now.Add(e.ExpiresIn)
	}
	return b.graceEnd
}

func (b *Book) recordRemoval(key string, revision uint64) {
	b.removals = append(b.removals, removal{key, revision})
	if n := len(b.removals) - maxRemovals; n > 0 {
		b.historyStart = b.removals[n-1].revision
		b.removals = b.removals[n:]
	}
}

func (b *Book) keepVersion(old Fact) {
	if len(old.Raw) < largeEntry {
		return
	}
	list := append(b.versions[old.Key], old)
	b.versions[old.Key] = list[max(len(list)-maxVersions, 0):]
}

// Expire removes the targets whose grace period has ended and reports whether there were any.
func (b *Book) Expire(now time.Time) bool {
	changed := false
	for key, until := range b.expiring {
		if now.Before(until) {
			continue
		}
		delete(b.expiring, key)
		delete(b.entries, key)
		changed = true
	}
	return changed
}

// NextExpiry returns the time of the next removal by Expire, or the zero time.
func (b *Book) NextExpiry() time.Time {
	var next time.Time
	for _, until := range b.expiring {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// State builds the state from all entries.
func (b *Book) State() *State {
	targets, out := map[string]*Target{}, map[string]bool{}
	for key, e := range b.entries {
		switch {
		case e.Target != nil:
			targets[key] = e.Target
		case e.Out != "":
			out[e.Out] = true
		}
	}
	return newState(b.revision, b.config, targets, out)
}

// Change is a changed entry with the version that the requester has, if known.
type Change struct {
	Fact
	// Base is nil unless the entry is large and its earlier version is kept.
	Base *Fact
}

// Since returns the changes after a revision, removals included. It returns a full listing instead, and reports so, if after
// is 0 or lies before the kept history.
func (b *Book) Since(now time.Time, after uint64) (changes []Change, full bool) {
	full = after == 0 || after < b.historyStart
	if full {
		after = 0
	}
	for key, e := range b.entries {
		if _, pending := b.expiring[key]; !pending && e.Revision > after {
			changes = append(changes, Change{Fact: e, Base: b.base(key, after)})
		}
	}
	if full {
		return changes, true
	}
	for _, r := range b.removals {
		if e, exists := b.entries[r.key]; r.revision > after && (!exists || e.Revision == r.revision) {
			expiresIn := time.Duration(0)
			if until, pending := b.expiring[r.key]; pending {
				expiresIn = max(until.Sub(now), 1)
			}
			changes = append(changes, Change{Fact: Fact{Key: r.key, Revision: r.revision, ExpiresIn: expiresIn}})
		}
	}
	return changes, false
}

// base returns the version of a large entry that was current at a revision, or nil.
func (b *Book) base(key string, at uint64) *Fact {
	if at == 0 {
		return nil
	}
	list := b.versions[key]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Revision <= at {
			return &list[i]
		}
	}
	return nil
}

// Fact returns the entry stored under key.
func (b *Book) Fact(key string) (Fact, bool) {
	e, ok := b.entries[key]
	return e, ok
}
