// Package snapshot holds the configuration in force: an immutable catalogue compiled for look-ups and the known instances.
// Both are replaced together through a single atomic pointer.
//
// Invariants: the revision of the catalogue in force never decreases; every reference in a snapshot resolves within that
// snapshot; a snapshot is immutable, so a request that loads one uses the same configuration until it ends.
package snapshot

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
)

// Config is a catalogue compiled for look-ups.
type Config struct {
	version       document.Version
	source        *catalogue.Catalogue
	document      *document.Document
	organisations map[string]*catalogue.Organisation
	services      map[string]*catalogue.Service
	routes        []*Route
	routeByName   map[string]*Route
	// byPrefix holds the routes of each path prefix in matching order, and prefixLengths the distinct prefix lengths in
	// descending order. A match thus needs one look-up per length, not one per route.
	byPrefix      map[string][]*Route
	prefixLengths []int
	// routesForCaller caches the routes that ForCaller has restricted: callerRouteKey to *Route. It is filled on demand.
	routesForCaller       sync.Map
	regionByDomain        map[string]string
	domainsOutOfService   map[string]bool
	instancesOutOfService map[string]bool
	regions               []string
	links                 map[[2]string]int64
}

// Route is a compiled route with resolved references.
type Route struct {
	catalogue.Route
	// Target is the service that handles the requests of the route.
	Target *catalogue.Service
	// Regions is the set of regions in which a request of the route may be served, sent and stored; nil means all regions.
	// It is the intersection of the home regions of the route, its owner and its service. ForCaller restricts
	// it further to those of the caller.
	Regions map[string]bool
	// methods is the set of HTTP methods that match; nil means all methods.
	methods map[string]bool
}

// callerRouteKey identifies a route as restricted to the home regions of one calling organisation.
type callerRouteKey struct {
	route        *Route
	organisation string
}

// ForCaller returns the route with Regions also restricted to the home regions of the calling organisation. It returns r itself
// if r is nil, or if the organisation is unknown, has no home regions or owns the route. The same arguments always return the
// same pointer for the same Config.
func (c *Config) ForCaller(r *Route, organisation string) *Route {
	caller := c.organisations[organisation]
	if r == nil || caller == nil || len(caller.HomeRegions) == 0 || organisation == r.Owner {
		return r
	}
	key := callerRouteKey{r, organisation}
	if cached, ok := c.routesForCaller.Load(key); ok {
		return cached.(*Route)
	}
	restricted := *r
	restricted.Regions = map[string]bool{}
	for _, region := range caller.HomeRegions {
		if r.Allows(region) {
			restricted.Regions[region] = true
		}
	}
	cached, _ := c.routesForCaller.LoadOrStore(key, &restricted)
	return cached.(*Route)
}

// Allows reports whether a request of the route may be served, sent and stored in region.
func (r *Route) Allows(region string) bool { return r.Regions == nil || r.Regions[region] }

// Compile decodes and checks the catalogue in doc and builds its look-up tables. A catalogue that fails its check returns an
// error of type catalogue.Problems.
func Compile(doc *document.Document) (*Config, error) { return compile(new(catalogue.Decoder), doc) }

func compile(decoder *catalogue.Decoder, doc *document.Document) (*Config, error) {
	cat, err := decoder.Decode(doc)
	if err != nil {
		return nil, err
	}
	if err := catalogue.Check(cat); err != nil {
		return nil, err
	}
	config, err := newConfig(cat, doc.Version())
	if err != nil {
		return nil, err
	}
	config.document = doc
	return config, nil
}

// newConfig builds the look-up tables of a catalogue.
func newConfig(cat *catalogue.Catalogue, version document.Version) (*Config, error) {
	c := &Config{
		version:               version,
		source:                cat,
		organisations:         make(map[string]*catalogue.Organisation, len(cat.Organisations)),
		services:              make(map[string]*catalogue.Service, len(cat.Services)),
		regionByDomain:        map[string]string{},
		domainsOutOfService:   map[string]bool{},
		instancesOutOfService: map[string]bool{},
		links:                 map[[2]string]int64{},
	}
	for i := range cat.Organisations {
		c.organisations[cat.Organisations[i].Name] = &cat.Organisations[i]
	}
	for _, r := range cat.Regions {
		c.regions = append(c.regions, r.Name)
		for _, d := range r.FailureDomains {
			c.regionByDomain[d.Name] = r.Name
			c.domainsOutOfService[d.Name] = d.State == catalogue.OutOfService
		}
	}
	slices.Sort(c.regions)
	for _, l := range cat.Links {
		c.links[[2]string{l.Between[0], l.Between[1]}] = l.BytesPerSecond
		c.links[[2]string{l.Between[1], l.Between[0]}] = l.BytesPerSecond
	}
	for _, i := range cat.Instances {
		c.instancesOutOfService[i.Name] = i.State == catalogue.OutOfService
	}
	for i := range cat.Services {
		c.services[cat.Services[i].Name] = &cat.Services[i]
	}
	return c, c.compileRoutes(cat)
}

// compileRoutes resolves the references of the routes and sorts the routes in matching order.
func (c *Config) compileRoutes(cat *catalogue.Catalogue) error {
	for _, r := range cat.Routes {
		service := c.services[r.Service]
		owner := c.organisations[r.Owner]
		if service == nil || owner == nil {
			return errors.Errorf("route %q refers to a missing service or owner; add service %q and organisation %q", r.Name, r.Service, r.Owner)
		}
		route := &Route{Route: r, Target: service, Regions: intersect(r.HomeRegions, owner.HomeRegions, service.HomeRegions)}
		if len(r.Match.Methods) > 0 {
			route.methods = make(map[string]bool, len(r.Match.Methods))
			for _, m := range r.Match.Methods {
				route.methods[m] = true
			}
		}
		c.routes = append(c.routes, route)
	}
	// The longest prefix comes first, then routes with the most methods, then by name. The order in the file is not significant.
	slices.SortFunc(c.routes, func(a, b *Route) int {
		return cmp.Or(
			cmp.Compare(len(b.Match.PathPrefix), len(a.Match.PathPrefix)),
			cmp.Compare(a.Match.PathPrefix, b.Match.PathPrefix),
			cmp.Compare(len(b.methods), len(a.methods)),
			cmp.Compare(a.Name, b.Name))
	})
	c.indexRoutes()
	return nil
}

// indexRoutes fills the indexes by name and by prefix; c.routes must be in matching order.
func (c *Config) indexRoutes() {
	c.routeByName = make(map[string]*Route, len(c.routes))
	c.byPrefix = make(map[string][]*Route, len(c.routes))
	for _, r := range c.routes {
		prefix := r.Match.PathPrefix
		c.routeByName[r.Name] = r
		c.byPrefix[prefix] = append(c.byPrefix[prefix], r)
		if n := len(c.prefixLengths); n == 0 || c.prefixLengths[n-1] != len(prefix) {
			c.prefixLengths = append(c.prefixLengths, len(prefix))
		}
	}
}

// intersect returns the regions that all non-empty lists contain, or nil if all lists are empty.
func intersect(lists ...[]string) map[string]bool {
	var out map[string]bool
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		next := map[string]bool{}
		for _, r := range list {
			if out == nil || out[r] {
				next[r] = true
			}
		}
		out = next
	}
	return out
}

// Version returns the revision and the digest of the catalogue.
func (c *Config) Version() document.Version { return c.version }

// Document returns the document that the configuration was compiled from.
func (c *Config) Document() *document.Document { return c.document }

// Catalogue returns the catalogue that the configuration was compiled from. The caller must not change it.
func (c *Config) Catalogue() *catalogue.Catalogue { return c.source }

// Match returns the route for a request, or nil if none matches. Of the routes whose prefix and methods match, the one with the
// longest prefix wins, then one that lists the method.
func (c *Config) Match(method, path string) *Route {
	for _, n := range c.prefixLengths {
		if n > len(path) {
			continue
		}
		for _, r := range c.byPrefix[path[:n]] {
			if r.methods == nil || r.methods[method] {
				return r
			}
		}
	}
	return nil
}

// Organisation returns an organisation by name, or nil if it does not exist.
func (c *Config) Organisation(name string) *catalogue.Organisation { return c.organisations[name] }

// Organisations returns all organisations by name. The caller must not change the map.
func (c *Config) Organisations() map[string]*catalogue.Organisation { return c.organisations }

// Service returns a service by name, or nil if it does not exist.
func (c *Config) Service(name string) *catalogue.Service { return c.services[name] }

// Route returns a route by name, or nil if it does not exist. Its Regions are not restricted to those of a caller.
func (c *Config) Route(name string) *Route { return c.routeByName[name] }

// Routes returns the routes in matching order. The caller must not change the slice.
func (c *Config) Routes() []*Route { return c.routes }

// RegionOf returns the region of a failure domain, or "" if the catalogue does not contain the failure domain.
func (c *Config) RegionOf(failureDomain string) string { return c.regionByDomain[failureDomain] }

// Regions returns the names of the regions, sorted. The caller must not change the slice.
func (c *Config) Regions() []string { return c.regions }

// FailureDomains returns the names of all failure domains, sorted.
func (c *Config) FailureDomains() []string {
	out := make([]string, 0, len(c.regionByDomain))
	for d := range c.regionByDomain {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// DomainInService reports whether the catalogue contains the failure domain and has it in service.
func (c *Config) DomainInService(failureDomain string) bool {
	_, known := c.regionByDomain[failureDomain]
	return known && !c.domainsOutOfService[failureDomain]
}

// InstanceInService reports whether the instance is in service. Instances that the catalogue does not list are. The state of the
// failure domain is not considered.
func (c *Config) InstanceInService(name string) bool { return !c.instancesOutOfService[name] }

// LinkBytesPerSecond returns the bandwidth of the link between two regions in bytes per second, or 0 if it is not limited.
func (c *Config) LinkBytesPerSecond(from, to string) int64 { return c.links[[2]string{from, to}] }
