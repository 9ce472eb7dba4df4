package proxy

import (
	"net/http"

	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quota"
)

// Quotas bounds the requests of organisations over all processes. It is implemented by exchange.Exchange.
type Quotas interface {
	// Admit decides whether a request of an organisation may go on, by the quotas of a configuration, and counts it.
	Admit(config *mesh.Config, o *mesh.Organisation) quota.Decision
	// Refund counts an admitted request that did not run.
	Refund(o *mesh.Organisation)
}

// admit counts a request towards the quota of its organisation. It refuses the request and returns false if the quota is used up.
func (f *Frontend) admit(w http.ResponseWriter, req *request) bool {
	if f.cfg.Quotas == nil || req.organisation == nil || !req.organisation.Quota.Limited() {
		return true
	}
	d := f.cfg.Quotas.Admit(req.state.Config, req.organisation)
	if d.OK() {
		req.admitted = true
		return true
	}
	if f.cfg.LogBudget.Allow() {
		f.cfg.Log.Info().Str("request", req.incoming.Header.Get(f.cfg.Names.RequestID)).Str("route", req.route.Name).
			Str("organisation", req.organisation.Name).Stringer("cause", d.Cause).Float64("fraction", d.Fraction).
			Float64("rate", req.organisation.Quota.PerSecond).Float64("burst", req.organisation.Quota.Burst).Dur("back", d.Wait).
			Uint64("config", req.configVersion()).Msg(events.QuotaRefused)
	}
	o := noResponse(notRun, reasonOverQuota)
	o.retryAfter = d.Wait
	f.refuse(w, req, o)
	return false
}

// refund gives the quota of a request back that did not run.
func (f *Frontend) refund(req *request) {
	if req.admitted {
		req.admitted = false
		f.cfg.Quotas.Refund(req.organisation)
	}
}
