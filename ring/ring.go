// Package ring implements a bounded queue between goroutines that never blocks the sender and counts dropped items.
package ring

import (
	"context"
	"sync"
)

// Policy selects which item is dropped if an item is added to a full ring.
type Policy int

// Policies of a full ring.
const (
	// DropOldest drops the oldest item.
	DropOldest Policy = iota
	// Refuse drops the new item.
	Refuse
)

// Ring is a bounded FIFO queue. It is safe for concurrent use.
//
// Invariants: a ring never holds more items than its capacity, and Put never waits for a receiver.
type Ring[T any] struct {
	mu      sync.Mutex // guards items, head, count and dropped
	items   []T        // circular buffer; its length is the capacity
	head    int        // index of the oldest item
	count   int
	policy  Policy
	dropped uint64
	ready   chan struct{} // holds a token if the ring may hold items, to wake one receiver
}

// New returns an empty ring for capacity items. A capacity below 1 means 1.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{items: make([]T, max(capacity, 1)), policy: policy, ready: make(chan struct{}, 1)}
}

// Put adds item to the ring. It returns false if an item was dropped, which is item itself under the policy Refuse.
func (r *Ring[T]) Put(item T) bool {
	r.mu.Lock()
	kept := r.put(item)
	r.mu.Unlock()
	r.signal()
	return kept
}

// put implements Put. It must be called with r.mu held.
func (r *Ring[T]) put(item T) bool {
	full := r.count == len(r.items)
	if full {
		r.dropped++
		if r.policy == Refuse {
			return false
		}
		r.pop()
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	return !full
}

// pop removes and returns the oldest item. It must be called with r.mu held and r.count above 0.
func (r *Ring[T]) pop() T {
	var zero T
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return item
}

// signal wakes one waiting Get, or the next one.
func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// TryGet removes and returns the oldest item, or returns false if the ring is empty.
func (r *Ring[T]) TryGet() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.pop()
	if r.count > 0 {
		r.signal()
	}
	return item, true
}

// Get removes and returns the oldest item. If the ring is empty, it waits for an item or returns ctx.Err() when ctx is done.
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

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns the number of items dropped since New.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
