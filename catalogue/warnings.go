package catalogue

import (
	"fmt"
	"net/http"
)

// Warnings returns the entries of a valid catalogue that are probably not intended. Warnings never prevent a change: for
// example, taking a whole region out of service causes a warning but is permitted.
func Warnings(c *Catalogue) Problems {
	k := newChecker(c)
	k.warnRegions()
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
				"set a share, or accept that the organisation gets only unused capacity")
		}
	}
	return k.Problems
}

// inService reports whether at least one failure domain of the region is in service.
func (r *Region) inService() bool {
	for _, d := range r.FailureDomains {
		if d.State == InService {
			return true
		}
	}
	return false
}

func (k *checker) warnRegions() {
	any := false
	for i := range k.catalogue.Regions {
		r := &k.catalogue.Regions[i]
		any = any || r.inService()
		if !r.inService() {
			k.report(item{"region", "regions", i, r.Name}, "failureDomains", "no failure domain of the region is in service",
				"return one to service, or accept that requests restricted to the region are refused")
		}
	}
	if !any && len(k.catalogue.Regions) > 0 {
		k.Add("", "regions", "no failure domain is in service", "return one to service: no request can be served")
	}
}

// homeRegionsOutOfService reports whether the lists restrict a request to regions without a failure domain in service.
func (k *checker) homeRegionsOutOfService(lists ...[]string) bool {
	restricted := false
	for name, r := range k.regions {
		if inAllLists(name, lists) && r.inService() {
			return false
		}
	}
	for _, list := range lists {
		restricted = restricted || len(list) > 0
	}
	return restricted
}

func (k *checker) warnRoute(i int) {
	r := &k.catalogue.Routes[i]
	it := item{"route", "routes", i, r.Name}
	service, owner := k.services[r.Service], k.organisations[r.Owner]
	if service != nil && owner != nil {
		if k.homeRegionsOutOfService(r.HomeRegions, owner.HomeRegions, service.HomeRegions) {
			k.report(it, "homeRegions", "no home region has a failure domain in service", "return one to service; until then requests of the route are refused")
		}
		if r.Limits.Timeout > service.Limits.Drain {
			k.report(it, "limits.timeout", fmt.Sprintf("timeout %s exceeds the drain limit %s of service %q",
				r.Limits.Timeout.Std(), service.Limits.Drain.Std(), r.Service), "raise drain, or requests may be aborted when a target leaves")
		}
	}
	k.warnRetryPolicy(it, r)
}

func (k *checker) warnRetryPolicy(it item, r *Route) {
	safeMethods, takesBody := 0, len(r.Match.Methods) == 0
	for _, m := range r.Match.Methods {
		switch m {
		case http.MethodGet, http.MethodHead, http.MethodOptions:
			safeMethods++
		case http.MethodPost, http.MethodPatch:
			takesBody = true
			if r.Retry == RetrySafe {
				k.report(it, "repeat", fmt.Sprintf("method %s is usually not idempotent, but the route permits retries", m),
					`use "never" unless a second execution does no harm`)
			}
		default:
			takesBody = true
		}
	}
	if r.Retry == RetryNever && safeMethods > 0 && safeMethods == len(r.Match.Methods) {
		k.report(it, "repeat", "route permits no retries but lists only safe methods", `use "safe", or list the methods that change data`)
	}
	if takesBody && r.Limits.BodyBytes == 0 {
		k.report(it, "limits.bodyBytes", "requests with a body are refused", "give the maximum body size in bytes")
	}
}

func (k *checker) warnService(i int, routed map[string]bool) {
	s := &k.catalogue.Services[i]
	it := item{"service", "services", i, s.Name}
	if !routed[s.Name] {
		k.report(it, "", "no route refers to the service", "add a route or remove the service")
	}
	if s.Limits.Connections < s.Limits.Slots {
		k.report(it, "limits.connections", fmt.Sprintf("%d connections are too few for %d slots", s.Limits.Connections, s.Limits.Slots),
			"give at least as many connections as slots")
	}
	if s.Limits.Queue == 0 {
		k.report(it, "limits.queue", "queue is 0", "give a queue length, or accept that short bursts are refused")
	}
}
