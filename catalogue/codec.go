package catalogue

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
)

// Key prefixes of the entries in a catalogue document. Each is followed by the name of the item.
const (
	organisationPrefix = "organisation/"
	regionPrefix       = "region/"
	linkPrefix         = "link/"
	instancePrefix     = "instance/"
	servicePrefix      = "service/"
	routePrefix        = "route/"
)

// Encode returns the catalogue as a document with one entry per item.
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

// chunkCountFactor is the factor between successive numbers of chunks. When a catalogue outgrows a number of chunks it is sent in
// full once, since a delta needs the same number of chunks on both sides; a large factor makes that rare.
const chunkCountFactor = 4

// newDocument returns the catalogue document. A catalogue of up to smallContentBytes has one chunk, since a process that starts
// without peers reads each chunk from the store separately. A larger one has the smallest number of chunks, up to
// MaxChunks, of which none exceeds chunkContentBytes. The number depends only on the content.
func newDocument(revision uint64, entries []document.Entry) (*document.Document, error) {
	if contentBytes(entries) <= smallContentBytes {
		return document.New(DocumentName, revision, 1, entries)
	}
	for n := document.DefaultChunks; ; n *= chunkCountFactor {
		doc, err := document.New(DocumentName, revision, n, entries)
		if err != nil || n >= MaxChunks || largestChunk(doc) <= chunkContentBytes {
			return doc, err
		}
	}
}

// largestChunk returns the size in bytes, before compression, of the largest chunk.
func largestChunk(doc *document.Document) int {
	largest := 0
	for i := range doc.Chunks() {
		largest = max(largest, contentBytes(doc.ChunkEntries(i)))
	}
	return largest
}

// contentBytes returns the total size of keys and values in bytes.
func contentBytes(entries []document.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	return size
}

// encoder collects document entries and the first error.
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

// Decode returns the catalogue that a document contains. Items are sorted by chunk and key.
// It does not check the catalogue; see Check.
func Decode(doc *document.Document) (*Catalogue, error) { return new(Decoder).Decode(doc) }

// Decoder decodes successive versions of a catalogue. It decodes only the chunks that changed since the last version, and the
// returned catalogues share the others, so callers must not change them. A Decoder is not safe for concurrent use.
// The zero value is ready to use.
type Decoder struct {
	// chunks holds the decoded chunks of the last document, by digest.
	chunks map[document.Digest]*Catalogue
}

// Decode is like the function Decode. After an error the decoder can still be used.
func (d *Decoder) Decode(doc *document.Document) (*Catalogue, error) {
	c := &Catalogue{Revision: doc.Revision()}
	chunks := make(map[document.Digest]*Catalogue, doc.Chunks())
	for i, digest := range doc.ChunkDigests() {
		chunk := d.chunks[digest]
		if chunk == nil {
			chunk = &Catalogue{}
			if err := chunk.decodeEntries(doc.ChunkEntries(i)); err != nil {
				return nil, err
			}
		}
		chunks[digest] = chunk
	}
	ordered := make([]*Catalogue, doc.Chunks())
	for i, digest := range doc.ChunkDigests() {
		ordered[i] = chunks[digest]
	}
	c.Organisations = concatLists(ordered, func(p *Catalogue) []Organisation { return p.Organisations })
	c.Regions = concatLists(ordered, func(p *Catalogue) []Region { return p.Regions })
	c.Links = concatLists(ordered, func(p *Catalogue) []Link { return p.Links })
	c.Instances = concatLists(ordered, func(p *Catalogue) []InstanceState { return p.Instances })
	c.Services = concatLists(ordered, func(p *Catalogue) []Service { return p.Services })
	c.Routes = concatLists(ordered, func(p *Catalogue) []Route { return p.Routes })
	d.chunks = chunks
	return c, nil
}

// decodeEntries appends the items of the entries to the lists of c.
func (c *Catalogue) decodeEntries(entries []document.Entry) error {
	for _, e := range entries {
		if err := c.decodeEntry(e); err != nil {
			return errors.Wrapf(err, "entry %q", e.Key)
		}
	}
	return nil
}

// concatLists concatenates one of the lists of all parts.
func concatLists[T any](parts []*Catalogue, list func(*Catalogue) []T) []T {
	lists := make([][]T, len(parts))
	for i, p := range parts {
		lists[i] = list(p)
	}
	return slices.Concat(lists...)
}

// decodeEntry appends the item of an entry to its list in c. It returns an error if the key is not the one that Encode uses for
// the item, so that two entries of a document never have the same name.
func (c *Catalogue) decodeEntry(e document.Entry) error {
	kind, name, ok := strings.Cut(e.Key, "/")
	if !ok {
		return errors.New("key has no kind prefix; publish the catalogue with chervilwellctl render")
	}
	switch kind + "/" {
	case organisationPrefix:
		return decodeItem(e.Value, name, &c.Organisations, func(o *Organisation) string { return o.Name })
	case regionPrefix:
		return decodeItem(e.Value, name, &c.Regions, func(r *Region) string { return r.Name })
	case linkPrefix:
		return decodeItem(e.Value, name, &c.Links, func(l *Link) string { return l.Between[0] + "/" + l.Between[1] })
	case instancePrefix:
		return decodeItem(e.Value, name, &c.Instances, func(i *InstanceState) string { return i.Name })
	case servicePrefix:
		return decodeItem(e.Value, name, &c.Services, func(s *Service) string { return s.Name })
	case routePrefix:
		return decodeItem(e.Value, name, &c.Routes, func(r *Route) string { return r.Name })
	}
	return errors.Errorf("kind %q is unknown; upgrade this process or publish with a chervilwellctl of its version", kind)
}

// decodeItem decodes an item, checks that it has the given name and appends it to list.
func decodeItem[T any](data []byte, name string, list *[]T, itemName func(*T) string) error {
	var v T
	if err := document.Unmarshal(data, &v); err != nil {
		return err
	}
	if itemName(&v) != name {
		return errors.Errorf("entry contains item %q; publish the catalogue with chervilwellctl render", itemName(&v))
	}
	*list = append(*list, v)
	return nil
}
