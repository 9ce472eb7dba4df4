package frontend

import (
	"math/rand/v2"
	"slices"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/platform"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Choice is what a picker knows of a request.
type Choice struct {
	State *snapshot.State
	Route *snapshot.Route
	// Tried names the instances that refused the request already.
	Tried []string
	// Key is the idempotency key of a request that must go to one executor, or "".
	Key string
}

// Result is what became of an attempt.
type Result struct {
	Instance string
	// Load is what the instance said of itself; HasLoad is false if it said nothing.
	Load    headers.LoadState
	HasLoad bool
	// Leaving says that the instance takes no new work.
	Leaving bool
	// Failed says that the instance could not be reached or gave a broken answer.
	Failed bool
}

// Picker chooses the targets of requests.
type Picker interface {
	// Pick returns the instance to try next. It reports false if there is none.
	Pick(c Choice) (platform.Instance, bool)
	// Begin tells that an attempt starts and End what became of it.
	Begin(instance string)
	End(r Result)
}

// nearPicker takes any instance in the nearest place that has one.
type nearPicker struct{ failureDomain string }

// NewNearPicker returns a picker that goes by distance only.
func NewNearPicker(failureDomain string) Picker { return nearPicker{failureDomain} }

func (p nearPicker) Pick(c Choice) (platform.Instance, bool) {
	var best []platform.Instance
	nearest := 3
	for _, inst := range c.State.Endpoints.ForService(c.Route.Service) {
		d := p.distance(c, inst)
		if d > nearest || d == 3 {
			continue
		}
		if d < nearest {
			best, nearest = best[:0], d
		}
		best = append(best, inst)
	}
	if len(best) == 0 {
		return platform.Instance{}, false
	}
	return best[rand.IntN(len(best))], true
}

// distance returns 0 within the failure domain, 1 within the region, 2 in another allowed region, else 3.
func (p nearPicker) distance(c Choice, inst platform.Instance) int {
	config := c.State.Config
	region := config.RegionOf(inst.FailureDomain)
	switch {
	case !c.Route.Allows(region) || inst.State != platform.Live || slices.Contains(c.Tried, inst.Name),
		!config.DomainInService(inst.FailureDomain), !config.InstanceInService(inst.Name):
		return 3
	case inst.FailureDomain == p.failureDomain:
		return 0
	case region == config.RegionOf(p.failureDomain):
		return 1
	}
	return 2
}

func (nearPicker) Begin(string) {}

func (nearPicker) End(Result) {}
