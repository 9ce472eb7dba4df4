package catalogue

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
)

// ChangeKind says what happened to an entry.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is what happened to one entry between two catalogues.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the kind of the entry: organisation, region, failure domain, link, instance, service or route.
	Entry string `json:"entry"`
	Name  string `json:"name"`
	// Owner is the organisation that the change counts for, or empty where it is the operators' own.
	Owner string `json:"owner,omitempty"`
	// Fields lists the differing fields of a changed entry.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field with its values as JSON.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// OrganisationChanges counts the changes of one organisation against its budget.
type OrganisationChanges struct {
	Organisation string `json:"organisation"`
	Changes      int    `json:"changes"`
	// PerDay is the budget of the newer catalogue; 0 means that none is set.
	PerDay int `json:"perDay"`
}

// Over reports whether the changes alone exceed the budget of a day.
func (o OrganisationChanges) Over() bool { return o.PerDay > 0 && o.Changes > o.PerDay }

// Difference is everything that differs between two catalogues.
type Difference struct {
	OldRevision uint64   `json:"oldRevision"`
	NewRevision uint64   `json:"newRevision"`
	Changes     []Change `json:"changes"`
	// Organisations lists those with changes, by name.
	Organisations []OrganisationChanges `json:"organisations"`
}

// Diff compares two catalogues. Changes are ordered by kind of entry as in the file, then by name.
func Diff(older, newer *Catalogue) Difference {
	d := Difference{OldRevision: older.Revision, NewRevision: newer.Revision}
	diffList(&d, "organisation", older.Organisations, newer.Organisations, func(o *Organisation) (string, string) { return o.Name, o.Name })
	oldRegions, oldDomains := flatten(older.Regions)
	newRegions, newDomains := flatten(newer.Regions)
	diffList(&d, "region", oldRegions, newRegions, func(r *regionName) (string, string) { return r.Name, "" })
	diffList(&d, "failure domain", oldDomains, newDomains, func(f *placedDomain) (string, string) { return f.Name, "" })
	diffList(&d, "link", older.Links, newer.Links, func(l *Link) (string, string) { return l.Between[0] + "/" + l.Between[1], "" })
	diffList(&d, "instance", older.Instances, newer.Instances, func(i *InstanceState) (string, string) { return i.Name, "" })
	diffList(&d, "service", older.Services, newer.Services, func(s *Service) (string, string) { return s.Name, s.Owner })
	diffList(&d, "route", older.Routes, newer.Routes, func(r *Route) (string, string) { return r.Name, r.Owner })
	d.countOwners(newer.Organisations)
	return d
}

// DiffDocuments does what Diff does, for documents that hold catalogues. It decodes only the entries that differ, so the work
// is in proportion to the change.
func DiffDocuments(older, newer *document.Document) (Difference, error) {
	before, after := &Catalogue{Revision: older.Revision()}, &Catalogue{Revision: newer.Revision()}
	err := eachDifference(older, newer, func(key string) error {
		for _, side := range []struct {
			doc *document.Document
			cat *Catalogue
		}{{older, before}, {newer, after}} {
			value, ok := side.doc.Get(key)
			if !ok {
				continue
			}
			if err := side.cat.decodeEntry(document.Entry{Key: key, Value: value}); err != nil {
				return errors.Wrapf(err, "entry %q", key)
			}
		}
		return nil
	})
	if err != nil {
		return Difference{}, err
	}
	d := Diff(before, after)
	organisations, err := organisationsOf(newer)
	d.countOwners(organisations)
	return d, err
}

// eachDifference calls f for each key whose value differs, and for each that only one of the documents has.
func eachDifference(older, newer *document.Document, f func(key string) error) error {
	delta := document.Diff(older, newer)
	keys := delta.Removed
	for _, e := range delta.Set {
		keys = append(keys, e.Key)
	}
	if delta.Full {
		// A full delta names everything that the newer one has, and nothing that only the older one had.
		older.All(func(e document.Entry) bool {
			if _, ok := newer.Get(e.Key); !ok {
				keys = append(keys, e.Key)
			}
			return true
		})
	}
	for _, key := range keys {
		if err := f(key); err != nil {
			return err
		}
	}
	return nil
}

// organisationsOf decodes the organisations of a document and nothing else.
func organisationsOf(doc *document.Document) ([]Organisation, error) {
	var c Catalogue
	var err error
	doc.All(func(e document.Entry) bool {
		if strings.HasPrefix(e.Key, organisationPrefix) {
			err = c.decodeEntry(e)
		}
		return err == nil
	})
	return c.Organisations, err
}

// regionName is a region without its failure domains.
type regionName struct {
	Name string `json:"name"`
}

// placedDomain is a failure domain with the region that it lies in.
type placedDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state"`
}

// flatten returns regions and failure domains as separate lists, so that each failure domain is compared by itself.
func flatten(regions []Region) ([]regionName, []placedDomain) {
	var names []regionName
	var domains []placedDomain
	for _, r := range regions {
		names = append(names, regionName{r.Name})
		for _, f := range r.FailureDomains {
			domains = append(domains, placedDomain{Name: f.Name, Region: r.Name, State: f.State})
		}
	}
	return names, domains
}

// diffList compares two lists whose items are named and owned as identify says.
func diffList[T any](d *Difference, entry string, older, newer []T, identify func(*T) (name, owner string)) {
	before := make(map[string]*T, len(older))
	for i := range older {
		name, _ := identify(&older[i])
		before[name] = &older[i]
	}
	var found []Change
	for i := range newer {
		name, owner := identify(&newer[i])
		old, ok := before[name]
		delete(before, name)
		if !ok {
			found = append(found, Change{Kind: Added, Entry: entry, Name: name, Owner: owner})
			continue
		}
		if reflect.DeepEqual(old, &newer[i]) {
			continue
		}
		if fields := diffFields("", reflect.ValueOf(*old), reflect.ValueOf(newer[i])); len(fields) > 0 {
			found = append(found, Change{Kind: Changed, Entry: entry, Name: name, Owner: owner, Fields: fields})
		}
	}
	for name, old := range before {
		_, owner := identify(old)
		found = append(found, Change{Kind: Removed, Entry: entry, Name: name, Owner: owner})
	}
	slices.SortFunc(found, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	d.Changes = append(d.Changes, found...)
}

// diffFields compares two values of one type; structs are compared field by field.
func diffFields(path string, older, newer reflect.Value) []FieldChange {
	if older.Kind() != reflect.Struct {
		before, after := asJSON(older), asJSON(newer)
		if before == after {
			return nil
		}
		return []FieldChange{{Path: path, Old: before, New: after}}
	}
	var out []FieldChange
	for i := range older.NumField() {
		name, _, _ := strings.Cut(older.Type().Field(i).Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		out = append(out, diffFields(name, older.Field(i), newer.Field(i))...)
	}
	return out
}

// asJSON renders a value; a list that is nil and one that is empty are the same.
func asJSON(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// countOwners counts the changes of each owner against the budgets of the given organisations.
func (d *Difference) countOwners(organisations []Organisation) {
	counts := map[string]int{}
	for _, c := range d.Changes {
		if c.Owner != "" {
			counts[c.Owner]++
		}
	}
	budgets := make(map[string]int, len(organisations))
	for _, o := range organisations {
		budgets[o.Name] = o.ChangesPerDay
	}
	d.Organisations = nil
	for name, n := range counts {
		d.Organisations = append(d.Organisations, OrganisationChanges{Organisation: name, Changes: n, PerDay: budgets[name]})
	}
	slices.SortFunc(d.Organisations, func(a, b OrganisationChanges) int { return cmp.Compare(a.Organisation, b.Organisation) })
}
