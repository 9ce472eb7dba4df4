package snapshot

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// nameShardCount is the number of shards of the index by name. An update copies only the shards that it changes.
const nameShardCount = 64

// Endpoints is the set of known instances, indexed by service and by name. A nil or zero value is an empty set.
//
// Invariant: Endpoints is immutable; sets that With derives from one another share the unchanged parts.
type Endpoints struct {
	// byService maps the name of a service to its instances, sorted by name.
	byService map[string][]origin.Instance
	// byName maps the name of an instance to the name of its service.
	byName [nameShardCount]map[string]string
	// documents holds, by name, the documents that the set was built from.
	documents map[string]*document.Document
	count     int
}

// CompileEndpoints returns the instances in the given documents, one document per failure domain.
func CompileEndpoints(docs []*document.Document) (*Endpoints, error) {
	return (*Endpoints)(nil).With(docs...)
}

// EncodeInstances returns the platform's instance list of a failure domain as a document. Its revision is the version of the
// list.
func EncodeInstances(list origin.InstanceList) (*document.Document, error) {
	entries := make([]document.Entry, 0, len(list.Instances))
	for _, inst := range list.Instances {
		data, err := document.Marshal(inst)
		if err != nil {
			return nil, errors.Wrapf(err, "instance %q", inst.Name)
		}
		entries = append(entries, document.Entry{Key: inst.Name, Value: data})
	}
	return document.New(origin.InstancesDocument(list.FailureDomain), list.Version, document.DefaultChunks, entries)
}

// DecodeInstance decodes an instance from a document entry. Failure domain, service and state are interned, since many
// instances share them.
func DecodeInstance(entry document.Entry) (origin.Instance, error) {
	var inst origin.Instance
	if err := document.Unmarshal(entry.Value, &inst); err != nil {
		return origin.Instance{}, errors.Wrapf(err, "entry %q", entry.Key)
	}
	if inst.Name != entry.Key {
		return origin.Instance{}, errors.Errorf("entry %q contains instance %q; correct the instance list", entry.Key, inst.Name)
	}
	inst.Name = entry.Key
	inst.FailureDomain = unique.Make(inst.FailureDomain).Value()
	inst.Service = unique.Make(inst.Service).Value()
	inst.State = unique.Make(inst.State).Value()
	return inst, nil
}

// With returns a new set with the given documents added or replaced; e may be nil and is not changed. The cost is proportional
// to the number of differences from the documents of the same names in e.
func (e *Endpoints) With(docs ...*document.Document) (*Endpoints, error) {
	if e == nil {
		e = &Endpoints{}
	}
	b := newEndpointsBuilder(e)
	for _, doc := range docs {
		if err := b.replace(doc); err != nil {
			return nil, err
		}
	}
	return b.finish(), nil
}

// endpointsBuilder derives a set of instances from another by copy-on-write. The instances of the services in copiedServices
// are unsorted until finish is called.
type endpointsBuilder struct {
	next           *Endpoints
	copiedServices map[string]bool
	copiedShards   [nameShardCount]bool
}

func newEndpointsBuilder(e *Endpoints) *endpointsBuilder {
	next := *e
	next.byService = maps.Clone(e.byService)
	next.documents = maps.Clone(e.documents)
	if next.byService == nil {
		next.byService = map[string][]origin.Instance{}
	}
	if next.documents == nil {
		next.documents = map[string]*document.Document{}
	}
	return &endpointsBuilder{next: &next, copiedServices: map[string]bool{}}
}

// replace applies the differences between doc and the previous document of the same name.
func (b *endpointsBuilder) replace(doc *document.Document) error {
	delta := document.Diff(b.next.documents[doc.Name()], doc)
	for _, name := range delta.Removed {
		if inst, ok := b.find(name); ok && origin.InstancesDocument(inst.FailureDomain) == doc.Name() {
			b.remove(inst)
		}
	}
	for _, entry := range delta.Set {
		inst, err := DecodeInstance(entry)
		if err != nil {
			return errors.Wrapf(err, "document %q", doc.Name())
		}
		b.add(inst)
	}
	b.next.documents[doc.Name()] = doc
	return nil
}

// find returns an instance by name. It scans the service's instances, since they may be unsorted during the build.
func (b *endpointsBuilder) find(name string) (origin.Instance, bool) {
	service, ok := b.next.byName[nameShard(name)][name]
	if !ok {
		return origin.Instance{}, false
	}
	list := b.next.byService[service]
	i := slices.IndexFunc(list, func(inst origin.Instance) bool { return inst.Name == name })
	if i < 0 {
		return origin.Instance{}, false
	}
	return list[i], true
}

func (b *endpointsBuilder) add(inst origin.Instance) {
	if old, ok := b.find(inst.Name); ok {
		b.remove(old)
	}
	b.copyForWrite(inst)
	b.next.byService[inst.Service] = append(b.next.byService[inst.Service], inst)
	b.next.byName[nameShard(inst.Name)][inst.Name] = inst.Service
	b.next.count++
}

func (b *endpointsBuilder) remove(inst origin.Instance) {
	b.copyForWrite(inst)
	list := b.next.byService[inst.Service]
	list = slices.DeleteFunc(list, func(i origin.Instance) bool { return i.Name == inst.Name })
	b.next.byService[inst.Service] = list
	if len(list) == 0 {
		delete(b.next.byService, inst.Service)
	}
	delete(b.next.byName[nameShard(inst.Name)], inst.Name)
	b.next.count--
}

// copyForWrite copies the parts of the index that a change of inst modifies, unless they are copied already.
func (b *endpointsBuilder) copyForWrite(inst origin.Instance) {
	if !b.copiedServices[inst.Service] {
		b.copiedServices[inst.Service] = true
		b.next.byService[inst.Service] = slices.Clone(b.next.byService[inst.Service])
	}
	shard := nameShard(inst.Name)
	if !b.copiedShards[shard] {
		b.copiedShards[shard] = true
		b.next.byName[shard] = maps.Clone(b.next.byName[shard])
		if b.next.byName[shard] == nil {
			b.next.byName[shard] = map[string]string{}
		}
	}
}

// finish sorts the instances of each changed service by name, so that the order depends only on the content, and returns the
// set.
func (b *endpointsBuilder) finish() *Endpoints {
	for service := range b.copiedServices {
		slices.SortFunc(b.next.byService[service], func(x, y origin.Instance) int { return cmp.Compare(x.Name, y.Name) })
	}
	return b.next
}

func nameShard(name string) int { return int(xxhash.Sum64String(name) % nameShardCount) }

// ForService returns the instances of a service, sorted by name. The caller must not change the slice.
func (e *Endpoints) ForService(name string) []origin.Instance {
	if e == nil {
		return nil
	}
	return e.byService[name]
}

// Instance returns an instance by name and whether it is known.
func (e *Endpoints) Instance(name string) (origin.Instance, bool) {
	if e == nil {
		return origin.Instance{}, false
	}
	service, ok := e.byName[nameShard(name)][name]
	if !ok {
		return origin.Instance{}, false
	}
	list := e.byService[service]
	i, ok := slices.BinarySearchFunc(list, name, func(inst origin.Instance, name string) int { return strings.Compare(inst.Name, name) })
	if !ok {
		return origin.Instance{}, false
	}
	return list[i], true
}

// All calls yield for each instance, sorted by service and name, until yield returns false.
func (e *Endpoints) All(yield func(origin.Instance) bool) {
	if e == nil {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(e.byService)) {
		for _, inst := range e.byService[service] {
			if !yield(inst) {
				return
			}
		}
	}
}

// Versions returns the versions of the documents that the set was built from, by document name.
func (e *Endpoints) Versions() map[string]document.Version {
	out := map[string]document.Version{}
	if e != nil {
		for name, doc := range e.documents {
			out[name] = doc.Version()
		}
	}
	return out
}

// Len returns the number of known instances.
func (e *Endpoints) Len() int {
	if e == nil {
		return 0
	}
	return e.count
}
