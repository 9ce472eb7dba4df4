// Package mesh holds what a process knows of the mesh: the operators' configuration, the targets in service and the failure
// domains taken out, compiled into an immutable State that is swapped as one.
//
// The package is pure: it reads no clock and does no I/O.
package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Once requests run at most once for each attempt of a caller.
	Once
	// Upload requests have large bodies and run at most once.
	Upload
)

// Repeatable reports whether a request may be sent again after it may have run.
func (k Kind) Repeatable() bool { return k == Safe }

// Part is one service of a route with its share of the requests.
type Part struct {
	Service string
	// Weight is the part's share, in proportion to the sum of all parts' weights.
	Weight float64
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a request is kept waiting; Objective the time within which it should be answered.
	Timeout, Objective time.Duration
	// MaxTargets is the largest number of targets that one attempt of a caller may be sent to.
	MaxTargets int
	// Priority ranks routes, 0 first.
	Priority int
	Parts    []Part
	// HomeRegions are the regions in which the requests may be served; empty means all.
	HomeRegions []string
}

// Allows reports whether the route's requests may be served in region.
func (r *Route) Allows(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is what the operators say of a service.
type Service struct {
	Name, HealthPath string
	// MaxConnections bounds the connections to one target.
	MaxConnections int
	// ColdFor is how long a target stays cold after a start, ColdRate the requests a second that it bears meanwhile.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the longest body; 0 means any.
	BodyBytes int64
}

// Config is one version of the operators' configuration, compiled for look-ups. It is never changed after NewConfig.
type Config struct {
	// Version rises with each configuration.
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	hosts    map[string][]*Route
}

// ErrConfig says that a configuration can't be used as a whole; the one in force stays.
var ErrConfig = errors.New("configuration can't be used; correct the entry and publish it under a higher version")

// NewConfig checks a configuration as a whole and builds its look-up tables. An error wraps ErrConfig.
func NewConfig(version uint64, routes []*Route, services []*Service, limits Limits) (*Config, error) {
	c := &Config{Version: version, Routes: routes, Services: make(map[string]*Service, len(services)), Limits: limits, hosts: map[string][]*Route{}}
	for _, s := range services {
		if s.Name == "" || s.ColdRate < 0 || s.MaxConnections < 0 {
			return nil, errors.Wrapf(ErrConfig, "service %q lacks a name or has a negative limit", s.Name)
		}
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.checkRoute(r); err != nil {
			return nil, err
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
		return errors.Wrapf(ErrConfig, "route %q lacks a timeout, attempts or a service", r.Name)
	}
	var sum float64
	for _, p := range r.Parts {
		if c.Services[p.Service] == nil || p.Weight < 0 {
			return errors.Wrapf(ErrConfig, "route %q names service %q, which is unknown or has a negative weight", r.Name, p.Service)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return errors.Wrapf(ErrConfig, "route %q has no part with a weight above 0", r.Name)
	}
	return nil
}

// Match returns the route with the longest prefix of path among those of host, or nil. The host may carry a port.
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
