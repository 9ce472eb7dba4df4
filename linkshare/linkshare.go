// Package linkshare divides the bandwidth of the link between two regions among organisations.
//
// Each organisation has a share of the link's capacity. Each instance of a region receives an equal allocation of that
// share: share × capacity ÷ instances of the region. An Account is a token bucket per organisation and link direction: it
// mints tokens, one per byte, at the allocated rate. Surplus tokens are offered to the region's Lender, which runs on the
// first instance in rank order and lends them for a short time to instances with unmet demand. Tokens are moved, never
// copied: the tokens in a lost message are lost, and a duplicate or expired message is ignored. An instance that cannot
// reach the Lender still has its own allocation.
//
// The package does no I/O and reads no clock: the caller passes in the time and the received messages, sends the returned
// messages, and serializes all calls.
//
// Invariant: over any time T all instances of a region together spend at most capacity × (T + Burst), even if messages are
// lost, duplicated, delayed or reordered and processes pause, provided that the instances use the right number of instances
// and their clocks differ by at most MaxSkew. A new account mints nothing before StartDelay, so that the other instances
// count it first.
package linkshare

import (
	"cmp"
	"slices"
	"time"
)

// Limits and intervals of the protocol.
const (
	// Depth is the capacity of a token bucket, given as the time that it takes to fill.
	Depth = 500 * time.Millisecond
	// TokenTTL is the time after which offered and lent tokens expire.
	TokenTTL = 2 * time.Second
	// MaxSkew is the maximum difference between the clocks of two instances.
	MaxSkew = time.Second
	// Burst bounds spending above the link's rate, given as the time in which the link carries that many bytes.
	Burst = Depth + TokenTTL + MaxSkew
	// Interval is the time between two rounds of offering and lending.
	Interval = 250 * time.Millisecond
	// StartDelay is the time for which a new account mints nothing.
	StartDelay = 5 * time.Second
)

// Pool identifies the tokens of one direction of a link, by its regions.
type Pool struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
}

// Allocation is an organisation's token rate on one pool at one instance.
type Allocation struct {
	Pool         Pool
	Organisation string
	// BytesPerSecond is the rate at which tokens are minted.
	BytesPerSecond float64
}

// InstanceRate returns the token rate of one instance in bytes per second. capacity is that of the link in bytes per second,
// share the organisation's fraction of it (0 to 1), instances the number of instances in the region.
func InstanceRate(capacity int64, share float64, instances int) float64 {
	if instances < 1 {
		return 0
	}
	return float64(capacity) * min(1, max(0, share)) / float64(instances)
}

// Offer transfers tokens to the Lender. From and Number identify the message.
type Offer struct {
	From   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Pool   Pool   `cbor:"3,keyasint"`
	Bytes  int64  `cbor:"4,keyasint"`
	// Until is the time, in nanoseconds since the Unix epoch, at which the tokens expire.
	Until int64 `cbor:"5,keyasint"`
}

// Demand requests tokens from the Lender. The latest one of each instance, pool and organisation replaces earlier ones.
type Demand struct {
	From         string  `cbor:"1,keyasint"`
	Pool         Pool    `cbor:"2,keyasint"`
	Organisation string  `cbor:"3,keyasint"`
	Bytes        int64   `cbor:"4,keyasint"`
	Weight       float64 `cbor:"5,keyasint"`
	Until        int64   `cbor:"6,keyasint"`
}

// Loan transfers tokens from the Lender to an instance. From and Number identify the message.
type Loan struct {
	From         string `cbor:"1,keyasint"`
	Number       uint64 `cbor:"2,keyasint"`
	To           string `cbor:"3,keyasint"`
	Pool         Pool   `cbor:"4,keyasint"`
	Organisation string `cbor:"5,keyasint"`
	Bytes        int64  `cbor:"6,keyasint"`
	Until        int64  `cbor:"7,keyasint"`
}

// seenMessages holds the IDs of received messages until they expire.
type seenMessages map[messageID]time.Time

type messageID struct {
	from   string
	number uint64
}

// accept records a message that expires at until. Returns false if it has expired, expires later than a correct sender could
// have set, or is a duplicate.
func (s seenMessages) accept(now time.Time, m messageID, until time.Time) bool {
	if !now.Before(until) || until.After(now.Add(TokenTTL+MaxSkew)) {
		return false
	}
	if _, duplicate := s[m]; duplicate {
		return false
	}
	s[m] = until
	return true
}

func (s seenMessages) dropExpired(now time.Time) {
	for m, until := range s {
		if now.After(until) {
			delete(s, m)
		}
	}
}

// batch is a number of tokens with a common expiry time.
type batch struct {
	bytes float64
	until time.Time
}

// batches holds tokens in the order of receipt.
type batches []batch

// unexpired returns the non-empty batches that have not expired. It reuses the underlying array.
func (l batches) unexpired(now time.Time) batches {
	return slices.DeleteFunc(l, func(t batch) bool { return !now.Before(t.until) || t.bytes <= 0 })
}

func (l batches) sum() float64 {
	total := 0.0
	for _, t := range l {
		total += t.bytes
	}
	return total
}

// take removes up to bytes tokens, those with the earliest expiry first. Returns the number removed and the earliest expiry
// time among them.
func (l batches) take(bytes float64) (taken float64, until time.Time) {
	slices.SortStableFunc(l, func(a, b batch) int { return a.until.Compare(b.until) })
	for i := range l {
		if taken >= bytes {
			break
		}
		n := min(l[i].bytes, bytes-taken)
		if n > 0 && until.IsZero() {
			until = l[i].until
		}
		l[i].bytes -= n
		taken += n
	}
	return taken, until
}

func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}
