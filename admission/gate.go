package admission

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// Opening of connections, for targets that are given many at once.
const (
	// openingsPerSecond is the rate at which the requests in flight may exceed their recent peak.
	openingsPerSecond = 500
	// peakLife is the time after which an unused peak is forgotten, about the life of an idle connection.
	peakLife = 30 * time.Second
)

// Gate decides for one target. Create it with New.
type Gate struct {
	limits   catalogue.ServiceLimits
	limiter  limiter
	queue    *fairQueue
	entries  map[ID]*entry
	running  entry // list sentinel, oldest first
	inFlight int
	last     time.Time
	draining bool
	free     []*entry

	// peak is the number of connections taken to be open.
	peak     int
	peakSeen time.Time
	openings float64
	refilled time.Time
	// service is the mean slot-time of a request of cost 1.
	service average
}

// New returns a gate for a target about which nothing is known: it begins at the cold limit.
func New(now time.Time, limits catalogue.ServiceLimits, shares Shares) *Gate {
	g := &Gate{entries: map[ID]*entry{}, queue: newFairQueue(shares), last: now, refilled: now, peakSeen: now}
	g.running.prev, g.running.next = &g.running, &g.running
	g.SetLimits(now, limits)
	g.limiter.reset()
	g.openings = g.openingBurst()
	return g
}

// SetLimits puts new limits in force. Requests in flight stay; a ramp goes on under the new limits.
func (g *Gate) SetLimits(now time.Time, limits catalogue.ServiceLimits) Changes {
	now = g.advance(now)
	g.limits = limits
	l := &g.limiter
	l.slots = max(1, limits.Slots)
	if limits.Connections > 0 {
		l.slots = min(l.slots, limits.Connections)
	}
	l.coldSlots = min(max(1, limits.ColdSlots), l.slots)
	l.coldPeriod = limits.ColdPeriod.Std()
	g.queue.preference = preferenceTime.Seconds() * float64(l.slots)
	g.queue.credit = creditTime.Seconds() * float64(l.slots)
	return g.grant(now, Changes{})
}

// Times of the whole target that bound how far the fair queue departs from equal progress.
const (
	// preferenceTime is the time by which one class goes before the next.
	preferenceTime = 50 * time.Millisecond
	// creditTime is the time by which an organisation's burst may go ahead after it used less than its share.
	creditTime = time.Second
)

// SetShares puts new shares in force.
func (g *Gate) SetShares(shares Shares) { g.queue.setShares(shares) }

// Offer asks for a request to run.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	now = g.advance(now)
	if g.draining {
		return Decision{Verdict: Refused, Reason: Leaving}
	}
	if _, taken := g.entries[r.ID]; taken {
		return Decision{Verdict: Refused, Reason: Duplicate}
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Verdict: Refused, Reason: PastDeadline}
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	g.checkAges(now)
	if g.queue.queued == 0 && g.hasSlot(now) {
		e := g.newEntry(now, r)
		g.queue.begin(e.flow)
		g.start(now, e)
		return Decision{Verdict: Admitted}
	}
	return g.enqueue(now, r)
}

func (g *Gate) enqueue(now time.Time, r Request) Decision {
	f := g.queue.flow(r.Organisation)
	if !r.Deadline.IsZero() && now.Add(g.expectedWait(now, f, classIndex(r.Class))+g.expectedRun(f, r.Cost)).After(r.Deadline) {
		return Decision{Verdict: Refused, Reason: PastDeadline}
	}
	var changes Changes
	if bound := g.queueBound(now); g.queue.queued >= bound {
		victim := g.queue.victim(f, bound)
		if victim == nil {
			return Decision{Verdict: Refused, Reason: g.fullReason(now)}
		}
		changes.Dropped = append(changes.Dropped, Drop{victim.request.ID, QueueFull})
		g.dropWaiting(victim)
	}
	e := g.newEntry(now, r)
	g.queue.push(e)
	changes = g.grant(now, changes)
	if e.running {
		changes.Granted = slices.DeleteFunc(changes.Granted, func(id ID) bool { return id == r.ID })
		return Decision{Verdict: Admitted, Changes: changes}
	}
	if g.entries[r.ID] != e {
		changes.Dropped = slices.DeleteFunc(changes.Dropped, func(d Drop) bool { return d.ID == r.ID })
		return Decision{Verdict: Refused, Reason: PastDeadline, Changes: changes}
	}
	return Decision{Verdict: Queued, Changes: changes}
}

// queueBound returns the number of requests that may wait. It shrinks with the limit, so that the wait at a cold target is no
// longer than at a warm one and the rest is refused while another target can still run it.
func (g *Gate) queueBound(now time.Time) int {
	limit := g.limiter.limit(now)
	if limit >= g.limiter.slots {
		return g.limits.Queue
	}
	return min(g.limits.Queue, max(1, g.limits.Queue*limit/g.limiter.slots))
}

func (g *Gate) fullReason(now time.Time) Reason {
	if g.limiter.limit(now) < g.limiter.slots {
		return ColdTarget
	}
	return QueueFull
}

// expectedWait returns a lower estimate of the time until a newcomer of flow f starts.
func (g *Gate) expectedWait(now time.Time, f *flow, class int) time.Duration {
	ahead := 0
	for c := range f.waiting {
		if c <= class {
			ahead += len(f.waiting[c])
		}
	}
	own := float64(ahead) * g.queue.weights(f) / f.weight
	all := float64(g.queue.queued)
	return seconds(min(own, all) * g.service.mean / float64(g.limiter.limit(now)))
}

// expectedService returns the mean slot-time of a request of flow f in seconds.
func (g *Gate) expectedService(f *flow) float64 {
	if f.service.samples > 0 {
		return f.service.mean
	}
	return g.service.mean
}

// expectedRun returns the expected slot-time of a request.
func (g *Gate) expectedRun(f *flow, cost float64) time.Duration {
	return seconds(g.expectedService(f) * cost)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Responded tells the gate that the head of a running request's answer has come.
func (g *Gate) Responded(now time.Time, id ID) Changes {
	now = g.advance(now)
	e := g.entries[id]
	if e == nil || !e.running || e.responded {
		return Changes{}
	}
	e.responded = true
	g.limiter.observe(now, e, now.Sub(e.started).Seconds()/e.request.Cost)
	g.checkAges(now)
	return g.grant(now, Changes{})
}

// Finish tells the gate how a running request ended, and returns whom its slot goes to.
// An unknown ID changes nothing.
func (g *Gate) Finish(now time.Time, id ID, o Outcome) Changes {
	now = g.advance(now)
	e := g.entries[id]
	if e == nil || !e.running {
		return Changes{}
	}
	took := now.Sub(e.started).Seconds()
	g.judge(now, e, o, took)
	g.queue.settle(e, took)
	g.inFlight--
	g.unlink(e)
	g.release(e)
	g.checkAges(now)
	return g.grant(now, Changes{})
}

func (g *Gate) judge(now time.Time, e *entry, o Outcome, took float64) {
	latency := took
	if o.Latency > 0 {
		latency = o.Latency.Seconds()
	}
	switch o.Result {
	case OK:
		if !e.responded {
			g.limiter.observe(now, e, latency/e.request.Cost)
		}
		g.limiter.success(now)
		g.service.add(took / e.request.Cost)
		e.flow.service.add(took / e.request.Cost)
	case Failed:
		if !e.responded && latency/e.request.Cost >= g.limiter.baseline.slowAfter(e.kind) {
			g.limiter.suspect(now, e)
		}
	case Shed:
		g.limiter.suspect(now, e)
	case Crashed:
		g.limiter.reset()
	}
}

// Cancel removes a waiting request; it did not run. For a running one it does nothing: call Finish when it has ended.
// It reports whether the request was waiting.
func (g *Gate) Cancel(now time.Time, id ID) bool {
	g.advance(now)
	e := g.entries[id]
	if e == nil || e.running {
		return false
	}
	g.dropWaiting(e)
	return true
}

// Tick drops what has expired, looks for a target that has stopped answering, and grants what has become possible.
func (g *Gate) Tick(now time.Time) Changes {
	now = g.advance(now)
	g.checkAges(now)
	var changes Changes
	for _, f := range append([]*flow(nil), g.queue.backlogged...) {
		for c := range f.waiting {
			for _, e := range append([]*entry(nil), f.waiting[c]...) {
				if g.expired(now, e) {
					changes.Dropped = append(changes.Dropped, Drop{e.request.ID, PastDeadline})
					g.dropWaiting(e)
				}
			}
		}
	}
	return g.grant(now, changes)
}

// Wake returns when to call Tick next: TickInterval from now, or sooner if a waiting request could start sooner.
func (g *Gate) Wake(now time.Time) time.Time {
	if g.queue.queued == 0 || g.inFlight >= g.limiter.limit(now) || g.openings >= 1 {
		return now.Add(TickInterval)
	}
	return now.Add(min(TickInterval, seconds((1-g.openings)/openingsPerSecond)+time.Microsecond))
}

// checkAges holds the limit while too many requests in flight are late.
func (g *Gate) checkAges(now time.Time) {
	doubt := 0
	for e := g.running.next; e != &g.running && doubt < holdDoubt; e = e.next {
		age := now.Sub(e.started)
		if age < g.limiter.baseline.leastDoubt {
			break
		}
		if !e.responded {
			doubt += g.limiter.weigh(e, age.Seconds()/e.request.Cost)
		}
	}
	g.limiter.hold(doubt)
}

// expired reports whether a waiting request can't end before its deadline any more.
func (g *Gate) expired(now time.Time, e *entry) bool {
	d := e.request.Deadline
	return !d.IsZero() && !now.Add(g.expectedRun(e.flow, e.request.Cost)).Before(d)
}

// Cold begins a cold start that was announced: the target or its host reported one.
func (g *Gate) Cold(now time.Time) {
	g.advance(now)
	g.limiter.reset()
}

// Drain stops the gate for new requests and drops those that wait. Those in flight go on.
func (g *Gate) Drain(now time.Time) Changes {
	g.advance(now)
	g.draining = true
	var changes Changes
	for g.queue.queued > 0 {
		e := g.queue.backlogged[0].newest()
		changes.Dropped = append(changes.Dropped, Drop{e.request.ID, Leaving})
		g.dropWaiting(e)
	}
	changes.Drained = g.inFlight == 0
	return changes
}

// Open takes a drained or draining target back into service, at the cold limit.
func (g *Gate) Open(now time.Time) {
	g.advance(now)
	if g.draining {
		g.draining = false
		g.limiter.reset()
	}
}

// Load returns the present load and limit.
func (g *Gate) Load(now time.Time) Load {
	load := Load{InFlight: g.inFlight, Queued: g.queue.queued}
	switch {
	case g.draining && g.inFlight == 0:
		load.Phase = Drained
	case g.draining:
		load.Phase = Draining
	default:
		load.Phase = g.limiter.phase(now)
		load.Limit = g.limiter.limit(now)
	}
	return load
}

// UnannouncedColds returns the number of cold starts that the gate noticed by itself.
func (g *Gate) UnannouncedColds() uint64 { return g.limiter.colds }

// advance moves the gate's clock, which never goes back, and voids beliefs from before a pause.
func (g *Gate) advance(now time.Time) time.Time {
	if now.Before(g.last) {
		return g.last
	}
	if now.Sub(g.last) > PauseGap {
		g.limiter.reset()
	}
	g.last = now
	return now
}

// hasSlot reports whether one more request may be in flight.
func (g *Gate) hasSlot(now time.Time) bool {
	return !g.draining && g.inFlight < g.limiter.limit(now) && g.mayOpen(now)
}

// mayOpen bounds the rate at which the requests in flight exceed their recent peak.
func (g *Gate) mayOpen(now time.Time) bool {
	if now.Sub(g.peakSeen) > peakLife {
		g.peak = g.inFlight
		g.peakSeen = now
	}
	if g.inFlight < g.peak {
		return true
	}
	g.openings = min(g.openingBurst(), g.openings+now.Sub(g.refilled).Seconds()*openingsPerSecond)
	g.refilled = now
	return g.openings >= 1
}

func (g *Gate) openingBurst() float64 { return float64(max(g.limiter.coldSlots, g.limiter.slots/4)) }

// grant gives free slots to waiting requests in fair order.
func (g *Gate) grant(now time.Time, changes Changes) Changes {
	for g.queue.queued > 0 && g.hasSlot(now) {
		e := g.queue.next(now)
		if g.expired(now, e) {
			changes.Dropped = append(changes.Dropped, Drop{e.request.ID, PastDeadline})
			g.dropWaiting(e)
			continue
		}
		g.queue.remove(e)
		g.start(now, e)
		changes.Granted = append(changes.Granted, e.request.ID)
	}
	changes.Drained = g.draining && g.inFlight == 0
	return changes
}

func (g *Gate) start(now time.Time, e *entry) {
	e.running = true
	e.started = now
	g.queue.charge(e, g.expectedService(e.flow)*e.request.Cost)
	g.inFlight++
	if g.inFlight > g.peak {
		g.peak = g.inFlight
		g.openings--
	}
	if g.inFlight == g.peak {
		g.peakSeen = now
	}
	e.prev, e.next = g.running.prev, &g.running
	e.prev.next, e.next.prev = e, e
}

func (g *Gate) unlink(e *entry) { e.prev.next, e.next.prev = e.next, e.prev }

func (g *Gate) newEntry(now time.Time, r Request) *entry {
	e := &entry{}
	if n := len(g.free); n > 0 {
		e = g.free[n-1]
		g.free = g.free[:n-1]
	}
	*e = entry{request: r, flow: g.queue.flow(r.Organisation), class: classIndex(r.Class), arrived: now}
	e.kind = g.limiter.baseline.kind(r.Kind)
	g.entries[r.ID] = e
	return e
}

func (g *Gate) dropWaiting(e *entry) {
	g.queue.remove(e)
	g.release(e)
}

// release forgets an entry that neither waits nor runs.
func (g *Gate) release(e *entry) {
	delete(g.entries, e.request.ID)
	if len(g.free) < cap(g.free) || len(g.free) < maxFree {
		g.free = append(g.free, e)
	}
}

// maxFree bounds the entries kept for reuse.
const maxFree = 256
