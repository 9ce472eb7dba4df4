package catalogue

import "fmt"

func (k *checker) checkRegions() {
	regions := make(map[string]bool, len(k.c.Regions))
	domains := map[string]bool{}
	for i, r := range k.c.Regions {
		it := item{"region", "regions", i, r.Name}
		k.name(it, regions)
		if len(r.FailureDomains) == 0 {
			k.report(it, "failureDomains", "region has no failure domain", "list at least one")
		}
		if len(r.FailureDomains) > maxDomainsPer {
			k.report(it, "failureDomains", fmt.Sprintf("region has %d failure domains", len(r.FailureDomains)),
				fmt.Sprintf("list at most %d", maxDomainsPer))
		}
		for j, d := range r.FailureDomains {
			domain := item{"failure domain", it.path("failureDomains"), j, d.Name}
			k.name(domain, domains)
			k.state(domain, "state", d.State)
		}
	}
}

func (k *checker) checkLinks() {
	seen := map[[2]string]bool{}
	for i, l := range k.c.Links {
		a, b := l.Between[0], l.Between[1]
		it := item{"link", "links", i, a + "/" + b}
		for j, name := range l.Between {
			if k.regions[name] == nil {
				k.report(it, fmt.Sprintf("between[%d]", j), fmt.Sprintf("region %q doesn't exist", name), "add it to regions or correct the name")
			}
		}
		if a == b {
			k.report(it, "between", "link leads from a region to itself", "name two regions")
		}
		if seen[[2]string{a, b}] || seen[[2]string{b, a}] {
			k.report(it, "between", "a second link joins the two regions", "keep one: a link holds for both directions")
		}
		seen[[2]string{a, b}] = true
		k.count(it, "bytesPerSecond", l.BytesPerSecond, 1, maxLinkByteRate)
	}
}

func (k *checker) checkInstances() {
	seen := make(map[string]bool, len(k.c.Instances))
	for i, inst := range k.c.Instances {
		it := item{"instance", "instances", i, inst.Name}
		k.name(it, seen)
		k.state(it, "state", inst.State)
	}
}

func (k *checker) checkOrganisations() {
	seen := make(map[string]bool, len(k.c.Organisations))
	shares, linkShares := 0.0, 0.0
	for i, o := range k.c.Organisations {
		it := item{"organisation", "organisations", i, o.Name}
		k.name(it, seen)
		shares += k.share(it, "share", o.Share)
		linkShares += k.share(it, "linkShare", o.LinkShare)
		k.count(it, "changesPerDay", int64(o.ChangesPerDay), 0, maxCount)
		k.homeRegions(it, o.HomeRegions)
	}
	k.sum("share", shares)
	k.sum("linkShare", linkShares)
}

// share checks one share and returns what it adds to the sum; a share out of bounds adds nothing.
func (k *checker) share(it item, field string, value float64) float64 {
	// The negated form catches values that are not numbers too.
	if !(value >= 0 && value <= 1) {
		k.report(it, field, fmt.Sprintf("share is %v", value), "give 0 to 1")
		return 0
	}
	return value
}

func (k *checker) sum(field string, sum float64) {
	if sum > 1+shareTolerance {
		k.Add("", "organisations", fmt.Sprintf("the organisations' %s sums to %.6g", field, sum), "lower some: the sum is at most 1")
	}
}
