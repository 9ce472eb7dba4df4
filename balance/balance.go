// Package balance chooses the target for a request by the time at which each could answer it.
//
// What it knows of a target is what came back with earlier answers: the wait there, the running times, the time on the way, faults;
// and what has not come back although it is due. Knowledge ages: a slow or faulty target is tried again after some seconds.
//
// The package is pure: the caller passes the time and a source of random numbers.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/intake"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// Place says how far away a target is.
type Place uint8

// The places, nearest first.
const (
	Own Place = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Figures of the choice.
const (
	// forgetFaults is the time in which a target's share of faults halves without new answers; troubles last some seconds.
	forgetFaults = 3 * time.Second
	// faultRate is the weight of one result in the share of faults: a handful of faults in a row make a target bad.
	faultRate = 0.25
	// faultCost is the cost of a target with nothing but faults; one in some ten faults weighs like an answer that is often late.
	faultCost = 2.0
	// forgetSpeed is the time in which a target's speed goes half the way back to the common one.
	forgetSpeed = 4 * time.Second
	// speedRate is the weight of one running time in a target's speed.
	speedRate = 0.15
	// transitRate is the weight of one observation in a target's time on the way, and forgetTransit the time in which it halves;
	// queues on a machine's link come and go within seconds.
	transitRate   = 0.3
	forgetTransit = 2 * time.Second
	// overdue is the number of mean running times after which an answer is due; one in some fifty requests runs longer. dueSlack
	// is what scheduling may add.
	overdue  = 3
	dueSlack = 50 * time.Millisecond
	// trustLoad is the time over which a target's report of its load counts less and less.
	trustLoad = time.Second
	// noise is the part of its score that a target may randomly seem slower, so that equal targets share the work.
	noise = 0.12
	// explore is the share of choices made without regard to the score, so that each target stays known.
	explore = 0.02
	// maxExploreCost bounds what such a choice may cost in bytes moved.
	maxExploreCost = 0.1
	// firstBackoff and maxBackoff bound the time for which a target that can't be reached is left alone. The first covers a
	// dropped packet, the last keeps a returned target waiting no longer than a second.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = time.Second
	// maxTargets bounds the targets remembered; above it those not listed any more are forgotten.
	maxTargets = 4096
	// HeadBytes is what the heads of a request and its answer add to their bodies.
	HeadBytes = 1200
	// lateSteep shapes the risk of a late answer: small while the expected time is a part of the objective, then rising steeply.
	lateSteep = 3
	// lateMost bounds the risk, so that among targets that are all late the nearest is still preferred.
	lateMost = 3.0
	// hasteCost is the cost of an expected time as long as the objective apart from the risk, which orders idle targets by speed.
	hasteCost = 0.05
)

// byteCost is the cost of moving a byte to a place, in requests. Links between regions carry a few megabytes a second for all
// traffic together, so that forty kilobytes across one are as dear as a request; those between failure domains are wider.
var byteCost = [...]float64{OtherRegion: 25e-6, SameRegion: 7e-6, SameDomain: 0, Own: 0}

// hop is the round trip to a place with what both processes take.
var hop = [...]time.Duration{
	Own:         0,
	SameDomain:  time.Millisecond,
	SameRegion:  4 * time.Millisecond,
	OtherRegion: 27 * time.Millisecond,
}

// Result says how an attempt at a target ended.
type Result uint8

// The results of an attempt.
const (
	// Good: the target answered.
	Good Result = iota
	// Faulty: the target failed, or broke off.
	Faulty
	// Refused: the target's gate refused; it is neither good nor faulty.
	Refused
	// Unreachable: no connection to the target's process, or to the target.
	Unreachable
	// Leaving: the target's process takes nothing new for now.
	Leaving
	// Abandoned: the caller left, or its time ran out. It speaks against the target if the answer was due.
	Abandoned
)

// Attempt describes the request to choose for.
type Attempt struct {
	Now   time.Time
	State *mesh.State
	Route *mesh.Route
	// Service is the part of the route that was chosen.
	Service string
	Bytes   int
	Tried   []string
	// Toll returns the queueing delay of the link to another region now, and whether the request has to keep off it. It may be nil.
	Toll func(region string) (delay time.Duration, closed bool)
}

// Self is where the process stands.
type Self struct {
	FailureDomain, Region string
	// Own reports whether a target is the one beside the process.
	Own func(*mesh.Target) bool
}

// target is what is known of one.
type target struct {
	born int64
	// mine is the number of this process's requests there; reported is that number at the time of the last report.
	mine, reported int
	load           intake.Load
	at             time.Time
	// due holds when the answer to each of this process's requests there is due; heard is when the target's process last answered.
	due   []time.Time
	heard time.Time
	// transit is the time on the way there and back beside the time that the target's process held the request.
	transit   time.Duration
	transitAt time.Time
	// speed is the running time there in proportion to the common one.
	speed   float64
	speedAt time.Time
	faults  float64
	faultAt time.Time
	// until is the end of a backoff, whose length is backoff.
	until   time.Time
	backoff time.Duration
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	self    Self
	rng     *rand.Rand
	targets map[string]*target
	routes  map[string]route
}

// route is what is known of a route's requests.
type route struct {
	// run is the mean running time, answer the mean length of the answer's body.
	run    time.Duration
	answer float64
}

// New returns a balancer that knows nothing.
func New(self Self, rng *rand.Rand) *Balancer {
	return &Balancer{self: self, rng: rng, targets: map[string]*target{}, routes: map[string]route{}}
}

// Choice is a target with what is expected of it.
type Choice struct {
	Target *mesh.Target
	Place  Place
	// Wait is the expected time until the request starts there, Age the age of the report that it follows from; an Age of 0 and
	// a Wait of 0 mean that there was none.
	Wait, Age time.Duration
	// Due is when the answer should be there.
	Due time.Time
	// Ask is set if the body has to ask before it is sent over the link of the target's machine.
	Ask bool
}

// Pick returns the target that should answer first, or false if no usable one is left untried.
func (b *Balancer) Pick(a Attempt) (Choice, bool) {
	best, bestScore := Choice{}, math.Inf(1)
	spare, spareUntil := Choice{}, time.Time{}
	exploring := b.rng.Float64() < explore
	route := b.route(a.Route.Name)
	for _, t := range a.State.Targets(a.Service) {
		if !a.State.Usable(t) || !a.Route.Allows(t.Region) || slices.Contains(a.Tried, t.ID) {
			continue
		}
		known := b.target(a.Now, t)
		place := b.place(t)
		var delay time.Duration
		if place == OtherRegion && a.Toll != nil {
			var closed bool
			if delay, closed = a.Toll(t.Region); closed {
				continue
			}
		}
		choice := Choice{Target: t, Place: place, Wait: known.wait(a.Now)}
		if !known.at.IsZero() {
			choice.Age = a.Now.Sub(known.at)
		}
		if a.Now.Before(known.until) {
			if spare.Target == nil || known.until.Before(spareUntil) {
				spare, spareUntil = choice, known.until
			}
			continue
		}
		score := score(a, route, known, place, delay) * (1 + noise*b.rng.Float64())
		if exploring && moveCost(a, route, place) < maxExploreCost {
			score *= b.rng.Float64()
		}
		if score < bestScore {
			best, bestScore = choice, score
		}
	}
	if best.Target == nil {
		best = spare
	}
	if best.Target == nil {
		return best, false
	}
	best.Ask = a.Bytes >= pacer.Large && best.Place != Own && b.target(a.Now, best.Target).load.Narrow
	best.Due = a.Now.Add(hop[best.Place] + best.Wait + overdue*route.run + dueSlack)
	return best, true
}

func (b *Balancer) place(t *mesh.Target) Place {
	switch {
	case b.self.Own(t):
		return Own
	case t.FailureDomain == b.self.FailureDomain:
		return SameDomain
	case t.Region == b.self.Region:
		return SameRegion
	}
	return OtherRegion
}

// score is the expected cost of a choice, in requests: the risk that the answer is late or fails, and the bytes moved.
func score(a Attempt, r route, t *target, place Place, delay time.Duration) float64 {
	speed := 1 + (t.speed-1)*decay(a.Now.Sub(t.speedAt), forgetSpeed)
	faults := t.faults * decay(a.Now.Sub(t.faultAt), forgetFaults)
	way := max(hop[place]+delay, t.way(a.Now))
	wait := t.wait(a.Now)
	if a.Bytes >= pacer.Large && place != Own {
		wait += t.inbound(a.Now)
	}
	expected := way.Seconds() + wait.Seconds() + r.run.Seconds()*speed
	objective := a.Route.Objective
	if objective <= 0 {
		objective = a.Route.Timeout
	}
	x := expected / objective.Seconds()
	return min(math.Pow(x, lateSteep), lateMost) + hasteCost*x + faultCost*faults + moveCost(a, r, place)
}

// moveCost is the cost of moving a request and its answer.
func moveCost(a Attempt, r route, place Place) float64 {
	return byteCost[place] * (float64(a.Bytes+HeadBytes) + r.answer)
}

// way is the expected time on the way to a target and back, as its last answers showed it.
func (t *target) way(now time.Time) time.Duration {
	return time.Duration(float64(t.transit) * decay(now.Sub(t.transitAt), forgetTransit))
}

// silent returns for how long an answer has been due from a target that has not answered anything since.
func (t *target) silent(now time.Time) time.Duration {
	if len(t.due) == 0 {
		return 0
	}
	since := t.due[0]
	for _, due := range t.due[1:] {
		if due.Before(since) {
			since = due
		}
	}
	if t.heard.After(since) {
		since = t.heard
	}
	return max(now.Sub(since), 0)
}

// wait is the expected wait at a target: what it last reported, grown by this process's requests since, and at least as long as it
// has been silent.
func (t *target) wait(now time.Time) time.Duration { return max(t.reportedWait(now), t.silent(now)) }

func (t *target) reportedWait(now time.Time) time.Duration {
	trust := t.trust(now)
	if trust <= 0 {
		return 0
	}
	more := t.mine - t.reported
	spare := t.load.Slots - t.load.Running
	wait := t.load.Wait
	if over := more - spare; over > 0 {
		wait += t.load.Interval * time.Duration(over)
	}
	return time.Duration(trust * float64(max(wait, 0)))
}

// inbound is the expected wait of a large body for the link of the target's machine.
func (t *target) inbound(now time.Time) time.Duration {
	return time.Duration(t.trust(now) * float64(t.load.Inbound))
}

// trust is what the last report counts now, from 1 down to 0.
func (t *target) trust(now time.Time) float64 {
	if t.at.IsZero() {
		return 0
	}
	return max(1-float64(now.Sub(t.at))/float64(trustLoad), 0)
}

func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}

func (b *Balancer) route(name string) route {
	if r, ok := b.routes[name]; ok {
		return r
	}
	return route{run: firstGuess}
}

// firstGuess is the running time assumed before any was seen.
const firstGuess = 50 * time.Millisecond

func (b *Balancer) target(now time.Time, t *mesh.Target) *target {
	known := b.targets[t.ID]
	if known == nil || known.born != t.Born {
		if len(b.targets) > maxTargets {
			clear(b.targets)
		}
		known = &target{born: t.Born, speed: 1, speedAt: now, faultAt: now}
		b.targets[t.ID] = known
	}
	return known
}

// maxDue bounds the requests at one target whose answers are awaited by time; more say nothing new.
const maxDue = 64

// Started notes that a request goes to the target of a choice.
func (b *Balancer) Started(now time.Time, c Choice) {
	known := b.target(now, c.Target)
	known.mine++
	if len(known.due) < maxDue {
		known.due = append(known.due, c.Due)
	}
}

// End describes how an attempt ended.
type End struct {
	Route  string
	Result Result
	// Load is nil if the target's process said nothing.
	Load *intake.Load
	// Ran is the running time at the target, or 0 if it is not known; Answer the length of the answer's body.
	Ran    time.Duration
	Answer int
	// Transit is the time on the way there and back; it counts only where there is a Load.
	Transit time.Duration
}

// Ended notes how an attempt ended.
func (b *Balancer) Ended(now time.Time, c Choice, e End) {
	known := b.target(now, c.Target)
	known.mine = max(known.mine-1, 0)
	known.settle(c.Due)
	if e.Load != nil {
		known.load, known.at, known.reported = *e.Load, now, known.mine
		known.heard = now
		known.travelled(now, e.Transit)
	}
	switch e.Result {
	case Good:
		known.until, known.backoff = time.Time{}, 0
		known.fault(now, 0)
		b.observe(now, known, e)
	case Faulty:
		known.fault(now, 1)
	case Refused:
		known.until, known.backoff = time.Time{}, 0
	case Unreachable, Leaving:
		known.backoff = min(max(2*known.backoff, firstBackoff), maxBackoff)
		known.until = now.Add(time.Duration(float64(known.backoff) * (0.75 + 0.5*b.rng.Float64())))
	case Abandoned:
		if late := now.Sub(c.Due); late > 0 {
			known.fault(now, 1)
			known.travelled(now, max(late, known.way(now)))
		}
	}
}

// settle takes one awaited answer off the list.
func (t *target) settle(due time.Time) {
	if i := slices.IndexFunc(t.due, due.Equal); i >= 0 {
		t.due = slices.Delete(t.due, i, i+1)
	}
}

// travelled notes what a message took on the way.
func (t *target) travelled(now time.Time, took time.Duration) {
	way := t.way(now)
	t.transit = way + time.Duration(transitRate*float64(took-way))
	t.transitAt = now
}

func (t *target) fault(now time.Time, x float64) {
	t.faults *= decay(now.Sub(t.faultAt), forgetFaults)
	t.faults += faultRate * (x - t.faults)
	t.faultAt = now
}

func (b *Balancer) observe(now time.Time, t *target, e End) {
	if e.Ran <= 0 {
		return
	}
	r, ok := b.routes[e.Route]
	if !ok {
		if len(b.routes) > maxTargets {
			clear(b.routes)
		}
		r = route{run: e.Ran, answer: float64(e.Answer)}
	}
	speed := float64(e.Ran) / float64(max(r.run, 1))
	r.run += time.Duration(routeRate * float64(e.Ran-r.run))
	r.answer += routeRate * (float64(e.Answer) - r.answer)
	b.routes[e.Route] = r
	t.speed = 1 + (t.speed-1)*decay(now.Sub(t.speedAt), forgetSpeed)
	t.speed += speedRate * (min(speed, maxSpeed) - t.speed)
	t.speedAt = now
}

const (
	// routeRate is the weight of one running time in a route's mean.
	routeRate = 0.02
	// maxSpeed bounds what one long request says of its target.
	maxSpeed = 20
)

// Expected returns the mean running time of a route's requests.
func (b *Balancer) Expected(route string) time.Duration { return b.route(route).run }
