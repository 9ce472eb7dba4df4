package document

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Delta turns one version of a document into another. With Full set it carries the whole content and needs no base.
type Delta struct {
	Name    string   `cbor:"1,keyasint"`
	Base    Version  `cbor:"2,keyasint"`
	Target  Version  `cbor:"3,keyasint"`
	Chunks  int      `cbor:"4,keyasint"`
	Full    bool     `cbor:"5,keyasint,omitempty"`
	Set     []Entry  `cbor:"6,keyasint,omitempty"`
	Removed []string `cbor:"7,keyasint,omitempty"`
}

// Typed errors of Apply.
var (
	// ErrBaseMismatch says that the delta was made for another base; ask the sender for a delta on the version held.
	ErrBaseMismatch = errors.New("delta base differs from the version held; request a delta on the version held")
	// ErrDigestMismatch says that the content reached does not hash to the target digest; the delta is damaged or forged.
	ErrDigestMismatch = errors.New("content does not match the target digest; discard it and request the full document")
)

// Diff returns the delta from base to target. A nil base, another name or another chunk count give a full delta.
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

// diffChunk merges two sorted runs of entries into Set and Removed.
func (d *Delta) diffChunk(old, now []Entry) {
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(old) == 0 || (len(now) > 0 && now[0].Key < old[0].Key):
			d.Set = append(d.Set, now[0])
			now = now[1:]
		case len(now) == 0 || old[0].Key < now[0].Key:
			d.Removed = append(d.Removed, old[0].Key)
			old = old[1:]
		default:
			if string(old[0].Value) != string(now[0].Value) {
				d.Set = append(d.Set, now[0])
			}
			old, now = old[1:], now[1:]
		}
	}
}

// Apply returns the document that delta makes of base; base may be nil for a full delta.
// The result's digest is verified against the target: a damaged or crossed delta yields an error and never a document.
func Apply(base *Document, delta Delta) (*Document, error) {
	if delta.Full {
		doc, err := New(delta.Name, delta.Target.Revision, delta.Chunks, slices.Clone(delta.Set))
		if err != nil {
			return nil, err
		}
		return verified(doc, delta.Target)
	}
	if base == nil || base.name != delta.Name || base.version != delta.Base || len(base.chunks) != delta.Chunks {
		return nil, ErrBaseMismatch
	}
	return applyToBase(base, delta)
}

func applyToBase(base *Document, delta Delta) (*Document, error) {
	type change struct {
		set     []Entry
		removed []string
	}
	changes := map[int]*change{}
	at := func(key string) *change {
		i := chunkOf(key, len(base.chunks))
		if changes[i] == nil {
			changes[i] = &change{}
		}
		return changes[i]
	}
	for _, e := range delta.Set {
		c := at(e.Key)
		c.set = append(c.set, e)
	}
	for _, k := range delta.Removed {
		c := at(k)
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
	doc.seal(delta.Target.Revision)
	return verified(doc, delta.Target)
}

// mergeEntries returns old with set added or replaced and removed taken out.
func mergeEntries(old, set []Entry, removed []string) []Entry {
	touched := make(map[string]bool, len(set)+len(removed))
	for _, e := range set {
		touched[e.Key] = true
	}
	for _, k := range removed {
		touched[k] = true
	}
	out := make([]Entry, 0, len(old)+len(set))
	for _, e := range old {
		if !touched[e.Key] {
			out = append(out, e)
		}
	}
	out = append(out, set...)
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func verified(doc *Document, want Version) (*Document, error) {
	if doc.version != want {
		return nil, ErrDigestMismatch
	}
	return doc, nil
}
