// Package rank orders instances by rendezvous hash and derives readers and relay trees from the order. It is pure: all who
// hold the same names compute the same order, and the order of two given names never depends on which others are known.
package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Score returns the place of name within scope; lower scores rank first.
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

// Sort returns names in rank order within scope. It leaves names as it is.
func Sort(scope string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, n := range names {
		list[i] = scored{n, Score(scope, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// Readers returns the first count names of order.
func Readers(order []string, count int) []string { return order[:min(count, len(order))] }

// Parent returns the place of the parent of place in a tree of the given fan-out, or -1 for the root.
func Parent(place, fanout int) int {
	if place <= 0 {
		return -1
	}
	return (place - 1) / fanout
}

// Children returns the range [first, end) of the places of the children of place in a tree of size places.
func Children(place, size, fanout int) (first, end int) {
	first = min(place*fanout+1, size)
	end = min(first+fanout, size)
	return first, end
}

// Ancestors returns the places from the parent of place up to the root.
func Ancestors(place, fanout int) []int {
	var out []int
	for p := Parent(place, fanout); p >= 0; p = Parent(p, fanout) {
		out = append(out, p)
	}
	return out
}

// StepIn returns the silence after which the instance at place takes over from those before it.
func StepIn(base, step time.Duration, place int) time.Duration {
	return base + time.Duration(place)*step
}
