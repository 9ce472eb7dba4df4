package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// candidate is one instance as the snapshot shows it, joined with what the process knows of its target.
type candidate struct {
	instance origin.Instance
	tier     Tier
	// fixed is the snapshot's verdict.
	fixed  Reason
	target *target
}

// table holds the candidates of one route in one snapshot.
type table struct {
	service   string
	coldSlots float64
	all       []candidate
	// tiers holds the candidates that the snapshot allows.
	tiers [tiers][]candidate
	// own is the index of the own instance in its tier, or -1.
	own int
	// spilling says that the step from a tier outwards is on.
	spilling [tiers]bool
}

// table returns the candidates of a route and caches them until the snapshot changes.
func (c *Chooser) table(state *snapshot.State, route *snapshot.Route) *table {
	if c.state == nil || c.state.Config != state.Config || c.state.Endpoints != state.Endpoints {
		c.state = state
		clear(c.tables)
		c.forget(state)
	}
	if t := c.tables[route]; t != nil {
		return t
	}
	t := c.build(state, route)
	c.tables[route] = t
	return t
}

// forget drops what is known of instances that are not listed any more.
func (c *Chooser) forget(state *snapshot.State) {
	for name := range c.targets {
		if _, listed := state.Endpoints.Instance(name); !listed {
			delete(c.targets, name)
		}
	}
}

func (c *Chooser) build(state *snapshot.State, route *snapshot.Route) *table {
	t := &table{service: route.Service, own: -1, coldSlots: float64(max(1, route.Target.Limits.ColdSlots))}
	region := state.Config.RegionOf(c.self.FailureDomain)
	for _, inst := range state.Endpoints.ForService(route.Service) {
		cand := candidate{instance: inst, tier: c.tierOf(state, region, inst), fixed: verdict(state, route, inst)}
		cand.target = c.target(inst.Name)
		t.all = append(t.all, cand)
	}
	slices.SortFunc(t.all, func(a, b candidate) int { return cmp.Compare(a.instance.Name, b.instance.Name) })
	for _, cand := range t.all {
		if cand.fixed != Usable {
			continue
		}
		if cand.instance.Name == c.self.Instance && cand.tier == OwnDomain {
			t.own = len(t.tiers[OwnDomain])
		}
		t.tiers[cand.tier] = append(t.tiers[cand.tier], cand)
	}
	return t
}

func (c *Chooser) tierOf(state *snapshot.State, region string, inst origin.Instance) Tier {
	switch {
	case inst.FailureDomain == c.self.FailureDomain:
		return OwnDomain
	case region != "" && state.Config.RegionOf(inst.FailureDomain) == region:
		return OwnRegion
	}
	return OtherRegion
}

// verdict returns what the snapshot says of an instance for a route.
func verdict(state *snapshot.State, route *snapshot.Route, inst origin.Instance) Reason {
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

// judge returns whether a candidate may be picked now. It is the only place that decides so.
func (c *Chooser) judge(now time.Time, t *table, cand *candidate, tried []string) Reason {
	if cand.fixed != Usable {
		return cand.fixed
	}
	if slices.Contains(tried, cand.instance.Name) {
		return Tried
	}
	return cand.target.verdict(now)
}

// spills reports whether a request should look beyond a tier. Below the lower threshold none does; from the upper one on
// the part that does grows with the load.
func (t *table) spills(from, to Tier, load float64, rng *rand.Rand) bool {
	begin, end := spillFrom, spillUntil
	if to == OtherRegion {
		begin, end = spillRegionFrom, spillRegionUntil
	}
	switch {
	case load >= begin:
		t.spilling[from] = true
	case load < end:
		t.spilling[from] = false
	}
	return t.spilling[from] && rng.Float64() < (load-end)/(1-end)
}

// step returns the i-th index of a walk through n places from start. The walk visits every place once.
func (t *table) step(start, stride, i, n int) int {
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

// Candidate is the verdict on one instance.
type Candidate struct {
	Instance origin.Instance
	Tier     Tier
	Verdict  Reason
	// Utilisation is the estimated load against the limit; it may exceed 1 while requests wait.
	Utilisation float64
	// InFlight is the number of requests that this process has at the target.
	InFlight int
	// Until is the end of an ejection; zero if there is none.
	Until time.Time
}

// Explain returns the verdict on every instance of the route's service, by tier and name.
func (c *Chooser) Explain(now time.Time, state *snapshot.State, route *snapshot.Route) []Candidate {
	t := c.table(state, route)
	out := make([]Candidate, 0, len(t.all))
	for i := range t.all {
		cand := &t.all[i]
		v := Candidate{Instance: cand.instance, Tier: cand.tier, Verdict: c.judge(now, t, cand, nil)}
		v.Utilisation = cand.target.score(now, t.coldSlots)
		v.InFlight = cand.target.inFlight
		if v.Verdict == Ejected || v.Verdict == Unreachable {
			v.Until = cand.target.until
		}
		out = append(out, v)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Tier, b.Tier) })
	return out
}
