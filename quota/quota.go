// Package quota bounds the requests of organisations over all processes together.
//
// Each process has an Account that admits requests and counts them. It reports its counters to a Collector, which settles them against
// a token bucket for each organisation and replies with the organisations that are close to their quota. All others are open: a process
// admits their requests, up to a bounded number that it has not reported yet. Collectors form two levels: one in each region for the
// region's processes, and the top one, to which those report their sums.
//
// The package uses neither network nor clock. Times passed to it must come from one monotonic clock of the process.
package quota

import (
	"math"
	"time"
)

// Limits of the exchange between accounts and collectors.
const (
	// Lease is the time for which a reply of a collector is used, counted from when its report was sent. It covers the detection of a
	// failed collector and the first report to its successor.
	Lease = 1500 * time.Millisecond
	// lateCollector is the time since the last reply from which on the collector may have failed, and the allowance is smaller.
	lateCollector = 700 * time.Millisecond
	// reserveShare is the fraction of the permitted excess that reported and unreported requests may use. The other half and more is
	// for the loss of a collector's state, and for the processes that are cut off meanwhile.
	reserveShare = 0.4
	// islandFactor times the fraction of the processes that report is the fraction of a quota that their collector hands out. Above 1,
	// it leaves the quota whole while a few processes have failed.
	islandFactor = 1.1
	// horizon is the time over which a level above or below its target is settled.
	horizon = time.Second
	// minAllowance is the smallest number of unreported requests of an open organisation, so that two requests of a small organisation
	// between two reports are not refused.
	minAllowance = 2
	// reportWait is the retry-after of a request that is refused until the next report is answered.
	reportWait = 100 * time.Millisecond
	// maxWait bounds the retry-after.
	maxWait = 10 * time.Second
)

// Limit is the quota of an organisation.
type Limit struct {
	// PerSecond is the sustained rate, above 0.
	PerSecond float64
	// Burst is the number of requests that may exceed the rate.
	Burst float64
}

// Bounds state how far the requests of all processes together may exceed a quota: in any window of this length,
// (rate × window + burst) × (1 + Overshoot) + Slack requests.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// reserve returns the number of requests beyond rate and burst that reported and unreported requests may use.
func (b Bounds) reserve(l Limit) float64 { return reserveShare * b.excess(l) }

// excess returns the number of requests by which a window may exceed rate × window + burst.
func (b Bounds) excess(l Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*b.Overshoot + b.Slack
}

// Terms are the quotas in force. They are immutable.
type Terms struct {
	Limits map[string]Limit
	// Processes is the number of processes that share the quotas, at least 1.
	Processes int
	Bounds    Bounds
}

// allowance returns the number of requests of an open organisation that each process may admit before it has reported them. The sum
// over all processes is half of burst and reserve, except for organisations so small that it would be below minAllowance.
func (t *Terms) allowance(l Limit) float64 {
	return max(minAllowance, math.Floor((l.Burst+t.Bounds.reserve(l))/2/float64(t.Processes)))
}

// ownRate returns the rate per second at which a process without a collector admits requests.
func (t *Terms) ownRate(l Limit) float64 { return l.PerSecond / float64(t.Processes) }

// Counts are cumulative numbers of requests.
type Counts struct {
	Offered  uint64 `cbor:"1,keyasint,omitempty"`
	Admitted uint64 `cbor:"2,keyasint,omitempty"`
	// Refunded is the number of admitted requests that were refused later and did not run.
	Refunded uint64 `cbor:"3,keyasint,omitempty"`
}

// net returns the number of admitted requests that were not refunded.
func (c Counts) net() float64 { return float64(c.Admitted) - float64(c.Refunded) }

// demand returns the number of requests that count as demand: those that were refunded come again.
func (c Counts) demand() float64 { return float64(c.Offered) - float64(c.Refunded) }

// Plus returns the sums of the counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Offered: c.Offered + o.Offered, Admitted: c.Admitted + o.Admitted, Refunded: c.Refunded + o.Refunded}
}

// Minus returns the counts beyond o, which are 0 where o is larger.
func (c Counts) Minus(o Counts) Counts {
	return Counts{Offered: c.Offered - min(c.Offered, o.Offered), Admitted: c.Admitted - min(c.Admitted, o.Admitted), Refunded: c.Refunded - min(c.Refunded, o.Refunded)}
}

// or returns the larger of each count.
func (c Counts) or(o Counts) Counts {
	return Counts{Offered: max(c.Offered, o.Offered), Admitted: max(c.Admitted, o.Admitted), Refunded: max(c.Refunded, o.Refunded)}
}

// Usage is the use of an organisation as reported by a process or a region. Counts are cumulative over the reporter's incarnation, so
// that lost, repeated and reordered reports change nothing.
type Usage struct {
	Organisation string `cbor:"1,keyasint"`
	Counts       Counts `cbor:"2,keyasint"`
	// Settled are the counts that some collector has confirmed.
	Settled Counts `cbor:"3,keyasint"`
}

// Report is sent to a collector.
type Report struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Processes is the number of processes that the report is about: 1, or those of a region.
	Processes int `cbor:"3,keyasint"`
	// Region is set if the reporter is the collector of a region.
	Region bool `cbor:"4,keyasint,omitempty"`
	// Usage holds the organisations with counts that are not settled.
	Usage []Usage `cbor:"5,keyasint,omitempty"`
	// Sequence increases with each report of an incarnation. One that arrives late does not show that its reporter is still in reach.
	Sequence uint64 `cbor:"6,keyasint"`
}

// Rule states how requests of an organisation are admitted until the next reply.
type Rule struct {
	Organisation string `cbor:"1,keyasint"`
	// Fraction is the fraction of requests to admit, from 0 to 1.
	Fraction float32 `cbor:"2,keyasint"`
	// Allowance is the number of requests that may be admitted before they are reported.
	Allowance uint32 `cbor:"3,keyasint"`
	// WaitMs is the time in milliseconds after which room is expected for a refused request.
	WaitMs uint32 `cbor:"4,keyasint,omitempty"`
}

// Reply is a collector's reply to a report. Organisations without a rule are open.
type Reply struct {
	Rules []Rule `cbor:"1,keyasint,omitempty"`
}

// decayingRate estimates a rate per second with exponential decay.
type decayingRate struct {
	perSecond float64
	at        time.Time
}

// rateMemory is the time constant of the decay.
const rateMemory = time.Second

// value returns the rate at now.
func (r *decayingRate) value(now time.Time) float64 {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.perSecond *= math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
		r.at = now
	}
	return r.perSecond
}

// add counts n events at now. n may be negative.
func (r *decayingRate) add(now time.Time, n float64) {
	r.perSecond = max(r.value(now)+n/rateMemory.Seconds(), 0)
}

// seconds converts seconds to a duration of at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxWait.Seconds()) * float64(time.Second))
}
