package proxy

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/quarantine"
)

// A request whose body is not held in memory as a whole has the fingerprint of its head on its way to the gatekeeper. The gatekeeper adds a
// digest of the body as it passes. Once a request with the same head is a suspect or quarantined, frontends read the whole body first, as far
// as there is room, so that they know whether it is that request.

// maxIdentifiedBody is the length in bytes up to which a frontend reads a long body completely in order to identify its request.
const maxIdentifiedBody = 16 << 20

// headOnly is the bit of a call's fingerprint that states that it covers only the head of the request.
const headOnly quarantine.Fingerprint = 1

// headFingerprint identifies a request by all but its body.
func headFingerprint(req *request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(identity(req)) | headOnly
}

// identifyRequest sets the fingerprint of a request whose body has been read as far as readBody does.
func (f *Frontend) identifyRequest(req *request) error {
	if req.rest == nil {
		req.fingerprint = fingerprint(req)
		return nil
	}
	req.head = headFingerprint(req)
	req.fingerprint = req.head
	known := false
	f.crashes().withList(func(l *quarantine.List, now time.Time) { known = len(l.Prefixes(now, req.head)) > 0 })
	if !known {
		return nil
	}
	if whole, err := f.readRest(req); !whole || err != nil {
		return err
	}
	req.length = int64(len(req.body))
	f.crashes().withList(func(l *quarantine.List, now time.Time) { req.fingerprint, _ = l.Identify(now, req.head, req.body) })
	return nil
}

// readRest reads the rest of a body into memory as far as there is room, and reports whether it is whole.
func (f *Frontend) readRest(req *request) (whole bool, err error) {
	limit := req.length
	if limit < 0 {
		limit = maxIdentifiedBody
	}
	if limit > maxIdentifiedBody {
		return false, nil
	}
	room, taken := f.bodies(), int64(0)
	defer func() { context.AfterFunc(req.incoming.Context(), func() { room.Release(taken) }) }()
	for {
		if len(req.body) == cap(req.body) {
			larger := min(max(2*int64(len(req.body)), maxBufferedBody), limit)
			if larger == int64(len(req.body)) || !room.TryAcquire(larger) {
				return false, nil
			}
			req.body = append(make([]byte, 0, larger), req.body...)
			room.Release(taken)
			taken = larger
		}
		n, err := req.rest.Read(req.body[len(req.body):cap(req.body)])
		req.body = req.body[:len(req.body)+n]
		switch {
		case int64(len(req.body)) == req.length, err == io.EOF && req.length < 0:
			req.rest, req.received = nil, true
			return true, req.setReadDeadline(time.Time{})
		case err == io.EOF:
			return false, io.ErrUnexpectedEOF
		case err != nil:
			return false, err
		}
	}
}

// hopFingerprint returns the fingerprint that calls of the request carry.
func (req *request) hopFingerprint() quarantine.Fingerprint {
	if req.head != 0 {
		return req.head
	}
	return req.fingerprint
}

// identify replaces the fingerprint of a call with a long body. If the body is not in memory, its digest is computed as it passes, and it
// does not pass to its end if the call turns out to be one that may not run. identify returns the outcome if the call is refused, or nil.
func (k *Gatekeeper) identify(c *call) *outcome {
	if c.fingerprint&headOnly == 0 {
		return nil
	}
	if c.rest == nil {
		k.crashes.withList(func(l *quarantine.List, now time.Time) {
			c.fingerprint, c.prefix = l.Identify(now, c.fingerprint, c.body)
		})
		return k.checkSuspect(c)
	}
	c.digest = quarantine.NewDigest()
	head := c.fingerprint
	c.passing = &digestedBody{
		body: io.MultiReader(bytes.NewReader(c.body), c.rest), digest: c.digest, left: c.length,
		check: func() error { return k.checkPassed(c, head) },
	}
	return nil
}

// errSuspectBody ends the body of a call that turns out to be a request that may not run.
var errSuspectBody = errors.New("request has crashed its targets; its body was not sent to its end")

// checkPassed returns errSuspectBody if a call with the given head whose body has passed, but for the bytes that end it, may not run.
func (k *Gatekeeper) checkPassed(c *call, head quarantine.Fingerprint) error {
	f, _ := c.digest.Fingerprint(head)
	if k.refusal(c, k.crashes.lookup(f)) != nil {
		return errSuspectBody
	}
	return nil
}

// digestedBody computes the digest of a body that passes. Before the read that ends the body returns, it calls check, and fails with its
// error.
type digestedBody struct {
	body   io.Reader
	digest *quarantine.Digest
	// left is the number of bytes left, negative if the length is unknown.
	left  int64
	check func() error
}

// Read implements io.Reader.
func (b *digestedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	_, _ = b.digest.Write(p[:n])
	b.left -= int64(n)
	if (n > 0 && b.left == 0) || (err == io.EOF && b.left < 0) {
		if checkErr := b.check(); checkErr != nil {
			return 0, checkErr
		}
	}
	return n, err
}
