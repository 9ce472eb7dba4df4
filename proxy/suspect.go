package proxy

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// crashes returns what the process knows of the requests that crash targets.
func (f *Frontend) crashes() *crashTracker { return &f.cfg.Gatekeeper.crashes }

// home returns the ID of the target at which a suspect runs: one that the route allows, is in service and was not tried. It returns ""
// if there is none. It must be called with f.mu held.
func (f *Frontend) home(req *request, state *mesh.State) (home string) {
	var candidates []string
	for _, t := range state.Targets(req.service) {
		if state.Usable(t) && req.allows(t.Region) && !slices.Contains(req.tried, t.ID) && !f.balancer.Leaving(t) {
			candidates = append(candidates, t.ID)
		}
	}
	f.crashes().withList(func(l *quarantine.List, now time.Time) { home = l.Home(now, req.fingerprint, candidates) })
	return home
}

// targetUnavailable reports whether a call was refused because its target could not be reached or accepts no requests, so that it can't
// run there either when it is sent again.
func targetUnavailable(o *outcome) bool {
	switch o.reason {
	case reasonLeaving, reasonMoved, reasonTargetDown, reasonUnreachable:
		return true
	}
	return false
}
