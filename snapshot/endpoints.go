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

// nameShards is the number of parts of the index by name. A change copies only the parts that it touches.
const nameShards = 64

// Endpoints are the instances known, indexed by service and by name. A nil or zero value knows none.
//
// Invariant: it is never changed after it was built; With shares what did not change.
type Endpoints struct {
	byService map[string][]origin.Instance
	// byName leads from the name of an instance to that of its service, whose instances are in order of name.
	byName [nameShards]map[string]string
	docs   map[string]*document.Document
	count  int
}

// CompileEndpoints indexes the instances of the given documents, one for each failure domain.
func CompileEndpoints(docs []*document.Document) (*Endpoints, error) {
	return (*Endpoints)(nil).With(docs...)
}

// EncodeInstances returns the platform's list of a failure domain as a document.
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

// DecodeInstance returns the instance that an entry of a list holds. Strings that many instances share are kept once.
func DecodeInstance(entry document.Entry) (origin.Instance, error) {
	var inst origin.Instance
	if err := document.Unmarshal(entry.Value, &inst); err != nil {
		return origin.Instance{}, errors.Wrapf(err, "entry %q", entry.Key)
	}
	if inst.Name != entry.Key {
		return origin.Instance{}, errors.Errorf("entry %q names instance %q; correct the list", entry.Key, inst.Name)
	}
	inst.Name = entry.Key
	inst.FailureDomain = unique.Make(inst.FailureDomain).Value()
	inst.Service = unique.Make(inst.Service).Value()
	inst.State = unique.Make(inst.State).Value()
	return inst, nil
}

// With returns the instances with the given documents added or replaced. The work is in proportion to what differs from the
// documents of the same names that e was built from.
func (e *Endpoints) With(docs ...*document.Document) (*Endpoints, error) {
	if e == nil {
		e = &Endpoints{}
	}
	b := newBuilder(e)
	for _, doc := range docs {
		if err := b.replace(doc); err != nil {
			return nil, err
		}
	}
	return b.finish(), nil
}

// builder makes one set of instances from another and copies only what it changes.
type builder struct {
	next     *Endpoints
	services map[string]bool
	shards   [nameShards]bool
}

func newBuilder(e *Endpoints) *builder {
	next := *e
	next.byService = maps.Clone(e.byService)
	next.docs = maps.Clone(e.docs)
	if next.byService == nil {
		next.byService = map[string][]origin.Instance{}
	}
	if next.docs == nil {
		next.docs = map[string]*document.Document{}
	}
	return &builder{next: &next, services: map[string]bool{}}
}

func (b *builder) replace(doc *document.Document) error {
	delta := document.Diff(b.next.docs[doc.Name()], doc)
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
	b.next.docs[doc.Name()] = doc
	return nil
}

// find returns an instance while the services that changed are not in order yet.
func (b *builder) find(name string) (origin.Instance, bool) {
	service, ok := b.next.byName[shardOf(name)][name]
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

func (b *builder) add(inst origin.Instance) {
	if old, ok := b.find(inst.Name); ok {
		b.remove(old)
	}
	b.own(inst)
	b.next.byService[inst.Service] = append(b.next.byService[inst.Service], inst)
	b.next.byName[shardOf(inst.Name)][inst.Name] = inst.Service
	b.next.count++
}

func (b *builder) remove(inst origin.Instance) {
	b.own(inst)
	list := b.next.byService[inst.Service]
	list = slices.DeleteFunc(list, func(i origin.Instance) bool { return i.Name == inst.Name })
	b.next.byService[inst.Service] = list
	if len(list) == 0 {
		delete(b.next.byService, inst.Service)
	}
	delete(b.next.byName[shardOf(inst.Name)], inst.Name)
	b.next.count--
}

// own copies what a change of inst touches, once.
func (b *builder) own(inst origin.Instance) {
	if !b.services[inst.Service] {
		b.services[inst.Service] = true
		b.next.byService[inst.Service] = slices.Clone(b.next.byService[inst.Service])
	}
	shard := shardOf(inst.Name)
	if !b.shards[shard] {
		b.shards[shard] = true
		b.next.byName[shard] = maps.Clone(b.next.byName[shard])
		if b.next.byName[shard] == nil {
			b.next.byName[shard] = map[string]string{}
		}
	}
}

// finish orders the services that changed by name of instance, so that equal contents give equal orders.
func (b *builder) finish() *Endpoints {
	for service := range b.services {
		slices.SortFunc(b.next.byService[service], func(x, y origin.Instance) int { return cmp.Compare(x.Name, y.Name) })
	}
	return b.next
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % nameShards) }

// ForService returns the instances of a service, in order of name. The caller must not change the slice.
func (e *Endpoints) ForService(name string) []origin.Instance {
	if e == nil {
		return nil
	}
	return e.byService[name]
}

// Instance returns an instance by name.
func (e *Endpoints) Instance(name string) (origin.Instance, bool) {
	if e == nil {
		return origin.Instance{}, false
	}
	service, ok := e.byName[shardOf(name)][name]
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

// All calls yield for each instance, in order of service and name, until yield returns false.
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

// Versions returns the versions of the lists that the instances come from, by document name.
func (e *Endpoints) Versions() map[string]document.Version {
	out := map[string]document.Version{}
	if e != nil {
		for name, doc := range e.docs {
			out[name] = doc.Version()
		}
	}
	return out
}

// Len returns the number of instances known.
func (e *Endpoints) Len() int {
	if e == nil {
		return 0
	}
	return e.count
}
