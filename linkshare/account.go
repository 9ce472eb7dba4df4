package linkshare

import (
	"cmp"
	"slices"
	"time"
)

// budget is the token bucket of one organisation and pool, with its borrowed and surplus tokens.
type budget struct {
	allocation Allocation
	tokens     float64
	refilled   time.Time
	loans      batches
	// surplus holds minted tokens that exceed the bucket's depth.
	surplus batches
	// refused is the number of bytes refused since the last call of Demands.
	refused float64
}

type budgetKey struct {
	pool         Pool
	organisation string
}

// Account is the link budget of one instance. Create it with NewAccount. Calls must be serialized.
type Account struct {
	instance     string
	started      time.Time
	last         time.Time
	budgets      map[budgetKey]*budget
	number       uint64
	seenMessages seenMessages
}

// NewAccount returns an account without allocations.
func NewAccount(now time.Time, instance string) *Account {
	return &Account{
		instance: instance, started: now, last: now, number: uint64(now.UnixNano()),
		budgets: map[budgetKey]*budget{}, seenMessages: seenMessages{},
	}
}

// SetAllocations replaces the allocations. Tokens are kept for pools and organisations that remain, and dropped for the
// others.
func (a *Account) SetAllocations(now time.Time, allocations []Allocation) {
	now = a.advance(now)
	next := make(map[budgetKey]*budget, len(allocations))
	for _, al := range allocations {
		key := budgetKey{al.Pool, al.Organisation}
		b := a.budgets[key]
		if b == nil {
			b = &budget{refilled: now}
		} else {
			a.refill(now, b)
		}
		b.allocation = al
		b.tokens = min(b.tokens, b.depth())
		next[key] = b
	}
	a.budgets = next
}

func (b *budget) depth() float64 { return b.allocation.BytesPerSecond * Depth.Seconds() }

func (a *Account) advance(now time.Time) time.Time {
	if now.Before(a.last) {
		return a.last
	}
	a.last = now
	return now
}

// refill mints the tokens for the time elapsed since the last refill. Tokens that exceed the depth become surplus. At most
// one depth is minted at a time, so the tokens of a longer pause are lost.
func (a *Account) refill(now time.Time, b *budget) {
	from := b.refilled
	if start := a.started.Add(StartDelay); from.Before(start) {
		from = start
	}
	b.refilled = now
	b.loans = b.loans.unexpired(now)
	b.surplus = b.surplus.unexpired(now)
	if !now.After(from) {
		return
	}
	minted := b.allocation.BytesPerSecond * min(now.Sub(from), Depth).Seconds()
	kept := min(minted, b.depth()-b.tokens)
	b.tokens += kept
	if excess := minted - kept; excess > 0 {
		b.addSurplus(now, excess)
	}
}

// addSurplus adds surplus tokens, in batches that each cover one Interval.
func (b *budget) addSurplus(now time.Time, bytes float64) {
	until := now.Add(TokenTTL)
	if n := len(b.surplus); n > 0 && until.Sub(b.surplus[n-1].until) < Interval {
		b.surplus[n-1].bytes += bytes
		return
	}
	b.surplus = append(b.surplus, batch{bytes, until})
}

// Take spends bytes of an organisation on a pool, all or nothing, and reports whether it did. If not, it also returns the
// time after which the instance's own allocation suffices, or 0 if it never will.
func (a *Account) Take(now time.Time, pool Pool, organisation string, bytes int64) (bool, time.Duration) {
	now = a.advance(now)
	b := a.budgets[budgetKey{pool, organisation}]
	if b == nil || bytes <= 0 {
		return bytes <= 0, 0
	}
	a.refill(now, b)
	need := float64(bytes)
	if b.tokens+b.loans.sum()+b.surplus.sum() < need {
		b.refused += need
		return false, b.wait(need)
	}
	for _, list := range []batches{b.loans, b.surplus} {
		taken, _ := list.take(need)
		need -= taken
	}
	b.tokens -= need
	return true, 0
}

func (b *budget) wait(need float64) time.Duration {
	if b.allocation.BytesPerSecond <= 0 || need > b.depth() {
		return 0
	}
	return time.Duration((need - b.tokens) / b.allocation.BytesPerSecond * float64(time.Second))
}

// Offers removes and returns the surplus tokens. Call it every Interval and send the offers to the region's Lender; the
// tokens are gone from this account whether or not an offer arrives.
func (a *Account) Offers(now time.Time) []Offer {
	now = a.advance(now)
	var out []Offer
	for _, key := range a.keys() {
		b := a.budgets[key]
		a.refill(now, b)
		for _, t := range b.surplus {
			if bytes := int64(t.bytes); bytes > 0 {
				a.number++
				out = append(out, Offer{From: a.instance, Number: a.number, Pool: key.pool, Bytes: bytes, Until: t.until.UnixNano()})
			}
		}
		b.surplus = nil
	}
	return out
}

// Demands returns a demand for the bytes refused since the last call, for each pool and organisation with any.
func (a *Account) Demands(now time.Time) []Demand {
	now = a.advance(now)
	var out []Demand
	for _, key := range a.keys() {
		b := a.budgets[key]
		if b.refused > 0 {
			out = append(out, Demand{
				From: a.instance, Pool: key.pool, Organisation: key.organisation, Bytes: int64(b.refused),
				Weight: b.allocation.BytesPerSecond, Until: now.Add(TokenTTL).UnixNano(),
			})
		}
		b.refused = 0
	}
	return out
}

func (a *Account) keys() []budgetKey {
	out := make([]budgetKey, 0, len(a.budgets))
	for key := range a.budgets {
		out = append(out, key)
	}
	slices.SortFunc(out, func(x, y budgetKey) int {
		return cmp.Or(comparePools(x.pool, y.pool), cmp.Compare(x.organisation, y.organisation))
	})
	return out
}

// Receive adds the tokens of a loan. A loan that is expired, a duplicate or for another instance is ignored.
func (a *Account) Receive(now time.Time, l Loan) {
	now = a.advance(now)
	a.seenMessages.dropExpired(now)
	b := a.budgets[budgetKey{l.Pool, l.Organisation}]
	until := time.Unix(0, l.Until)
	if b == nil || l.To != a.instance || l.Bytes <= 0 || !a.seenMessages.accept(now, messageID{l.From, l.Number}, until) {
		return
	}
	b.loans = append(b.loans, batch{float64(l.Bytes), until})
}
