package catalogue

import (
	"fmt"
	"net/http"
	"path"
	"strings"
)

func (k *checker) checkService(i int, seen map[string]bool) {
	s := &k.catalogue.Services[i]
	it := item{"service", "services", i, s.Name}
	k.checkName(it, seen)
	k.checkOwner(it, s.Owner)
	k.checkClass(it, s.Class)
	k.checkHomeRegions(it, s.HomeRegions)
	l := &s.Limits
	k.checkRange(it, "limits.slots", int64(l.Slots), 1, maxCount)
	k.checkRange(it, "limits.connections", int64(l.Connections), 1, maxCount)
	k.checkRange(it, "limits.queue", int64(l.Queue), 0, maxCount)
	k.checkRange(it, "limits.coldSlots", int64(l.ColdSlots), 1, maxCount)
	if l.ColdSlots > l.Slots && l.Slots > 0 {
		k.report(it, "limits.coldSlots", fmt.Sprintf("coldSlots is %d but slots is only %d", l.ColdSlots, l.Slots),
			"give at most the value of slots")
	}
	k.checkDuration(it, "limits.coldPeriod", l.ColdPeriod, minDuration, maxPhaseDuration)
	k.checkDuration(it, "limits.drain", l.Drain, minDuration, maxPhaseDuration)
	owner := k.organisations[s.Owner]
	if owner != nil && noCommonRegion(s.HomeRegions, owner.HomeRegions) {
		k.report(it, "homeRegions", fmt.Sprintf("the service and its owner %q have no common home region", s.Owner),
			"list a region that both allow")
	}
}

func (k *checker) checkRoute(i int, seen map[string]bool) {
	r := &k.catalogue.Routes[i]
	it := item{"route", "routes", i, r.Name}
	k.checkName(it, seen)
	k.checkOwner(it, r.Owner)
	k.checkClass(it, r.Class)
	if r.Retry != RetrySafe && r.Retry != RetryNever {
		k.report(it, "repeat", fmt.Sprintf("repeat %q is unknown", r.Retry), `use "safe" or "never"`)
	}
	k.checkHomeRegions(it, r.HomeRegions)
	k.checkMatch(it, &r.Match)
	k.checkDuration(it, "limits.timeout", r.Limits.Timeout, minDuration, maxTimeout)
	k.checkRange(it, "limits.concurrency", int64(r.Limits.Concurrency), 1, maxCount)
	k.checkRange(it, "limits.bodyBytes", r.Limits.BodyBytes, 0, maxBodyBytes)
	k.checkReferences(it, r)
}

// checkReferences checks that the service of a route exists and that the route, its owner and its service have a common home
// region.
func (k *checker) checkReferences(it item, r *Route) {
	service, owner := k.services[r.Service], k.organisations[r.Owner]
	if service == nil {
		k.report(it, "service", fmt.Sprintf("service %q doesn't exist", r.Service), "add it to services or name another")
	}
	if service == nil || owner == nil {
		return
	}
	if noCommonRegion(r.HomeRegions, owner.HomeRegions, service.HomeRegions) {
		k.report(it, "homeRegions", fmt.Sprintf("the route, its owner %q and its service %q have no common home region", r.Owner, r.Service),
			"list a region that all of them allow")
	}
}

// noCommonRegion reports whether no region is in all non-empty lists. Empty lists are no restriction.
func noCommonRegion(lists ...[]string) bool {
	var first []string
	for _, list := range lists {
		if len(list) > 0 {
			first = list
			break
		}
	}
	for _, region := range first {
		if inAllLists(region, lists) {
			return false
		}
	}
	return len(first) > 0
}

// inAllLists reports whether a region is in all non-empty lists.
func inAllLists(region string, lists [][]string) bool {
	for _, list := range lists {
		if len(list) > 0 && !contains(list, region) {
			return false
		}
	}
	return true
}

// knownMethod reports whether a route may list the HTTP method.
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
			k.report(it, elementPath("match.methods", i), fmt.Sprintf("method %q is unknown", method), "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS")
		}
		if contains(m.Methods[:i], method) {
			k.report(it, elementPath("match.methods", i), fmt.Sprintf("method %q is listed twice", method), "keep one")
			continue
		}
		k.checkOverlap(it, m.PathPrefix, method)
	}
	if len(m.Methods) == 0 {
		k.checkOverlap(it, m.PathPrefix, "")
	}
}

// checkOverlap reports a problem if an earlier route has the same prefix and method. A route with methods may have the same
// prefix as one without: the former wins for its methods.
func (k *checker) checkOverlap(it item, prefix, method string) {
	key := matchKey{prefix, method}
	earlier, taken := k.matches[key]
	if !taken {
		k.matches[key] = it.name
		return
	}
	methodText := "for all methods"
	if method != "" {
		methodText = "for method " + method
	}
	k.report(it, "match", fmt.Sprintf("route %q also matches %q %s", earlier, prefix, methodText), "change a prefix or the methods so that only one route matches")
}

// prefixProblem returns the cause and the remedy of a problem with a path prefix, or empty strings if the prefix is valid.
func prefixProblem(prefix string) (cause, remedy string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return fmt.Sprintf("path prefix %q doesn't begin with /", prefix), `write it like "/orders/"`
	case len(prefix) > maxPrefixBytes:
		return fmt.Sprintf("path prefix has %d bytes", len(prefix)), fmt.Sprintf("give at most %d", maxPrefixBytes)
	case strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' || r == '\\' }):
		return fmt.Sprintf("path prefix %q contains a space, control character, ?, # or backslash", prefix), "remove it"
	case strings.TrimSuffix(path.Clean(prefix), "/") != strings.TrimSuffix(prefix, "/"):
		return fmt.Sprintf("path prefix %q is not in canonical form", prefix), fmt.Sprintf("write %q", path.Clean(prefix))
	}
	return "", ""
}
