package catalogue

import (
	"slices"

	"github.com/pkg/errors"
)

// WithDomainState returns a copy of the catalogue with the next revision and the given state of the failure domain. It returns an
// error if the catalogue does not contain the failure domain. The copy shares unchanged data with the original.
func (c *Catalogue) WithDomainState(failureDomain string, state State) (*Catalogue, error) {
	next := *c
	next.Revision++
	next.Regions = slices.Clone(c.Regions)
	for i, r := range next.Regions {
		for j, d := range r.FailureDomains {
			if d.Name != failureDomain {
				continue
			}
			next.Regions[i].FailureDomains = slices.Clone(r.FailureDomains)
			next.Regions[i].FailureDomains[j].State = state
			return &next, nil
		}
	}
	return nil, errors.Errorf("failure domain %q is not in the catalogue; add it to a region", failureDomain)
}
