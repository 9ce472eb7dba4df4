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

func (h *Handler) explain(query url.Values) (any, *badRequest) {
	state := h.config.Holder.Load()
	if state.Config == nil {
		return nil, refuse(http.StatusServiceUnavailable, "wait until the process has joined; see status", "no catalogue is in force here")
	}
	e := Explanation{
		Revision: state.Config.Version().Revision, Digest: state.Config.Version().Digest.String(), SeenBy: h.config.Identity.Instance,
		Service: query.Get("service"), Organisation: query.Get("organisation"), Region: query.Get("region"),
		Routes: []RouteExplanation{},
	}
	if e.Region == "" {
		e.Region = state.Config.RegionOf(h.config.Identity.FailureDomain)
	}
	if bad := checkQuestion(state.Config, e); bad != nil {
		return nil, bad
	}
	for _, route := range state.Config.Routes() {
		if route.Service == e.Service {
			e.Routes = append(e.Routes, h.explainRoute(state, state.Config.ForCaller(route, e.Organisation), e.Region))
		}
	}
	return e, nil
}

// checkQuestion refuses a question about what the catalogue lacks.
func checkQuestion(config *snapshot.Config, e Explanation) *badRequest {
	switch {
	case e.Service == "":
		return refuse(http.StatusBadRequest, "give service=NAME", "no service is named")
	case config.Service(e.Service) == nil:
		return refuse(http.StatusNotFound, "name one of the catalogue's services", "service %q is not in revision %d", e.Service, e.Revision)
	case e.Organisation != "" && config.Organisation(e.Organisation) == nil:
		return refuse(http.StatusNotFound, "name one of the catalogue's organisations; calls of others are refused",
			"organisation %q is not in revision %d", e.Organisation, e.Revision)
	case !slices.Contains(config.Regions(), e.Region):
		return refuse(http.StatusNotFound, "name one of the catalogue's regions", "region %q is not in revision %d", e.Region, e.Revision)
	}
	return nil
}

func (h *Handler) explainRoute(state *snapshot.State, route *snapshot.Route, region string) RouteExplanation {
	r := RouteExplanation{
		Route: route.Name, Owner: route.Owner, Class: route.Class, Repeat: route.Repeat,
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
		t.Near = t.Region == region
		if c.Verdict != pick.Usable {
			t.Remedy = c.Verdict.Remedy()
		}
		if !c.Until.IsZero() {
			t.Until = &c.Until
		}
		r.Targets = append(r.Targets, t)
	}
	// Targets in the region of the call come first; within a region the order of the choice stays.
	slices.SortStableFunc(r.Targets, func(a, b TargetExplanation) int { return rankOf(a) - rankOf(b) })
	return r
}

func rankOf(t TargetExplanation) int {
	if t.Near {
		return 0
	}
	return 1
}

func (h *Handler) candidates(state *snapshot.State, route *snapshot.Route) []pick.Candidate {
	if h.config.Explainer != nil {
		return h.config.Explainer.Explain(h.config.Now(), state, route)
	}
	self := pick.Self{Instance: h.config.Identity.Instance, FailureDomain: h.config.Identity.FailureDomain}
	return pick.New(self).Explain(h.config.Now(), state, route)
}
