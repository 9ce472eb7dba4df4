// Package document holds named, versioned, immutable sets of key/value entries and the deltas between them.
//
// A Document is the unit that the distribution layer moves: the catalogue is one, and the list of instances of each
// failure domain is one. Its entries lie in chunks chosen by the hash of the key. A chunk is named by the SHA-256 digest of
// its content, and the document by the digest over its chunk digests. Applying a delta copies the touched chunks
// only, so a change costs memory and hashing in proportion to the change and not to the document.
//
// Invariants: a Document never changes after it was built; equal (Name, Revision, Digest) means equal content.
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

// MarshalText renders the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Errorf("digest has %d characters; give %d hexadecimal characters", len(text), 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "digest is not hexadecimal")
}

// Version names one content of a document.
type Version struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Digest   Digest `cbor:"2,keyasint" json:"digest"`
}

// Entry is one key with its encoded value.
type Entry struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// DefaultChunks is the number of chunks of a document whose author names none. It must be a power of two.
const DefaultChunks = 16

// chunk is an immutable run of entries sorted by key.
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

// New builds a document from entries in any order. The number of chunks must be a power of two.
// It fails on a duplicate key.
func New(name string, revision uint64, chunks int, entries []Entry) (*Document, error) {
	if chunks <= 0 || chunks&(chunks-1) != 0 {
		return nil, errors.Errorf("document %q: %d chunks; use a power of two", name, chunks)
	}
	parts := make([][]Entry, chunks)
	for _, e := range entries {
		i := chunkOf(e.Key, chunks)
		parts[i] = append(parts[i], e)
	}
	d := &Document{name: name, chunks: make([]*chunk, chunks), count: len(entries)}
	for i, part := range parts {
		c, err := newChunk(part)
		if err != nil {
			return nil, errors.Wrapf(err, "document %q", name)
		}
		d.chunks[i] = c
	}
	d.seal(revision)
	return d, nil
}

// chunkOf returns the index of the chunk that holds key.
func chunkOf(key string, chunks int) int {
	return int(xxhash.Sum64String(key) & uint64(chunks-1))
}

func newChunk(entries []Entry) (*chunk, error) {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	for i := 1; i < len(entries); i++ {
		if entries[i].Key == entries[i-1].Key {
			return nil, errors.Errorf("duplicate key %q; keep one", entries[i].Key)
		}
	}
	return &chunk{entries: entries, digest: digestEntries(entries)}, nil
}

// digestEntries hashes sorted entries with length prefixes, so that no two different sets hash alike by concatenation.
func digestEntries(entries []Entry) Digest {
	h := sha256.New()
	var n [4]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint32(n[:], uint32(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	for _, e := range entries {
		write([]byte(e.Key))
		write(e.Value)
	}
	return Digest(h.Sum(nil))
}

// seal computes the version of the document from its chunks.
func (d *Document) seal(revision uint64) {
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

// Version returns revision and digest.
func (d *Document) Version() Version { return d.version }

// Revision returns the revision.
func (d *Document) Revision() uint64 { return d.version.Revision }

// Digest returns the digest over all chunks.
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

// Get returns the value of key. The caller must not change it.
func (d *Document) Get(key string) ([]byte, bool) {
	entries := d.chunks[chunkOf(key, len(d.chunks))].entries
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

// EmptyChunk returns the digest of a chunk without entries, which no reader needs to fetch.
func EmptyChunk() Digest { return digestEntries(nil) }

// Assemble builds a document from the digests of its chunks in order. Chunks that base holds are shared with it; the entries of
// all others are taken from parts and verified. It fails on a chunk that is lacking, damaged or misplaced. Base may be nil.
func Assemble(name string, revision uint64, digests []Digest, base *Document, parts map[Digest][]Entry) (*Document, error) {
	if len(digests) == 0 || len(digests)&(len(digests)-1) != 0 {
		return nil, errors.Errorf("document %q: %d chunks; use a power of two", name, len(digests))
	}
	d := &Document{name: name, chunks: make([]*chunk, len(digests))}
	for i, digest := range digests {
		c, err := assembleChunk(i, len(digests), digest, base, parts)
		if err != nil {
			return nil, errors.Wrapf(err, "document %q chunk %d", name, i)
		}
		d.chunks[i] = c
		d.count += len(c.entries)
	}
	d.seal(revision)
	return d, nil
}

func assembleChunk(i, chunks int, digest Digest, base *Document, parts map[Digest][]Entry) (*chunk, error) {
	if base != nil && len(base.chunks) == chunks && base.chunks[i].digest == digest {
		return base.chunks[i], nil
	}
	entries, ok := parts[digest]
	if !ok && digest != EmptyChunk() {
		return nil, errors.Errorf("content of digest %s is lacking; read it first", digest)
	}
	for _, e := range entries {
		if chunkOf(e.Key, chunks) != i {
			return nil, errors.Errorf("key %q belongs to another chunk; publish the document again", e.Key)
		}
	}
	c, err := newChunk(slices.Clone(entries))
	if err == nil && c.digest != digest {
		err = ErrDigestMismatch
	}
	return c, err
}
