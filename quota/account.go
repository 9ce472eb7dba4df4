package quota

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Causes of a decision.
type Cause int

// Causes for which a request is refused.
const (
	// Admitted is the cause of requests that are not refused.
	Admitted Cause = iota
	// OverQuota: the organisation exceeds its quota, and the collector hands out a fraction.
	OverQuota
	// Unreported: this process has admitted as many requests as it may before its next report.
	Unreported
	// NoCollector: no collector replies, and the process's own part of the quota is used up.
	NoCollector
)

// String returns the name of the cause in logs.
func (c Cause) String() string {
	return [...]string{"admitted", "over-quota", "unreported", "no-collector"}[c]
}

// Decision is the result of Admit.
type Decision struct {
	Cause Cause
	// Wait is the time after which room is expected. Fraction is the one in force. Both are set for refused requests only.
	Wait     time.Duration
	Fraction float64
	// ReportNow is set if further requests have to wait for the next report.
	ReportNow bool
}

// OK reports whether the request is admitted.
func (d Decision) OK() bool { return d.Cause == Admitted }

// Account admits the requests of one process. It is safe for concurrent use.
//
// Invariant: between two settled reports an organisation's admitted requests exceed neither the allowance of the last reply nor, once that
// is used up, what the process's own part of the quota has yielded since the last settled report.
type Account struct {
	id          string
	incarnation uint64

	mu    sync.Mutex
	rand  *rand.Rand
	terms *Terms
	usage map[string]*usage
	// sequence is that of the last report.
	sequence uint64
	// repliedAt is the time at which the last report that was replied to was sent, at first the time of NewAccount. leased is set after
	// the first reply.
	repliedAt time.Time
	leased    bool
}

// usage is an organisation's use of one process.
type usage struct {
	counts, settled Counts
	// rule is the rule in force, or nil if the organisation is open.
	rule *Rule
	// credit accumulates the fraction of each request; a request is admitted when it reaches 1.
	credit float64
	// own is the level of the process's own part at ownAt. ownUsed is the number of requests admitted from it since repliedAt.
	own, ownUsed float64
	ownAt        time.Time
}

// NewAccount returns an account without a collector, whose own part of each quota is one request at now.
func NewAccount(now time.Time, id string, rng *rand.Rand) *Account {
	return &Account{id: id, incarnation: rng.Uint64(), rand: rng, terms: &Terms{Processes: 1}, usage: map[string]*usage{}, repliedAt: now}
}

// SetTerms puts terms in force. Counters of organisations without a quota are removed.
func (a *Account) SetTerms(terms *Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terms = terms
	for name := range a.usage {
		if _, ok := terms.Limits[name]; !ok {
			delete(a.usage, name)
		}
	}
}

// Admit decides whether a request of an organisation may go on, and counts it.
func (a *Account) Admit(now time.Time, organisation string) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit, ok := a.terms.Limits[organisation]
	if !ok {
		return Decision{}
	}
	u := a.usage[organisation]
	if u == nil {
		u = &usage{credit: a.rand.Float64(), ownAt: a.repliedAt}
		if !a.leased {
			u.own = 1 // the time until the first reply is short, and a request for each process is within the slack
		}
		a.usage[organisation] = u
	}
	u.counts.Offered++
	d := a.decide(now, u, limit)
	if d.OK() {
		u.counts.Admitted++
	}
	return d
}

func (a *Account) decide(now time.Time, u *usage, limit Limit) Decision {
	allowance, fraction := 0.0, 1.0
	fresh := a.fresh(now)
	if fresh {
		allowance = a.terms.allowance(limit)
		if a.silent(now) >= lateCollector {
			allowance--
		}
		if u.rule != nil {
			allowance, fraction = float64(u.rule.Allowance), float64(u.rule.Fraction)
		}
	}
	if fraction < 1 {
		if u.credit = min(u.credit+fraction, 2); u.credit < 1 {
			return Decision{Cause: OverQuota, Wait: time.Duration(u.rule.WaitMs) * time.Millisecond, Fraction: fraction}
		}
	}
	if unreported := u.counts.Minus(u.settled).net() - u.ownUsed; fresh && unreported+1 <= allowance {
		u.credit = max(u.credit-1, 0)
		return Decision{ReportNow: unreported+2 > allowance}
	}
	// The cap keeps a long cut from saving up more than a process that reports may admit at once.
	rate := a.terms.ownRate(limit)
	u.own = min(u.own+rate*now.Sub(u.ownAt).Seconds(), a.terms.allowance(limit))
	u.ownAt = now
	if u.own >= 1 {
		u.own--
		u.ownUsed++
		u.credit = max(u.credit-1, 0)
		return Decision{ReportNow: true}
	}
	if fresh {
		return Decision{Cause: Unreported, Wait: reportWait, Fraction: fraction, ReportNow: true}
	}
	return Decision{Cause: NoCollector, Wait: min(seconds((1-u.own)/rate), max(reportWait, a.silent(now))), ReportNow: true}
}

// silent returns the time since the last report that was replied to.
func (a *Account) silent(now time.Time) time.Duration { return now.Sub(a.repliedAt) }

// fresh reports whether the last reply is still used.
func (a *Account) fresh(now time.Time) bool { return a.leased && a.silent(now) < Lease }

// Refund counts an admitted request that did not run.
func (a *Account) Refund(organisation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.usage[organisation]; u != nil {
		u.counts.Refunded++
	}
}

// Report returns the report for a collector, and whether it contains anything that is not settled.
func (a *Account) Report() (*Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	r := &Report{From: a.id, Incarnation: a.incarnation, Processes: 1, Sequence: a.sequence}
	for name, u := range a.usage {
		if u.counts != u.settled {
			r.Usage = append(r.Usage, Usage{Organisation: name, Counts: u.counts, Settled: u.settled})
		}
	}
	slices.SortFunc(r.Usage, func(x, y Usage) int { return strings.Compare(x.Organisation, y.Organisation) })
	return r, len(r.Usage) > 0
}

// Accept puts a collector's reply to a report that was sent at the given time in force. Replies to earlier reports are ignored.
func (a *Account) Accept(sentAt time.Time, r *Report, reply *Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentAt.Before(a.repliedAt) {
		return
	}
	a.repliedAt, a.leased = sentAt, true
	rules := make(map[string]*Rule, len(reply.Rules))
	for i := range reply.Rules {
		rules[reply.Rules[i].Organisation] = &reply.Rules[i]
	}
	for _, s := range r.Usage {
		if u := a.usage[s.Organisation]; u != nil {
			u.settled = s.Counts.or(u.settled)
		}
	}
	for name, u := range a.usage {
		u.rule, u.own, u.ownUsed, u.ownAt = rules[name], 0, 0, sentAt
		delete(rules, name)
	}
	for name, rule := range rules {
		a.usage[name] = &usage{credit: a.rand.Float64(), rule: rule, ownAt: sentAt}
	}
}

// Status describes an organisation's quota at one process.
type Status struct {
	Organisation string
	Limit        Limit
	Counts       Counts
	// Fraction and Allowance are those in force. Fraction is 0 without a collector.
	Fraction, Allowance float64
	// Age is the time since the report was sent to which a collector replied last. Fresh tells whether that reply is still used.
	Age   time.Duration
	Fresh bool
}

// Status returns the organisations with a quota in order of their names.
func (a *Account) Status(now time.Time) []Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Status, 0, len(a.terms.Limits))
	for name, limit := range a.terms.Limits {
		s := Status{Organisation: name, Limit: limit, Age: a.silent(now), Fresh: a.fresh(now)}
		u := a.usage[name]
		if u != nil {
			s.Counts = u.counts
		}
		switch {
		case s.Fresh && u != nil && u.rule != nil:
			s.Fraction, s.Allowance = float64(u.rule.Fraction), float64(u.rule.Allowance)
		case s.Fresh:
			s.Fraction, s.Allowance = 1, a.terms.allowance(limit)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Status) int { return strings.Compare(x.Organisation, y.Organisation) })
	return out
}
