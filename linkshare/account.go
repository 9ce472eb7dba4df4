package linkshare

import (
	"cmp"
	"slices"
	"time"
)

// budget is what an account has for one organisation and pool.
type budget struct {
	part   Part
	tokens float64
	filled time.Time
	loans  lots
	// spare are minted tokens that the budget does not keep.
	spare lots
	// wanted is the number of bytes that were refused since the last round.
	wanted float64
}

type budgetKey struct {
	pool         Pool
	organisation string
}

// Account is the link budget of one instance. Create it with NewAccount.
type Account struct {
	instance string
	started  time.Time
	last     time.Time
	budgets  map[budgetKey]*budget
	number   uint64
	seen     seen
}

// NewAccount returns an account without parts.
func NewAccount(now time.Time, instance string) *Account {
	return &Account{
		instance: instance, started: now, last: now, number: uint64(now.UnixNano()),
		budgets: map[budgetKey]*budget{}, seen: seen{},
	}
}

// SetParts puts new parts in force. Tokens of parts that go on are kept; those of the others are gone.
func (a *Account) SetParts(now time.Time, parts []Part) {
	now = a.advance(now)
	next := make(map[budgetKey]*budget, len(parts))
	for _, p := range parts {
		key := budgetKey{p.Pool, p.Organisation}
		b := a.budgets[key]
		if b == nil {
			b = &budget{filled: now}
		} else {
			a.fill(now, b)
		}
		b.part = p
		b.tokens = min(b.tokens, b.depth())
		next[key] = b
	}
	a.budgets = next
}

func (b *budget) depth() float64 { return b.part.BytesPerSecond * Depth.Seconds() }

func (a *Account) advance(now time.Time) time.Time {
	if now.Before(a.last) {
		return a.last
	}
	a.last = now
	return now
}

// fill mints the tokens of the time that has passed. What the budget can't keep becomes spare; what a pause would have
// minted beyond one depth is lost.
func (a *Account) fill(now time.Time, b *budget) {
	from := b.filled
	if start := a.started.Add(StartAfter); from.Before(start) {
		from = start
	}
	b.filled = now
	b.loans = b.loans.valid(now)
	b.spare = b.spare.valid(now)
	if !now.After(from) {
		return
	}
	minted := b.part.BytesPerSecond * min(now.Sub(from), Depth).Seconds()
	kept := min(minted, b.depth()-b.tokens)
	b.tokens += kept
	if over := minted - kept; over > 0 {
		b.addSpare(now, over)
	}
}

// addSpare keeps spare tokens in lots of an Interval each.
func (b *budget) addSpare(now time.Time, bytes float64) {
	until := now.Add(LoanLife)
	if n := len(b.spare); n > 0 && until.Sub(b.spare[n-1].until) < Interval {
		b.spare[n-1].bytes += bytes
		return
	}
	b.spare = append(b.spare, lot{bytes, until})
}

// Take spends bytes of an organisation on a pool. It spends all or nothing and reports whether it did; if not, it returns
// the time after which the own part alone will do, or 0 if it never will.
func (a *Account) Take(now time.Time, pool Pool, organisation string, bytes int64) (bool, time.Duration) {
	now = a.advance(now)
	b := a.budgets[budgetKey{pool, organisation}]
	if b == nil || bytes <= 0 {
		return bytes <= 0, 0
	}
	a.fill(now, b)
	need := float64(bytes)
	if b.tokens+b.loans.sum()+b.spare.sum() < need {
		b.wanted += need
		return false, b.wait(need)
	}
	for _, list := range []lots{b.loans, b.spare} {
		taken, _ := list.take(need)
		need -= taken
	}
	b.tokens -= need
	return true, 0
}

func (b *budget) wait(need float64) time.Duration {
	if b.part.BytesPerSecond <= 0 || need > b.depth() {
		return 0
	}
	return time.Duration((need - b.tokens) / b.part.BytesPerSecond * float64(time.Second))
}

// Offers gives away the tokens that the account can't keep. Send them to the region's first rank every Interval; the
// tokens are gone here whether or not the offer arrives.
func (a *Account) Offers(now time.Time) []Offer {
	now = a.advance(now)
	var out []Offer
	for _, key := range a.keys() {
		b := a.budgets[key]
		a.fill(now, b)
		for _, t := range b.spare {
			if bytes := int64(t.bytes); bytes > 0 {
				a.number++
				out = append(out, Offer{From: a.instance, Number: a.number, Pool: key.pool, Bytes: bytes, Until: t.until.UnixNano()})
			}
		}
		b.spare = nil
	}
	return out
}

// Wants asks for what was refused since the last call.
func (a *Account) Wants(now time.Time) []Want {
	now = a.advance(now)
	var out []Want
	for _, key := range a.keys() {
		b := a.budgets[key]
		if b.wanted > 0 {
			out = append(out, Want{
				From: a.instance, Pool: key.pool, Organisation: key.organisation, Bytes: int64(b.wanted),
				Weight: b.part.BytesPerSecond, Until: now.Add(LoanLife).UnixNano(),
			})
		}
		b.wanted = 0
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

// Receive takes a loan. A loan that is void, doubled or for another instance changes nothing.
func (a *Account) Receive(now time.Time, l Loan) {
	now = a.advance(now)
	a.seen.forget(now)
	b := a.budgets[budgetKey{l.Pool, l.Organisation}]
	until := time.Unix(0, l.Until)
	if b == nil || l.To != a.instance || l.Bytes <= 0 || !a.seen.first(now, message{l.From, l.Number}, until) {
		return
	}
	b.loans = append(b.loans, lot{float64(l.Bytes), until})
}
