package catalogue

import "fmt"

func (k *checker) checkRegions() {
	regions := make(map[string]bool, len(k.catalogue.Regions))
	domains := map[string]bool{}
	for i, r := range k.catalogue.Regions {
		it := item{"region", "regions", i, r.Name}
		k.checkName(it, regions)
		if len(r.FailureDomains) == 0 {
			k.report(it, "failureDomains", "region has no failure domain", "list at least one")
		}
		if len(r.FailureDomains) > maxDomainsPerRegion {
			k.report(it, "failureDomains", fmt.Sprintf("region has %d failure domains", len(r.FailureDomains)),
				fmt.Sprintf("list at most %d", maxDomainsPerRegion))
		}
		for j, d := range r.FailureDomains {
			domain := item{"failure domain", it.path("failureDomains"), j, d.Name}
			k.checkName(domain, domains)
			k.checkState(domain, "state", d.State)
		}
	}
}

func (k *checker) checkLinks() {
	seen := map[[2]string]bool{}
	for i, l := range k.catalogue.Links {
		a, b := l.Between[0], l.Between[1]
		it := item{"link", "links", i, a + "/" + b}
		for j, name := range l.Between {
			if k.regions[name] == nil {
				k.report(it, fmt.Sprintf("between[%d]", j), fmt.Sprintf("region %q doesn't exist", name), "add it to regions or correct the name")
			}
		}
		if a == b {
			k.report(it, "between", "link connects a region to itself", "name two different regions")
		}
		if seen[[2]string{a, b}] || seen[[2]string{b, a}] {
			k.report(it, "between", "duplicate link between the two regions", "keep one: a link applies to both directions")
		}
		seen[[2]string{a, b}] = true
		k.checkRange(it, "bytesPerSecond", l.BytesPerSecond, 1, maxLinkByteRate)
	}
}

func (k *checker) checkInstances() {
	seen := make(map[string]bool, len(k.catalogue.Instances))
	for i, inst := range k.catalogue.Instances {
		it := item{"instance", "instances", i, inst.Name}
		k.checkName(it, seen)
		k.checkState(it, "state", inst.State)
	}
}

func (k *checker) checkOrganisations() {
	seen := make(map[string]bool, len(k.catalogue.Organisations))
	shares, linkShares := 0.0, 0.0
	for i, o := range k.catalogue.Organisations {
		it := item{"organisation", "organisations", i, o.Name}
		k.checkName(it, seen)
		shares += k.checkShare(it, "share", o.Share)
		linkShares += k.checkShare(it, "linkShare", o.LinkShare)
		k.checkRange(it, "changesPerDay", int64(o.ChangesPerDay), 0, maxCount)
		k.checkHomeRegions(it, o.HomeRegions)
	}
	k.checkShareSum("share", shares)
	k.checkShareSum("linkShare", linkShares)
}

// checkShare checks one share and returns it for the sum, or 0 if the share is out of range.
func (k *checker) checkShare(it item, field string, value float64) float64 {
	// The condition is negated so that it also catches NaN.
	if !(value >= 0 && value <= 1) {
		k.report(it, field, fmt.Sprintf("share is %v", value), "give 0 to 1")
		return 0
	}
	return value
}

// checkShareSum checks that the sum of a share over all organisations is at most 1, apart from rounding errors.
func (k *checker) checkShareSum(field string, sum float64) {
	if sum > 1+shareTolerance {
		k.Add("", "organisations", fmt.Sprintf("sum of %s over all organisations is %.6g", field, sum), "reduce some: the sum may be at most 1")
	}
}
