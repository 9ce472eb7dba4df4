package mesh

import (
	"maps"
	"time"
)

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
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{facts: map[string]Fact{}, lapsed: map[string]time.Time{}} }

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
	if known.Target != nil && !known.Target.Leaving && !f.present() && now.Before(b.doubtUntil) {
		if _, waiting := b.lapsed[f.Key]; !waiting {
			b.lapsed[f.Key] = b.doubtUntil
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
	b.facts[f.Key] = f
	return true
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

// Facts returns the facts held, in no order.
func (b *Book) Facts() map[string]Fact { return maps.Clone(b.facts) }
