// Package balance chooses the target for each attempt by expected response time, fault rate and transfer cost.
//
// The estimates for a target come from earlier responses (reported wait, running time, round trip, faults) and from
// responses that are overdue. They decay with age, so that a slow or faulty target is tried again after some seconds.
//
// The package does no I/O and reads no clock: the caller passes the time and a source of random numbers.
package balance

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// Distance is the network distance of a target from this process.
type Distance uint8

// Distances, nearest first. Local is the local target, which runs beside this process.
const (
	Local Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Limits and weights of the selection.
const (
	// faultHalfLife is the half-life of a target's fault rate without new results. Typical faults last some seconds.
	faultHalfLife = 3 * time.Second
	// faultWeight is the EWMA weight of one result in the fault rate: a few faults in a row mark a target as faulty.
	faultWeight = 0.25
	// faultCost is the cost of a target whose requests all fail. At a fault rate of about 0.1 the cost is that of a
	// response that is often late.
	faultCost = 2.0
	// slownessHalfLife is the half-life with which a target's slowness returns to 1.
	slownessHalfLife = 4 * time.Second
	// slownessWeight is the EWMA weight of one running time in a target's slowness.
	slownessWeight = 0.15
	// roundTripWeight is the EWMA weight of one sample in a target's round trip; roundTripHalfLife is the half-life of
	// that average. Queues on the link of a machine build up and clear within seconds.
	roundTripWeight   = 0.3
	roundTripHalfLife = 2 * time.Second
	// A response is due after dueFactor mean running times, which about one request in fifty exceeds, plus dueSlack for
	// scheduling delays.
	dueFactor = 3
	dueSlack  = 50 * time.Millisecond
	// loadMaxAge is the age at which a load report is ignored. Its weight falls linearly to zero until then.
	loadMaxAge = time.Second
	// scoreJitter is the largest random increase of a score, as a fraction of it. It spreads requests over equal targets.
	scoreJitter = 0.12
	// explorationRate is the fraction of picks that randomise the scores, so that the estimates for each target stay
	// current.
	explorationRate = 0.02
	// maxExplorationCost is the transfer cost from which a target is excluded from exploration.
	maxExplorationCost = 0.1
	// firstBackoff and maxBackoff bound the back-off of an unreachable target. The first covers a lost packet; the
	// maximum lets a target that has recovered wait for at most a second, plus jitter.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = time.Second
	// maxTargets bounds the targets, and the routes, with statistics. All of them are dropped when the bound is exceeded, except
	// for the targets that are leaving.
	maxTargets = 4096
	// HeaderBytes is the size in bytes that the headers of a request and its response add to their bodies.
	HeaderBytes = 1200
	// lateExponent shapes the cost of lateness: low while the expected time is a fraction of the objective, then rising
	// steeply.
	lateExponent = 3
	// maxLateCost bounds the cost of lateness, so that the nearest target is still preferred if all are past the
	// objective.
	maxLateCost = 3.0
	// timeCost is the additional cost of an expected time equal to the objective. It orders idle targets by response
	// time.
	timeCost = 0.05
)

// byteCost is the cost of moving a byte to or from a target at a distance; 1 is the cost of a request. Links between
// regions carry a few megabytes per second for all traffic, so that 40 KB over such a link cost as much as a request; links
// between failure domains have more bandwidth.
var byteCost = [...]float64{OtherRegion: 25e-6, SameRegion: 7e-6, SameDomain: 0, Local: 0}

// baseRoundTrip is the round trip to a target at a distance on an idle network, including the processing in both
// processes.
var baseRoundTrip = [...]time.Duration{
	Local:       0,
	SameDomain:  time.Millisecond,
	SameRegion:  4 * time.Millisecond,
	OtherRegion: 27 * time.Millisecond,
}

// Result is the outcome of an attempt at a target.
type Result uint8

// Outcomes of an attempt.
const (
	// Succeeded means that the target responded.
	Succeeded Result = iota
	// Failed means that the target failed or closed the connection early.
	Failed
	// Refused means that the target's admission gate refused the request. It does not change the fault rate.
	Refused
	// Unreachable means that there was no connection to the target or to the process beside it.
	Unreachable
	// Leaving means that the process beside the target accepts no new requests at present.
	Leaving
	// Abandoned means that the caller cancelled the request or its time ran out. It counts as a fault if the response was
	// due.
	Abandoned
)

// Attempt describes the request for which Pick selects a target.
type Attempt struct {
	Now   time.Time
	State *mesh.State
	Route *mesh.Route
	// Organisation is the owner of the request, or nil. Its home regions apply beside those of the route.
	Organisation *mesh.Organisation
	// Service is the service to which the route's traffic split assigned the request. Bytes is the length of the request
	// body. Tried holds the IDs of the targets of earlier attempts.
	Service string
	Bytes   int
	Tried   []string
	// Only is the ID of the only target that may be selected. It is empty if there is no such restriction.
	Only string
	// LinkState returns the present queueing delay of the link to another region, and whether the request must not use that
	// link. It may be nil.
	LinkState func(region string) (delay time.Duration, closed bool)
}

// Location describes the location of this process.
type Location struct {
	FailureDomain, Region string
	// IsLocal reports whether a target is the local one.
	IsLocal func(*mesh.Target) bool
}

// targetStats holds the estimates for one incarnation of a target.
type targetStats struct {
	startedMs int64
	// inFlight is the number of requests of this process at the target; inFlightAtReport is its value at the last load
	// report.
	inFlight, inFlightAtReport int
	load                       gate.Load
	loadAt                     time.Time
	// due holds the times at which the responses to the requests of this process are due, at most maxDueTimes.
	// lastResponse is the time of the last response with a load report.
	due          []time.Time
	lastResponse time.Time
	// roundTrip is the part of the response time that was spent outside the target's process, an EWMA.
	roundTrip   time.Duration
	roundTripAt time.Time
	// slowness is the running time at the target divided by the mean of the route, an EWMA.
	slowness   float64
	slownessAt time.Time
	faults     float64
	faultAt    time.Time
	// leaving is set once the target has stated that it is leaving.
	leaving bool
	// backoffUntil is the end of the present back-off, and backoff is its length before jitter.
	backoffUntil time.Time
	backoff      time.Duration
}

// Balancer selects targets. It is not safe for concurrent use.
type Balancer struct {
	location Location
	rng      *rand.Rand
	targets  map[string]*targetStats
	routes   map[string]routeStats
	// refusals holds the refusals of each service, by region.
	refusals map[string][]*refusals
}

// routeStats holds the estimates for the requests of a route.
type routeStats struct {
	// runTime is the mean running time, responseBytes is the mean length of the response body.
	runTime       time.Duration
	responseBytes float64
}

// New returns a balancer without statistics.
func New(location Location, rng *rand.Rand) *Balancer {
	return &Balancer{location: location, rng: rng, targets: map[string]*targetStats{}, routes: map[string]routeStats{}, refusals: map[string][]*refusals{}}
}

// Choice is a selected target with the estimates that led to it.
type Choice struct {
	Target   *mesh.Target
	Distance Distance
	// Wait is the expected time until the target starts the request. Age is the age of the load report used; it is 0 if
	// there was none.
	Wait, Age time.Duration
	// Transfer is the expected time that a large response waits for the link of the target's machine and occupies it.
	Transfer time.Duration
	// Due is the time by which the response is expected.
	Due time.Time
	// ExpectContinue is set if the request body must be admitted before it is sent over the link of the target's machine, or if it is not
	// known whether it must.
	ExpectContinue bool
}

// Pick returns the untried, usable target with the lowest cost. If all of them are in back-off it returns the one whose
// back-off ends first. It returns false if there is none.
func (b *Balancer) Pick(a Attempt) (Choice, bool) {
	best, bestScore := Choice{}, math.Inf(1)
	fallback, fallbackUntil := Choice{}, time.Time{}
	exploring := b.rng.Float64() < explorationRate
	route := b.routeStatsFor(a.Route.Name)
	for _, t := range a.State.Targets(a.Service) {
		if !a.State.Usable(t) || !a.Route.Allows(t.Region) || !a.Organisation.Allows(t.Region) || slices.Contains(a.Tried, t.ID) || a.Only != "" && a.Only != t.ID {
			continue
		}
		stats := b.targetStatsFor(a.Now, t)
		if stats.leaving {
			continue
		}
		distance := b.distance(t)
		var delay time.Duration
		if distance == OtherRegion && a.LinkState != nil {
			var closed bool
			if delay, closed = a.LinkState(t.Region); closed {
				continue
			}
		}
		choice := Choice{Target: t, Distance: distance, Wait: stats.wait(a.Now)}
		if !stats.loadAt.IsZero() {
			choice.Age = a.Now.Sub(stats.loadAt)
		}
		if a.Now.Before(stats.backoffUntil) {
			if fallback.Target == nil || stats.backoffUntil.Before(fallbackUntil) {
				fallback, fallbackUntil = choice, stats.backoffUntil
			}
			continue
		}
		score := score(a, route, stats, distance, delay) * (1 + scoreJitter*b.rng.Float64())
		if exploring && moveCost(a, route, distance) < maxExplorationCost {
			score *= b.rng.Float64()
		}
		if score < bestScore {
			best, bestScore = choice, score
		}
	}
	if best.Target == nil {
		best = fallback
	}
	if best.Target == nil {
		return best, false
	}
	stats := b.targetStatsFor(a.Now, best.Target)
	best.Transfer = stats.transfer(a, route, best.Distance)
	best.ExpectContinue = a.Bytes >= pacer.LargeMessageBytes && best.Distance != Local && (stats.loadAt.IsZero() || stats.load.ReserveInbound) ||
		b.announces(a, best)
	best.Due = a.Now.Add(baseRoundTrip[best.Distance] + best.Wait + dueFactor*route.runTime + dueSlack + best.Transfer)
	return best, true
}

func (b *Balancer) distance(t *mesh.Target) Distance {
	switch {
	case b.location.IsLocal(t):
		return Local
	case t.FailureDomain == b.location.FailureDomain:
		return SameDomain
	case t.Region == b.location.Region:
		return SameRegion
	}
	return OtherRegion
}

// score returns the expected cost of a target, in requests: the risk of a late or failed response, and the bytes moved.
func score(a Attempt, r routeStats, t *targetStats, distance Distance, delay time.Duration) float64 {
	slowness := 1 + (t.slowness-1)*decay(a.Now.Sub(t.slownessAt), slownessHalfLife)
	faults := t.faults * decay(a.Now.Sub(t.faultAt), faultHalfLife)
	roundTrip := max(baseRoundTrip[distance]+delay, t.expectedRoundTrip(a.Now))
	wait := t.wait(a.Now)
	if a.Bytes >= pacer.LargeMessageBytes && distance != Local {
		wait += t.inboundWait(a.Now)
	}
	expected := roundTrip.Seconds() + wait.Seconds() + r.runTime.Seconds()*slowness + t.transfer(a, r, distance).Seconds()
	objective := a.Route.Objective
	if objective <= 0 {
		objective = a.Route.Timeout
	}
	x := expected / objective.Seconds()
	return min(math.Pow(x, lateExponent), maxLateCost) + timeCost*x + faultCost*faults + moveCost(a, r, distance)
}

// moveCost returns the cost of moving the request and its response, in requests.
func moveCost(a Attempt, r routeStats, distance Distance) float64 {
	return byteCost[distance] * (float64(a.Bytes+HeaderBytes) + r.responseBytes)
}

// expectedRoundTrip returns the decayed average of the round trip.
func (t *targetStats) expectedRoundTrip(now time.Time) time.Duration {
	return time.Duration(float64(t.roundTrip) * decay(now.Sub(t.roundTripAt), roundTripHalfLife))
}

// overdue returns for how long the earliest due response has been overdue without any other response since.
func (t *targetStats) overdue(now time.Time) time.Duration {
	if len(t.due) == 0 {
		return 0
	}
	since := t.due[0]
	for _, due := range t.due[1:] {
		if due.Before(since) {
			since = due
		}
	}
	if t.lastResponse.After(since) {
		since = t.lastResponse
	}
	return max(now.Sub(since), 0)
}

// wait returns the expected wait at the target: the one estimated from its last load report, but at least the time for which a
// response has been overdue.
func (t *targetStats) wait(now time.Time) time.Duration { return max(t.loadWait(now), t.overdue(now)) }

// loadWait returns the wait estimated from the last load report and the requests sent since.
func (t *targetStats) loadWait(now time.Time) time.Duration {
	weight := t.loadWeight(now)
	if weight <= 0 {
		return 0
	}
	sentSince := t.inFlight - t.inFlightAtReport
	wait := t.load.Wait
	if queued := sentSince - t.load.Free; queued > 0 {
		wait += t.load.Interval * time.Duration(queued)
	}
	return time.Duration(weight * float64(max(wait, 0)))
}

// inboundWait returns the expected wait of a large body for the link of the target's machine.
func (t *targetStats) inboundWait(now time.Time) time.Duration {
	return time.Duration(t.loadWeight(now) * float64(t.load.InboundWait))
}

// transfer returns the expected time that the response to a download waits for the link of the target's machine after its run, and
// occupies it.
func (t *targetStats) transfer(a Attempt, r routeStats, distance Distance) time.Duration {
	if a.Route.Kind != mesh.Download || distance == Local || t.load.OutboundRate <= 0 {
		return 0
	}
	transfer := time.Duration(r.responseBytes / t.load.OutboundRate * float64(time.Second))
	sentSince := max(t.inFlight-t.inFlightAtReport, 0)
	wait := t.load.OutboundWait + time.Duration(sentSince)*transfer - r.runTime
	return time.Duration(t.loadWeight(a.Now)*float64(max(wait, 0))) + transfer
}

// loadWeight returns the weight of the last load report, from 1 down to 0.
func (t *targetStats) loadWeight(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return 0
	}
	return max(1-float64(now.Sub(t.loadAt))/float64(loadMaxAge), 0)
}

// decay returns the factor by which a value decays within age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// routeStatsFor returns the estimates for a route, or defaults if there is no sample.
func (b *Balancer) routeStatsFor(name string) routeStats {
	if r, ok := b.routes[name]; ok {
		return r
	}
	return routeStats{runTime: defaultRunTime}
}

// defaultRunTime is the running time assumed for a route without samples.
const defaultRunTime = 50 * time.Millisecond

// targetStatsFor returns the estimates for a target. A new incarnation (another StartedMs) starts without estimates.
func (b *Balancer) targetStatsFor(now time.Time, t *mesh.Target) *targetStats {
	stats := b.targets[t.ID]
	if stats == nil || stats.startedMs != t.StartedMs {
		if len(b.targets) > maxTargets {
			b.dropTargets()
		}
		stats = &targetStats{startedMs: t.StartedMs, slowness: 1, slownessAt: now, faultAt: now}
		b.targets[t.ID] = stats
	}
	return stats
}

// dropTargets drops the statistics of all targets. Those that are leaving stay unless they alone exceed the bound.
func (b *Balancer) dropTargets() {
	maps.DeleteFunc(b.targets, func(_ string, stats *targetStats) bool { return !stats.leaving })
	if len(b.targets) > maxTargets {
		clear(b.targets)
	}
}

// maxDueTimes bounds the due times kept for one target; more would not change the estimate.
const maxDueTimes = 64

// Started records that a request is sent to the target of a choice.
func (b *Balancer) Started(now time.Time, c Choice) {
	stats := b.targetStatsFor(now, c.Target)
	stats.inFlight++
	if len(stats.due) < maxDueTimes {
		stats.due = append(stats.due, c.Due)
	}
}

// Completion describes the outcome of an attempt.
type Completion struct {
	Route  string
	Result Result
	// Load is the load report in the response, or nil if there was none.
	Load *gate.Load
	// RunTime is the running time at the target, or 0 if it is not known. ResponseBytes is the length of the response body.
	RunTime       time.Duration
	ResponseBytes int
	// TargetLeaving is set if the target states that it is leaving. It is not picked any more.
	TargetLeaving bool
	// RoundTrip is the round trip without the time in the target's process. It is used only if Load is not nil.
	RoundTrip time.Duration
}

// Ended records the outcome of an attempt. The choice must be the one passed to Started.
func (b *Balancer) Ended(now time.Time, c Choice, e Completion) {
	stats := b.targetStatsFor(now, c.Target)
	stats.inFlight = max(stats.inFlight-1, 0)
	stats.removeDue(c.Due)
	stats.leaving = stats.leaving || e.TargetLeaving
	if e.Load != nil {
		stats.load, stats.loadAt, stats.inFlightAtReport = *e.Load, now, stats.inFlight
		stats.lastResponse = now
		if e.ResponseBytes < pacer.LargeMessageBytes {
			stats.observeRoundTrip(now, e.RoundTrip)
		}
		b.observeRefusal(now, c.Target, e.Result == Refused)
	}
	switch e.Result {
	case Succeeded:
		stats.backoffUntil, stats.backoff = time.Time{}, 0
		stats.observeFault(now, 0)
		b.observeRun(now, stats, e)
	case Failed:
		stats.observeFault(now, 1)
	case Refused:
		stats.backoffUntil, stats.backoff = time.Time{}, 0
	case Unreachable, Leaving:
		stats.backoff = min(max(2*stats.backoff, firstBackoff), maxBackoff)
		stats.backoffUntil = now.Add(time.Duration(float64(stats.backoff) * (0.75 + 0.5*b.rng.Float64())))
	case Abandoned:
		if overdueBy := now.Sub(c.Due); overdueBy > 0 {
			stats.observeFault(now, 1)
			stats.observeRoundTrip(now, max(overdueBy, stats.expectedRoundTrip(now)))
		}
	}
}

// removeDue removes one due time.
func (t *targetStats) removeDue(due time.Time) {
	if i := slices.IndexFunc(t.due, due.Equal); i >= 0 {
		t.due = slices.Delete(t.due, i, i+1)
	}
}

// observeRoundTrip adds a sample to the average of the round trip.
func (t *targetStats) observeRoundTrip(now time.Time, sample time.Duration) {
	mean := t.expectedRoundTrip(now)
	t.roundTrip = mean + time.Duration(roundTripWeight*float64(sample-mean))
	t.roundTripAt = now
}

// observeFault adds a sample to the fault rate: 1 for a fault, 0 for a success.
func (t *targetStats) observeFault(now time.Time, x float64) {
	t.faults *= decay(now.Sub(t.faultAt), faultHalfLife)
	t.faults += faultWeight * (x - t.faults)
	t.faultAt = now
}

// observeRun adds the running time of a successful attempt to the means of its route and the slowness of its target.
func (b *Balancer) observeRun(now time.Time, t *targetStats, e Completion) {
	if e.RunTime <= 0 {
		return
	}
	r, ok := b.routes[e.Route]
	if !ok {
		if len(b.routes) > maxTargets {
			clear(b.routes)
		}
		r = routeStats{runTime: e.RunTime, responseBytes: float64(e.ResponseBytes)}
	}
	sample := float64(e.RunTime) / float64(max(r.runTime, 1))
	r.runTime += time.Duration(routeWeight * float64(e.RunTime-r.runTime))
	r.responseBytes += routeWeight * (float64(e.ResponseBytes) - r.responseBytes)
	b.routes[e.Route] = r
	t.slowness = 1 + (t.slowness-1)*decay(now.Sub(t.slownessAt), slownessHalfLife)
	t.slowness += slownessWeight * (min(sample, maxSlowness) - t.slowness)
	t.slownessAt = now
}

const (
	// routeWeight is the EWMA weight of one sample in a route's means.
	routeWeight = 0.02
	// maxSlowness bounds the effect of one long request on the slowness of its target.
	maxSlowness = 20
)

// Leaving reports whether a target has stated that it is leaving.
func (b *Balancer) Leaving(t *mesh.Target) bool {
	stats := b.targets[t.ID]
	return stats != nil && stats.startedMs == t.StartedMs && stats.leaving
}

// MeanRunTime returns the mean running time of a route's requests.
func (b *Balancer) MeanRunTime(route string) time.Duration { return b.routeStatsFor(route).runTime }
