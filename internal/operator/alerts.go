package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// openAlerts returns the open alerts of a state, sorted by organisation and subject. There is an alert for each service
// without a live target in service, and for each route whose service has such targets, but none in the route's home regions.
// The alert belongs to the organisation that owns the service or route.
func openAlerts(state *snapshot.State) []Alert {
	if state.Config == nil {
		return nil
	}
	var out []Alert
	regions := servedRegions(state)
	cat := state.Config.Catalogue()
	for i := range cat.Services {
		s := &cat.Services[i]
		if len(regions[s.Name]) == 0 {
			out = append(out, Alert{
				Organisation: s.Owner, Subject: fmt.Sprintf("service %q", s.Name), Detail: "no target of the service takes work",
				Remedy: "start instances of the service or return their failure domains to service",
			})
		}
	}
	for _, r := range state.Config.Routes() {
		if r.Regions != nil && len(regions[r.Service]) > 0 && !slices.ContainsFunc(regions[r.Service], r.Allows) {
			out = append(out, Alert{
				Organisation: r.Owner, Subject: fmt.Sprintf("route %q", r.Name),
				Detail: "no target takes work in the home regions " + strings.Join(homeRegions(state.Config, r), ", "),
				Remedy: "start instances there, return their failure domains to service, or widen homeRegions",
			})
		}
	}
	slices.SortFunc(out, func(a, b Alert) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Subject, b.Subject))
	})
	return out
}

// servedRegions returns, by service, the regions in which the service has a live target in service.
func servedRegions(state *snapshot.State) map[string][]string {
	out := map[string][]string{}
	state.Endpoints.All(func(inst origin.Instance) bool {
		region := state.Config.RegionOf(inst.FailureDomain)
		if inst.State == origin.Live && inService(state.Config, inst) && !slices.Contains(out[inst.Service], region) {
			out[inst.Service] = append(out[inst.Service], region)
		}
		return true
	})
	return out
}

// homeRegions returns the regions in which requests of a route are allowed, or nil if all regions are allowed.
func homeRegions(config *snapshot.Config, r *snapshot.Route) []string {
	if r.Regions == nil {
		return nil
	}
	var out []string
	for _, name := range config.Regions() {
		if r.Allows(name) {
			out = append(out, name)
		}
	}
	return out
}
