package linkbudget

import (
	"context"
	"io"
)

// Body limits a request or response body sent to another region to the organisation's share of the link.
type Body struct {
	io.ReadCloser
	Budget       *Budget
	Context      context.Context
	To           string
	Organisation string
}

// maxReadBytes bounds the bytes read, and therefore taken from the budget, at once.
const maxReadBytes = 8 << 10

// Read implements io.Reader. It returns ErrShareExhausted (wrapped) if the bytes are not available before Context ends.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		if spendErr := b.Budget.Spend(b.Context, b.To, b.Organisation, int64(n)); spendErr != nil {
			return 0, spendErr
		}
	}
	return n, err
}
