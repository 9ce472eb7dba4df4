// Package ring provides a bounded queue that joins two goroutines and counts what it had to drop.
package ring

import (
	"context"
	"sync"
)

// Policy says what a full ring does with a further item.
type Policy int

// The policies of a full ring.
const (
	// DropOldest makes room by dropping the oldest item.
	DropOldest Policy = iota
	// Refuse keeps what is queued and drops the new item.
	Refuse
)

// Ring is a bounded first-in first-out queue. It is safe for concurrent use.
//
// Invariant: it never holds more items than its capacity, and Put never blocks.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	policy  Policy
	dropped uint64
	ready   chan struct{}
}

// New returns an empty ring. A capacity below one counts as one.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{items: make([]T, max(capacity, 1)), policy: policy, ready: make(chan struct{}, 1)}
}

// Put queues item and reports whether nothing was dropped for it.
func (r *Ring[T]) Put(item T) bool {
	r.mu.Lock()
	kept := r.put(item)
	r.mu.Unlock()
	r.signal()
	return kept
}

func (r *Ring[T]) put(item T) bool {
	full := r.count == len(r.items)
	if full {
		r.dropped++
		if r.policy == Refuse {
			return false
		}
		r.take()
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	return !full
}

func (r *Ring[T]) take() T {
	var zero T
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return item
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// TryGet returns the oldest item, or false if the ring is empty.
func (r *Ring[T]) TryGet() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.take()
	if r.count > 0 {
		r.signal()
	}
	return item, true
}

// Get returns the oldest item and waits for one if the ring is empty. It returns the context's error when ctx ends.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		if item, ok := r.TryGet(); ok {
			return item, nil
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

// Len returns the number of items queued.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns the number of items dropped since the ring was made.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
