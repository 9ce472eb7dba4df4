package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// memberMemory is the time after the last report after which a collector forgets a reporter's counters. A later report counts from what
// the reporter states as settled.
const memberMemory = time.Minute

// ownMemory is the time for which a collector that decides itself keeps counts for another one that it may have to report to. What was used
// before then was within its part of the quota.
const ownMemory = 400 * time.Millisecond

// minRateAge is the age up to which an estimate of demand is too uncertain to be corrected further.
const minRateAge = 400 * time.Millisecond

const (
	// memberLease is the time after its last report for which a process counts as reporting, regionLease that of a region and also the time
	// for which a region uses a reply of the top collector. From lateReply on, it does not hand out more than that covers.
	memberLease = time.Second
	regionLease = 800 * time.Millisecond
	lateReply   = 500 * time.Millisecond
)

// startTime is the time within which all processes in reach report to a collector that has begun to decide. Until then it does not take
// the others for cut off.
const startTime = 300 * time.Millisecond

// Collector settles the counters of processes against the quotas. It is idle until it gets reports. While it gets replies of the top
// collector it applies those to its region, otherwise it decides itself. It is safe for concurrent use.
//
// Invariant: what the top collector hands out as allowances in one round of reports is at most the level of the bucket plus the reserve,
// but for organisations so small that this is below one request for each process.
type Collector struct {
	account *Account
	rand    *rand.Rand

	mu         sync.Mutex
	terms      *Terms
	members    map[memberID]*member
	ledgers    map[string]*ledger
	lastReport time.Time
	// top is set if this collector decided itself at the last report, and has since topSince.
	top      bool
	topSince time.Time
	// sequence is that of the last report to the top collector.
	sequence uint64
	// repliedAt is the time at which the last report was sent that the top collector replied to, rules its reply.
	repliedAt time.Time
	leased    bool
	rules     map[string]*Rule
}

// memberID identifies the incarnation of a reporter.
type memberID struct {
	from        string
	incarnation uint64
	region      bool
}

// member is a reporter.
type member struct {
	region     bool
	sequence   uint64
	lastReport time.Time
	processes  int
	uses       map[string]*memberUse
}

// reporting reports whether the member counts as reporting.
func (m *member) reporting(now time.Time) bool {
	lease := memberLease
	if m.region {
		lease = regionLease
	}
	return now.Sub(m.lastReport) < lease
}

// memberUse is the use of one organisation by one member.
type memberUse struct {
	counts Counts
	demand decayingRate
}

// ledger is an organisation's use over all members.
type ledger struct {
	// direct are the counts of processes, which the top collector does not get from other regions; settled those that it has confirmed.
	direct, settled Counts
	// mark holds the counts at markedAt, while this collector decides itself.
	mark     Counts
	markedAt time.Time
	// demand is an estimate that began at since.
	demand decayingRate
	since  time.Time
	// level is the level of the token bucket at levelAt. Below 0 it is a debt.
	level   float64
	levelAt time.Time
}

// grant is what a collector may hand out for an organisation at one moment.
type grant struct {
	fraction float64
	// amount is the number of requests that may be admitted before they are reported, over all members.
	amount float64
	wait   time.Duration
	// named is set if members have to be told, low if half of the reserve is used up.
	named, low bool
}

// NewCollector returns a collector for the process with this account.
func NewCollector(account *Account) *Collector {
	return &Collector{account: account, rand: rand.New(rand.NewPCG(account.incarnation, 0)), terms: &Terms{Processes: 1}, members: map[memberID]*member{}, ledgers: map[string]*ledger{}}
}

// SetTerms puts terms in force. A lower quota binds at once.
func (c *Collector) SetTerms(terms *Terms) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terms = terms
	for name, l := range c.ledgers {
		if limit, ok := terms.Limits[name]; ok {
			l.level = min(l.level, limit.Burst)
		} else {
			delete(c.ledgers, name)
		}
	}
}

// Receive settles a report and returns the reply. It returns false if the report is that of a region and this collector is not the top
// one: counters that come by two ways would be settled twice.
func (c *Collector) Receive(now time.Time, r *Report) (*Reply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	top := !c.fresh(now)
	if r.Region && !top {
		return nil, false
	}
	if top && (!c.top || now.Sub(c.lastReport) >= memberLease) {
		// Another collector may have handed out the quota meanwhile.
		c.topSince = now
		for _, l := range c.ledgers {
			l.level, l.levelAt = min(l.level, 0), now
		}
	}
	c.top, c.lastReport = top, now
	m := c.settle(now, r)
	reporting := c.reporting(now)
	reply := &Reply{}
	for name, limit := range c.terms.Limits {
		l := c.ledgers[name]
		if l == nil {
			if c.rules[name] == nil {
				continue // nothing was offered yet
			}
			l = newLedger(now)
			c.ledgers[name] = l
		}
		if rule, ok := c.rule(now, name, limit, l, m, reporting); ok {
			reply.Rules = append(reply.Rules, rule)
		}
	}
	slices.SortFunc(reply.Rules, func(x, y Rule) int { return strings.Compare(x.Organisation, y.Organisation) })
	return reply, true
}

func newLedger(now time.Time) *ledger { return &ledger{levelAt: now, since: now} }

// demandRate returns the estimated rate of requests per second. A young estimate is corrected for the time that it does not cover.
func (l *ledger) demandRate(now time.Time) float64 {
	age := max(now.Sub(l.since), minRateAge)
	return l.demand.value(now) / (1 - math.Exp(-age.Seconds()/rateMemory.Seconds()))
}

// settle adds a report to the counters and returns its member.
func (c *Collector) settle(now time.Time, r *Report) *member {
	id := memberID{r.From, r.Incarnation, r.Region}
	m := c.members[id]
	// The first report of a region may be about a longer time, during which its collector decided itself.
	backlog := m == nil && r.Region
	if m == nil {
		for other, old := range c.members {
			if now.Sub(old.lastReport) >= memberMemory {
				delete(c.members, other)
			}
			if other.from == id.from && other.region == id.region {
				old.processes = 0 // an earlier incarnation
			}
		}
		m = &member{region: r.Region, uses: map[string]*memberUse{}}
		c.members[id] = m
	}
	if r.Sequence > m.sequence {
		m.sequence, m.lastReport, m.processes = r.Sequence, now, max(r.Processes, 1)
	}
	for _, u := range r.Usage {
		limit, ok := c.terms.Limits[u.Organisation]
		if !ok {
			continue
		}
		l, use := c.ledgers[u.Organisation], m.uses[u.Organisation]
		if l == nil {
			l = newLedger(now)
			c.ledgers[u.Organisation] = l
		}
		if use == nil {
			use = &memberUse{}
			m.uses[u.Organisation] = use
		}
		before := use.counts.or(u.Settled)
		added := u.Counts.Minus(before)
		use.counts = before.or(u.Counts)
		if !backlog {
			use.demand.add(now, added.demand())
			l.demand.add(now, added.demand())
		}
		if !r.Region {
			l.direct = l.direct.Plus(added)
		}
		if c.top {
			// A debt beyond the excess would be of a time before the window.
			l.level = max(l.level-added.net(), -c.terms.Bounds.excess(limit))
			if now.Sub(l.markedAt) >= ownMemory {
				l.settled, l.mark, l.markedAt = l.settled.or(l.mark), l.direct, now
			}
		}
	}
	return m
}

// reporting returns the number of processes that report.
func (c *Collector) reporting(now time.Time) int {
	n := 0
	for _, m := range c.members {
		if m.reporting(now) {
			n += m.processes
		}
	}
	return max(n, 1)
}

// fresh reports whether the last reply of the top collector is still used.
func (c *Collector) fresh(now time.Time) bool { return c.leased && now.Sub(c.repliedAt) < regionLease }

// grant returns what may be handed out for an organisation.
func (c *Collector) grant(now time.Time, name string, limit Limit, l *ledger, reporting int) grant {
	if !c.top {
		return c.regionGrant(now, name, limit, l, reporting)
	}
	part := 1.0
	if now.Sub(c.topSince) >= startTime {
		part = min(islandFactor*float64(reporting)/float64(c.terms.Processes), 1)
	}
	rate, reserve := limit.PerSecond*part, c.terms.Bounds.reserve(limit)*part
	if elapsed := now.Sub(l.levelAt).Seconds(); elapsed > 0 {
		l.level, l.levelAt = l.level+rate*elapsed, now
	}
	l.level = min(l.level, limit.Burst*part)
	// Aiming below an empty bucket spares organisations whose demand is uneven but below their quota.
	target := l.level + reserve/2
	g := grant{fraction: 1, amount: max(l.level+reserve, 0), named: l.level < 0, low: target < 0}
	if demand, usable := l.demandRate(now), max(rate+target/horizon.Seconds(), 0); usable < demand {
		g.fraction, g.named = usable/demand, true
		g.wait = seconds((1-target)/rate) + time.Duration((1-g.fraction)*float64(horizon))
	}
	return g
}

// regionGrant returns the part of the top collector's grant that this region has not used yet.
func (c *Collector) regionGrant(now time.Time, name string, limit Limit, l *ledger, reporting int) grant {
	amount := c.terms.allowance(limit) * float64(reporting)
	g := grant{fraction: 1}
	if rule := c.rules[name]; rule != nil {
		amount, g.named, g.low = float64(rule.Allowance), true, rule.Allowance < uint32(reporting)
		g.fraction, g.wait = float64(rule.Fraction), time.Duration(rule.WaitMs)*time.Millisecond
	}
	g.amount = max(amount-l.direct.Minus(l.settled).net(), 0)
	late := now.Sub(c.repliedAt) >= lateReply
	g.named = g.named || g.amount < amount/2
	g.low = g.low || late && g.amount < float64(reporting)
	return g
}

// rule returns the rule of an organisation for a member. It returns false if the organisation is open there.
func (c *Collector) rule(now time.Time, name string, limit Limit, l *ledger, m *member, reporting int) (Rule, bool) {
	g := c.grant(now, name, limit, l, reporting)
	processes, demand := float64(m.processes), 0.0
	if use := m.uses[name]; use != nil {
		demand = use.demand.value(now)
	}
	// One half of the grant is divided evenly, so that demand may move at any time, the other by demand.
	amount := g.amount / 2 * processes / float64(reporting)
	if total := l.demand.value(now); total > 0 {
		amount += g.amount / 2 * min(demand/total, 1)
	}
	if !g.named {
		open := c.terms.allowance(limit) * processes
		if amount <= open || demand*Lease.Seconds()/4 < open/2 {
			return Rule{}, false
		}
		amount = max(amount, open)
	}
	switch {
	case g.low:
		amount = math.Floor(amount + c.rand.Float64()) // no process gets one for certain, or their sum would exceed the amount
	case g.fraction > 0:
		amount = max(amount, processes)
	}
	return Rule{Organisation: name, Fraction: float32(g.fraction), Allowance: uint32(min(amount, math.MaxUint32)), WaitMs: uint32(g.wait.Milliseconds())}, true
}

// Active reports whether processes report to this collector.
func (c *Collector) Active(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastReport.IsZero() && now.Sub(c.lastReport) < memberLease
}

// Report returns the report of this collector's processes for the top collector, and whether it contains anything that is not settled.
func (c *Collector) Report(now time.Time) (*Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	r := &Report{From: c.account.id, Incarnation: c.account.incarnation, Region: true, Sequence: c.sequence}
	for _, m := range c.members {
		if !m.region && m.reporting(now) {
			r.Processes += m.processes
		}
	}
	for name, l := range c.ledgers {
		if l.direct != l.settled {
			r.Usage = append(r.Usage, Usage{Organisation: name, Counts: l.direct, Settled: l.settled})
		}
	}
	slices.SortFunc(r.Usage, func(x, y Usage) int { return strings.Compare(x.Organisation, y.Organisation) })
	return r, len(r.Usage) > 0
}

// Accept puts the top collector's reply to a report that was sent at the given time in force. Replies to earlier reports are ignored.
func (c *Collector) Accept(sentAt time.Time, r *Report, reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leased && sentAt.Before(c.repliedAt) {
		return
	}
	c.repliedAt, c.leased = sentAt, true
	for _, u := range r.Usage {
		if l := c.ledgers[u.Organisation]; l != nil {
			l.settled = u.Counts.or(l.settled)
		}
	}
	c.rules = make(map[string]*Rule, len(reply.Rules))
	for i := range reply.Rules {
		c.rules[reply.Rules[i].Organisation] = &reply.Rules[i]
	}
}

// Collected describes an organisation at a collector.
type Collected struct {
	Organisation string
	// Demand is the rate of requests per second, Level that of the token bucket; the latter is meaningful at the top collector only.
	Demand, Level float64
}

// Status returns the number of processes that report, whether this collector decides itself, and the organisations that they use.
func (c *Collector) Status(now time.Time) (reporting int, top bool, out []Collected) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, l := range c.ledgers {
		out = append(out, Collected{Organisation: name, Demand: l.demandRate(now), Level: l.level})
	}
	slices.SortFunc(out, func(x, y Collected) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return c.reporting(now), c.top, out
}
