// Package intake decides when the requests for one target run: at once, after a wait, or not at all.
//
// A request waits only while it can still be answered in time, and one that can't is refused at once with the time after which
// a slot is expected to be free. More urgent routes go first. Among equals, requests whose answer will be late anyway, such as
// those that come back after a refusal, go last, and none of them waits while there is not even room for the others: so a standing
// overload costs the requests that don't fit, and not the punctuality of those that do. A cold target takes requests at a bounded
// rate.
//
// The package is pure: the caller passes the time and acts on what is returned.
package intake

import (
	"container/heap"
	"time"
)

// Request is one request for the target.
type Request struct {
	// Route names the route, whose mean running time is learnt.
	Route string
	// Priority ranks the request, 0 first.
	Priority int
	// Useful is the time after which an answer is of little use; Deadline the time after which it is of none.
	Useful, Deadline time.Time
	// Start is called once if the request was told to wait: with true when it may run, with false if it never will.
	Start func(run bool)

	arrival uint64
	index   int
	expect  time.Duration
	waiting bool
	// late is set if the answer can't be as early as it should.
	late bool
}

// Verdict says what happens to a request.
type Verdict uint8

// The verdicts of Offer.
const (
	// Run lets the request run now.
	Run Verdict = iota
	// Wait keeps the request until Start is called.
	Wait
	// Refuse says that the request won't run.
	Refuse
)

// Figures of the gate.
const (
	// firstGuess is the running time assumed before any was seen; services answer in tens to hundreds of milliseconds.
	firstGuess = 100 * time.Millisecond
	// learnRate is the weight of a new running time in the mean: some twenty requests, about one turnover of the slots.
	learnRate = 0.05
	// spread is the number of mean running times within which nine of ten runs end, where they spread by half around the mean.
	spread = 1.5
	// maxRoutes bounds the routes whose running times are kept.
	maxRoutes = 4096
	// coldBurst is the part of a second's cold rate that may come at once; with the rate itself it stays below the rate
	// and half as much again that a cold target bears.
	coldBurst = 0.15
	// minReturn and maxReturn bound the advice on when to come back.
	minReturn = 20 * time.Millisecond
	maxReturn = 2 * time.Second
	// saturated is the time after the refusal of a punctual request in which late ones don't wait.
	saturated = 500 * time.Millisecond
	// evictRounds bounds the waiting requests that one arrival may push out.
	evictRounds = 4
)

// Gate decides for one target. It is not safe for concurrent use.
//
// Invariants: no more requests run than there are slots; while the target is cold, no more start in any second than its rate
// and coldBurst allow; a request that was refused never runs.
type Gate struct {
	slots    int
	running  int
	queue    queue
	arrivals uint64
	mean     time.Duration
	routes   map[string]time.Duration
	coldRate float64
	cold     bool
	// nextCold is the earliest start of the next request if starts were evenly spaced (generic cell rate algorithm).
	nextCold time.Time
	// refusedAt is when a punctual request was last refused for want of room.
	refusedAt time.Time
}

// New returns a gate for a target with slots places.
func New(slots int) *Gate {
	return &Gate{slots: max(slots, 1), routes: map[string]time.Duration{}}
}

// SetSlots changes the number of places.
func (g *Gate) SetSlots(now time.Time, slots int) {
	g.slots = max(slots, 1)
	g.grant(now)
}

// SetCold bounds starts to rate a second until SetWarm. A rate of 0 bounds nothing.
func (g *Gate) SetCold(rate float64) {
	g.coldRate = rate
	g.cold = rate > 0
}

// SetWarm lifts the bound on starts.
func (g *Gate) SetWarm(now time.Time) {
	g.cold = false
	g.grant(now)
}

// Cold reports whether starts are bounded.
func (g *Gate) Cold() bool { return g.cold }

// Offer decides on a request. With Refuse it also says after what time to come back.
func (g *Gate) Offer(now time.Time, r *Request) (Verdict, time.Duration) {
	g.judge(now, r)
	if len(g.queue) == 0 && g.free(now) {
		g.start(now)
		return Run, 0
	}
	if fits, back := g.fits(now, r); !fits {
		g.noteRefusal(now, r)
		return Refuse, back
	}
	g.arrivals++
	r.arrival, r.waiting = g.arrivals, true
	heap.Push(&g.queue, r)
	g.evict(now)
	return Wait, 0
}

// Fits reports whether Offer would refuse a request now, and if so after what time to come back. Nothing is noted.
func (g *Gate) Fits(now time.Time, r *Request) (bool, time.Duration) {
	g.judge(now, r)
	if len(g.queue) == 0 && g.free(now) {
		return true, 0
	}
	return g.fits(now, r)
}

// judge sets what is expected of a request.
func (g *Gate) judge(now time.Time, r *Request) {
	r.expect = g.expect(r.Route)
	r.late = now.Add(r.allow()).After(r.Useful)
}

func (g *Gate) fits(now time.Time, r *Request) (bool, time.Duration) {
	wait := g.waitFor(now, r)
	return g.worthwhile(now, r, wait), g.comeBack(wait)
}

// worthwhile reports whether a request that starts after wait is answered in time.
func (g *Gate) worthwhile(now time.Time, r *Request, wait time.Duration) bool {
	if r.late && r.Priority > 0 && now.Sub(g.refusedAt) < saturated {
		return false
	}
	return now.Add(wait + r.allow()).Before(r.limit())
}

// allow is the time that a run may well take.
func (r *Request) allow() time.Duration { return time.Duration(spread * float64(r.expect)) }

func (g *Gate) noteRefusal(now time.Time, r *Request) {
	if !r.late {
		g.refusedAt = now
	}
}

// limit is the time by which the request should be answered: while that is of full use, or by the deadline if it is late anyway or
// a call that another request waits for, as the most urgent ones are.
func (r *Request) limit() time.Time {
	if r.late || r.Priority == 0 || r.Deadline.Before(r.Useful) {
		return r.Deadline
	}
	return r.Useful
}

// LastStart is the latest time at which a waiting request may start: one that ends too late has held its slot for
// nothing.
func (r *Request) LastStart() time.Time { return r.limit().Add(-r.expect) }

// evict refuses the least urgent requests that more urgent ones have pushed back too far.
func (g *Gate) evict(now time.Time) {
	for range evictRounds {
		last := g.queue.last()
		if last == nil || g.worthwhile(now, last, g.waitFor(now, last)) {
			return
		}
		g.noteRefusal(now, last)
		g.drop(last)
		last.Start(false)
	}
}

// Done ends a request that ran. A running time below 0 is not learnt.
func (g *Gate) Done(now time.Time, r *Request, took time.Duration) {
	g.running--
	if took >= 0 {
		g.learn(r.Route, took)
	}
	g.grant(now)
}

// Cancel takes a waiting request out and reports whether it was waiting; Start is not called then.
func (g *Gate) Cancel(r *Request) bool {
	if !r.waiting {
		return false
	}
	g.drop(r)
	return true
}

// RefuseWaiting refuses all waiting requests.
func (g *Gate) RefuseWaiting() {
	for len(g.queue) > 0 {
		r := g.queue[0]
		g.drop(r)
		r.Start(false)
	}
}

// Tick starts or refuses what has become due.
func (g *Gate) Tick(now time.Time) { g.grant(now) }

// Wake returns the time of the next Tick that may change something, or the zero time.
func (g *Gate) Wake() time.Time {
	if len(g.queue) > 0 && g.cold && g.running < g.slots {
		return g.nextCold.Add(-g.coldAllowance())
	}
	return time.Time{}
}

// Load is what the gate tells others of itself.
type Load struct {
	Running, Waiting, Slots int
	// Wait is the time that a request of the least urgent kind would wait now; Interval the time by which each further request
	// lengthens the wait.
	Wait, Interval time.Duration
	// Cold reports whether starts are bounded.
	Cold bool
	// Narrow reports whether large bodies have to ask before they are sent over the machine's link, Inbound how long one waits there.
	Narrow  bool
	Inbound time.Duration
}

// Load returns the present load.
func (g *Gate) Load(now time.Time) Load {
	l := Load{Running: g.running, Waiting: len(g.queue), Slots: g.slots, Interval: g.interval(), Cold: g.cold}
	l.Wait = g.waitBehind(now, len(g.queue))
	return l
}

// CalmReturn returns the time after which the present backlog is expected to be gone.
func (g *Gate) CalmReturn(now time.Time) time.Duration {
	return g.comeBack(g.waitBehind(now, len(g.queue)))
}

func (g *Gate) comeBack(wait time.Duration) time.Duration {
	return min(max(wait, minReturn), maxReturn)
}

func (g *Gate) typical() time.Duration {
	if g.mean == 0 {
		return firstGuess
	}
	return g.mean
}

func (g *Gate) expect(route string) time.Duration {
	if mean, ok := g.routes[route]; ok {
		return mean
	}
	return g.typical()
}

func (g *Gate) learn(route string, took time.Duration) {
	g.mean = blend(g.mean, took)
	mean, ok := g.routes[route]
	if !ok && len(g.routes) >= maxRoutes {
		clear(g.routes)
	}
	g.routes[route] = blend(mean, took)
}

func blend(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(learnRate*float64(sample-mean))
}

// interval is the mean time between two starts when the gate is full.
func (g *Gate) interval() time.Duration {
	byslots := g.typical() / time.Duration(g.slots)
	if g.cold {
		return max(byslots, g.spacing())
	}
	return byslots
}

// waitFor returns the time that a request waits behind those that go before it.
func (g *Gate) waitFor(now time.Time, r *Request) time.Duration {
	return g.waitBehind(now, g.queue.before(r))
}

func (g *Gate) waitBehind(now time.Time, ahead int) time.Duration {
	var wait time.Duration
	if g.running >= g.slots || ahead > 0 {
		wait = g.interval() * time.Duration(ahead+1)
	}
	if g.cold {
		wait = max(wait, g.nextCold.Add(-g.coldAllowance()).Sub(now)+g.spacing()*time.Duration(ahead))
	}
	return max(wait, 0)
}

func (g *Gate) spacing() time.Duration { return time.Duration(float64(time.Second) / g.coldRate) }

func (g *Gate) coldAllowance() time.Duration { return time.Duration(coldBurst * float64(time.Second)) }

func (g *Gate) free(now time.Time) bool {
	if g.running >= g.slots {
		return false
	}
	return !g.cold || !now.Before(g.nextCold.Add(-g.coldAllowance()))
}

func (g *Gate) start(now time.Time) {
	g.running++
	if g.cold {
		if g.nextCold.Before(now) {
			g.nextCold = now
		}
		g.nextCold = g.nextCold.Add(g.spacing())
	}
}

func (g *Gate) drop(r *Request) {
	heap.Remove(&g.queue, r.index)
	r.waiting = false
}

// grant starts the most urgent waiting requests while there is room, and refuses those whose time is up.
func (g *Gate) grant(now time.Time) {
	for len(g.queue) > 0 && g.free(now) {
		r := g.queue[0]
		g.drop(r)
		if !now.Before(r.LastStart()) {
			r.Start(false)
			continue
		}
		g.start(now)
		r.Start(true)
	}
}

// queue is a heap of waiting requests: most urgent first, punctual before late ones, then in the order of arrival.
type queue []*Request

func (q queue) less(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.late != b.late {
		return b.late
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

// before counts the requests that go before r; a request not in the queue goes behind its equals.
func (q queue) before(r *Request) int {
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

// last returns the request that goes after all others, or nil.
func (q queue) last() *Request {
	var last *Request
	for _, r := range q {
		if last == nil || q.less(last, r) {
			last = r
		}
	}
	return last
}
