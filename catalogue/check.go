package catalogue

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/jsonc"
)

// Problem describes one error or warning in a catalogue: its location, cause and remedy.
type Problem = jsonc.Problem

// Problems is an error that lists all problems found in one pass.
type Problems = jsonc.Problems

// Limits on the values in a catalogue. They are wide enough that a value beyond them is a mistake.
const (
	minDuration         = time.Millisecond
	maxTimeout          = 10 * time.Minute
	maxPhaseDuration    = time.Hour
	maxCount            = 1_000_000
	maxBodyBytes        = 64 << 30
	maxPrefixBytes      = 1024
	shareTolerance      = 1e-9
	maxListEntries      = 100_000
	maxDomainsPerRegion = 10_000
	maxLinkByteRate     = 1 << 40
)

// Check checks the names, references, limits and shares of a catalogue. It returns nil or an error of type Problems that lists
// every invalid entry with a remedy. Warnings reports entries that are valid but probably not intended.
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

// checker collects problems and indexes a catalogue by name. If several items have the same name, the index contains the last,
// and checkName reports the duplicates.
type checker struct {
	Problems
	catalogue     *Catalogue
	organisations map[string]*Organisation
	services      map[string]*Service
	regions       map[string]*Region
	// matches maps each pair of prefix and method to the first route with it; the method "" means a route without methods.
	matches map[matchKey]string
}

// matchKey is a path prefix with a method.
type matchKey struct{ prefix, method string }

func newChecker(c *Catalogue) *checker {
	k := &checker{
		catalogue:     c,
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

// item identifies one element of a list in the catalogue for a problem.
type item struct {
	kind, listPath string
	index          int
	name           string
}

// label returns the kind and name, for Problem.Entry.
func (it item) label() string { return fmt.Sprintf("%s %q", it.kind, it.name) }

// path returns the path of a field of the item, or of the item itself if field is empty.
func (it item) path(field string) string {
	path := fmt.Sprintf("%s[%d]", it.listPath, it.index)
	if field != "" {
		path += "." + field
	}
	return path
}

// elementPath returns the path of an element of a list.
func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

// report adds a problem with a field of an item, or with the item itself if field is empty.
func (k *checker) report(it item, field, cause, remedy string) {
	k.Add(it.label(), it.path(field), cause, remedy)
}

// checkSizes checks the lengths of the lists, which limits the cost of checking a malicious catalogue.
func (k *checker) checkSizes() {
	c := k.catalogue
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
		if list.size > maxListEntries {
			k.Add("", list.name, fmt.Sprintf("list has %d entries", list.size), fmt.Sprintf("list at most %d", maxListEntries))
		}
	}
	if len(c.Regions) == 0 {
		k.Add("", "regions", "catalogue has no region", "list the regions with their failure domains")
	}
}

// checkName checks that the name of an item is valid and not in seen, and adds it to seen.
func (k *checker) checkName(it item, seen map[string]bool) {
	if cause := NameProblem(it.name); cause != "" {
		k.report(it, "name", cause, NameRemedy)
	}
	if seen[it.name] {
		k.report(it, "name", fmt.Sprintf("duplicate %s name %q", it.kind, it.name), "rename or remove one")
	}
	seen[it.name] = true
}

func (k *checker) checkState(it item, field string, s State) {
	if s != InService && s != OutOfService {
		k.report(it, field, fmt.Sprintf("state %q is unknown", s), `use "in" or "out"`)
	}
}

func (k *checker) checkClass(it item, c Class) {
	if c != Critical && c != Interactive && c != Background {
		k.report(it, "class", fmt.Sprintf("class %q is unknown", c), `use "critical", "interactive" or "background"`)
	}
}

func (k *checker) checkOwner(it item, name string) {
	if k.organisations[name] == nil {
		k.report(it, "owner", fmt.Sprintf("organisation %q doesn't exist", name), "add it to organisations or name another owner")
	}
}

// checkRange checks that a number is between low and high, inclusive.
func (k *checker) checkRange(it item, field string, value, low, high int64) {
	if value < low || value > high {
		k.report(it, field, fmt.Sprintf("value is %d", value), fmt.Sprintf("give %d to %d", low, high))
	}
}

func (k *checker) checkDuration(it item, field string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		k.report(it, field, fmt.Sprintf("duration is %s", d.Std()), fmt.Sprintf("give %s to %s", low, high))
	}
}

// checkHomeRegions checks that the regions of a list exist and are listed once.
func (k *checker) checkHomeRegions(it item, regions []string) {
	for i, name := range regions {
		if k.regions[name] == nil {
			k.report(it, elementPath("homeRegions", i), fmt.Sprintf("region %q doesn't exist", name), "add it to regions or remove it here")
		}
		if contains(regions[:i], name) {
			k.report(it, elementPath("homeRegions", i), fmt.Sprintf("region %q is listed twice", name), "keep one")
		}
	}
}

// contains reports whether a list contains a name. It scans the list, which must be short.
func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}
