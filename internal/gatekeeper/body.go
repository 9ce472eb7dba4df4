package gatekeeper

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errAbandoned says that the reader of an answer closed it before its end.
var errAbandoned = errors.New("reader went away before the end of the answer")

// answerBody reports the end of an answer once: nil after the whole body, else the error.
type answerBody struct {
	io.ReadCloser
	ended atomic.Bool
	end   func(error)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(nil)
	} else if err != nil {
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(errAbandoned)
	return err
}

func (b *answerBody) finish(err error) {
	if b.ended.CompareAndSwap(false, true) {
		b.end(err)
	}
}
