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

// ChangeKind is the kind of a change of an entry.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change describes the change of one entry between two catalogues.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the kind of the entry: organisation, region, failure domain, link, instance, service or route.
	Entry string `json:"entry"`
	Name  string `json:"name"`
	// Owner is the organisation whose budget the change counts against, or empty if the entry belongs to the operators.
	Owner string `json:"owner,omitempty"`
	// Fields lists the fields that differ; only set if Kind is Changed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field with its old and new values as JSON text.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// OrganisationChanges counts the changes of one organisation against its budget.
type OrganisationChanges struct {
	Organisation string `json:"organisation"`
	Changes      int    `json:"changes"`
	// DailyBudget is the daily budget in the newer catalogue; 0 means that none is set.
	DailyBudget int `json:"perDay"`
}

// OverBudget reports whether the changes exceed the daily budget on their own, without other changes of the day.
func (o OrganisationChanges) OverBudget() bool { return o.DailyBudget > 0 && o.Changes > o.DailyBudget }

// Difference lists all differences between two catalogues.
type Difference struct {
	OldRevision uint64   `json:"oldRevision"`
	NewRevision uint64   `json:"newRevision"`
	Changes     []Change `json:"changes"`
	// Organisations lists the organisations with changes, sorted by name.
	Organisations []OrganisationChanges `json:"organisations"`
}

// Diff compares two catalogues. Changes are sorted by kind of entry, in the order of the fields of Catalogue with failure
// domains after regions, then by name.
func Diff(older, newer *Catalogue) Difference {
	d := Difference{OldRevision: older.Revision, NewRevision: newer.Revision}
	diffList(&d, "organisation", older.Organisations, newer.Organisations, func(o *Organisation) (string, string) { return o.Name, o.Name })
	oldRegions, oldDomains := splitRegions(older.Regions)
	newRegions, newDomains := splitRegions(newer.Regions)
	diffList(&d, "region", oldRegions, newRegions, func(r *regionName) (string, string) { return r.Name, "" })
	diffList(&d, "failure domain", oldDomains, newDomains, func(f *regionDomain) (string, string) { return f.Name, "" })
	diffList(&d, "link", older.Links, newer.Links, func(l *Link) (string, string) { return l.Between[0] + "/" + l.Between[1], "" })
	diffList(&d, "instance", older.Instances, newer.Instances, func(i *InstanceState) (string, string) { return i.Name, "" })
	diffList(&d, "service", older.Services, newer.Services, func(s *Service) (string, string) { return s.Name, s.Owner })
	diffList(&d, "route", older.Routes, newer.Routes, func(r *Route) (string, string) { return r.Name, r.Owner })
	d.countChangesByOwner(newer.Organisations)
	return d
}

// DiffDocuments is like Diff for two catalogue documents. It decodes only the entries that differ and the organisations, so
// that the cost depends mainly on the number of changes.
func DiffDocuments(older, newer *document.Document) (Difference, error) {
	before, after := &Catalogue{Revision: older.Revision()}, &Catalogue{Revision: newer.Revision()}
	err := forEachChangedKey(older, newer, func(key string) error {
		for _, target := range []struct {
			doc *document.Document
			cat *Catalogue
		}{{older, before}, {newer, after}} {
			value, ok := target.doc.Get(key)
			if !ok {
				continue
			}
			if err := target.cat.decodeEntry(document.Entry{Key: key, Value: value}); err != nil {
				return errors.Wrapf(err, "entry %q", key)
			}
		}
		return nil
	})
	if err != nil {
		return Difference{}, err
	}
	d := Diff(before, after)
	organisations, err := decodeOrganisations(newer)
	d.countChangesByOwner(organisations)
	return d, err
}

// forEachChangedKey calls f for each key whose value differs or that exists in only one of the documents. It stops at the first
// error of f and returns it.
func forEachChangedKey(older, newer *document.Document, f func(key string) error) error {
	delta := document.Diff(older, newer)
	keys := delta.Removed
	for _, e := range delta.Set {
		keys = append(keys, e.Key)
	}
	if delta.Full {
		// A full delta lists all keys of the newer document but none of the removed keys.
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

// decodeOrganisations decodes only the organisations of a document.
func decodeOrganisations(doc *document.Document) ([]Organisation, error) {
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

// regionName is a region without its failure domains, which are compared separately.
type regionName struct {
	Name string `json:"name"`
}

// regionDomain is a failure domain with its region.
type regionDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state"`
}

// splitRegions returns regions and failure domains as separate lists so that each failure domain is compared on its own.
func splitRegions(regions []Region) ([]regionName, []regionDomain) {
	var names []regionName
	var domains []regionDomain
	for _, r := range regions {
		names = append(names, regionName{r.Name})
		for _, f := range r.FailureDomains {
			domains = append(domains, regionDomain{Name: f.Name, Region: r.Name, State: f.State})
		}
	}
	return names, domains
}

// diffList appends the changes between two lists of items to d, sorted by name; identify returns the name and owner of an item.
func diffList[T any](d *Difference, entry string, older, newer []T, identify func(*T) (name, owner string)) {
	before := make(map[string]*T, len(older))
	for i := range older {
		name, _ := identify(&older[i])
		before[name] = &older[i]
	}
	var changes []Change
	for i := range newer {
		name, owner := identify(&newer[i])
		old, ok := before[name]
		delete(before, name)
		if !ok {
			changes = append(changes, Change{Kind: Added, Entry: entry, Name: name, Owner: owner})
			continue
		}
		if reflect.DeepEqual(old, &newer[i]) {
			continue
		}
		if fields := diffFields("", reflect.ValueOf(*old), reflect.ValueOf(newer[i])); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Entry: entry, Name: name, Owner: owner, Fields: fields})
		}
	}
	for name, old := range before {
		_, owner := identify(old)
		changes = append(changes, Change{Kind: Removed, Entry: entry, Name: name, Owner: owner})
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	d.Changes = append(d.Changes, changes...)
}

// diffFields returns the differences between two values of the same type. Structs are compared field by field.
func diffFields(path string, older, newer reflect.Value) []FieldChange {
	if older.Kind() != reflect.Struct {
		before, after := renderJSON(older), renderJSON(newer)
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

// renderJSON returns a value as JSON text; nil and empty lists give the same text.
func renderJSON(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// countChangesByOwner sets d.Organisations to the number of changes of each owner, with the budgets of the given organisations.
func (d *Difference) countChangesByOwner(organisations []Organisation) {
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
		d.Organisations = append(d.Organisations, OrganisationChanges{Organisation: name, Changes: n, DailyBudget: budgets[name]})
	}
	slices.SortFunc(d.Organisations, func(a, b OrganisationChanges) int { return cmp.Compare(a.Organisation, b.Organisation) })
}
