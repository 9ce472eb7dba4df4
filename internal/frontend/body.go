package frontend

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/stream"
)

// replayBytes is the largest part of a request's body that is kept for another attempt.
const replayBytes = 64 << 10

// errStale says that an earlier attempt asked for more of the body.
var errStale = errors.New("attempt has ended; its body is closed")

// replayBody reads a caller's body once and lets a later attempt read it again from its start, as long as no more than
// replayBytes were read.
type replayBody struct {
	mu     sync.Mutex
	source io.ReadCloser
	kept   []byte
	// lost says that no further attempt can have the whole body. It is read without the lock, which a slow caller may hold up.
	lost   atomic.Bool
	err    error
	length int64
}

// newReplayBody returns the body of a caller's request, of at most limit bytes.
func newReplayBody(source *stream.Body, length, limit int64) *replayBody {
	b := &replayBody{source: source, length: length}
	if length < 0 {
		b.source = http.MaxBytesReader(nil, source, limit)
	}
	return b
}

// replayable reports whether an attempt can send the whole body.
func (b *replayBody) replayable() bool {
	return !b.lost.Load()
}

// open returns the body from its start for one attempt, or http.NoBody.
func (b *replayBody) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	return &bodyView{body: b}
}

// end keeps nothing further.
func (b *replayBody) end() { b.lost.Store(true) }

// bodyView is the body as one attempt reads it.
type bodyView struct {
	body   *replayBody
	offset int
	closed atomic.Bool
}

// Read implements io.Reader.
func (v *bodyView) Read(p []byte) (int, error) {
	b := v.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.closed.Load() {
		return 0, errStale
	}
	if v.offset < len(b.kept) {
		n := copy(p, b.kept[v.offset:])
		v.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.keep(p[:n])
	v.offset += n
	b.err = err
	return n, err
}

// keep remembers what was read, or gives up on another attempt. The caller holds the lock.
func (b *replayBody) keep(p []byte) {
	if b.lost.Load() {
		return
	}
	if len(b.kept)+len(p) > replayBytes {
		b.lost.Store(true)
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}

// Close implements io.Closer. It ends this attempt's reading only and never waits for a slow caller.
func (v *bodyView) Close() error {
	v.closed.Store(true)
	return nil
}
