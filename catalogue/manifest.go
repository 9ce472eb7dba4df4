package catalogue

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// Bounds on what is published.
const (
	// MaxChunks is the largest number of chunks of a catalogue.
	MaxChunks = 4096
	// MaxChunkBytes is the largest packed chunk; it stays below the largest value of the platform.
	MaxChunkBytes = origin.MaxValueBytes * 3 / 4
	// MaxContentBytes is the largest sum of the chunks' content, before compression.
	MaxContentBytes = 64 << 20
	// chunkContentBytes is the content beyond which a chunk is split further, before compression.
	chunkContentBytes = 256 << 10
	// smallContentBytes is the content up to which a catalogue is one chunk, before compression.
	smallContentBytes = 64 << 10
)

// Typed errors of ParseManifest and Assemble.
var (
	// ErrManifest says that a manifest is damaged.
	ErrManifest = errors.New("manifest is damaged; publish it again with chervilwellctl render")
	// ErrIncomplete says that chunks named by the manifest are not there yet; wait for them, and apply nothing meanwhile.
	ErrIncomplete = errors.New("catalogue is incomplete; wait until all chunks are published")
	// ErrChunk says that a chunk does not hold what its digest names; nothing of the catalogue is applied.
	ErrChunk = errors.New("chunk does not match its digest; publish it again with chervilwellctl render")
)

// Manifest names one published catalogue: its version and the digests of its chunks in order.
// It is published after its chunks, so that a reader that sees it finds them.
type Manifest struct {
	Revision uint64            `json:"revision"`
	Digest   document.Digest   `json:"digest"`
	Chunks   []document.Digest `json:"chunks"`
}

// Chunk is one published part of a catalogue.
type Chunk struct {
	// Digest names the content of the chunk.
	Digest document.Digest
	// Data is the packed list of entries.
	Data []byte
}

// Key returns the key of the chunk on the platform.
func (c Chunk) Key() string { return origin.ChunkPrefix + c.Digest.String() }

// ManifestOf returns the manifest of a catalogue's document.
func ManifestOf(doc *document.Document) Manifest {
	return Manifest{Revision: doc.Revision(), Digest: doc.Digest(), Chunks: doc.ChunkDigests()}
}

// Version returns the version that the manifest names.
func (m Manifest) Version() document.Version {
	return document.Version{Revision: m.Revision, Digest: m.Digest}
}

// ParseManifest reads a manifest from the platform. Fields that it doesn't know are ignored, so that later versions may add
// some. It returns ErrManifest (wrapped) for a damaged one.
func ParseManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, errors.Wrap(ErrManifest, err.Error())
	}
	if n := len(m.Chunks); n == 0 || n > MaxChunks || n&(n-1) != 0 {
		return Manifest{}, errors.Wrapf(ErrManifest, "%d chunks are named, not a power of two up to %d", n, MaxChunks)
	}
	if m.Revision == 0 {
		return Manifest{}, errors.Wrap(ErrManifest, "revision is 0")
	}
	return m, nil
}

// Missing returns the digests of the chunks that base lacks, each once. A nil base has none.
func (m Manifest) Missing(base *document.Document) []document.Digest {
	held := chunksOf(base)
	var out []document.Digest
	for _, d := range m.Chunks {
		if _, ok := held[d]; !ok && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// chunksOf returns the chunks of a document by digest.
func chunksOf(doc *document.Document) map[document.Digest][]document.Entry {
	held := map[document.Digest][]document.Entry{}
	if doc == nil {
		return held
	}
	for i, d := range doc.ChunkDigests() {
		held[d] = doc.ChunkEntries(i)
	}
	return held
}

// Render checks a catalogue and returns what to publish: the chunks first, then the manifest.
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
			return Manifest{}, nil, errors.Errorf("chunk %s packs to %d bytes; shorten the largest entries to stay below %d", digest, len(data), MaxChunkBytes)
		}
		chunks = append(chunks, Chunk{Digest: digest, Data: data})
	}
	return m, chunks, nil
}

// Assemble returns the document that a manifest names, from chunks fetched and from those that base holds; base may be nil.
// It verifies every digest and returns ErrIncomplete, ErrChunk or ErrManifest (wrapped) rather than a part of the catalogue.
func Assemble(m Manifest, base *document.Document, chunks []Chunk) (*document.Document, error) {
	held := chunksOf(base)
	total := 0
	for _, c := range chunks {
		var entries []document.Entry
		if err := document.Unpack(c.Data, &entries); err != nil {
			return nil, errors.Wrapf(ErrChunk, "chunk %s: %v", c.Digest, err)
		}
		if total += contentBytes(entries); total > MaxContentBytes {
			return nil, errors.Wrapf(ErrChunk, "content exceeds %d bytes", MaxContentBytes)
		}
		held[c.Digest] = entries
	}
	var all []document.Entry
	for _, d := range m.Chunks {
		entries, ok := held[d]
		if !ok {
			return nil, errors.Wrapf(ErrIncomplete, "chunk %s", d)
		}
		all = append(all, entries...)
	}
	return verified(m, all)
}

// verified builds the document and compares it with its manifest, chunk by chunk.
func verified(m Manifest, entries []document.Entry) (*document.Document, error) {
	if n := len(m.Chunks); n > MaxChunks || n&(n-1) != 0 {
		return nil, errors.Wrapf(ErrManifest, "%d chunks are named", n)
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
		return nil, errors.Wrap(ErrManifest, "digest of the catalogue differs from that of its chunks")
	}
	return doc, nil
}

// Value is one value to publish on the platform.
type Value struct {
	Key  string
	Data []byte
}

// Publication returns the values to publish for a catalogue, in the order of publication: the chunks, then the manifest.
func Publication(c *Catalogue) ([]Value, error) {
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
		return nil, errors.Wrap(err, "encode the manifest")
	}
	return append(values, Value{Key: origin.ManifestKey, Data: data}), nil
}
