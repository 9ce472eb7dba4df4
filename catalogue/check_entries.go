package catalogue

import (
	"fmt"
	"net/http"
	"path"
	"strings"
)

func (k *checker) checkService(i int, seen map[string]bool) {
	s := &k.c.Services[i]
	it := item{"service", "services", i, s.Name}
	k.name(it, seen)
	k.owner(it, s.Owner)
	k.class(it, s.Class)
	k.homeRegions(it, s.HomeRegions)
	l := &s.Limits
	k.count(it, "limits.slots", int64(l.Slots), 1, maxCount)
	k.count(it, "limits.connections", int64(l.Connections), 1, maxCount)
	k.count(it, "limits.queue", int64(l.Queue), 0, maxCount)
	k.count(it, "limits.coldSlots", int64(l.ColdSlots), 1, maxCount)
	if l.ColdSlots > l.Slots && l.Slots > 0 {
		k.report(it, "limits.coldSlots", fmt.Sprintf("a cold target gets %d slots and a warm one %d", l.ColdSlots, l.Slots),
			"give at most as many as slots")
	}
	k.duration(it, "limits.coldPeriod", l.ColdPeriod, minTimeout, maxPeriod)
	k.duration(it, "limits.drain", l.Drain, minTimeout, maxPeriod)
	owner := k.organisations[s.Owner]
	if owner != nil && disjoint(s.HomeRegions, owner.HomeRegions) {
		k.report(it, "homeRegions", fmt.Sprintf("no region is home to both the service and its owner %q", s.Owner),
			"let the lists share a region")
	}
}

func (k *checker) checkRoute(i int, seen map[string]bool) {
	r := &k.c.Routes[i]
	it := item{"route", "routes", i, r.Name}
	k.name(it, seen)
	k.owner(it, r.Owner)
	k.class(it, r.Class)
	if r.Repeat != Safe && r.Repeat != Never {
		k.report(it, "repeat", fmt.Sprintf("repeat %q is unknown", r.Repeat), `use "safe" or "never"`)
	}
	k.homeRegions(it, r.HomeRegions)
	k.checkMatch(it, &r.Match)
	k.duration(it, "limits.timeout", r.Limits.Timeout, minTimeout, maxTimeout)
	k.count(it, "limits.concurrency", int64(r.Limits.Concurrency), 1, maxCount)
	k.count(it, "limits.bodyBytes", r.Limits.BodyBytes, 0, maxBodyBytes)
	k.checkReferences(it, r)
}

// checkReferences checks the service of a route and that some region is home to route, owner and service.
func (k *checker) checkReferences(it item, r *Route) {
	service, owner := k.services[r.Service], k.organisations[r.Owner]
	if service == nil {
		k.report(it, "service", fmt.Sprintf("service %q doesn't exist", r.Service), "add it to services or name another")
	}
	if service == nil || owner == nil {
		return
	}
	if disjoint(r.HomeRegions, owner.HomeRegions, service.HomeRegions) {
		k.report(it, "homeRegions", fmt.Sprintf("no region is home to the route, its owner %q and its service %q", r.Owner, r.Service),
			"let the lists share a region")
	}
}

// disjoint reports whether no region is in all the lists that name any. Lists without regions don't bind.
func disjoint(lists ...[]string) bool {
	var first []string
	for _, list := range lists {
		if len(list) > 0 {
			first = list
			break
		}
	}
	for _, region := range first {
		if inAll(region, lists) {
			return false
		}
	}
	return len(first) > 0
}

func inAll(region string, lists [][]string) bool {
	for _, list := range lists {
		if len(list) > 0 && !contains(list, region) {
			return false
		}
	}
	return true
}

// knownMethod reports whether routes may list a method.
func knownMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func (k *checker) checkMatch(it item, m *Match) {
	if cause, remedy := prefixProblem(m.PathPrefix); cause != "" {
		k.report(it, "match.pathPrefix", cause, remedy)
	}
	for i, method := range m.Methods {
		if !knownMethod(method) {
			k.report(it, indexed("match.methods", i), fmt.Sprintf("method %q is unknown", method), "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS")
		}
		if contains(m.Methods[:i], method) {
			k.report(it, indexed("match.methods", i), fmt.Sprintf("method %q is listed twice", method), "keep one")
			continue
		}
		k.overlap(it, m.PathPrefix, method)
	}
	if len(m.Methods) == 0 {
		k.overlap(it, m.PathPrefix, "")
	}
}

// overlap reports that an earlier route has the same prefix and method. A route that lists methods may share its prefix with
// one that lists none: the former wins for its methods.
func (k *checker) overlap(it item, prefix, method string) {
	key := matchKey{prefix, method}
	first, taken := k.matches[key]
	if !taken {
		k.matches[key] = it.name
		return
	}
	what := "without methods"
	if method != "" {
		what = "with method " + method
	}
	k.report(it, "match", fmt.Sprintf("route %q matches %q %s too", first, prefix, what), "change a prefix or the methods, so that one route matches")
}

// prefixProblem returns what is wrong with a path prefix and the remedy.
func prefixProblem(prefix string) (cause, remedy string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return fmt.Sprintf("path prefix %q doesn't begin with /", prefix), `write it like "/orders/"`
	case len(prefix) > maxPrefixBytes:
		return fmt.Sprintf("path prefix has %d bytes", len(prefix)), fmt.Sprintf("give at most %d", maxPrefixBytes)
	case strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' || r == '\\' }):
		return fmt.Sprintf("path prefix %q holds a space, control character, ?, # or backslash", prefix), "give the path alone"
	case strings.TrimSuffix(path.Clean(prefix), "/") != strings.TrimSuffix(prefix, "/"):
		return fmt.Sprintf("path prefix %q is not in its shortest form", prefix), fmt.Sprintf("write %q", path.Clean(prefix))
	}
	return "", ""
}
