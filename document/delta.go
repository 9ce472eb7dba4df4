package document

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Delta is the difference between two versions of a document. If Full is set, Set contains all entries and no base is needed.
type Delta struct {
	Name    string   `cbor:"1,keyasint"`
	Base    Version  `cbor:"2,keyasint"`
	Target  Version  `cbor:"3,keyasint"`
	Chunks  int      `cbor:"4,keyasint"`
	Full    bool     `cbor:"5,keyasint,omitempty"`
	Set     []Entry  `cbor:"6,keyasint,omitempty"`
	Removed []string `cbor:"7,keyasint,omitempty"`
}

// Errors returned by Apply.
var (
	// ErrBaseMismatch is returned if the delta was computed from another base. The receiver should request a delta from its
	// own version.
	ErrBaseMismatch = errors.New("delta base differs from the local version; request a delta from the local version")
	// ErrDigestMismatch is returned if the digest of the resulting content is not the target digest: the delta is damaged or
	// forged.
	ErrDigestMismatch = errors.New("content does not match the target digest; discard it and request the full document")
)

// Diff returns the delta from base to target. The delta is full if base is nil or has another name or number of chunks.
func Diff(base, target *Document) Delta {
	d := Delta{Name: target.name, Target: target.version, Chunks: len(target.chunks)}
	if base == nil || base.name != target.name || len(base.chunks) != len(target.chunks) {
		d.Full = true
		target.All(func(e Entry) bool { d.Set = append(d.Set, e); return true })
		return d
	}
	d.Base = base.version
	for i, c := range target.chunks {
		if c.digest != base.chunks[i].digest {
			d.diffChunk(base.chunks[i].entries, c.entries)
		}
	}
	return d
}

// diffChunk appends the differences between two lists of entries, each sorted by key, to Set and Removed.
func (d *Delta) diffChunk(older, newer []Entry) {
	for len(older) > 0 || len(newer) > 0 {
		switch {
		case len(older) == 0 || (len(newer) > 0 && newer[0].Key < older[0].Key):
			d.Set = append(d.Set, newer[0])
			newer = newer[1:]
		case len(newer) == 0 || older[0].Key < newer[0].Key:
			d.Removed = append(d.Removed, older[0].Key)
			older = older[1:]
		default:
			if string(older[0].Value) != string(newer[0].Value) {
				d.Set = append(d.Set, newer[0])
			}
			older, newer = older[1:], newer[1:]
		}
	}
}

// Apply returns the document that results from applying delta to base. The base may be nil if the delta is full.
// It returns ErrBaseMismatch if base is not the version that the delta was computed from, and ErrDigestMismatch if the result
// is not the target version.
func Apply(base *Document, delta Delta) (*Document, error) {
	if delta.Full {
		doc, err := New(delta.Name, delta.Target.Revision, delta.Chunks, slices.Clone(delta.Set))
		if err != nil {
			return nil, err
		}
		return verifyVersion(doc, delta.Target)
	}
	if base == nil || base.name != delta.Name || base.version != delta.Base || len(base.chunks) != delta.Chunks {
		return nil, ErrBaseMismatch
	}
	return applyIncremental(base, delta)
}

// applyIncremental applies a delta that is not full. It copies only the chunks with changes and shares the others with base.
func applyIncremental(base *Document, delta Delta) (*Document, error) {
	type change struct {
		set     []Entry
		removed []string
	}
	changes := map[int]*change{}
	changeFor := func(key string) *change {
		i := chunkIndex(key, len(base.chunks))
		if changes[i] == nil {
			changes[i] = &change{}
		}
		return changes[i]
	}
	for _, e := range delta.Set {
		c := changeFor(e.Key)
		c.set = append(c.set, e)
	}
	for _, k := range delta.Removed {
		c := changeFor(k)
		c.removed = append(c.removed, k)
	}
	doc := &Document{name: base.name, chunks: slices.Clone(base.chunks), count: base.count}
	for i, ch := range changes {
		merged, err := newChunk(mergeEntries(base.chunks[i].entries, ch.set, ch.removed))
		if err != nil {
			return nil, err
		}
		doc.count += len(merged.entries) - len(base.chunks[i].entries)
		doc.chunks[i] = merged
	}
	doc.setVersion(delta.Target.Revision)
	return verifyVersion(doc, delta.Target)
}

// mergeEntries returns the entries of old, sorted by key, with those in set added or replaced and those in removed omitted.
func mergeEntries(old, set []Entry, removed []string) []Entry {
	changedKeys := make(map[string]bool, len(set)+len(removed))
	for _, e := range set {
		changedKeys[e.Key] = true
	}
	for _, k := range removed {
		changedKeys[k] = true
	}
	out := make([]Entry, 0, len(old)+len(set))
	for _, e := range old {
		if !changedKeys[e.Key] {
			out = append(out, e)
		}
	}
	out = append(out, set...)
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// verifyVersion returns doc, or ErrDigestMismatch if its version is not the wanted one.
func verifyVersion(doc *Document, want Version) (*Document, error) {
	if doc.version != want {
		return nil, ErrDigestMismatch
	}
	return doc, nil
}
