package distribution

import (
	"slices"
	"strings"

	"github.com/chervilwell/chervilwell/document"
)

// maxPacked bounds the packed deltas kept for a document.
const maxPacked = 6

// held is one document with its recent past.
type held struct {
	current *document.Document
	version DocumentVersion
	past    []*document.Document
	packed  []packedDelta
}

// packedDelta is an encoded delta from a base to the current version; a zero base stands for a full one.
type packedDelta struct {
	base DocumentVersion
	data []byte
}

// store holds the documents of one process.
//
// Invariant: the revision of a document never falls and never changes its digest.
type store struct {
	docs     map[string]*held
	versions []DocumentVersion // sorted by name
	vector   uint64
	history  int
}

func newStore(history int) *store {
	return &store{docs: map[string]*held{}, history: history, vector: vectorOf(nil)}
}

func (s *store) get(name string) *document.Document {
	if h := s.docs[name]; h != nil {
		return h.current
	}
	return nil
}

// version returns the compact version held of a document; its revision is 0 if none is held.
func (s *store) version(name string) DocumentVersion {
	if h := s.docs[name]; h != nil {
		return h.version
	}
	return DocumentVersion{Name: name}
}

// put replaces the current version of a document. The caller has checked that it follows.
func (s *store) put(doc *document.Document) {
	h := s.docs[doc.Name()]
	if h == nil {
		h = &held{}
		s.docs[doc.Name()] = h
	}
	if h.current != nil {
		h.past = append(h.past, h.current)
		if len(h.past) > s.history {
			h.past = slices.Delete(h.past, 0, 1)
		}
	}
	h.current, h.version, h.packed = doc, versionOf(doc), nil
	i, found := slices.BinarySearchFunc(s.versions, doc.Name(), func(v DocumentVersion, name string) int { return strings.Compare(v.Name, name) })
	if !found {
		s.versions = slices.Insert(s.versions, i, DocumentVersion{})
	}
	s.versions[i] = h.version
	s.vector = vectorOf(s.versions)
}

// base returns the version of a document that v names if it is held still, or nil.
func (s *store) base(v DocumentVersion) *document.Document {
	h := s.docs[v.Name]
	if h == nil || v.Revision == 0 {
		return nil
	}
	if h.version == v {
		return h.current
	}
	for _, d := range h.past {
		if d.Revision() == v.Revision && versionOf(d) == v {
			return d
		}
	}
	return nil
}

// exact returns the version of a document with the given name and full version, or nil.
func (s *store) exact(name string, v document.Version) *document.Document {
	h := s.docs[name]
	if h == nil {
		return nil
	}
	if h.current.Version() == v {
		return h.current
	}
	for _, d := range h.past {
		if d.Version() == v {
			return d
		}
	}
	return nil
}

// delta returns the packed delta from base to the current version of a document, and whether it is a full one.
// It returns nil if the document is not held.
func (s *store) delta(base DocumentVersion) (data []byte, full bool, err error) {
	h := s.docs[base.Name]
	if h == nil {
		return nil, false, nil
	}
	from := s.base(base)
	if from == nil {
		base = DocumentVersion{Name: base.Name}
	}
	for _, p := range h.packed {
		if p.base == base {
			return p.data, from == nil, nil
		}
	}
	diff := document.Diff(from, h.current)
	diff.Base = document.Version{} // named beside the packed delta
	data, err = document.Pack(diff)
	if err != nil {
		return nil, false, err
	}
	if len(h.packed) == maxPacked {
		h.packed = slices.Delete(h.packed, 0, 1)
	}
	h.packed = append(h.packed, packedDelta{base, data})
	return data, from == nil, nil
}
