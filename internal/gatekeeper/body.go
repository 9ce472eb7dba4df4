package gatekeeper

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/bodybuffer"
	"github.com/chervilwell/chervilwell/internal/refusal"
)

// maxWaitingBodies is the total size in bytes of the bodies of queued requests that are held in memory.
const maxWaitingBodies = 16 << 20

// bufferBody reads the body of a queued request: the end of its connection can be noticed only behind the body. A body of unknown
// length, or without room in memory, is left unread. The caller must call release when the request has left the queue.
func (g *Gatekeeper) bufferBody(r *http.Request) (release func(), refused *refusal.Refusal) {
	release = func() {}
	if r.ContentLength <= maxDigestBytes { // read by bodyDigest, or of unknown length
		return release, nil
	}
	data, releaseBody, err := g.bodies.Read(r.Body, r.ContentLength)
	if errors.Is(err, bodybuffer.ErrFull) {
		return release, nil
	}
	if err != nil {
		return release, failure(r.Context(), mapReadError(err), false)
	}
	r.Body = &bufferedBody{Reader: bytes.NewReader(data), Closer: r.Body}
	return releaseBody, nil
}

// errReaderClosed is reported if the reader closes a response body before its end.
var errReaderClosed = errors.New("response body closed before its end")

// responseBody calls onEnd once, with nil after the whole body was read, else with the error.
type responseBody struct {
	io.ReadCloser
	ended atomic.Bool
	onEnd func(error)
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(nil)
	} else if err != nil {
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(errReaderClosed)
	return err
}

func (b *responseBody) finish(err error) {
	if b.ended.CompareAndSwap(false, true) {
		b.onEnd(err)
	}
}
