// Package gate implements the admission gate of a target: it starts each request at once, queues it, or refuses it.
//
// A request is queued only while it can still finish in time. A request that cannot is refused at once, with a retry-after:
// the time until a slot is expected to be free. Requests with a more urgent priority are started first. Among equal
// priorities, requests that will end past their latency objective in any case, such as retries after a refusal, are started
// last, and they are not queued while there is no room for others. Under sustained overload, therefore, the requests in excess
// of the capacity are refused and the others still meet their objective. A target that is cold, or limits its rate, starts requests
// at a bounded rate.
//
// The package does no I/O and reads no clock: the caller passes the time and acts on the results.
package gate

import (
	"container/heap"
	"time"

	"github.com/chervilwell/chervilwell/ratelimit"
)

// Request is a request for the target.
type Request struct {
	// Route is the name of the route; the gate keeps a mean running time for each.
	Route string
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// Flow is the name of the request's organisation, among which the target is shared in proportion to Weight where it is full; the weights sum to 1. It is
	// empty, and Weight 0, if there are no organisations.
	Flow   string
	Weight float64
	// SoftDeadline is the end of the latency objective. Deadline is the time after which the response is of no use.
	SoftDeadline, Deadline time.Time
	// Start is called once if Offer returned Wait, unless Cancel removes the request: with true when the request may run, with
	// false if it is refused.
	Start func(run bool)
	// NoWait is set for a request that must not be queued: Offer runs or refuses it.
	NoWait bool

	arrival uint64
	// tag is the virtual time of the request's start among those of other organisations.
	tag     float64
	index   int
	runTime time.Duration
	waiting bool
	// late is set if the request is expected to end after SoftDeadline even if it starts at once.
	late bool
}

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts of Offer.
const (
	// Run means that the request starts now; its end must be reported with Done.
	Run Verdict = iota
	// Wait means that the request is queued until Start is called.
	Wait
	// Refuse means that the request will not run.
	Refuse
)

// Limits and weights of the gate.
const (
	// defaultRunTime is the running time assumed before the first sample; services respond in tens to hundreds of
	// milliseconds.
	defaultRunTime = 100 * time.Millisecond
	// runTimeWeight is the EWMA weight of one running time: the mean spans about twenty requests, one turnover of the slots.
	runTimeWeight = 0.05
	// p90Factor is the 90th percentile of the running time divided by its mean, for running times that vary by half around the mean.
	p90Factor = 1.5
	// maxRoutes bounds the routes with a mean running time. All of them are dropped when the bound is reached.
	maxRoutes = 4096
	// coldBurst is the time for which unused starts of a cold target are kept. Together with the rate itself they stay below 1.5
	// times the rate, which a cold target can bear.
	coldBurst = 150 * time.Millisecond
	// limitBurst is the time for which unused starts are kept at a target that limits its rate, so that a burst of arrivals need
	// not wait.
	limitBurst = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// saturationPeriod is the time after the refusal of a request that was within its objective during which late requests are
	// not queued.
	saturationPeriod = 500 * time.Millisecond
	// maxEvictions bounds the queued requests that the arrival of one request may evict.
	maxEvictions = 4
)

// Gate is the admission gate of one target. It is not safe for concurrent use.
//
// Invariants: no more requests run than there are slots, except after SetSlots has lowered their number; while the target is
// cold or limits its rate, no more requests start than the limiters allow; a refused request never runs.
type Gate struct {
	slots    int
	running  int
	queue    queue
	arrivals uint64
	mean     time.Duration
	routes   map[string]time.Duration
	// shares holds the shares of the organisations.
	shares shares
	// cold limits the starts while the target is cold, stated while it states a limit.
	cold, stated *ratelimit.Limiter
	// lastOnTimeRefusal is the time at which a request that was within its objective was last refused.
	lastOnTimeRefusal time.Time
}

// New returns a gate with the given number of slots, at least 1.
func New(slots int) *Gate {
	return &Gate{
		slots: max(slots, 1), routes: map[string]time.Duration{}, shares: newShares(max(slots, 1)),
		cold: ratelimit.NewLimiter(coldBurst), stated: ratelimit.NewLimiter(limitBurst),
	}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (g *Gate) SetSlots(now time.Time, slots int) {
	g.slots = max(slots, 1)
	g.shares.credit = creditTime.Seconds() * float64(g.slots)
	g.grant(now)
}

// SetCold bounds starts to rate per second until SetWarm is called. A rate of 0 removes the bound.
func (g *Gate) SetCold(now time.Time, rate float64) {
	g.cold.SetLimit(now, ratelimit.Limit{PerSecond: rate, Limited: rate > 0})
}

// SetWarm removes the bound on starts that SetCold has set.
func (g *Gate) SetWarm(now time.Time) {
	g.cold.SetLimit(now, ratelimit.Limit{})
	g.grant(now)
}

// SetRateLimit bounds starts to the limit that the target states, and refuses the queued requests that can no longer end in time.
func (g *Gate) SetRateLimit(now time.Time, limit ratelimit.Limit) {
	g.stated.SetLimit(now, limit)
	g.grant(now)
	g.evict(now, len(g.queue))
}

// Count counts a request that was sent to the target without Offer, such as a health check, against the rate limit.
func (g *Gate) Count(now time.Time) { g.stated.Start(now) }

// Cold reports whether starts are bounded.
func (g *Gate) Cold() bool { return g.cold.Limited() }

// AtRateLimit reports whether requests have to wait because of the limit that the target states.
func (g *Gate) AtRateLimit(now time.Time) bool { return g.stated.Wait(now, len(g.queue)) > 0 }

// Offer decides whether a request runs, waits or is refused. With Refuse it also returns the retry-after.
func (g *Gate) Offer(now time.Time, r *Request) (Verdict, time.Duration) {
	g.estimate(now, r)
	if len(g.queue) == 0 && g.canStart(now) {
		g.shares.charge(r)
		g.start(now, r)
		return Run, 0
	}
	fits, retryAfter := g.fits(now, r)
	if !fits {
		g.noteRefusal(now, r)
	}
	if !fits || r.NoWait {
		return Refuse, retryAfter
	}
	g.arrivals++
	r.arrival, r.waiting = g.arrivals, true
	g.shares.charge(r)
	heap.Push(&g.queue, r)
	g.evict(now, maxEvictions)
	return Wait, 0
}

// Fits reports whether Offer would accept the request now. If not, it returns the retry-after. The state of the gate is not
// changed.
func (g *Gate) Fits(now time.Time, r *Request) (bool, time.Duration) {
	g.estimate(now, r)
	if len(g.queue) == 0 && g.canStart(now) {
		return true, 0
	}
	return g.fits(now, r)
}

// Expect returns the time after which a request offered now is expected to end, and the time by which it should. late is set if it would
// miss its objective even if it started at once.
func (g *Gate) Expect(now time.Time, r *Request) (end time.Duration, limit time.Time, late bool) {
	g.estimate(now, r)
	if len(g.queue) > 0 || !g.canStart(now) {
		end = g.waitFor(now, r)
	}
	return end + r.runTime, r.limit(), r.late
}

// estimate sets the estimates of a request: its running time, and whether it is late.
func (g *Gate) estimate(now time.Time, r *Request) {
	r.runTime = g.expectedRunTime(r.Route)
	g.shares.tag(r)
	r.late = now.Add(r.p90RunTime()).After(r.SoftDeadline)
}

func (g *Gate) fits(now time.Time, r *Request) (bool, time.Duration) {
	wait := g.waitFor(now, r)
	return g.endsInTime(now, r, wait), g.retryAfter(wait)
}

// endsInTime reports whether a request that starts after wait is expected to end in time.
func (g *Gate) endsInTime(now time.Time, r *Request, wait time.Duration) bool {
	if r.late && r.Priority > 0 && now.Sub(g.lastOnTimeRefusal) < saturationPeriod {
		return false
	}
	return now.Add(wait + r.p90RunTime()).Before(r.limit())
}

// p90RunTime returns the running time that 90% of the requests do not exceed.
func (r *Request) p90RunTime() time.Duration { return time.Duration(p90Factor * float64(r.runTime)) }

// noteRefusal records the time of a refusal if the request was within its objective.
func (g *Gate) noteRefusal(now time.Time, r *Request) {
	if !r.late {
		g.lastOnTimeRefusal = now
	}
}

// limit returns the time by which the request should end. This is SoftDeadline, or Deadline if the request is late in any
// case or has priority 0: such requests are calls on which another request waits.
func (r *Request) limit() time.Time {
	if r.late || r.Priority == 0 || r.Deadline.Before(r.SoftDeadline) {
		return r.Deadline
	}
	return r.SoftDeadline
}

// LastStart returns the latest time at which a queued request may start. A request that starts later would occupy a slot and
// still end too late.
func (r *Request) LastStart() time.Time { return r.limit().Add(-r.runTime) }

// evict refuses up to n of the least urgent queued requests, those that can no longer end in time.
func (g *Gate) evict(now time.Time, n int) {
	for range n {
		last := g.queue.last()
		if last == nil || g.endsInTime(now, last, g.waitFor(now, last)) {
			return
		}
		g.noteRefusal(now, last)
		g.drop(last)
		last.Start(false)
	}
}

// Done records that a running request has ended and starts queued requests. A negative running time is not added to the means.
func (g *Gate) Done(now time.Time, r *Request, took time.Duration) {
	g.running--
	if took >= 0 {
		g.observe(r.Route, took)
	}
	g.grant(now)
}

// Cancel removes a request from the queue, without calling Start, and reports whether it was queued.
func (g *Gate) Cancel(r *Request) bool {
	if !r.waiting {
		return false
	}
	g.drop(r)
	return true
}

// RefuseWaiting refuses all queued requests.
func (g *Gate) RefuseWaiting() {
	for len(g.queue) > 0 {
		r := g.queue[0]
		g.drop(r)
		r.Start(false)
	}
}

// Tick starts the queued requests that may start at now, and refuses those that can no longer end in time.
func (g *Gate) Tick(now time.Time) { g.grant(now) }

// NextTick returns the next time at which Tick has to be called, or the zero time if there is none.
func (g *Gate) NextTick(now time.Time) time.Time {
	if len(g.queue) > 0 && (g.cold.Limited() || g.stated.Limited()) && g.running < g.slots {
		return now.Add(g.limiterWait(now, 0))
	}
	return time.Time{}
}

// Load is the load of a gate as reported to the callers of its target.
type Load struct {
	Running, Waiting, Slots int
	// Free is the number of requests that could start now.
	Free int
	// Wait is the time that a request of the lowest priority would wait now. Interval is the time by which each further
	// request lengthens that wait.
	Wait, Interval time.Duration
	// Cold reports whether starts are bounded.
	Cold bool
	// ReserveInbound reports whether large request bodies must be admitted before they are sent over the link of the machine.
	// InboundWait is the wait of such a body.
	ReserveInbound bool
	InboundWait    time.Duration
	// OutboundRate is the rate in bytes per second at which large responses leave over the link of the machine, or 0 if it is not
	// limited. OutboundWait is the time after which the link is free for a further one.
	OutboundRate float64
	OutboundWait time.Duration
}

// Load returns the current load.
func (g *Gate) Load(now time.Time) Load {
	l := Load{Running: g.running, Waiting: len(g.queue), Slots: g.slots, Interval: g.interval(), Cold: g.Cold()}
	l.Wait = g.waitBehind(now, len(g.queue))
	if len(g.queue) == 0 {
		free := max(g.slots-g.running, 0)
		l.Free = min(g.cold.Available(now, free), g.stated.Available(now, free))
	}
	return l
}

// BacklogRetryAfter returns the retry-after for a request behind the whole queue: the time in which the queue is expected to
// empty.
func (g *Gate) BacklogRetryAfter(now time.Time) time.Duration {
	return g.retryAfter(g.waitBehind(now, len(g.queue)))
}

func (g *Gate) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (g *Gate) meanRunTime() time.Duration {
	if g.mean == 0 {
		return defaultRunTime
	}
	return g.mean
}

// expectedRunTime returns the mean running time of the route, or of all requests if the route has no sample.
func (g *Gate) expectedRunTime(route string) time.Duration {
	if mean, ok := g.routes[route]; ok {
		return mean
	}
	return g.meanRunTime()
}

func (g *Gate) observe(route string, took time.Duration) {
	g.mean = ewma(g.mean, took)
	mean, ok := g.routes[route]
	if !ok && len(g.routes) >= maxRoutes {
		clear(g.routes)
	}
	g.routes[route] = ewma(mean, took)
}

func ewma(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(runTimeWeight*float64(sample-mean))
}

// interval returns the mean time between two starts while requests are queued.
func (g *Gate) interval() time.Duration {
	return max(g.meanRunTime()/time.Duration(g.slots), g.cold.Spacing(), g.stated.Spacing())
}

// waitFor returns the expected wait of a request behind those that precede it in the queue.
func (g *Gate) waitFor(now time.Time, r *Request) time.Duration {
	return g.waitBehind(now, g.queue.countBefore(r))
}

// waitBehind returns the expected wait of a request that is preceded by ahead queued requests.
func (g *Gate) waitBehind(now time.Time, ahead int) time.Duration {
	var wait time.Duration
	if g.running >= g.slots || ahead > 0 {
		wait = g.interval() * time.Duration(ahead+1)
	}
	return max(wait, g.limiterWait(now, ahead))
}

// limiterWait returns the time for which the limiters delay a request that is preceded by ahead others.
func (g *Gate) limiterWait(now time.Time, ahead int) time.Duration {
	return max(g.cold.Wait(now, ahead), g.stated.Wait(now, ahead), 0)
}

// canStart reports whether a slot is free and the limiters permit a start.
func (g *Gate) canStart(now time.Time) bool {
	return g.running < g.slots && g.cold.Ready(now) && g.stated.Ready(now)
}

// start counts a request as running and against the limiters.
func (g *Gate) start(now time.Time, r *Request) {
	g.running++
	g.shares.started(r)
	g.cold.Start(now)
	g.stated.Start(now)
}

// drop removes a request from the queue that does not run.
func (g *Gate) drop(r *Request) {
	g.shares.refund(r)
	g.remove(r)
}

func (g *Gate) remove(r *Request) {
	heap.Remove(&g.queue, r.index)
	r.waiting = false
}

// grant starts the most urgent queued requests while slots are free, and refuses those that can no longer end in time.
func (g *Gate) grant(now time.Time) {
	for len(g.queue) > 0 && g.canStart(now) {
		r := g.queue[0]
		g.remove(r)
		if !now.Before(r.LastStart()) {
			g.shares.refund(r)
			r.Start(false)
			continue
		}
		g.start(now, r)
		r.Start(true)
	}
}

// queue is a heap of requests: by priority, then requests within their objective before late ones, then by the shares of their
// organisations, then by arrival.
type queue []*Request

func (q queue) less(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.arrival < b.arrival
}

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q.less(q[i], q[j]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*Request)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

// countBefore returns the number of requests that precede r; a request that is not queued comes after those equal to it.
func (q queue) countBefore(r *Request) int {
	n := 0
	for _, other := range q {
		if other == r {
			continue
		}
		if q.less(other, r) || !r.waiting && !q.less(r, other) {
			n++
		}
	}
	return n
}

// last returns the least urgent request, or nil if the queue is empty.
func (q queue) last() *Request {
	var last *Request
	for _, r := range q {
		if last == nil || q.less(last, r) {
			last = r
		}
	}
	return last
}
