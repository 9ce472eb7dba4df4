// Package bodybuffer reads request bodies into memory, up to a limit on their total size.
package bodybuffer

import (
	"io"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// ErrFull is returned if there is no room for a body. Nothing has been read; the body can be streamed.
var ErrFull = errors.New("no room for the request body in memory; stream it")

// Buffer limits the total size of the bodies that it holds. It is safe for concurrent use.
type Buffer struct{ room *semaphore.Weighted }

// New returns a buffer for bodies of the given total size in bytes.
func New(bytes int64) *Buffer { return &Buffer{room: semaphore.NewWeighted(bytes)} }

// Read reads a body of length bytes. The caller must call release when the body is no longer needed. It returns ErrFull if there is
// no room, or the error of body.
func (b *Buffer) Read(body io.Reader, length int64) (data []byte, release func(), err error) {
	if !b.room.TryAcquire(length) {
		return nil, nil, ErrFull
	}
	data = make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		b.room.Release(length)
		return nil, nil, err
	}
	return data, func() { b.room.Release(length) }, nil
}
