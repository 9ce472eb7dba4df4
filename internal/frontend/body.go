package frontend

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/stream"
)

// maxReplayBytes bounds the part of a request body that is buffered for another attempt.
const maxReplayBytes = 64 << 10

// errAttemptEnded reports a read of the body by an attempt that has ended.
var errAttemptEnded = errors.New("attempt has ended; its body is closed")

// replayBody reads a caller's body once and lets later attempts read it again from its start, as long as no more than
// maxReplayBytes have been read.
type replayBody struct {
	mu       sync.Mutex
	source   io.ReadCloser
	buffered []byte
	// unreplayable is set when no further attempt can read the whole body. It is atomic since mu may be held while a slow
	// caller's body is read.
	unreplayable atomic.Bool
	err          error
	length       int64
}

// newReplayBody returns the body of a caller's request. length is its Content-Length, or -1 if unknown; limit bounds the
// bytes read in the latter case.
func newReplayBody(source *stream.Body, length, limit int64) *replayBody {
	b := &replayBody{source: source, length: length}
	if length < 0 {
		b.source = http.MaxBytesReader(nil, source, limit)
	}
	return b
}

// replayable reports whether another attempt can send the whole body.
func (b *replayBody) replayable() bool {
	return !b.unreplayable.Load()
}

// open returns a reader of the body from its start for one attempt, or http.NoBody if the body is empty.
func (b *replayBody) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	return &attemptBody{body: b}
}

// stopBuffering ends the buffering of further bytes, since no other attempt follows.
func (b *replayBody) stopBuffering() { b.unreplayable.Store(true) }

// attemptBody is one attempt's reader of a replayBody.
type attemptBody struct {
	body   *replayBody
	offset int
	closed atomic.Bool
}

// Read implements io.Reader.
func (v *attemptBody) Read(p []byte) (int, error) {
	b := v.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.closed.Load() {
		return 0, errAttemptEnded
	}
	if v.offset < len(b.buffered) {
		n := copy(p, b.buffered[v.offset:])
		v.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.buffer(p[:n])
	v.offset += n
	b.err = err
	return n, err
}

// buffer keeps the bytes read, or discards the buffer if it would exceed maxReplayBytes. It must be called with b.mu held.
func (b *replayBody) buffer(p []byte) {
	if b.unreplayable.Load() {
		return
	}
	if len(b.buffered)+len(p) > maxReplayBytes {
		b.unreplayable.Store(true)
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, p...)
}

// Close implements io.Closer. It ends reading for this attempt only, and does not wait for a slow caller.
func (v *attemptBody) Close() error {
	v.closed.Store(true)
	return nil
}
