// Package document implements named, versioned, immutable sets of key/value entries and the deltas between them.
//
// A Document is the unit of distribution: the catalogue is one document, and the list of instances of each failure domain is
// another. The entries are divided into chunks by the hash of the key. A chunk is identified by the SHA-256 digest of its
// content, and the content of a document by the digest over its name and the digests of its chunks. Applying a delta copies
// only the chunks with changes, so memory and hashing cost is proportional to the number of changed chunks, not to the size of
// the document.
//
// Invariants: a Document is immutable; documents with equal Name, Revision and Digest have equal content.
package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a digest of 64 hexadecimal characters.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Errorf("digest has %d characters; give %d hexadecimal characters", len(text), 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "digest is not hexadecimal")
}

// Version identifies one state of a document by its revision and the digest of its content.
type Version struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Digest   Digest `cbor:"2,keyasint" json:"digest"`
}

// Entry is a key with its encoded value.
type Entry struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// DefaultChunks is the default number of chunks of a document. It must be a power of two.
const DefaultChunks = 16

// chunk is an immutable list of entries sorted by key.
type chunk struct {
	entries []Entry
	digest  Digest
}

// Document is an immutable set of entries with a name and a revision.
type Document struct {
	name    string
	version Version
	chunks  []*chunk
	count   int
}

// New returns a document with the given entries, which may be in any order. It returns an error if the number of chunks is
// not a power of two or if two entries have the same key.
func New(name string, revision uint64, chunks int, entries []Entry) (*Document, error) {
	if chunks <= 0 || chunks&(chunks-1) != 0 {
		return nil, errors.Errorf("document %q: %d chunks; use a power of two", name, chunks)
	}
	entriesByChunk := make([][]Entry, chunks)
	for _, e := range entries {
		i := chunkIndex(e.Key, chunks)
		entriesByChunk[i] = append(entriesByChunk[i], e)
	}
	d := &Document{name: name, chunks: make([]*chunk, chunks), count: len(entries)}
	for i, chunkEntries := range entriesByChunk {
		c, err := newChunk(chunkEntries)
		if err != nil {
			return nil, errors.Wrapf(err, "document %q", name)
		}
		d.chunks[i] = c
	}
	d.setVersion(revision)
	return d, nil
}

// chunkIndex returns the index of the chunk that contains key; chunks must be a power of two.
func chunkIndex(key string, chunks int) int {
	return int(xxhash.Sum64String(key) & uint64(chunks-1))
}

// newChunk sorts entries in place and returns the chunk that owns them. It returns an error on a duplicate key.
func newChunk(entries []Entry) (*chunk, error) {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	for i := 1; i < len(entries); i++ {
		if entries[i].Key == entries[i-1].Key {
			return nil, errors.Errorf("duplicate key %q; keep one", entries[i].Key)
		}
	}
	return &chunk{entries: entries, digest: digestEntries(entries)}, nil
}

// digestEntries hashes sorted entries. Keys and values have a length prefix so that different sets of entries never produce the
// same input to the hash.
func digestEntries(entries []Entry) Digest {
	h := sha256.New()
	var length [4]byte
	writeField := func(b []byte) {
		binary.BigEndian.PutUint32(length[:], uint32(len(b)))
		h.Write(length[:])
		h.Write(b)
	}
	for _, e := range entries {
		writeField([]byte(e.Key))
		writeField(e.Value)
	}
	return Digest(h.Sum(nil))
}

// setVersion sets the version to revision and the digest over the name and the chunk digests. It must be called once, after all
// chunks are set.
func (d *Document) setVersion(revision uint64) {
	h := sha256.New()
	h.Write([]byte(d.name))
	h.Write([]byte{0})
	for _, c := range d.chunks {
		h.Write(c.digest[:])
	}
	d.version = Version{Revision: revision, Digest: Digest(h.Sum(nil))}
}

// Name returns the name of the document.
func (d *Document) Name() string { return d.name }

// Version returns the revision and the digest.
func (d *Document) Version() Version { return d.version }

// Revision returns the revision.
func (d *Document) Revision() uint64 { return d.version.Revision }

// Digest returns the digest over the name and all chunks.
func (d *Document) Digest() Digest { return d.version.Digest }

// Len returns the number of entries.
func (d *Document) Len() int { return d.count }

// Chunks returns the number of chunks.
func (d *Document) Chunks() int { return len(d.chunks) }

// ChunkDigests returns the digests of the chunks in order.
func (d *Document) ChunkDigests() []Digest {
	out := make([]Digest, len(d.chunks))
	for i, c := range d.chunks {
		out[i] = c.digest
	}
	return out
}

// ChunkEntries returns the entries of chunk i, sorted by key. The caller must not change them.
func (d *Document) ChunkEntries(i int) []Entry { return d.chunks[i].entries }

// Get returns the value of key and whether the key exists. The caller must not change the value.
func (d *Document) Get(key string) ([]byte, bool) {
	entries := d.chunks[chunkIndex(key, len(d.chunks))].entries
	i, ok := slices.BinarySearchFunc(entries, key, func(e Entry, k string) int { return strings.Compare(e.Key, k) })
	if !ok {
		return nil, false
	}
	return entries[i].Value, true
}

// All calls yield for each entry, chunk by chunk, until yield returns false.
func (d *Document) All(yield func(Entry) bool) {
	for _, c := range d.chunks {
		for _, e := range c.entries {
			if !yield(e) {
				return
			}
		}
	}
}

// EmptyChunkDigest returns the digest of a chunk without entries. Such a chunk need not be fetched.
func EmptyChunkDigest() Digest { return digestEntries(nil) }

// Assemble returns the document with the given chunk digests, in order. Chunks that base has at the same index are shared with
// it; the entries of all others are taken from contents and verified. It returns an error if a chunk is missing, is damaged
// (ErrDigestMismatch, wrapped) or contains keys of another chunk. The base may be nil.
func Assemble(name string, revision uint64, digests []Digest, base *Document, contents map[Digest][]Entry) (*Document, error) {
	if len(digests) == 0 || len(digests)&(len(digests)-1) != 0 {
		return nil, errors.Errorf("document %q: %d chunks; use a power of two", name, len(digests))
	}
	d := &Document{name: name, chunks: make([]*chunk, len(digests))}
	for i, digest := range digests {
		c, err := assembleChunk(i, len(digests), digest, base, contents)
		if err != nil {
			return nil, errors.Wrapf(err, "document %q chunk %d", name, i)
		}
		d.chunks[i] = c
		d.count += len(c.entries)
	}
	d.setVersion(revision)
	return d, nil
}

// assembleChunk returns chunk i of a document with the given number of chunks.
func assembleChunk(i, chunks int, digest Digest, base *Document, contents map[Digest][]Entry) (*chunk, error) {
	if base != nil && len(base.chunks) == chunks && base.chunks[i].digest == digest {
		return base.chunks[i], nil
	}
	entries, ok := contents[digest]
	if !ok && digest != EmptyChunkDigest() {
		return nil, errors.Errorf("content of chunk %s is missing; fetch it first", digest)
	}
	for _, e := range entries {
		if chunkIndex(e.Key, chunks) != i {
			return nil, errors.Errorf("key %q belongs to another chunk; publish the document again", e.Key)
		}
	}
	c, err := newChunk(slices.Clone(entries))
	if err == nil && c.digest != digest {
		err = ErrDigestMismatch
	}
	return c, err
}
