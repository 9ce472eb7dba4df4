package mesh

import (
	"slices"

	"github.com/pkg/errors"
)

// Organisation is one of the owners of the requests in a shared mesh. Its callers identify themselves by one of its keys.
type Organisation struct {
	Name string
	// Keys are secret: they must not be logged, nor be part of an error or a metric.
	Keys []string
	// Priority ranks the organisation's requests in place of the priorities of their routes; 0 is the highest.
	Priority int
	// HomeRegions lists the regions in which the organisation's requests may be served; empty means all. Those of a request's route
	// apply as well.
	HomeRegions []string
	Quota       Quota
}

// Quota bounds the requests of an organisation, over all processes together.
type Quota struct {
	// PerSecond is the sustained rate; 0 means that there is no bound.
	PerSecond float64
	// Burst is the number of requests that may exceed the rate.
	Burst float64
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Allows reports whether the organisation's requests may be served in region. It is true for a nil organisation.
func (o *Organisation) Allows(region string) bool {
	return o == nil || len(o.HomeRegions) == 0 || slices.Contains(o.HomeRegions, region)
}

// OrganisationName returns the name of an organisation, or "" if o is nil.
func (o *Organisation) OrganisationName() string {
	if o == nil {
		return ""
	}
	return o.Name
}

// HasOrganisations reports whether the configuration has organisations, so that requests on routes that are not public need a key.
func (c *Config) HasOrganisations() bool { return len(c.Organisations) > 0 }

// OrganisationOf returns the organisation that holds a key, or nil.
func (c *Config) OrganisationOf(key string) *Organisation { return c.keys[key] }

// ShareOf returns the share of an organisation where targets are full: the fraction that its quota's rate has of all rates. One without
// a quota, or that the configuration does not have, gets the mean of the others.
func (c *Config) ShareOf(name string) float64 {
	if share, ok := c.shares[name]; ok {
		return share
	}
	return c.meanShare
}

// computeShares computes the shares of the organisations.
func (c *Config) computeShares() {
	c.shares = make(map[string]float64, len(c.Organisations))
	sum := 0.0
	for _, o := range c.Organisations {
		if o.Quota.Limited() {
			c.shares[o.Name] = o.Quota.PerSecond
			sum += o.Quota.PerSecond
		}
	}
	if sum == 0 {
		c.meanShare = 1 / float64(max(len(c.Organisations), 1))
		return
	}
	for name, rate := range c.shares {
		c.shares[name] = rate / sum
	}
	c.meanShare = 1 / float64(len(c.shares))
}

// addOrganisations validates organisations and adds them to the configuration. Errors wrap ErrConfig and contain no key.
func (c *Config) addOrganisations(organisations []*Organisation) error {
	c.Organisations, c.keys = organisations, map[string]*Organisation{}
	names := make(map[string]bool, len(organisations))
	for i, o := range organisations {
		switch {
		case o.Name == "" || names[o.Name]:
			return errors.Wrapf(ErrConfig, "organisation %d of %d: name %q is empty or used twice", i+1, len(organisations), o.Name)
		case !(o.Quota.PerSecond >= 0) || !(o.Quota.Burst >= 0) || o.Priority < 0:
			return errors.Wrapf(ErrConfig, "organisation %q: rate %v, burst %v or priority %d is negative", o.Name, o.Quota.PerSecond, o.Quota.Burst, o.Priority)
		}
		names[o.Name] = true
		for k, key := range o.Keys {
			holder := c.keys[key]
			if key == "" || holder != nil {
				return errors.Wrapf(ErrConfig, "organisation %q: key %d of %d is empty or also held by organisation %q", o.Name, k+1, len(o.Keys), holder.OrganisationName())
			}
			c.keys[key] = o
		}
	}
	c.computeShares()
	return nil
}
