package catalogue

import (
	"fmt"
	"net/http"
)

// Warnings returns what a checked catalogue holds that can be served but is probably not meant. It never stands in the way of
// a change: taking a whole region out of service is allowed, and warned about.
func Warnings(c *Catalogue) Problems {
	k := newChecker(c)
	k.warnPlaces()
	routed := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		routed[c.Routes[i].Service] = true
		k.warnRoute(i)
	}
	for i := range c.Services {
		k.warnService(i, routed)
	}
	for i, o := range c.Organisations {
		if o.Share == 0 {
			k.report(item{"organisation", "organisations", i, o.Name}, "share", "share is 0",
				"give it a share, or accept that it gets only what others leave")
		}
	}
	return k.Problems
}

// inService reports whether a region has a failure domain in service.
func (r *Region) inService() bool {
	for _, d := range r.FailureDomains {
		if d.State == In {
			return true
		}
	}
	return false
}

func (k *checker) warnPlaces() {
	any := false
	for i := range k.c.Regions {
		r := &k.c.Regions[i]
		any = any || r.inService()
		if !r.inService() {
			k.report(item{"region", "regions", i, r.Name}, "failureDomains", "no failure domain of the region is in service",
				"return one, or accept that requests bound to the region are refused")
		}
	}
	if !any && len(k.c.Regions) > 0 {
		k.Add("", "regions", "no failure domain is in service", "return one: nothing can be served")
	}
}

// homesOutOfService reports whether a request is bound to regions none of which has a failure domain in service.
func (k *checker) homesOutOfService(lists ...[]string) bool {
	bound := false
	for name, r := range k.regions {
		if inAll(name, lists) && r.inService() {
			return false
		}
	}
	for _, list := range lists {
		bound = bound || len(list) > 0
	}
	return bound
}

func (k *checker) warnRoute(i int) {
	r := &k.c.Routes[i]
	it := item{"route", "routes", i, r.Name}
	service, owner := k.services[r.Service], k.organisations[r.Owner]
	if service != nil && owner != nil {
		if k.homesOutOfService(r.HomeRegions, owner.HomeRegions, service.HomeRegions) {
			k.report(it, "homeRegions", "no home region has a failure domain in service", "return one; until then its requests are refused")
		}
		if r.Limits.Timeout > service.Limits.Drain {
			k.report(it, "limits.timeout", fmt.Sprintf("timeout %s exceeds the drain limit %s of service %q",
				r.Limits.Timeout.Std(), service.Limits.Drain.Std(), r.Service), "raise drain, or requests may be cut when a target leaves")
		}
	}
	k.warnRepeat(it, r)
}

func (k *checker) warnRepeat(it item, r *Route) {
	safe, takesBody := 0, len(r.Match.Methods) == 0
	for _, m := range r.Match.Methods {
		switch m {
		case http.MethodGet, http.MethodHead, http.MethodOptions:
			safe++
		case http.MethodPost, http.MethodPatch:
			takesBody = true
			if r.Repeat == Safe {
				k.report(it, "repeat", fmt.Sprintf("method %s is usually not idempotent, and the route may be repeated", m),
					`use "never" unless a second run does no harm`)
			}
		default:
			takesBody = true
		}
	}
	if r.Repeat == Never && safe > 0 && safe == len(r.Match.Methods) {
		k.report(it, "repeat", "route is never repeated but lists only safe methods", `use "safe", or list the methods that change something`)
	}
	if takesBody && r.Limits.BodyBytes == 0 {
		k.report(it, "limits.bodyBytes", "requests with a body are refused", "give the largest body in bytes")
	}
}

func (k *checker) warnService(i int, routed map[string]bool) {
	s := &k.c.Services[i]
	it := item{"service", "services", i, s.Name}
	if !routed[s.Name] {
		k.report(it, "", "no route leads to the service", "add a route or remove the service")
	}
	if s.Limits.Connections < s.Limits.Slots {
		k.report(it, "limits.connections", fmt.Sprintf("%d connections can't fill %d slots", s.Limits.Connections, s.Limits.Slots),
			"give at least as many connections as slots")
	}
	if s.Limits.Queue == 0 {
		k.report(it, "limits.queue", "no request may wait for a slot", "give a queue, or accept that short bursts are refused")
	}
}
