// Package mesh holds the state of the mesh as known to a process: the operators' configuration, the targets, and the failure
// domains that are out of service. They are compiled into an immutable State that is replaced atomically.
//
// The package reads no clock and does no I/O.
package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind states how often a request of a route may be executed.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may be executed more than once.
	Safe Kind = iota
	// Once requests are executed at most once per attempt of a caller.
	Once
	// Upload requests have large bodies and are executed at most once.
	Upload
	// Download requests have large responses and may be executed more than once.
	Download
)

// Retryable reports whether a request may be retried after it may have been executed.
func (k Kind) Retryable() bool { return k == Safe || k == Download }

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string
	// Weight is the share of this service, relative to the sum of the weights of all services of the route.
	Weight float64
}

// Route defines where the requests of a host and path prefix are sent.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time until a request is answered or fails. Objective is the latency objective.
	Timeout, Objective time.Duration
	// MaxTargets is the maximum number of targets that one attempt of a caller may be sent to.
	MaxTargets int
	// Priority ranks routes; 0 is the highest.
	Priority int
	Parts    []WeightedService
	// HomeRegions lists the regions in which the requests may be served; empty means all.
	HomeRegions []string
	// Public is set if requests need no key although the configuration has organisations.
	Public bool
}

// Allows reports whether the route's requests may be served in region.
func (r *Route) Allows(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is the operators' configuration of a service.
type Service struct {
	Name, HealthPath string
	// MaxConnections is the maximum number of connections to one target.
	MaxConnections int
	// ColdFor is the length of the cold-start period of a target, ColdRate the requests per second that it can process during
	// it.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits bound the requests of callers.
type Limits struct {
	// BodyBytes is the maximum length of a body, HeadBytes that of a head; 0 means no limit.
	BodyBytes, HeadBytes int64
	// HeadTimeout is the time that a caller may take for a head, IdleTimeout the one for which its connection may be idle; 0 means no limit.
	HeadTimeout, IdleTimeout time.Duration
}

// Config is one version of the operators' configuration, with its look-up tables. It must not be modified after NewConfig.
type Config struct {
	// Version increases with each configuration.
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Organisations are the owners of requests. Without any, requests need no key.
	Organisations []*Organisation
	hosts         map[string][]*Route
	// keys maps each key to the organisation that holds it.
	keys map[string]*Organisation
	// shares holds the shares of the organisations with quotas by name, and meanShare that of the others.
	shares    map[string]float64
	meanShare float64
	// uploads is the set of services that routes of kind Upload lead to.
	uploads map[string]bool
	// downloads is the set of services that routes of kind Download lead to.
	downloads map[string]bool
}

// ErrConfig is returned for an invalid configuration. It is rejected as a whole, and the one in force stays in force.
var ErrConfig = errors.New("configuration is invalid; correct the entry and publish it under a higher version")

// NewConfig validates a configuration and builds its look-up tables. Errors wrap ErrConfig.
func NewConfig(version uint64, routes []*Route, services []*Service, limits Limits, organisations ...*Organisation) (*Config, error) {
	c := &Config{Version: version, Routes: routes, Services: make(map[string]*Service, len(services)), Limits: limits, hosts: map[string][]*Route{}, uploads: map[string]bool{}, downloads: map[string]bool{}}
	if err := c.addOrganisations(organisations); err != nil {
		return nil, err
	}
	for _, s := range services {
		if s.Name == "" || s.ColdRate < 0 || s.MaxConnections < 0 {
			return nil, errors.Wrapf(ErrConfig, "service %q has no name or has a negative limit", s.Name)
		}
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.checkRoute(r); err != nil {
			return nil, err
		}
		for _, part := range r.Parts {
			switch r.Kind {
			case Upload:
				c.uploads[part.Service] = true
			case Download:
				c.downloads[part.Service] = true
			case Safe, Once:
			}
		}
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Wrapf(ErrConfig, "route %q has no host, or its prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0 || r.MaxTargets < 1 || len(r.Parts) == 0:
		return errors.Wrapf(ErrConfig, "route %q has no timeout, no attempts or no service", r.Name)
	}
	var sum float64
	for _, p := range r.Parts {
		if c.Services[p.Service] == nil || p.Weight < 0 {
			return errors.Wrapf(ErrConfig, "route %q names service %q, which is not defined or has a negative weight", r.Name, p.Service)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return errors.Wrapf(ErrConfig, "route %q has no service with a weight above 0", r.Name)
	}
	return nil
}

// ReceivesUploads reports whether a route of kind Upload leads to a service.
func (c *Config) ReceivesUploads(service string) bool { return c.uploads[service] }

// SendsDownloads reports whether a route of kind Download leads to a service.
func (c *Config) SendsDownloads(service string) bool { return c.downloads[service] }

// Match returns the route of host with the longest prefix of path, or nil. The host may include a port.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	list, ok := c.hosts[host]
	if !ok {
		list = c.hosts[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
