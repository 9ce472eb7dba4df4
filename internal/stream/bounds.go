package stream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// SetDeadlines sets the read and write deadlines of a request's connection or stream, which limits how long a slow peer can occupy
// resources. It also allows the response to start before the request body has been read. It must be called for every request,
// since an HTTP/1 connection keeps the deadlines of the previous one. A handler that calls SetDeadlines must also call
// Body.AnnounceClose and Body.Abandon.
func SetDeadlines(w http.ResponseWriter, r *http.Request, readEnd, writeEnd time.Time) {
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

// Body wraps the body of a server request and records whether it was read completely. If not, the connection must not be
// reused, since the rest of the body would be parsed as the next request.
type Body struct {
	io.ReadCloser
	// length is the Content-Length, or -1 if unknown.
	length int64
	http1  bool
	// mu is held during a read.
	mu        sync.Mutex
	bytesRead int64
	complete  atomic.Bool
}

// TrackBody returns a Body that wraps the body of r.
func TrackBody(r *http.Request) *Body {
	b := &Body{ReadCloser: r.Body, length: r.ContentLength, http1: r.ProtoMajor == 1}
	b.complete.Store(r.ContentLength == 0)
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.bytesRead += int64(n)
	if err == io.EOF || b.bytesRead == b.length {
		b.complete.Store(true)
	}
	return n, err
}

// AnnounceClose sets "Connection: close" on the response if the body has not been read completely. It must be called before the
// response header is written.
func (b *Body) AnnounceClose(w http.ResponseWriter) {
	if b.http1 && !b.complete.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Abandon abandons the unread rest of the body; it must be called at the end of the handler. It interrupts a read in progress
// and waits for it to return: otherwise the server would reset the read deadline and wait for a slow peer to send the rest.
func (b *Body) Abandon(w http.ResponseWriter) {
	if b.complete.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ReadCloser = http.NoBody
}

// DeadlinePassed reports whether the deadline of ctx has passed. The context's error does not suffice: the server cancels the
// context of a request whose reads have timed out, so that a timeout can appear as context.Canceled.
func DeadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}
