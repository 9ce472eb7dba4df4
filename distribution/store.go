package distribution

import (
	"slices"
	"strings"

	"github.com/chervilwell/chervilwell/document"
)

// maxPacked is the maximum number of packed deltas cached for a document.
const maxPacked = 6

// storedDocument is one document with its previous versions.
type storedDocument struct {
	current  *document.Document
	version  DocumentVersion
	previous []*document.Document
	packed   []packedDelta
}

// packedDelta is an encoded delta from base to the current version; a zero revision of base means a full delta.
type packedDelta struct {
	base DocumentVersion
	data []byte
}

// store holds the documents of one process.
//
// Invariant: the revision of a document never decreases, and the digest of a revision never changes.
type store struct {
	docs         map[string]*storedDocument
	versions     []DocumentVersion // sorted by name
	versionsHash uint64
	history      int
}

func newStore(history int) *store {
	return &store{docs: map[string]*storedDocument{}, history: history, versionsHash: hashVersions(nil)}
}

func (s *store) get(name string) *document.Document {
	if entry := s.docs[name]; entry != nil {
		return entry.current
	}
	return nil
}

// version returns the compact version of a stored document; its revision is 0 if the document is not stored.
func (s *store) version(name string) DocumentVersion {
	if entry := s.docs[name]; entry != nil {
		return entry.version
	}
	return DocumentVersion{Name: name}
}

// put replaces the current version of a document. The caller must have checked that doc supersedes it.
func (s *store) put(doc *document.Document) {
	entry := s.docs[doc.Name()]
	if entry == nil {
		entry = &storedDocument{}
		s.docs[doc.Name()] = entry
	}
	if entry.current != nil {
		entry.previous = append(entry.previous, entry.current)
		if len(entry.previous) > s.history {
			entry.previous = slices.Delete(entry.previous, 0, 1)
		}
	}
	entry.current, entry.version, entry.packed = doc, versionOf(doc), nil
	i, found := slices.BinarySearchFunc(s.versions, doc.Name(), func(v DocumentVersion, name string) int { return strings.Compare(v.Name, name) })
	if !found {
		s.versions = slices.Insert(s.versions, i, DocumentVersion{})
	}
	s.versions[i] = entry.version
	s.versionsHash = hashVersions(s.versions)
}

// base returns the version of a document that v identifies, or nil if it is not stored or no longer kept.
func (s *store) base(v DocumentVersion) *document.Document {
	entry := s.docs[v.Name]
	if entry == nil || v.Revision == 0 {
		return nil
	}
	if entry.version == v {
		return entry.current
	}
	for _, d := range entry.previous {
		if d.Revision() == v.Revision && versionOf(d) == v {
			return d
		}
	}
	return nil
}

// exact returns the version v of the named document, or nil if it is not stored or no longer kept.
func (s *store) exact(name string, v document.Version) *document.Document {
	entry := s.docs[name]
	if entry == nil {
		return nil
	}
	if entry.current.Version() == v {
		return entry.current
	}
	for _, d := range entry.previous {
		if d.Version() == v {
			return d
		}
	}
	return nil
}

// delta returns the packed delta from base to the current version of a document, and whether it is a full delta. It
// returns nil data if the document is not stored.
func (s *store) delta(base DocumentVersion) (data []byte, full bool, err error) {
	entry := s.docs[base.Name]
	if entry == nil {
		return nil, false, nil
	}
	from := s.base(base)
	if from == nil {
		base = DocumentVersion{Name: base.Name}
	}
	for _, cached := range entry.packed {
		if cached.base == base {
			return cached.data, from == nil, nil
		}
	}
	diff := document.Diff(from, entry.current)
	diff.Base = document.Version{} // sent beside the packed delta; see Delta
	data, err = document.Pack(diff)
	if err != nil {
		return nil, false, err
	}
	if len(entry.packed) == maxPacked {
		entry.packed = slices.Delete(entry.packed, 0, 1)
	}
	entry.packed = append(entry.packed, packedDelta{base, data})
	return data, from == nil, nil
}
