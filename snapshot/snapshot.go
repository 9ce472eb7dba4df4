// Package snapshot holds the configuration in force: an immutable catalogue compiled for look-ups, together with the
// instances known, swapped as one by a single atomic pointer.
//
// Invariants: the revision of the catalogue in force never falls; every reference in a snapshot resolves within it; a
// snapshot is never changed after it was built, so a request that pins one sees one configuration for its whole life.
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
	// byPrefix holds the routes of each path prefix in matching order, and prefixLengths the lengths of the prefixes,
	// longest first, so that a match costs one look-up for each length and not one for each route.
	byPrefix      map[string][]*Route
	prefixLengths []int
	// bounds holds the routes that ForCaller has narrowed; a request adds what it needs.
	bounds       sync.Map
	regionOf     map[string]string
	domainsOut   map[string]bool
	instancesOut map[string]bool
	regions      []string
	links        map[[2]string]int64
}

// Route is a compiled route with its references resolved.
type Route struct {
	catalogue.Route
	// Target is the service that the route names.
	Target *catalogue.Service
	// Regions are the regions in which a request of the route may be served, sent and stored. Nil means any.
	// They are the intersection of the home regions of the route, its owner and its service; see ForCaller for the caller's.
	Regions map[string]bool
	methods map[string]bool
}

// bound is a route as the callers of one organisation may use it.
type bound struct {
	route        *Route
	organisation string
}

// ForCaller returns the route as a request of the organisation may use it: its Regions are bounded by the organisation's home
// regions too. Equal arguments give the same pointer for the life of the configuration.
func (c *Config) ForCaller(r *Route, organisation string) *Route {
	caller := c.organisations[organisation]
	if r == nil || caller == nil || len(caller.HomeRegions) == 0 || organisation == r.Owner {
		return r
	}
	key := bound{r, organisation}
	if known, ok := c.bounds.Load(key); ok {
		return known.(*Route)
	}
	narrowed := *r
	narrowed.Regions = map[string]bool{}
	for _, region := range caller.HomeRegions {
		if r.Allows(region) {
			narrowed.Regions[region] = true
		}
	}
	known, _ := c.bounds.LoadOrStore(key, &narrowed)
	return known.(*Route)
}

// Allows reports whether a request of the route may be in region.
func (r *Route) Allows(region string) bool { return r.Regions == nil || r.Regions[region] }

// Compile checks the catalogue of doc as a whole and builds its look-up tables.
func Compile(doc *document.Document) (*Config, error) { return compile(new(catalogue.Decoder), doc) }

func compile(decoder *catalogue.Decoder, doc *document.Document) (*Config, error) {
	cat, err := decoder.Decode(doc)
	if err != nil {
		return nil, err
	}
	if err := catalogue.Check(cat); err != nil {
		return nil, err
	}
	config, err := build(cat, doc.Version())
	if err != nil {
		return nil, err
	}
	config.document = doc
	return config, nil
}

func build(cat *catalogue.Catalogue, version document.Version) (*Config, error) {
	c := &Config{
		version:       version,
		source:        cat,
		organisations: make(map[string]*catalogue.Organisation, len(cat.Organisations)),
		services:      make(map[string]*catalogue.Service, len(cat.Services)),
		regionOf:      map[string]string{},
		domainsOut:    map[string]bool{},
		instancesOut:  map[string]bool{},
		links:         map[[2]string]int64{},
	}
	for i := range cat.Organisations {
		c.organisations[cat.Organisations[i].Name] = &cat.Organisations[i]
	}
	for _, r := range cat.Regions {
		c.regions = append(c.regions, r.Name)
		for _, d := range r.FailureDomains {
			c.regionOf[d.Name] = r.Name
			c.domainsOut[d.Name] = d.State == catalogue.Out
		}
	}
	slices.Sort(c.regions)
	for _, l := range cat.Links {
		c.links[[2]string{l.Between[0], l.Between[1]}] = l.BytesPerSecond
		c.links[[2]string{l.Between[1], l.Between[0]}] = l.BytesPerSecond
	}
	for _, i := range cat.Instances {
		c.instancesOut[i.Name] = i.State == catalogue.Out
	}
	for i := range cat.Services {
		c.services[cat.Services[i].Name] = &cat.Services[i]
	}
	return c, c.compileRoutes(cat)
}

func (c *Config) compileRoutes(cat *catalogue.Catalogue) error {
	for _, r := range cat.Routes {
		service := c.services[r.Service]
		owner := c.organisations[r.Owner]
		if service == nil || owner == nil {
			return errors.Errorf("route %q refers to what the catalogue lacks; add service %q and organisation %q", r.Name, r.Service, r.Owner)
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
	// Longest prefix first, then routes that name methods, then by name: the order of the file has no meaning.
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

// intersect returns the regions common to all non-empty lists, or nil if all lists are empty.
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

// Version returns revision and digest of the catalogue.
func (c *Config) Version() document.Version { return c.version }

// Document returns the document that the configuration was compiled from.
func (c *Config) Document() *document.Document { return c.document }

// Catalogue returns the catalogue that the configuration was compiled from. The caller must not change it.
func (c *Config) Catalogue() *catalogue.Catalogue { return c.source }

// Match returns the route for a request, or nil. The longest matching prefix that takes the method wins.
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

// Organisation returns an organisation by name, or nil.
func (c *Config) Organisation(name string) *catalogue.Organisation { return c.organisations[name] }

// Organisations returns all organisations by name. The caller must not change the map.
func (c *Config) Organisations() map[string]*catalogue.Organisation { return c.organisations }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *catalogue.Service { return c.services[name] }

// Route returns a route by name, or nil.
func (c *Config) Route(name string) *Route { return c.routeByName[name] }

// Routes returns the routes in matching order. The caller must not change the slice.
func (c *Config) Routes() []*Route { return c.routes }

// RegionOf returns the region of a failure domain, or "" if the catalogue lacks it.
func (c *Config) RegionOf(failureDomain string) string { return c.regionOf[failureDomain] }

// Regions returns the names of the regions in order.
func (c *Config) Regions() []string { return c.regions }

// FailureDomains returns the names of all failure domains in order.
func (c *Config) FailureDomains() []string {
	out := make([]string, 0, len(c.regionOf))
	for d := range c.regionOf {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// DomainInService reports whether operators have the failure domain in service.
func (c *Config) DomainInService(failureDomain string) bool {
	_, known := c.regionOf[failureDomain]
	return known && !c.domainsOut[failureDomain]
}

// InstanceInService reports whether operators have the instance itself in service.
func (c *Config) InstanceInService(name string) bool { return !c.instancesOut[name] }

// LinkBytesPerSecond returns the capacity of the link between two regions, or 0 if it is not limited.
func (c *Config) LinkBytesPerSecond(from, to string) int64 { return c.links[[2]string{from, to}] }
