package gatekeeper

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

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
