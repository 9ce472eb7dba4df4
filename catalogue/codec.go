package catalogue

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
)

// Prefixes of the keys of a catalogue's document; the name of the entry follows.
const (
	organisationPrefix = "organisation/"
	regionPrefix       = "region/"
	linkPrefix         = "link/"
	instancePrefix     = "instance/"
	servicePrefix      = "service/"
	routePrefix        = "route/"
)

// Encode returns the catalogue as a document: one entry for each named item.
func Encode(c *Catalogue) (*document.Document, error) {
	var e encoder
	for _, v := range c.Organisations {
		e.add(organisationPrefix+v.Name, v)
	}
	for _, v := range c.Regions {
		e.add(regionPrefix+v.Name, v)
	}
	for _, v := range c.Links {
		e.add(linkPrefix+v.Between[0]+"/"+v.Between[1], v)
	}
	for _, v := range c.Instances {
		e.add(instancePrefix+v.Name, v)
	}
	for _, v := range c.Services {
		e.add(servicePrefix+v.Name, v)
	}
	for _, v := range c.Routes {
		e.add(routePrefix+v.Name, v)
	}
	if e.err != nil {
		return nil, e.err
	}
	return newDocument(c.Revision, e.entries)
}

// chunkCountStep is the factor between the numbers of chunks tried. A catalogue whose size crosses a threshold is sent
// whole once, since deltas need equal numbers of chunks; a wide step makes that rare.
const chunkCountStep = 4

// newDocument picks the number of chunks. A small catalogue is one chunk, since a process that starts without peers needs a
// read of the platform for each; a larger one has the smallest number that keeps each below chunkContentBytes. The choice
// depends on the content alone.
func newDocument(revision uint64, entries []document.Entry) (*document.Document, error) {
	if contentBytes(entries) <= smallContentBytes {
		return document.New(DocumentName, revision, 1, entries)
	}
	for n := document.DefaultChunks; ; n *= chunkCountStep {
		doc, err := document.New(DocumentName, revision, n, entries)
		if err != nil || n >= MaxChunks || largestChunk(doc) <= chunkContentBytes {
			return doc, err
		}
	}
}

// largestChunk returns the content of the largest chunk in bytes.
func largestChunk(doc *document.Document) int {
	largest := 0
	for i := range doc.Chunks() {
		largest = max(largest, contentBytes(doc.ChunkEntries(i)))
	}
	return largest
}

// contentBytes returns the size of keys and values.
func contentBytes(entries []document.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	return size
}

type encoder struct {
	entries []document.Entry
	err     error
}

func (e *encoder) add(key string, v any) {
	data, err := document.Marshal(v)
	if err != nil && e.err == nil {
		e.err = errors.Wrapf(err, "entry %q", key)
	}
	e.entries = append(e.entries, document.Entry{Key: key, Value: data})
}

// Decode returns the catalogue that a document holds. Items are ordered by chunk and key.
// It does not check references; see Check.
func Decode(doc *document.Document) (*Catalogue, error) { return new(Decoder).Decode(doc) }

// Decoder decodes successive versions of a catalogue and decodes again only the chunks that changed. The catalogues share
// what did not change, so none of them may be changed. A Decoder is not safe for concurrent use. The zero value is ready.
type Decoder struct {
	// parts holds the chunks of the document decoded last.
	parts map[document.Digest]*Catalogue
}

// Decode does what the function of the same name does.
func (d *Decoder) Decode(doc *document.Document) (*Catalogue, error) {
	c := &Catalogue{Revision: doc.Revision()}
	parts := make(map[document.Digest]*Catalogue, doc.Chunks())
	for i, digest := range doc.ChunkDigests() {
		part := d.parts[digest]
		if part == nil {
			part = &Catalogue{}
			if err := part.decodeEntries(doc.ChunkEntries(i)); err != nil {
				return nil, err
			}
		}
		parts[digest] = part
	}
	ordered := make([]*Catalogue, doc.Chunks())
	for i, digest := range doc.ChunkDigests() {
		ordered[i] = parts[digest]
	}
	c.Organisations = concat(ordered, func(p *Catalogue) []Organisation { return p.Organisations })
	c.Regions = concat(ordered, func(p *Catalogue) []Region { return p.Regions })
	c.Links = concat(ordered, func(p *Catalogue) []Link { return p.Links })
	c.Instances = concat(ordered, func(p *Catalogue) []InstanceState { return p.Instances })
	c.Services = concat(ordered, func(p *Catalogue) []Service { return p.Services })
	c.Routes = concat(ordered, func(p *Catalogue) []Route { return p.Routes })
	d.parts = parts
	return c, nil
}

func (c *Catalogue) decodeEntries(entries []document.Entry) error {
	for _, e := range entries {
		if err := c.decodeEntry(e); err != nil {
			return errors.Wrapf(err, "entry %q", e.Key)
		}
	}
	return nil
}

// concat joins one list of all parts.
func concat[T any](parts []*Catalogue, list func(*Catalogue) []T) []T {
	lists := make([][]T, len(parts))
	for i, p := range parts {
		lists[i] = list(p)
	}
	return slices.Concat(lists...)
}

// decodeEntry appends the item of an entry. The key must be the one that Encode gives the item, so that no two entries of a
// document bear one name.
func (c *Catalogue) decodeEntry(e document.Entry) error {
	kind, name, ok := strings.Cut(e.Key, "/")
	if !ok {
		return errors.New("key has no kind; publish the catalogue with chervilwellctl render")
	}
	switch kind + "/" {
	case organisationPrefix:
		return decodeInto(e.Value, name, &c.Organisations, func(o *Organisation) string { return o.Name })
	case regionPrefix:
		return decodeInto(e.Value, name, &c.Regions, func(r *Region) string { return r.Name })
	case linkPrefix:
		return decodeInto(e.Value, name, &c.Links, func(l *Link) string { return l.Between[0] + "/" + l.Between[1] })
	case instancePrefix:
		return decodeInto(e.Value, name, &c.Instances, func(i *InstanceState) string { return i.Name })
	case servicePrefix:
		return decodeInto(e.Value, name, &c.Services, func(s *Service) string { return s.Name })
	case routePrefix:
		return decodeInto(e.Value, name, &c.Routes, func(r *Route) string { return r.Name })
	}
	return errors.Errorf("kind %q is unknown; update this process or publish with a matching chervilwellctl", kind)
}

func decodeInto[T any](data []byte, name string, list *[]T, nameOf func(*T) string) error {
	var v T
	if err := document.Unmarshal(data, &v); err != nil {
		return err
	}
	if nameOf(&v) != name {
		return errors.Errorf("entry holds %q; publish the catalogue with chervilwellctl render", nameOf(&v))
	}
	*list = append(*list, v)
	return nil
}
