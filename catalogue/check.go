package catalogue

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/jsonc"
)

// Problem is one fault of a catalogue with its place, cause and remedy.
type Problem = jsonc.Problem

// Problems is the error that lists every fault found in one run.
type Problems = jsonc.Problems

// Bounds on limits. They are wide: beyond them a value is a slip of the pen.
const (
	minTimeout      = time.Millisecond
	maxTimeout      = 10 * time.Minute
	maxPeriod       = time.Hour
	maxCount        = 1_000_000
	maxBodyBytes    = 64 << 30
	maxPrefixBytes  = 1024
	shareTolerance  = 1e-9
	maxListed       = 100_000
	maxDomainsPer   = 10_000
	maxLinkByteRate = 1 << 40
)

// Check checks a catalogue as a whole: names, references, limits and shares. It returns nil or an error of type Problems
// that names every bad entry with its remedy. What is questionable but can be served is left to Warnings.
func Check(c *Catalogue) error {
	k := newChecker(c)
	k.checkSizes()
	if c.Revision == 0 {
		k.Add("", "revision", "revision is 0", "give a revision above that of the catalogue in force")
	}
	k.checkRegions()
	k.checkLinks()
	k.checkInstances()
	k.checkOrganisations()
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		k.checkService(i, services)
	}
	routes := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		k.checkRoute(i, routes)
	}
	return k.Err()
}

// checker gathers problems and holds the names of a catalogue. Of items that share a name the last counts; the name is reported.
type checker struct {
	Problems
	c             *Catalogue
	organisations map[string]*Organisation
	services      map[string]*Service
	regions       map[string]*Region
	// matches holds the first route of each (prefix, method); the method "" stands for routes that list none.
	matches map[matchKey]string
}

// matchKey is one method under one path prefix.
type matchKey struct{ prefix, method string }

func newChecker(c *Catalogue) *checker {
	k := &checker{
		c:             c,
		organisations: make(map[string]*Organisation, len(c.Organisations)),
		services:      make(map[string]*Service, len(c.Services)),
		regions:       make(map[string]*Region, len(c.Regions)),
		matches:       make(map[matchKey]string, len(c.Routes)),
	}
	for i := range c.Regions {
		k.regions[c.Regions[i].Name] = &c.Regions[i]
	}
	for i := range c.Organisations {
		k.organisations[c.Organisations[i].Name] = &c.Organisations[i]
	}
	for i := range c.Services {
		k.services[c.Services[i].Name] = &c.Services[i]
	}
	return k
}

// item is one element of a list of the catalogue.
type item struct {
	kind, list string
	index      int
	name       string
}

func (it item) entry() string { return fmt.Sprintf("%s %q", it.kind, it.name) }

func (it item) path(field string) string {
	path := fmt.Sprintf("%s[%d]", it.list, it.index)
	if field != "" {
		path += "." + field
	}
	return path
}

// indexed returns the path of an element of a list.
func indexed(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func (k *checker) report(it item, field, cause, remedy string) {
	k.Add(it.entry(), it.path(field), cause, remedy)
}

// checkSizes bounds the lists, so that a hostile catalogue costs bounded work.
func (k *checker) checkSizes() {
	c := k.c
	for _, list := range []struct {
		name string
		size int
	}{
		{"organisations", len(c.Organisations)},
		{"regions", len(c.Regions)},
		{"links", len(c.Links)},
		{"instances", len(c.Instances)},
		{"services", len(c.Services)},
		{"routes", len(c.Routes)},
	} {
		if list.size > maxListed {
			k.Add("", list.name, fmt.Sprintf("%d entries are listed", list.size), fmt.Sprintf("list at most %d", maxListed))
		}
	}
	if len(c.Regions) == 0 {
		k.Add("", "regions", "catalogue has no region", "list the regions with their failure domains")
	}
}

// name checks the name of an item and that no earlier one bears it.
func (k *checker) name(it item, seen map[string]bool) {
	if cause := NameProblem(it.name); cause != "" {
		k.report(it, "name", cause, NameRemedy)
	}
	if seen[it.name] {
		k.report(it, "name", fmt.Sprintf("a second %s bears the name %q", it.kind, it.name), "rename or remove one")
	}
	seen[it.name] = true
}

func (k *checker) state(it item, field string, s State) {
	if s != In && s != Out {
		k.report(it, field, fmt.Sprintf("state %q is unknown", s), `use "in" or "out"`)
	}
}

func (k *checker) class(it item, c Class) {
	if c != Critical && c != Interactive && c != Background {
		k.report(it, "class", fmt.Sprintf("class %q is unknown", c), `use "critical", "interactive" or "background"`)
	}
}

func (k *checker) owner(it item, name string) {
	if k.organisations[name] == nil {
		k.report(it, "owner", fmt.Sprintf("organisation %q doesn't exist", name), "add it to organisations or name another owner")
	}
}

// count checks a number against its bounds.
func (k *checker) count(it item, field string, value, low, high int64) {
	if value < low || value > high {
		k.report(it, field, fmt.Sprintf("value is %d", value), fmt.Sprintf("give %d to %d", low, high))
	}
}

func (k *checker) duration(it item, field string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		k.report(it, field, fmt.Sprintf("duration is %s", d.Std()), fmt.Sprintf("give %s to %s", low, high))
	}
}

// homeRegions checks that the regions of a list exist and are listed once.
func (k *checker) homeRegions(it item, regions []string) {
	for i, name := range regions {
		if k.regions[name] == nil {
			k.report(it, indexed("homeRegions", i), fmt.Sprintf("region %q doesn't exist", name), "add it to regions or remove it here")
		}
		if contains(regions[:i], name) {
			k.report(it, indexed("homeRegions", i), fmt.Sprintf("region %q is listed twice", name), "keep one")
		}
	}
}

// contains reports whether a short list holds a name.
func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}
