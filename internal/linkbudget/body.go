package linkbudget

import (
	"context"
	"io"
)

// Body paces a body that crosses to another region by the organisation's share of the link.
type Body struct {
	io.ReadCloser
	Budget       *Budget
	Context      context.Context
	To           string
	Organisation string
}

// pieceBytes is the most that is read, and so taken from the budget, at once.
const pieceBytes = 8 << 10

// Read implements io.Reader. It returns ErrSpent (wrapped) if the share does not suffice before the context ends.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), pieceBytes)])
	if n > 0 {
		if spent := b.Budget.Spend(b.Context, b.To, b.Organisation, int64(n)); spent != nil {
			return 0, spent
		}
	}
	return n, err
}
