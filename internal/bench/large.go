package bench

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/origin"
)

// Size of the largest fleet that the design supports.
const (
	designEndpoints      = 20_000
	designServices       = 2_200
	designRegions        = 7
	designFailureDomains = 24
	designOrganisations  = 40
)

// fleetSize is the size of a generated catalogue and of its lists of instances.
type fleetSize struct {
	endpoints, services, regions, failureDomains, organisations int
}

// designSize returns the size of the largest fleet that the design supports.
func designSize() fleetSize {
	return fleetSize{designEndpoints, designServices, designRegions, designFailureDomains, designOrganisations}
}

// scaledSize returns designSize with the given numbers of endpoints and services.
func scaledSize(endpoints, services int) fleetSize {
	s := designSize()
	s.endpoints, s.services = endpoints, services
	return s
}

// domain returns the name of the failure domain with index i modulo the number of failure domains.
func (s fleetSize) domain(i int) string { return fmt.Sprintf("fd-%02d", i%s.failureDomains) }

// largeCatalogue returns a valid catalogue of the given size with one route per service.
func largeCatalogue(s fleetSize) *catalogue.Catalogue {
	c := &catalogue.Catalogue{Revision: 1}
	for i := range s.organisations {
		share := 1 / float64(s.organisations)
		c.Organisations = append(c.Organisations, catalogue.Organisation{
			Name: fmt.Sprintf("org-%02d", i), Share: share, LinkShare: share, ChangesPerDay: 2000,
		})
	}
	for i := range s.regions {
		region := catalogue.Region{Name: fmt.Sprintf("region-%d", i)}
		for d := i; d < s.failureDomains; d += s.regions {
			region.FailureDomains = append(region.FailureDomains, catalogue.FailureDomain{Name: s.domain(d), State: catalogue.InService})
		}
		c.Regions = append(c.Regions, region)
	}
	classes := []catalogue.Class{catalogue.Critical, catalogue.Interactive, catalogue.Background}
	for i := range s.services {
		name, owner, class := fmt.Sprintf("service-%04d", i), fmt.Sprintf("org-%02d", i%s.organisations), classes[i%len(classes)]
		c.Services = append(c.Services, catalogue.Service{Name: name, Owner: owner, Class: class, Limits: catalogue.ServiceLimits{
			Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2,
			ColdPeriod: catalogue.Duration(20 * time.Second), Drain: catalogue.Duration(10 * time.Second),
		}})
		c.Routes = append(c.Routes, catalogue.Route{
			Name: "route-" + name, Owner: owner, Class: class, Service: name, Retry: catalogue.RetrySafe,
			Match:  catalogue.Match{PathPrefix: "/" + name + "/", Methods: []string{"GET"}},
			Limits: catalogue.RouteLimits{Timeout: catalogue.Duration(800 * time.Millisecond), Concurrency: 200, BodyBytes: 1 << 20},
		})
	}
	return c
}

// largeInstances returns the platform's lists of instances, one per failure domain.
func largeInstances(s fleetSize) []origin.InstanceList {
	lists := make([]origin.InstanceList, s.failureDomains)
	for i := range lists {
		lists[i] = origin.InstanceList{FailureDomain: s.domain(i), Version: 1}
	}
	for i := range s.endpoints {
		list := &lists[i%s.failureDomains]
		list.Instances = append(list.Instances, origin.Instance{
			Name: fmt.Sprintf("%s-%05d", list.FailureDomain, i), FailureDomain: list.FailureDomain,
			Service:  fmt.Sprintf("service-%04d", i%s.services),
			PeerAddr: fmt.Sprintf("10.%d.%d.%d:8445", i>>16, i>>8&255, i&255), RequestAddr: fmt.Sprintf("10.%d.%d.%d:8444", i>>16, i>>8&255, i&255),
			State: origin.Live,
		})
	}
	return lists
}
