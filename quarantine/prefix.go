package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the part of a request with a long body that a fingerprint covers: its head, and the first bytes of its body.
type Prefix struct {
	// Head is the fingerprint of the request without its body.
	Head Fingerprint `cbor:"1,keyasint"`
	// Bytes is the number of bytes of the body, which may be all.
	Bytes int64 `cbor:"2,keyasint"`
}

// Fingerprint returns the fingerprint of a request whose body begins with bytes that have the given digest.
func (p Prefix) Fingerprint(digest uint64) Fingerprint {
	return FingerprintOf(Request{Key: p.Head.String(), BodyDigest: digest + uint64(p.Bytes)})
}

// Digest is the digest of the part of a body that has passed. It is safe for concurrent use.
type Digest struct {
	mu    sync.Mutex
	hash  xxhash.Digest
	bytes int64
}

// NewDigest returns the digest of an empty body.
func NewDigest() *Digest {
	d := &Digest{}
	d.hash.Reset()
	return d
}

// Write implements io.Writer. It returns no error.
func (d *Digest) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(len(p))
	return d.hash.Write(p)
}

// Fingerprint returns the fingerprint of a request with the given head whose body begins with what has passed, and what it covers.
func (d *Digest) Fingerprint(head Fingerprint) (Fingerprint, Prefix) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := Prefix{Head: head, Bytes: d.bytes}
	return p.Fingerprint(d.hash.Sum64()), p
}

// identify sets the fingerprint of a run that was still known by its head and by what has passed of its body.
func (r *Run) identify() {
	if r.Body == nil || r.Prefix.Head != 0 {
		return
	}
	if f, p := r.Body.Fingerprint(r.Fingerprint); p.Bytes > 0 {
		r.Fingerprint, r.Prefix = f, p
	}
}

// unidentified reports whether nothing of the body has passed, so that the fingerprint is that of all requests with the same head.
func (r *Run) unidentified() bool { return r.Body != nil && r.Prefix.Head == 0 }

// Identify returns the fingerprint of a request with the given head and body, and what it covers. It is that of a suspect or of a quarantined request that is
// known by a start of this body, or the one of the whole body if there is none.
func (l *List) Identify(now time.Time, head Fingerprint, body []byte) (Fingerprint, Prefix) {
	d, at := NewDigest(), int64(0)
	for _, p := range l.Prefixes(now, head) {
		if p.Bytes > int64(len(body)) {
			break
		}
		_, _ = d.Write(body[at:p.Bytes])
		at = p.Bytes
		if f, _ := d.Fingerprint(head); l.Lookup(now, f) != Unsuspected {
			return f, p
		}
	}
	_, _ = d.Write(body[at:])
	return d.Fingerprint(head)
}

// Prefixes returns what the fingerprints of the suspects and quarantined requests with the given head cover, shortest first and each once.
func (l *List) Prefixes(now time.Time, head Fingerprint) []Prefix {
	var out []Prefix
	for f, e := range l.entries {
		if e.prefix.Head == head && e.prefix.Bytes > 0 && l.Lookup(now, f) != Unsuspected {
			out = append(out, e.prefix)
		}
	}
	slices.SortFunc(out, func(a, b Prefix) int { return cmp.Compare(a.Bytes, b.Bytes) })
	return slices.Compact(out)
}
