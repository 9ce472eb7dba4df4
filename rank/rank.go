// Package rank orders instances by rendezvous hashing and derives readers and relay trees from that order. All functions are
// pure: every process with the same names computes the same order, and the relative order of two names does not depend on the
// others.
package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Score returns the hash by which name is ranked within scope; lower scores rank first.
func Score(scope, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(scope)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Less reports whether a ranks before b within scope. Equal scores are ordered by name.
func Less(scope, a, b string) bool {
	sa, sb := Score(scope, a), Score(scope, b)
	return sa < sb || (sa == sb && a < b)
}

// Sort returns names in rank order within scope. It does not modify names.
func Sort(scope string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	entries := make([]scored, len(names))
	for i, n := range names {
		entries[i] = scored{n, Score(scope, n)}
	}
	slices.SortFunc(entries, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(entries))
	for i, s := range entries {
		out[i] = s.name
	}
	return out
}

// Readers returns the first count names of order: the instances that read from the platform. The result shares memory with
// order.
func Readers(order []string, count int) []string { return order[:min(count, len(order))] }

// Parent returns the position of the parent of the instance at position, in a relay tree of the given fan-out, or -1 for
// the root.
func Parent(position, fanout int) int {
	if position <= 0 {
		return -1
	}
	return (position - 1) / fanout
}

// Children returns the range [first, end) of the positions of the children of the instance at position, in a relay tree of
// size instances.
func Children(position, size, fanout int) (first, end int) {
	first = min(position*fanout+1, size)
	end = min(first+fanout, size)
	return first, end
}

// Ancestors returns the positions from the parent of the instance at position up to the root.
func Ancestors(position, fanout int) []int {
	var out []int
	for p := Parent(position, fanout); p >= 0; p = Parent(p, fanout) {
		out = append(out, p)
	}
	return out
}

// TakeoverDelay returns the time without messages after which the instance at position takes over from those ranked before it.
func TakeoverDelay(base, step time.Duration, position int) time.Duration {
	return base + time.Duration(position)*step
}
