// Package linkshare shares the bytes of the link between two regions among organisations.
//
// Each instance owns a part of each organisation's share: share × capacity ÷ instances of the region. An Account mints
// tokens, one per byte, at that rate and spends them. What it can't keep it gives to the region's first rank, the Lender,
// which lends it for a short time to instances that want more. Tokens are only ever moved, never copied: a message that is lost loses its tokens, and
// one that comes twice or too late counts for nothing. Cut off from the Lender, an instance has its own part.
//
// Decisions are pure: time comes in as an argument, messages go out and in as values, the caller serializes.
//
// Invariant: over any time T all instances of a region together spend at most capacity × (T + Burst), whatever messages are
// lost, doubled, late or reordered and whichever processes pause, as long as their numbers of instances are right and clocks
// differ by at most MaxSkew. An account that starts mints nothing before StartAfter, so that the others count it.
package linkshare

import (
	"cmp"
	"slices"
	"time"
)

// Times of the protocol.
const (
	// Depth is the time whose tokens an account keeps.
	Depth = 500 * time.Millisecond
	// LoanLife is the time after which given and lent tokens are void.
	LoanLife = 2 * time.Second
	// MaxSkew is the greatest difference between two clocks.
	MaxSkew = time.Second
	// Burst is the time whose capacity may be spent above the link's rate.
	Burst = Depth + LoanLife + MaxSkew
	// Interval is the time between two rounds of giving and lending.
	Interval = 250 * time.Millisecond
	// StartAfter is the time for which a new account mints nothing.
	StartAfter = 5 * time.Second
)

// Pool names what the tokens are for: one direction of a link.
type Pool struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
}

// Part is an organisation's budget at one instance.
type Part struct {
	Pool         Pool
	Organisation string
	// BytesPerSecond is the rate at which the budget grows.
	BytesPerSecond float64
}

// Own returns the part that one instance owns.
func Own(capacity int64, share float64, instances int) float64 {
	if instances < 1 {
		return 0
	}
	return float64(capacity) * min(1, max(0, share)) / float64(instances)
}

// Offer gives tokens to the Lender. From and Number name it.
type Offer struct {
	From   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Pool   Pool   `cbor:"3,keyasint"`
	Bytes  int64  `cbor:"4,keyasint"`
	// Until is the time in nanoseconds since 1970 from which on the tokens are void.
	Until int64 `cbor:"5,keyasint"`
}

// Want asks the Lender for tokens; the newest of an instance and organisation counts.
type Want struct {
	From         string  `cbor:"1,keyasint"`
	Pool         Pool    `cbor:"2,keyasint"`
	Organisation string  `cbor:"3,keyasint"`
	Bytes        int64   `cbor:"4,keyasint"`
	Weight       float64 `cbor:"5,keyasint"`
	Until        int64   `cbor:"6,keyasint"`
}

// Loan lends tokens. From and Number name it.
type Loan struct {
	From         string `cbor:"1,keyasint"`
	Number       uint64 `cbor:"2,keyasint"`
	To           string `cbor:"3,keyasint"`
	Pool         Pool   `cbor:"4,keyasint"`
	Organisation string `cbor:"5,keyasint"`
	Bytes        int64  `cbor:"6,keyasint"`
	Until        int64  `cbor:"7,keyasint"`
}

// seen remembers the numbers of messages until they are void.
type seen map[message]time.Time

type message struct {
	from   string
	number uint64
}

// first reports whether a message that is void from a time on comes in time and for the first time.
func (s seen) first(now time.Time, m message, until time.Time) bool {
	if !now.Before(until) || until.After(now.Add(LoanLife+MaxSkew)) {
		return false
	}
	if _, twice := s[m]; twice {
		return false
	}
	s[m] = until
	return true
}

func (s seen) forget(now time.Time) {
	for m, until := range s {
		if now.After(until) {
			delete(s, m)
		}
	}
}

// lot is a number of tokens with an end.
type lot struct {
	bytes float64
	until time.Time
}

// lots are tokens in the order in which they came.
type lots []lot

// valid returns the lots that are not void.
func (l lots) valid(now time.Time) lots {
	return slices.DeleteFunc(l, func(t lot) bool { return !now.Before(t.until) || t.bytes <= 0 })
}

func (l lots) sum() float64 {
	total := 0.0
	for _, t := range l {
		total += t.bytes
	}
	return total
}

// take removes up to a number of tokens, those first that end first, and returns how many there were and the earliest end
// among them.
func (l lots) take(bytes float64) (taken float64, until time.Time) {
	slices.SortStableFunc(l, func(a, b lot) int { return a.until.Compare(b.until) })
	for i := range l {
		if taken >= bytes {
			break
		}
		part := min(l[i].bytes, bytes-taken)
		if part > 0 && until.IsZero() {
			until = l[i].until
		}
		l[i].bytes -= part
		taken += part
	}
	return taken, until
}

func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}
