package catalogue

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// Limits on published catalogues.
const (
	// MaxChunks is the maximum number of chunks of a catalogue.
	MaxChunks = 4096
	// MaxChunkBytes is the maximum compressed size of a chunk in bytes. It is below the maximum size of a value in the store.
	MaxChunkBytes = origin.MaxValueBytes * 3 / 4
	// MaxContentBytes is the maximum total content of the fetched chunks in bytes, before compression.
	MaxContentBytes = 64 << 20
	// chunkContentBytes is the size in bytes, before compression, above which chunks are split further.
	chunkContentBytes = 256 << 10
	// smallContentBytes is the size in bytes, before compression, up to which a catalogue has a single chunk.
	smallContentBytes = 64 << 10
)

// Errors returned by ParseManifest and Assemble.
var (
	// ErrManifest is returned if a manifest is damaged.
	ErrManifest = errors.New("manifest is damaged; publish it again with chervilwellctl render")
	// ErrIncomplete is returned if chunks of the manifest are not published yet. The caller should wait for them and keep the
	// catalogue in force.
	ErrIncomplete = errors.New("catalogue is incomplete; wait until all chunks are published")
	// ErrChunk is returned if a chunk can't be decoded or its content does not match its digest. No part of the catalogue is
	// applied.
	ErrChunk = errors.New("chunk does not match its digest; publish it again with chervilwellctl render")
)

// Manifest describes a published catalogue: its version and the digests of its chunks in order.
// It is published after its chunks so that a reader of the manifest finds them.
type Manifest struct {
	Revision uint64            `json:"revision"`
	Digest   document.Digest   `json:"digest"`
	Chunks   []document.Digest `json:"chunks"`
}

// Chunk is one published chunk of a catalogue.
type Chunk struct {
	// Digest is the digest of the entries, which identifies the chunk.
	Digest document.Digest
	// Data is the list of entries, packed by document.Pack.
	Data []byte
}

// Key returns the key of the chunk in the store.
func (c Chunk) Key() string { return origin.ChunkPrefix + c.Digest.String() }

// ManifestOf returns the manifest of a catalogue document.
func ManifestOf(doc *document.Document) Manifest {
	return Manifest{Revision: doc.Revision(), Digest: doc.Digest(), Chunks: doc.ChunkDigests()}
}

// Version returns the version of the catalogue.
func (m Manifest) Version() document.Version {
	return document.Version{Revision: m.Revision, Digest: m.Digest}
}

// ParseManifest decodes a manifest read from the store. It ignores unknown fields so that later versions can add fields.
// It returns ErrManifest (wrapped) if the manifest is damaged.
func ParseManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, errors.Wrap(ErrManifest, err.Error())
	}
	if n := len(m.Chunks); n == 0 || n > MaxChunks || n&(n-1) != 0 {
		return Manifest{}, errors.Wrapf(ErrManifest, "number of chunks is %d, not a power of two up to %d", n, MaxChunks)
	}
	if m.Revision == 0 {
		return Manifest{}, errors.Wrap(ErrManifest, "revision is 0")
	}
	return m, nil
}

// Missing returns the distinct digests of the chunks that base does not contain. A nil base contains none.
func (m Manifest) Missing(base *document.Document) []document.Digest {
	available := chunkEntriesByDigest(base)
	var out []document.Digest
	for _, d := range m.Chunks {
		if _, ok := available[d]; !ok && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// chunkEntriesByDigest returns the entries of each chunk of a document by digest. The document may be nil.
func chunkEntriesByDigest(doc *document.Document) map[document.Digest][]document.Entry {
	entries := map[document.Digest][]document.Entry{}
	if doc == nil {
		return entries
	}
	for i, d := range doc.ChunkDigests() {
		entries[d] = doc.ChunkEntries(i)
	}
	return entries
}

// Render checks a catalogue and returns its manifest and its distinct chunks. The chunks must be published before the manifest.
func Render(c *Catalogue) (Manifest, []Chunk, error) {
	if err := Check(c); err != nil {
		return Manifest{}, nil, err
	}
	doc, err := Encode(c)
	if err != nil {
		return Manifest{}, nil, err
	}
	m := ManifestOf(doc)
	var chunks []Chunk
	for i, digest := range m.Chunks {
		if slices.Contains(m.Chunks[:i], digest) {
			continue
		}
		data, err := document.Pack(doc.ChunkEntries(i))
		if err != nil {
			return Manifest{}, nil, err
		}
		if len(data) > MaxChunkBytes {
			return Manifest{}, nil, errors.Errorf("chunk %s is %d bytes compressed; shorten the largest entries until it is at most %d", digest, len(data), MaxChunkBytes)
		}
		chunks = append(chunks, Chunk{Digest: digest, Data: data})
	}
	return m, chunks, nil
}

// Assemble returns the document that a manifest describes, built from the fetched chunks and those of base, which may be nil.
// It verifies all digests. If chunks are missing or damaged it returns ErrIncomplete, ErrChunk or ErrManifest (wrapped) and never
// a partial catalogue.
func Assemble(m Manifest, base *document.Document, chunks []Chunk) (*document.Document, error) {
	available := chunkEntriesByDigest(base)
	totalBytes := 0
	for _, c := range chunks {
		var entries []document.Entry
		if err := document.Unpack(c.Data, &entries); err != nil {
			return nil, errors.Wrapf(ErrChunk, "chunk %s: %v", c.Digest, err)
		}
		if totalBytes += contentBytes(entries); totalBytes > MaxContentBytes {
			return nil, errors.Wrapf(ErrChunk, "content of the chunks exceeds %d bytes", MaxContentBytes)
		}
		available[c.Digest] = entries
	}
	var all []document.Entry
	for _, d := range m.Chunks {
		entries, ok := available[d]
		if !ok {
			return nil, errors.Wrapf(ErrIncomplete, "chunk %s", d)
		}
		all = append(all, entries...)
	}
	return buildVerified(m, all)
}

// buildVerified builds the document and compares the digests of all chunks and of the document with the manifest.
func buildVerified(m Manifest, entries []document.Entry) (*document.Document, error) {
	if n := len(m.Chunks); n > MaxChunks || n&(n-1) != 0 {
		return nil, errors.Wrapf(ErrManifest, "number of chunks is %d", n)
	}
	doc, err := document.New(DocumentName, m.Revision, len(m.Chunks), entries)
	if err != nil {
		return nil, errors.Wrap(ErrChunk, err.Error())
	}
	for i, d := range doc.ChunkDigests() {
		if d != m.Chunks[i] {
			return nil, errors.Wrapf(ErrChunk, "chunk %s", m.Chunks[i])
		}
	}
	if doc.Digest() != m.Digest {
		return nil, errors.Wrap(ErrManifest, "digest of the catalogue does not match its chunks")
	}
	return doc, nil
}

// Value is one key/value pair to write to the store.
type Value struct {
	Key  string
	Data []byte
}

// RenderValues checks a catalogue and returns the values to write to the store, in this order: first the chunks, then the manifest.
func RenderValues(c *Catalogue) ([]Value, error) {
	m, chunks, err := Render(c)
	if err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(chunks)+1)
	for _, chunk := range chunks {
		values = append(values, Value{Key: chunk.Key(), Data: chunk.Data})
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	return append(values, Value{Key: origin.ManifestKey, Data: data}), nil
}
