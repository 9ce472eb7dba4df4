package linkshare

import (
	"cmp"
	"slices"
	"time"
)

// maxWants bounds the wants that a Lender keeps; further ones are dropped.
const maxWants = 4096

// Lender lends what instances of its region offered. The region's first rank has one; two at the same time do no harm, since
// each lends only what it was given.
type Lender struct {
	instance string
	last     time.Time
	offered  map[Pool]lots
	wants    map[wantKey]Want
	number   uint64
	seen     seen
}

type wantKey struct {
	from         string
	pool         Pool
	organisation string
}

// NewLender returns a lender that has nothing.
func NewLender(now time.Time, instance string) *Lender {
	return &Lender{
		instance: instance, last: now, number: uint64(now.UnixNano()),
		offered: map[Pool]lots{}, wants: map[wantKey]Want{}, seen: seen{},
	}
}

func (l *Lender) advance(now time.Time) time.Time {
	if now.Before(l.last) {
		return l.last
	}
	l.last = now
	return now
}

// Offered takes tokens. An offer that is void or doubled changes nothing.
func (l *Lender) Offered(now time.Time, o Offer) {
	now = l.advance(now)
	l.seen.forget(now)
	until := time.Unix(0, o.Until)
	if o.Bytes > 0 && l.seen.first(now, message{o.From, o.Number}, until) {
		l.offered[o.Pool] = append(l.offered[o.Pool].valid(now), lot{float64(o.Bytes), until})
	}
}

// Wanted takes an instance's want in place of its last one.
func (l *Lender) Wanted(now time.Time, w Want) {
	l.advance(now)
	key := wantKey{w.From, w.Pool, w.Organisation}
	if _, known := l.wants[key]; known || len(l.wants) < maxWants {
		l.wants[key] = w
	}
}

// Lend shares what was offered among those who want, in proportion to their weights and at most what they want. Call it
// every Interval and send each loan to its instance.
func (l *Lender) Lend(now time.Time) []Loan {
	now = l.advance(now)
	byPool := map[Pool][]Want{}
	for key, w := range l.wants {
		if w.Bytes > 0 && now.UnixNano() < w.Until {
			byPool[w.Pool] = append(byPool[w.Pool], w)
		}
		delete(l.wants, key)
	}
	pools := make([]Pool, 0, len(byPool))
	for pool := range byPool {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, comparePools)
	var out []Loan
	for _, pool := range pools {
		l.offered[pool] = l.offered[pool].valid(now)
		out = append(out, l.lendPool(pool, byPool[pool])...)
	}
	return out
}

func (l *Lender) lendPool(pool Pool, wants []Want) []Loan {
	slices.SortFunc(wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Organisation, b.Organisation))
	})
	var out []Loan
	for i, bytes := range divide(l.offered[pool].sum(), wants) {
		taken, until := l.offered[pool].take(float64(bytes))
		if int64(taken) < 1 {
			continue
		}
		l.number++
		out = append(out, Loan{
			From: l.instance, Number: l.number, To: wants[i].From, Pool: pool, Organisation: wants[i].Organisation,
			Bytes: int64(taken), Until: until.UnixNano(),
		})
	}
	return out
}

// divide returns what each want gets of a number of bytes: shares by weight, where nobody gets more than wanted and what
// is left goes to the others.
func divide(bytes float64, wants []Want) []int64 {
	out := make([]int64, len(wants))
	open := make([]int, 0, len(wants))
	for i := range wants {
		open = append(open, i)
	}
	for len(open) > 0 {
		weights := 0.0
		for _, i := range open {
			weights += weight(wants[i])
		}
		// Wants below their share are met in full; then the shares of the others grow.
		rest := open[:0:0]
		left := bytes
		for _, i := range open {
			if want := float64(wants[i].Bytes); want <= bytes*weight(wants[i])/weights {
				out[i] = wants[i].Bytes
				left -= want
			} else {
				rest = append(rest, i)
			}
		}
		if len(rest) == len(open) {
			for _, i := range open {
				out[i] = int64(bytes * weight(wants[i]) / weights)
			}
			return out
		}
		open, bytes = rest, max(0, left)
	}
	return out
}

// weight returns the weight of a want; an organisation without a part of its own still gets a little.
func weight(w Want) float64 { return max(1, w.Weight) }
