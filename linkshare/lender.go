package linkshare

import (
	"cmp"
	"slices"
	"time"
)

// maxDemands bounds the demands that a Lender keeps; further ones are dropped.
const maxDemands = 4096

// Lender lends the tokens offered by the instances of its region. It runs on the region's first instance in rank order. Two
// lenders at the same time are safe, since each lends only tokens that it received. Calls must be serialized.
type Lender struct {
	instance     string
	last         time.Time
	offered      map[Pool]batches
	demands      map[demandKey]Demand
	number       uint64
	seenMessages seenMessages
}

type demandKey struct {
	from         string
	pool         Pool
	organisation string
}

// NewLender returns a lender without tokens.
func NewLender(now time.Time, instance string) *Lender {
	return &Lender{
		instance: instance, last: now, number: uint64(now.UnixNano()),
		offered: map[Pool]batches{}, demands: map[demandKey]Demand{}, seenMessages: seenMessages{},
	}
}

func (l *Lender) advance(now time.Time) time.Time {
	if now.Before(l.last) {
		return l.last
	}
	l.last = now
	return now
}

// AddOffer adds the tokens of an offer. An expired or duplicate offer is ignored.
func (l *Lender) AddOffer(now time.Time, o Offer) {
	now = l.advance(now)
	l.seenMessages.dropExpired(now)
	until := time.Unix(0, o.Until)
	if o.Bytes > 0 && l.seenMessages.accept(now, messageID{o.From, o.Number}, until) {
		l.offered[o.Pool] = append(l.offered[o.Pool].unexpired(now), batch{float64(o.Bytes), until})
	}
}

// AddDemand stores an instance's demand in place of its previous one.
func (l *Lender) AddDemand(now time.Time, d Demand) {
	l.advance(now)
	key := demandKey{d.From, d.Pool, d.Organisation}
	if _, known := l.demands[key]; known || len(l.demands) < maxDemands {
		l.demands[key] = d
	}
}

// Lend divides the offered tokens among the stored demands in proportion to their weights, clears the demands and returns
// the loans. No loan exceeds its demand. Call it every Interval and send each loan to its instance.
func (l *Lender) Lend(now time.Time) []Loan {
	now = l.advance(now)
	byPool := map[Pool][]Demand{}
	for key, d := range l.demands {
		if d.Bytes > 0 && now.UnixNano() < d.Until {
			byPool[d.Pool] = append(byPool[d.Pool], d)
		}
		delete(l.demands, key)
	}
	pools := make([]Pool, 0, len(byPool))
	for pool := range byPool {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, comparePools)
	var out []Loan
	for _, pool := range pools {
		l.offered[pool] = l.offered[pool].unexpired(now)
		out = append(out, l.lendPool(pool, byPool[pool])...)
	}
	return out
}

func (l *Lender) lendPool(pool Pool, demands []Demand) []Loan {
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Organisation, b.Organisation))
	})
	var out []Loan
	for i, bytes := range divide(l.offered[pool].sum(), demands) {
		taken, until := l.offered[pool].take(float64(bytes))
		if int64(taken) < 1 {
			continue
		}
		l.number++
		out = append(out, Loan{
			From: l.instance, Number: l.number, To: demands[i].From, Pool: pool, Organisation: demands[i].Organisation,
			Bytes: int64(taken), Until: until.UnixNano(),
		})
	}
	return out
}

// divide returns the number of bytes for each demand, in proportion to the weights. No demand receives more than it asks
// for; the remainder goes to the others (weighted max-min fairness).
func divide(bytes float64, demands []Demand) []int64 {
	out := make([]int64, len(demands))
	unmet := make([]int, 0, len(demands))
	for i := range demands {
		unmet = append(unmet, i)
	}
	for len(unmet) > 0 {
		weights := 0.0
		for _, i := range unmet {
			weights += weight(demands[i])
		}
		// Demands below their share are met in full; the others then divide the remainder.
		limited := unmet[:0:0]
		remaining := bytes
		for _, i := range unmet {
			if demanded := float64(demands[i].Bytes); demanded <= bytes*weight(demands[i])/weights {
				out[i] = demands[i].Bytes
				remaining -= demanded
			} else {
				limited = append(limited, i)
			}
		}
		if len(limited) == len(unmet) {
			for _, i := range unmet {
				out[i] = int64(bytes * weight(demands[i]) / weights)
			}
			return out
		}
		unmet, bytes = limited, max(0, remaining)
	}
	return out
}

// weight returns the weight of a demand, at least 1 so that an organisation without an allocation is not starved.
func weight(d Demand) float64 { return max(1, d.Weight) }
