package admission

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// Limits on opening connections, which protect targets from many new ones at once.
const (
	// openingsPerSecond is the rate at which the requests in flight may exceed their recent peak.
	openingsPerSecond = 500
	// peakLifetime is the time after which an unused peak expires, about the lifetime of an idle connection.
	peakLifetime = 30 * time.Second
)

// Gate admits requests for one target. Create it with New.
type Gate struct {
	limits   catalogue.ServiceLimits
	limiter  limiter
	queue    *fairQueue
	entries  map[ID]*entry
	running  entry // sentinel of the list of running requests, oldest first
	inFlight int
	lastCall time.Time
	draining bool
	freeList []*entry

	// peak is the recent peak of requests in flight, which is the assumed number of open connections.
	peak          int
	peakAt        time.Time
	openingTokens float64
	refilledAt    time.Time
	// serviceTime is the mean slot-time of a request of cost 1.
	serviceTime ewma
}

// New returns a gate for a target of unknown state: it begins at the cold limit.
func New(now time.Time, limits catalogue.ServiceLimits, shares Shares) *Gate {
	g := &Gate{entries: map[ID]*entry{}, queue: newFairQueue(shares), lastCall: now, refilledAt: now, peakAt: now}
	g.running.prev, g.running.next = &g.running, &g.running
	g.SetLimits(now, limits)
	g.limiter.reset()
	g.openingTokens = g.openingBurst()
	return g
}

// SetLimits applies new limits. Requests in flight continue; a ramp in progress continues under the new limits.
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
	g.queue.classPreference = classPreferenceTime.Seconds() * float64(l.slots)
	g.queue.idleCredit = idleCreditTime.Seconds() * float64(l.slots)
	return g.grant(now, Changes{})
}

// Slot-times of the whole target by which the fair queue may depart from equal progress.
const (
	// classPreferenceTime is the time by which a class is preferred to the next one.
	classPreferenceTime = 50 * time.Millisecond
	// idleCreditTime is the time by which an organisation that used less than its share may burst ahead.
	idleCreditTime = time.Second
)

// SetShares applies new shares.
func (g *Gate) SetShares(shares Shares) { g.queue.setShares(shares) }

// Offer admits, queues or refuses a request.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	now = g.advance(now)
	if g.draining {
		return Decision{Verdict: Refused, Reason: Leaving}
	}
	if _, exists := g.entries[r.ID]; exists {
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
		g.queue.activate(e.flow)
		g.start(now, e)
		return Decision{Verdict: Admitted}
	}
	return g.enqueue(now, r)
}

func (g *Gate) enqueue(now time.Time, r Request) Decision {
	f := g.queue.flow(r.Organisation)
	if !r.Deadline.IsZero() && now.Add(g.expectedWait(now, f, classIndex(r.Class))+g.expectedRunTime(f, r.Cost)).After(r.Deadline) {
		return Decision{Verdict: Refused, Reason: PastDeadline}
	}
	var changes Changes
	if bound := g.queueBound(now); g.queue.queued >= bound {
		victim := g.queue.victim(f, bound)
		if victim == nil {
			return Decision{Verdict: Refused, Reason: g.fullQueueReason(now)}
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

// queueBound returns the number of requests that may wait. It shrinks with the limit, so that the wait at a cold target
// is no longer than at a warm one, and excess requests are refused while another target can still run them.
func (g *Gate) queueBound(now time.Time) int {
	limit := g.limiter.limit(now)
	if limit >= g.limiter.slots {
		return g.limits.Queue
	}
	return min(g.limits.Queue, max(1, g.limits.Queue*limit/g.limiter.slots))
}

func (g *Gate) fullQueueReason(now time.Time) Reason {
	if g.limiter.limit(now) < g.limiter.slots {
		return ColdTarget
	}
	return QueueFull
}

// expectedWait returns a lower estimate of the time until a new request of flow f starts.
func (g *Gate) expectedWait(now time.Time, f *flow, class int) time.Duration {
	ahead := 0
	for c := range f.waiting {
		if c <= class {
			ahead += len(f.waiting[c])
		}
	}
	byShare := float64(ahead) * g.queue.activeWeight(f) / f.Weight
	byQueue := float64(g.queue.queued)
	return seconds(min(byShare, byQueue) * g.serviceTime.mean / float64(g.limiter.limit(now)))
}

// expectedServiceTime returns the mean slot-time of a request of flow f with cost 1, in seconds.
func (g *Gate) expectedServiceTime(f *flow) float64 {
	if f.serviceTime.samples > 0 {
		return f.serviceTime.mean
	}
	return g.serviceTime.mean
}

// expectedRunTime returns the expected slot-time of a request of flow f with the given cost.
func (g *Gate) expectedRunTime(f *flow, cost float64) time.Duration {
	return seconds(g.expectedServiceTime(f) * cost)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RecordResponse records that the head of a running request's answer has arrived.
func (g *Gate) RecordResponse(now time.Time, id ID) Changes {
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

// Finish records how a running request ended, and returns the requests that are granted its slot. It ignores an unknown
// ID.
func (g *Gate) Finish(now time.Time, id ID, o Outcome) Changes {
	now = g.advance(now)
	e := g.entries[id]
	if e == nil || !e.running {
		return Changes{}
	}
	took := now.Sub(e.started).Seconds()
	g.recordOutcome(now, e, o, took)
	g.queue.settle(e, took)
	g.inFlight--
	g.unlink(e)
	g.release(e)
	g.checkAges(now)
	return g.grant(now, Changes{})
}

func (g *Gate) recordOutcome(now time.Time, e *entry, o Outcome, took float64) {
	latency := took
	if o.Latency > 0 {
		latency = o.Latency.Seconds()
	}
	switch o.Result {
	case OK:
		if !e.responded {
			g.limiter.observe(now, e, latency/e.request.Cost)
		}
		g.limiter.recordSuccess(now)
		g.serviceTime.add(took / e.request.Cost)
		e.flow.serviceTime.add(took / e.request.Cost)
	case Failed:
		if !e.responded && latency/e.request.Cost >= g.limiter.baseline.slowThreshold(e.kind) {
			g.limiter.recordSlow(now, e)
		}
	case Shed:
		g.limiter.recordSlow(now, e)
	case Crashed:
		g.limiter.reset()
	}
}

// Cancel removes a waiting request and reports whether it was waiting; it did not run. It does not affect a running
// request: call Finish when that has ended.
func (g *Gate) Cancel(now time.Time, id ID) bool {
	g.advance(now)
	e := g.entries[id]
	if e == nil || e.running {
		return false
	}
	g.dropWaiting(e)
	return true
}

// Tick drops expired requests, detects a target that has stopped answering, and grants waiting requests.
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

// NextTick returns when to call Tick next: TickInterval from now, or earlier if a waiting request could start earlier.
func (g *Gate) NextTick(now time.Time) time.Time {
	if g.queue.queued == 0 || g.inFlight >= g.limiter.limit(now) || g.openingTokens >= 1 {
		return now.Add(TickInterval)
	}
	return now.Add(min(TickInterval, seconds((1-g.openingTokens)/openingsPerSecond)+time.Microsecond))
}

// checkAges caps the limit while too many requests in flight are late.
func (g *Gate) checkAges(now time.Time) {
	suspicion := 0
	for e := g.running.next; e != &g.running && suspicion < capLevel; e = e.next {
		age := now.Sub(e.started)
		if age < g.limiter.baseline.minSuspectAge {
			break
		}
		if !e.responded {
			suspicion += g.limiter.suspicionOf(e, age.Seconds()/e.request.Cost)
		}
	}
	g.limiter.setCap(suspicion)
}

// expired reports whether a waiting request can no longer end before its deadline.
func (g *Gate) expired(now time.Time, e *entry) bool {
	d := e.request.Deadline
	return !d.IsZero() && !now.Add(g.expectedRunTime(e.flow, e.request.Cost)).Before(d)
}

// AnnounceColdStart begins a cold start that was announced by the target or its host.
func (g *Gate) AnnounceColdStart(now time.Time) {
	g.advance(now)
	g.limiter.reset()
}

// Drain refuses new requests from now on and drops those that wait. Requests in flight continue.
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

// Resume returns a draining or drained target to service, at the cold limit.
func (g *Gate) Resume(now time.Time) {
	g.advance(now)
	if g.draining {
		g.draining = false
		g.limiter.reset()
	}
}

// Load returns the current load and limit.
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

// DetectedColdStarts returns the number of cold starts that the gate detected without an announcement.
func (g *Gate) DetectedColdStarts() uint64 { return g.limiter.detectedColdStarts }

// advance moves the gate's clock, which never goes back, and discards the target's state after a pause.
func (g *Gate) advance(now time.Time) time.Time {
	if now.Before(g.lastCall) {
		return g.lastCall
	}
	if now.Sub(g.lastCall) > PauseGap {
		g.limiter.reset()
	}
	g.lastCall = now
	return now
}

// hasSlot reports whether one more request may be in flight.
func (g *Gate) hasSlot(now time.Time) bool {
	return !g.draining && g.inFlight < g.limiter.limit(now) && g.mayOpen(now)
}

// mayOpen limits the rate at which the requests in flight exceed their recent peak.
func (g *Gate) mayOpen(now time.Time) bool {
	if now.Sub(g.peakAt) > peakLifetime {
		g.peak = g.inFlight
		g.peakAt = now
	}
	if g.inFlight < g.peak {
		return true
	}
	g.openingTokens = min(g.openingBurst(), g.openingTokens+now.Sub(g.refilledAt).Seconds()*openingsPerSecond)
	g.refilledAt = now
	return g.openingTokens >= 1
}

func (g *Gate) openingBurst() float64 { return float64(max(g.limiter.coldSlots, g.limiter.slots/4)) }

// grant assigns free slots to waiting requests in fair order.
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
	g.queue.charge(e, g.expectedServiceTime(e.flow)*e.request.Cost)
	g.inFlight++
	if g.inFlight > g.peak {
		g.peak = g.inFlight
		g.openingTokens--
	}
	if g.inFlight == g.peak {
		g.peakAt = now
	}
	e.prev, e.next = g.running.prev, &g.running
	e.prev.next, e.next.prev = e, e
}

func (g *Gate) unlink(e *entry) { e.prev.next, e.next.prev = e.next, e.prev }

func (g *Gate) newEntry(now time.Time, r Request) *entry {
	e := &entry{}
	if n := len(g.freeList); n > 0 {
		e = g.freeList[n-1]
		g.freeList = g.freeList[:n-1]
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

// release removes an entry that neither waits nor runs.
func (g *Gate) release(e *entry) {
	delete(g.entries, e.request.ID)
	if len(g.freeList) < cap(g.freeList) || len(g.freeList) < maxFreeEntries {
		g.freeList = append(g.freeList, e)
	}
}

// maxFreeEntries is the number of entries kept for reuse.
const maxFreeEntries = 256
