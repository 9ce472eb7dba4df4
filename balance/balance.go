// Package balance chooses the target for a request by the time at which each could answer it.
//
// What it knows of a target is what came back with earlier answers: the wait there, the running times, faults. Knowledge ages:
// a slow or faulty target is tried again after some seconds.
//
// The package is pure: the caller passes the time and a source of random numbers.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/intake"
	"github.com/chervilwell/chervilwell/mesh"
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
	// faultCost is the number of running times that a target with nothing but faults seems slower.
	faultCost = 12.0
	// forgetSpeed is the time in which a target's speed goes half the way back to the common one.
	forgetSpeed = 4 * time.Second
	// speedRate is the weight of one running time in a target's speed.
	speedRate = 0.15
	// trustLoad is the time over which a target's report of its load counts less and less.
	trustLoad = time.Second
	// noise is the part of its score that a target may randomly seem slower, so that equal targets share the work.
	noise = 0.12
	// explore is the share of choices made without regard to the score, so that each target stays known.
	explore = 0.01
	// firstBackoff and maxBackoff bound the time for which a target that can't be reached is left alone. The first covers a
	// dropped packet, the last keeps a returned target waiting no longer than a second.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = time.Second
	// maxTargets bounds the targets remembered; above it those not listed any more are forgotten.
	maxTargets = 4096
	// byteTime is the cost of moving one byte to another failure domain, as if on a link of 400 Mbit/s.
	byteTime = 20 * time.Nanosecond
)

// hop is the round trip to a place, assumed until one was measured, plus what the distance is meant to cost.
var hop = [...]time.Duration{
	Own:         0,
	SameDomain:  time.Millisecond,
	SameRegion:  5 * time.Millisecond,
	OtherRegion: 32 * time.Millisecond,
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
	// Abandoned: the caller left, or its time ran out.
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
	// routes holds the mean running time of each route.
	routes map[string]time.Duration
}

// New returns a balancer that knows nothing.
func New(self Self, rng *rand.Rand) *Balancer {
	return &Balancer{self: self, rng: rng, targets: map[string]*target{}, routes: map[string]time.Duration{}}
}

// Choice is a target with what is expected of it.
type Choice struct {
	Target *mesh.Target
	Place  Place
	// Wait is the expected time until the request starts there.
	Wait time.Duration
}

// Pick returns the target that should answer first, or false if no usable one is left untried.
func (b *Balancer) Pick(a Attempt) (Choice, bool) {
	best, bestScore := Choice{}, math.Inf(1)
	spare, spareUntil := Choice{}, time.Time{}
	exploring := b.rng.Float64() < explore
	for _, t := range a.State.Targets(a.Service) {
		if !a.State.Usable(t) || !a.Route.Allows(t.Region) || tried(a.Tried, t.ID) {
			continue
		}
		known := b.target(a.Now, t)
		place := b.place(t)
		choice := Choice{Target: t, Place: place, Wait: known.wait(a.Now)}
		if a.Now.Before(known.until) {
			if spare.Target == nil || known.until.Before(spareUntil) {
				spare, spareUntil = choice, known.until
			}
			continue
		}
		score := b.score(a, known, place) * (1 + noise*b.rng.Float64())
		if exploring {
			score = b.rng.Float64()
		}
		if score < bestScore {
			best, bestScore = choice, score
		}
	}
	if best.Target == nil {
		best = spare
	}
	return best, best.Target != nil
}

func tried(list []string, id string) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
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

// score is the expected time until the answer, in seconds, with the costs of distance and faults.
func (b *Balancer) score(a Attempt, t *target, place Place) float64 {
	run := b.expect(a.Route.Name).Seconds()
	speed := 1 + (t.speed-1)*decay(a.Now.Sub(t.speedAt), forgetSpeed)
	faults := t.faults * decay(a.Now.Sub(t.faultAt), forgetFaults)
	cost := hop[place]
	if place >= SameRegion {
		cost += byteTime * time.Duration(a.Bytes)
	}
	return cost.Seconds() + t.wait(a.Now).Seconds() + run*(speed+faultCost*faults)
}

// wait is the expected wait at a target: what it last reported, grown by this process's requests since.
func (t *target) wait(now time.Time) time.Duration {
	if t.at.IsZero() {
		return 0
	}
	trust := 1 - float64(now.Sub(t.at))/float64(trustLoad)
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

func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}

func (b *Balancer) expect(route string) time.Duration {
	if mean := b.routes[route]; mean > 0 {
		return mean
	}
	return firstGuess
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

// Started notes that a request goes to a target.
func (b *Balancer) Started(now time.Time, t *mesh.Target) { b.target(now, t).mine++ }

// Ended notes how an attempt ended. The load is nil if the target's process said nothing; ran is the running time at the
// target, or 0 if it is not known.
func (b *Balancer) Ended(now time.Time, t *mesh.Target, route string, result Result, load *intake.Load, ran time.Duration) {
	known := b.target(now, t)
	known.mine = max(known.mine-1, 0)
	if load != nil {
		known.load, known.at, known.reported = *load, now, known.mine
	}
	switch result {
	case Good:
		known.until, known.backoff = time.Time{}, 0
		known.fault(now, 0)
		b.observe(now, known, route, ran)
	case Faulty:
		known.fault(now, 1)
	case Refused:
		known.until, known.backoff = time.Time{}, 0
	case Unreachable, Leaving:
		known.backoff = min(max(2*known.backoff, firstBackoff), maxBackoff)
		known.until = now.Add(time.Duration(float64(known.backoff) * (0.75 + 0.5*b.rng.Float64())))
	case Abandoned:
	}
}

func (t *target) fault(now time.Time, x float64) {
	t.faults *= decay(now.Sub(t.faultAt), forgetFaults)
	t.faults += faultRate * (x - t.faults)
	t.faultAt = now
}

func (b *Balancer) observe(now time.Time, t *target, route string, ran time.Duration) {
	if ran <= 0 {
		return
	}
	if len(b.routes) > maxTargets {
		clear(b.routes)
	}
	mean := b.routes[route]
	if mean == 0 {
		mean = ran
	}
	speed := float64(ran) / float64(mean)
	b.routes[route] = mean + time.Duration(routeRate*float64(ran-mean))
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
func (b *Balancer) Expected(route string) time.Duration { return b.expect(route) }
