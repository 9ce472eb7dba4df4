package proxy

import (
	"net/http"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
)

// identify finds the organisation of a request by its key. It answers the request and returns false if the key is not accepted: with 401,
// or with 503 if this process can't know whether the key is valid, since its state is out of date.
func (f *Frontend) identify(w http.ResponseWriter, req *request) bool {
	config := req.state.Config
	if !config.HasOrganisations() {
		return true
	}
	if keys := req.incoming.Header[f.cfg.Names.Key]; len(keys) == 1 {
		req.organisation = config.OrganisationOf(keys[0])
	}
	age := f.cfg.StoreAge()
	switch {
	case req.organisation == nil && req.route.Public:
		return true
	case req.organisation != nil && (f.cfg.RevokeWithin <= 0 || age <= f.cfg.RevokeWithin):
		return true
	case req.organisation != nil || age > f.cfg.ApplyWithin:
		f.refuse(w, req, noResponse(notRun, reasonStaleKeys))
		return false
	}
	if f.cfg.LogBudget.Allow() {
		f.cfg.Log.Info().Str("request", req.incoming.Header.Get(f.cfg.Names.RequestID)).Str("route", req.route.Name).
			Uint64("config", req.configVersion()).Dur("age", age).Msg(events.KeyRefused)
	}
	f.cfg.Metrics.observeRequest(kindNames[req.route.Kind], "401", reasonUnknownKey, clock.Now().Sub(req.arrived))
	respondText(w, req.incoming, http.StatusUnauthorized, "no organisation holds the key of this request; check it against the configuration")
	return false
}

// setOrganisation replaces the caller's key by the name of its organisation, which may be nil.
func (f *Frontend) setOrganisation(h http.Header, o *mesh.Organisation) {
	delete(h, f.cfg.Names.Key)
	delete(h, f.cfg.Names.Organisation)
	if o != nil {
		h[f.cfg.Names.Organisation] = []string{o.Name}
	}
}

// allows reports whether a request may be served in region.
func (req *request) allows(region string) bool {
	return req.route.Allows(region) && req.organisation.Allows(region)
}

// rank returns the rank of a request at the target; 0 is the highest and for requests that others wait on. Without organisations this is the
// priority of the route. With organisations, a request without one is taken for a call of the local target while that runs
// requests: the failure of a call wastes the run that made it.
func (f *Frontend) rank(req *request) int {
	switch {
	case !req.state.Config.HasOrganisations():
		return req.route.Priority
	case req.organisation != nil:
		return 1 + req.organisation.Priority
	case f.cfg.Gatekeeper.Active() > 0:
		return 0
	}
	return 1 + req.route.Priority
}
