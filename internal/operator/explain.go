package operator

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/snapshot"
)

// explain serves PathExplain.
func (h *Handler) explain(query url.Values) (any, *requestError) {
	state := h.config.Holder.Load()
	if state.Config == nil {
		return nil, newRequestError(http.StatusServiceUnavailable, "wait until the process has joined; see status", "no catalogue is in force here")
	}
	e := Explanation{
		Revision: state.Config.Version().Revision, Digest: state.Config.Version().Digest.String(), Reporter: h.config.Identity.Instance,
		Service: query.Get("service"), Organisation: query.Get("organisation"), Region: query.Get("region"),
		Routes: []RouteExplanation{},
	}
	if e.Region == "" {
		e.Region = state.Config.RegionOf(h.config.Identity.FailureDomain)
	}
	if reqErr := checkQuery(state.Config, e); reqErr != nil {
		return nil, reqErr
	}
	for _, route := range state.Config.Routes() {
		if route.Service == e.Service {
			e.Routes = append(e.Routes, h.explainRoute(state, state.Config.ForCaller(route, e.Organisation), e.Region))
		}
	}
	return e, nil
}

// checkQuery returns an error if the request names no service, or a service, organisation or region that is not in the catalogue.
func checkQuery(config *snapshot.Config, e Explanation) *requestError {
	switch {
	case e.Service == "":
		return newRequestError(http.StatusBadRequest, "give service=NAME", "no service is named")
	case config.Service(e.Service) == nil:
		return newRequestError(http.StatusNotFound, "name one of the catalogue's services", "service %q is not in revision %d", e.Service, e.Revision)
	case e.Organisation != "" && config.Organisation(e.Organisation) == nil:
		return newRequestError(http.StatusNotFound, "name one of the catalogue's organisations; calls of others are refused",
			"organisation %q is not in revision %d", e.Organisation, e.Revision)
	case !slices.Contains(config.Regions(), e.Region):
		return newRequestError(http.StatusNotFound, "name one of the catalogue's regions", "region %q is not in revision %d", e.Region, e.Revision)
	}
	return nil
}

// explainRoute returns the explanation of a route for a call that arrives in region.
func (h *Handler) explainRoute(state *snapshot.State, route *snapshot.Route, region string) RouteExplanation {
	r := RouteExplanation{
		Route: route.Name, Owner: route.Owner, Class: route.Class, Retry: route.Retry,
		PathPrefix: route.Match.PathPrefix, Methods: route.Match.Methods, HomeRegions: homeRegions(state.Config, route),
		Targets: []TargetExplanation{},
	}
	if !route.Allows(region) {
		r.Refusal = fmt.Sprintf("calls that arrive in region %q are refused before their body is read", region)
		r.Remedy = "send them to an instance in " + strings.Join(r.HomeRegions, " or ")
	}
	for _, c := range h.candidates(state, route) {
		t := TargetExplanation{
			Instance: c.Instance.Name, FailureDomain: c.Instance.FailureDomain, Region: state.Config.RegionOf(c.Instance.FailureDomain),
			Verdict: c.Verdict, Utilisation: c.Utilisation, InFlight: c.InFlight,
		}
		t.SameRegion = t.Region == region
		if c.Verdict != pick.Usable {
			t.Remedy = c.Verdict.Remedy()
		}
		if !c.Until.IsZero() {
			t.Until = &c.Until
		}
		r.Targets = append(r.Targets, t)
	}
	// Targets in the region of the call come first. Otherwise the targets keep the order in which they would be chosen.
	slices.SortStableFunc(r.Targets, func(a, b TargetExplanation) int { return sortRank(a) - sortRank(b) })
	return r
}

// sortRank returns 0 for targets in the region of the call and 1 for others.
func sortRank(t TargetExplanation) int {
	if t.SameRegion {
		return 0
	}
	return 1
}

// candidates returns the verdicts of the Explainer on the targets of a route, or those of a new pick.Chooser if there is none.
func (h *Handler) candidates(state *snapshot.State, route *snapshot.Route) []pick.Candidate {
	if h.config.Explainer != nil {
		return h.config.Explainer.Explain(h.config.Now(), state, route)
	}
	self := pick.Self{Instance: h.config.Identity.Instance, FailureDomain: h.config.Identity.FailureDomain}
	return pick.New(self).Explain(h.config.Now(), state, route)
}
