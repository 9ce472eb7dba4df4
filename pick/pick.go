// Package pick chooses the target of a request.
//
// A Chooser keeps the state of the targets as seen by its process: the load reported with their answers, the process's own
// requests in flight, and failures. It does no I/O: time and randomness are arguments, and the caller must serialize all
// calls.
//
// Invariants:
//   - A target is picked only in a region that the route allows.
//   - A target is not picked while its failure domain or instance is out of service, or after the target or the platform has
//     announced that it is leaving.
//   - At most MaxEjected of a service's targets are ejected for errors at the same time.
//   - A farther tier is used only while the nearer ones are near their limits or can't be used.
package pick

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Tier is the distance of a target from the picking process.
type Tier uint8

// The tiers, nearest first.
const (
	SameDomain Tier = iota
	SameRegion
	OtherRegion
	tiers
)

// String returns the tier's name.
func (t Tier) String() string {
	switch t {
	case SameDomain:
		return "own-failure-domain"
	case SameRegion:
		return "own-region"
	case OtherRegion:
		return "other-region"
	}
	return "unknown"
}

// Reason is why a target can't be picked, or why none can.
type Reason string

// Verdicts on targets and reasons of refusals.
const (
	// Usable is the verdict on a target that may be picked.
	Usable Reason = "usable"
	// RegionForbidden targets are outside the route's home regions.
	RegionForbidden Reason = "region-forbidden"
	// DomainUnknown targets are in a failure domain that is not in the catalogue.
	DomainUnknown Reason = "failure-domain-unknown"
	// DomainOut targets are in a failure domain that is out of service.
	DomainOut Reason = "failure-domain-out"
	// InstanceOut targets are on an instance that is out of service.
	InstanceOut Reason = "instance-out"
	// ListedLeaving targets are listed by the platform as leaving.
	ListedLeaving Reason = "leaving-by-list"
	// ReportedLeaving targets have reported themselves that they are leaving.
	ReportedLeaving Reason = "leaving-by-own-word"
	// Unreachable targets refused or dropped the last connection and wait for a probe.
	Unreachable Reason = "unreachable"
	// Unresponsive targets have answers outstanding for longer than usual; any answer ends this state.
	Unresponsive Reason = "silent"
	// Ejected targets returned several errors in a row and wait for a probe.
	Ejected Reason = "ejected"
	// Probing targets have a probe in flight, whose result ends or renews the ejection.
	Probing Reason = "probing"
	// AlreadyTried targets have been sent this request before.
	AlreadyTried Reason = "already-tried"
	// NoTargets is the reason if the service has no instance.
	NoTargets Reason = "no-targets"
	// NoneUsable is the reason if no target can be picked and their verdicts differ.
	NoneUsable Reason = "none-usable"
)

// Remedy returns what an operator or a caller can do.
func (r Reason) Remedy() string {
	switch r {
	case RegionForbidden:
		return "bring targets into service in the route's home regions, or widen its homeRegions in the catalogue"
	case DomainUnknown:
		return "add the failure domain to a region of the catalogue"
	case DomainOut:
		return "set the failure domain's state to \"in\" in the catalogue"
	case InstanceOut:
		return "set the instance's state to \"in\" in the catalogue"
	case ListedLeaving, ReportedLeaving:
		return "none; the target is leaving, use another"
	case Unresponsive:
		return "check whether the instance is stalled or cut off; its next answer ends this by itself"
	case Unreachable:
		return "check the instance's daemon and the network; it is probed again by itself"
	case Ejected, Probing:
		return "check the target's errors; it is probed again by itself"
	case AlreadyTried:
		return "retry after a backoff"
	case NoTargets:
		return "start instances of the service or wait until the platform's list shows them"
	case NoneUsable:
		return "run chervilwellctl explain for each target's verdict; retry after a backoff"
	}
	return "none"
}

// Refusal is the error of Pick if no target can be picked. No byte of the request was sent.
type Refusal struct {
	Service string
	Reason  Reason
}

// Error implements error. The text includes the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("service %q has no usable target (%s); %s", r.Service, r.Reason, r.Reason.Remedy())
}

// Choice is the target picked.
type Choice struct {
	Instance origin.Instance
	Tier     Tier
	// Probe is set if the target was ejected or unreachable and this request decides on its return.
	Probe bool
}

// Self is the location of the picking process.
type Self struct {
	Instance      string
	FailureDomain string
}

// Thresholds and intervals of the choice.
const (
	// spillFrom is the utilisation of a tier from which on a growing part of the requests goes to the next one; below
	// spillUntil none does.
	spillFrom  = 0.80
	spillUntil = 0.65
	// spillRegionFrom and spillRegionUntil are the same for the step to another region, whose link has a cost.
	spillRegionFrom  = 0.90
	spillRegionUntil = 0.75
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = time.Second
	// sampleTargets is the number of targets from which a tier's utilisation is estimated.
	sampleTargets = 16
)

// Chooser picks targets for one process. Create it with New.
type Chooser struct {
	self    Self
	state   *snapshot.State
	tables  map[*snapshot.Route]*table
	targets map[string]*target
}

// New returns a chooser without any state of targets.
func New(self Self) *Chooser {
	return &Chooser{self: self, tables: map[*snapshot.Route]*table{}, targets: map[string]*target{}}
}

// Pick chooses a target for a request of the route, except the instances in tried. Returns a *Refusal if no target can
// be picked. Call RequestStarted when the request is sent and RequestEnded when it has ended.
func (c *Chooser) Pick(now time.Time, rng *rand.Rand, state *snapshot.State, route *snapshot.Route, tried []string) (Choice, error) {
	t := c.table(state, route)
	tier, ok := c.chooseTier(now, rng, t, tried)
	if !ok {
		return c.pickFallback(now, t, tried)
	}
	cand := c.chooseTarget(now, rng, t, tier, tried)
	return Choice{Instance: cand.instance, Tier: tier, Probe: cand.target.probeDue(now)}, nil
}

// chooseTier returns the nearest usable tier, or a farther one while the nearer is loaded and the farther is less so.
func (c *Chooser) chooseTier(now time.Time, rng *rand.Rand, t *table, tried []string) (Tier, bool) {
	chosen, found := tiers, false
	var load float64
	for tier := SameDomain; tier < tiers; tier++ {
		u, usable := c.utilisation(now, rng, t, tier, tried)
		if !usable {
			continue
		}
		if !found {
			chosen, load, found = tier, u, true
		} else if t.spills(chosen, tier, load, rng) && u < load {
			chosen, load = tier, u
		} else {
			break
		}
	}
	return chosen, found
}

// utilisation returns the load of a tier's usable targets relative to their limits, and whether any target is usable.
func (c *Chooser) utilisation(now time.Time, rng *rand.Rand, t *table, tier Tier, tried []string) (float64, bool) {
	list := t.tiers[tier]
	step, offset := 1, 0
	if len(list) > sampleTargets {
		step = len(list) / sampleTargets
		offset = rng.IntN(step)
	}
	var load, limit float64
	for i := offset; i < len(list); i += step {
		if c.evaluate(now, t, &list[i], tried) != Usable {
			continue
		}
		l, m := list[i].target.estimate(now, t.coldSlots)
		load += l
		limit += m
	}
	if limit == 0 && step > 1 {
		return 1, c.anyUsable(now, t, tier, tried)
	}
	if limit == 0 {
		return 0, false
	}
	return load / limit, true
}

func (c *Chooser) anyUsable(now time.Time, t *table, tier Tier, tried []string) bool {
	for i := range t.tiers[tier] {
		if c.evaluate(now, t, &t.tiers[tier][i], tried) == Usable {
			return true
		}
	}
	return false
}

// chooseTarget returns the less loaded of two usable targets. The local target is always one of the two if usable,
// because it needs no network.
func (c *Chooser) chooseTarget(now time.Time, rng *rand.Rand, t *table, tier Tier, tried []string) *candidate {
	list := t.tiers[tier]
	start := rng.IntN(len(list))
	var best *candidate
	if t.local >= 0 && tier == SameDomain && c.evaluate(now, t, &list[t.local], tried) == Usable {
		best = &list[t.local]
	}
	want := 2
	if best != nil {
		want = 1
	}
	stride := 1
	if len(list) > 2 {
		stride = 1 + rng.IntN(len(list)-1)
	}
	for i, n := 0, 0; i < len(list) && n < want; i++ {
		cand := &list[t.walkIndex(start, stride, i, len(list))]
		if cand == best || c.evaluate(now, t, cand, tried) != Usable {
			continue
		}
		n++
		if best == nil || cand.target.score(now, t.coldSlots) < best.target.score(now, t.coldSlots) {
			best = cand
		}
	}
	return best
}

// pickFallback returns the target whose ejection ends first among those that are only ejected, unreachable or not
// responding.
func (c *Chooser) pickFallback(now time.Time, t *table, tried []string) (Choice, error) {
	var best *candidate
	for tier := range t.tiers {
		for i := range t.tiers[tier] {
			cand := &t.tiers[tier][i]
			verdict := c.evaluate(now, t, cand, tried)
			if verdict != Unreachable && verdict != Ejected && verdict != Unresponsive {
				continue
			}
			if best == nil || cand.target.ejectedUntil.Before(best.target.ejectedUntil) {
				best = cand
			}
		}
	}
	if best == nil {
		return Choice{}, &Refusal{Service: t.service, Reason: c.commonReason(now, t, tried)}
	}
	return Choice{Instance: best.instance, Tier: best.tier, Probe: true}, nil
}

// commonReason returns the verdict that all targets share, or NoneUsable if their verdicts differ.
func (c *Chooser) commonReason(now time.Time, t *table, tried []string) Reason {
	reason := NoTargets
	for i := range t.all {
		verdict := c.evaluate(now, t, &t.all[i], tried)
		if reason != NoTargets && verdict != reason {
			return NoneUsable
		}
		reason = verdict
	}
	return reason
}
