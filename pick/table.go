package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// candidate is one instance of the snapshot, joined with the state that the process keeps of its target.
type candidate struct {
	instance origin.Instance
	tier     Tier
	// staticVerdict is the verdict that follows from the snapshot alone.
	staticVerdict Reason
	target        *target
}

// table holds the candidates of one route in one snapshot.
type table struct {
	service   string
	coldSlots float64
	all       []candidate
	// tiers holds the candidates that the snapshot allows.
	tiers [tiers][]candidate
	// local is the index of the process's own instance in its tier, or -1.
	local int
	// spilling is set for a tier while part of its requests goes to the next one.
	spilling [tiers]bool
}

// table returns the candidates of a route and caches them until the snapshot changes.
func (c *Chooser) table(state *snapshot.State, route *snapshot.Route) *table {
	if c.state == nil || c.state.Config != state.Config || c.state.Endpoints != state.Endpoints {
		c.state = state
		clear(c.tables)
		c.pruneTargets(state)
	}
	if t := c.tables[route]; t != nil {
		return t
	}
	t := c.buildTable(state, route)
	c.tables[route] = t
	return t
}

// pruneTargets removes the state of instances that are no longer listed.
func (c *Chooser) pruneTargets(state *snapshot.State) {
	for name := range c.targets {
		if _, listed := state.Endpoints.Instance(name); !listed {
			delete(c.targets, name)
		}
	}
}

func (c *Chooser) buildTable(state *snapshot.State, route *snapshot.Route) *table {
	t := &table{service: route.Service, local: -1, coldSlots: float64(max(1, route.Target.Limits.ColdSlots))}
	region := state.Config.RegionOf(c.self.FailureDomain)
	for _, inst := range state.Endpoints.ForService(route.Service) {
		cand := candidate{instance: inst, tier: c.tierOf(state, region, inst), staticVerdict: snapshotVerdict(state, route, inst)}
		cand.target = c.target(inst.Name)
		t.all = append(t.all, cand)
	}
	slices.SortFunc(t.all, func(a, b candidate) int { return cmp.Compare(a.instance.Name, b.instance.Name) })
	for _, cand := range t.all {
		if cand.staticVerdict != Usable {
			continue
		}
		if cand.instance.Name == c.self.Instance && cand.tier == SameDomain {
			t.local = len(t.tiers[SameDomain])
		}
		t.tiers[cand.tier] = append(t.tiers[cand.tier], cand)
	}
	return t
}

func (c *Chooser) tierOf(state *snapshot.State, region string, inst origin.Instance) Tier {
	switch {
	case inst.FailureDomain == c.self.FailureDomain:
		return SameDomain
	case region != "" && state.Config.RegionOf(inst.FailureDomain) == region:
		return SameRegion
	}
	return OtherRegion
}

// snapshotVerdict returns the verdict on an instance for a route that follows from the snapshot.
func snapshotVerdict(state *snapshot.State, route *snapshot.Route, inst origin.Instance) Reason {
	region := state.Config.RegionOf(inst.FailureDomain)
	switch {
	case region == "":
		return DomainUnknown
	case !route.Allows(region):
		return RegionForbidden
	case !state.Config.DomainInService(inst.FailureDomain):
		return DomainOut
	case !state.Config.InstanceInService(inst.Name):
		return InstanceOut
	case inst.State == origin.Leaving:
		return ListedLeaving
	}
	return Usable
}

// evaluate returns the verdict on a candidate now, Usable if it may be picked. No other function decides this.
func (c *Chooser) evaluate(now time.Time, t *table, cand *candidate, tried []string) Reason {
	if cand.staticVerdict != Usable {
		return cand.staticVerdict
	}
	if slices.Contains(tried, cand.instance.Name) {
		return AlreadyTried
	}
	return cand.target.verdict(now)
}

// spills reports whether a request should try the next tier. Below the lower threshold none does; from the upper one
// on, the part that does grows with the load.
func (t *table) spills(from, to Tier, load float64, rng *rand.Rand) bool {
	upper, lower := spillFrom, spillUntil
	if to == OtherRegion {
		upper, lower = spillRegionFrom, spillRegionUntil
	}
	switch {
	case load >= upper:
		t.spilling[from] = true
	case load < lower:
		t.spilling[from] = false
	}
	return t.spilling[from] && rng.Float64() < (load-lower)/(1-lower)
}

// walkIndex returns the i-th index of a walk through n positions from start. The walk visits every position once.
func (t *table) walkIndex(start, stride, i, n int) int {
	for gcd(stride, n) != 1 {
		stride++
	}
	return (start + i*stride) % n
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Candidate is the verdict on one instance, as returned by Explain.
type Candidate struct {
	Instance origin.Instance
	Tier     Tier
	Verdict  Reason
	// Utilisation is the estimated load relative to the limit; it may exceed 1 while requests wait.
	Utilisation float64
	// InFlight is the number of requests that this process has in flight at the target.
	InFlight int
	// Until is the end of an ejection; zero if there is none.
	Until time.Time
}

// Explain returns the verdict on every instance of the route's service, ordered by tier and name.
func (c *Chooser) Explain(now time.Time, state *snapshot.State, route *snapshot.Route) []Candidate {
	t := c.table(state, route)
	out := make([]Candidate, 0, len(t.all))
	for i := range t.all {
		cand := &t.all[i]
		v := Candidate{Instance: cand.instance, Tier: cand.tier, Verdict: c.evaluate(now, t, cand, nil)}
		v.Utilisation = cand.target.score(now, t.coldSlots)
		v.InFlight = cand.target.inFlight
		if v.Verdict == Ejected || v.Verdict == Unreachable {
			v.Until = cand.target.ejectedUntil
		}
		out = append(out, v)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Tier, b.Tier) })
	return out
}
