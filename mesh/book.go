package mesh

import "time"

// Fact is one thing that the store says, decoded. Exactly one of the fields besides Key and Revision is set, or none if the
// entry was removed or names nothing usable.
type Fact struct {
	// Key identifies the entry in the store.
	Key string
	// Revision is the entry's last change.
	Revision uint64
	Config   *Config
	Target   *Target
	// Out names a failure domain that is out of service while the entry stands.
	Out string
	// Raw is the entry as it was read, for other processes.
	Raw []byte
	// Lapse is, on a removal that is in doubt, the time until it is believed.
	Lapse time.Duration
}

func (f Fact) present() bool { return f.Config != nil || f.Target != nil || f.Out != "" }

// LapseGrace is how long a target whose entry vanished during an outage of the store is kept after the store's return. Live
// targets are listed again within two seconds of it.
const LapseGrace = 2500 * time.Millisecond

// Book keeps the facts read from the store and builds states from them. It is not safe for concurrent use.
//
// Invariants: the version of the configuration never falls; an entry never goes back to an earlier revision; a target that
// vanished while the store was away is kept until LapseGrace after its return.
type Book struct {
	revision uint64
	facts    map[string]Fact
	config   *Config
	// lapsed holds targets whose removal is not believed yet, with the time at which it is.
	lapsed map[string]time.Time
	// doubtUntil is the end of the time in which removals may be the outage's doing.
	doubtUntil time.Time
	// removals holds the latest removals, oldest first; all above the revision floor are there.
	removals []removal
	floor    uint64
	// past holds earlier versions of large entries, oldest first, as bases of patches.
	past map[string][]Fact
}

// removal is an entry's end.
type removal struct {
	key      string
	revision uint64
}

// Bounds of what is kept for other processes.
const (
	// maxRemovals is the number of removals kept: some minutes of an ordinary day of the largest fleet.
	maxRemovals = 1024
	// largeEntry is the size in bytes from which on an entry's earlier versions are kept, maxPast their number.
	largeEntry = 4 << 10
	maxPast    = 3
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{facts: map[string]Fact{}, lapsed: map[string]time.Time{}, past: map[string][]Fact{}}
}

// Revision returns the store's revision up to which the book is complete.
func (b *Book) Revision() uint64 { return b.revision }

// Returned notes that the store answers again after an outage.
func (b *Book) Returned(now time.Time) { b.doubtUntil = now.Add(LapseGrace) }

// Apply takes changes up to revision and reports whether anything changed.
func (b *Book) Apply(now time.Time, facts []Fact, revision uint64) bool {
	changed := false
	for _, f := range facts {
		changed = b.apply(now, f) || changed
	}
	if b.revision == 0 {
		b.floor = revision
	}
	b.revision = max(b.revision, revision)
	return changed
}

// Replace takes a whole listing of the store at revision; entries that it lacks have been removed. A listing older than the
// book is ignored.
func (b *Book) Replace(now time.Time, facts []Fact, revision uint64) bool {
	if revision < b.revision {
		return false
	}
	listed := make(map[string]bool, len(facts))
	for _, f := range facts {
		listed[f.Key] = true
	}
	for key, f := range b.facts {
		if !listed[key] && f.present() {
			facts = append(facts, Fact{Key: key, Revision: revision})
		}
	}
	return b.Apply(now, facts, revision)
}

func (b *Book) apply(now time.Time, f Fact) bool {
	known, ok := b.facts[f.Key]
	if ok && f.Revision <= known.Revision {
		return false
	}
	if !ok && !f.present() {
		return false
	}
	if f.Config != nil && (b.config == nil || f.Config.Version > b.config.Version) {
		b.config = f.Config
	}
	if !f.present() {
		b.removed(f.Key, f.Revision)
	}
	if until := b.believed(now, known, f); until.After(now) {
		if _, waiting := b.lapsed[f.Key]; !waiting {
			b.lapsed[f.Key] = until
		}
		known.Revision = f.Revision
		b.facts[f.Key] = known
		return false
	}
	delete(b.lapsed, f.Key)
	if !f.present() {
		delete(b.facts, f.Key)
		return known.present()
	}
	b.remember(known)
	b.facts[f.Key] = f
	return true
}

// believed returns the time from which on a change is believed: at once, but for the removal of a target that may only have
// lapsed.
func (b *Book) believed(now time.Time, known, f Fact) time.Time {
	if f.present() || known.Target == nil || known.Target.Leaving {
		return now
	}
	if f.Lapse > 0 {
		return now.Add(f.Lapse)
	}
	return b.doubtUntil
}

func (b *Book) removed(key string, revision uint64) {
	b.removals = append(b.removals, removal{key, revision})
	if n := len(b.removals) - maxRemovals; n > 0 {
		b.floor = b.removals[n-1].revision
		b.removals = b.removals[n:]
	}
}

func (b *Book) remember(old Fact) {
	if len(old.Raw) < largeEntry {
		return
	}
	list := append(b.past[old.Key], old)
	b.past[old.Key] = list[max(len(list)-maxPast, 0):]
}

// Expire removes the targets whose grace has ended and reports whether there were any.
func (b *Book) Expire(now time.Time) bool {
	changed := false
	for key, until := range b.lapsed {
		if now.Before(until) {
			continue
		}
		delete(b.lapsed, key)
		delete(b.facts, key)
		changed = true
	}
	return changed
}

// NextExpiry returns the time of the next removal by Expire, or the zero time.
func (b *Book) NextExpiry() time.Time {
	var next time.Time
	for _, until := range b.lapsed {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// State builds the state that the book's facts add up to.
func (b *Book) State() *State {
	targets, out := map[string]*Target{}, map[string]bool{}
	for key, f := range b.facts {
		switch {
		case f.Target != nil:
			targets[key] = f.Target
		case f.Out != "":
			out[f.Out] = true
		}
	}
	return newState(b.revision, b.config, targets, out)
}

// Change is a fact with the earlier version that whoever asks holds, if it is known.
type Change struct {
	Fact
	// Base is nil unless the fact is large and its earlier version is known.
	Base *Fact
}

// Since returns what changed after a revision, removals too. It reports whether that is a whole listing instead, because the
// history does not reach back that far.
func (b *Book) Since(now time.Time, after uint64) (changes []Change, whole bool) {
	whole = after == 0 || after < b.floor
	if whole {
		after = 0
	}
	for key, f := range b.facts {
		if _, waiting := b.lapsed[key]; !waiting && f.Revision > after {
			changes = append(changes, Change{Fact: f, Base: b.base(key, after)})
		}
	}
	if whole {
		return changes, true
	}
	for _, r := range b.removals {
		if f, held := b.facts[r.key]; r.revision > after && (!held || f.Revision == r.revision) {
			lapse := time.Duration(0)
			if until, waiting := b.lapsed[r.key]; waiting {
				lapse = max(until.Sub(now), 1)
			}
			changes = append(changes, Change{Fact: Fact{Key: r.key, Revision: r.revision, Lapse: lapse}})
		}
	}
	return changes, false
}

// base returns the version of a large entry that was current at a revision.
func (b *Book) base(key string, at uint64) *Fact {
	if at == 0 {
		return nil
	}
	list := b.past[key]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Revision <= at {
			return &list[i]
		}
	}
	return nil
}

// Fact returns the fact that is held under a key.
func (b *Book) Fact(key string) (Fact, bool) {
	f, ok := b.facts[key]
	return f, ok
}
