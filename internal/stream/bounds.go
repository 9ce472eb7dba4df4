package stream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bound ends the reading and the writing of a request's connection or stream at two times, so that a slow peer holds nothing
// for longer. It also lets the answer begin before the request's body has ended. Call it for every request: an HTTP/1
// connection keeps the bounds of the request before. A handler that calls it also calls Body.Announce and Body.Leave.
func Bound(w http.ResponseWriter, r *http.Request, readEnd, writeEnd time.Time) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(writeEnd)
	if r.ContentLength == 0 {
		return
	}
	_ = control.SetReadDeadline(readEnd)
	if r.ProtoMajor == 1 {
		_ = control.EnableFullDuplex()
	}
}

// Body is the body of a request on the server's side. It knows whether it was read whole; if not, its connection must not
// carry another request, since the rest of the body would be taken for one.
type Body struct {
	io.ReadCloser
	length int64
	http1  bool
	// mu is held while a read is under way.
	mu    sync.Mutex
	count int64
	whole atomic.Bool
}

// Track returns the body of a request that a server got.
func Track(r *http.Request) *Body {
	b := &Body{ReadCloser: r.Body, length: r.ContentLength, http1: r.ProtoMajor == 1}
	b.whole.Store(r.ContentLength == 0)
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.count += int64(n)
	if err == io.EOF || b.count == b.length {
		b.whole.Store(true)
	}
	return n, err
}

// Announce says in the head of the answer that the connection ends with it, if the body was not read whole by now.
func (b *Body) Announce(w http.ResponseWriter) {
	if b.http1 && !b.whole.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Leave leaves the rest of the body unread at the end of the handler. It waits until no read is under way: the server would
// take back the deadline of one and then wait for a slow peer to send the rest.
func (b *Body) Leave(w http.ResponseWriter) {
	if b.whole.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ReadCloser = http.NoBody
}

// Expired reports whether the deadline of a request has passed. The server cancels a request whose reads have timed out, so
// the context's error alone does not tell.
func Expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}
