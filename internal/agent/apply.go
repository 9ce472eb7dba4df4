package agent

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/ring"
	"github.com/chervilwell/chervilwell/snapshot"
)

// applier puts lists of instances in force. Of the lists with the same name that arrive during an update, only the latest is
// applied.
type applier struct {
	holder *snapshot.Holder
	log    zerolog.Logger
	// wake holds a token if pending may be non-empty.
	wake *ring.Ring[struct{}]

	mu sync.Mutex
	// pending is keyed by document name.
	pending map[string]*document.Document
}

func newApplier(holder *snapshot.Holder, log zerolog.Logger) *applier {
	return &applier{
		holder: holder, log: log, wake: ring.New[struct{}](1, ring.Refuse), pending: map[string]*document.Document{},
	}
}

// enqueue adds a list and replaces a pending one of the same name.
func (p *applier) enqueue(doc *document.Document) {
	p.mu.Lock()
	p.pending[doc.Name()] = doc
	p.mu.Unlock()
	p.wake.Put(struct{}{})
}

// takePending removes and returns the pending lists.
func (p *applier) takePending() []*document.Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*document.Document
	for _, doc := range p.pending {
		out = append(out, doc)
	}
	clear(p.pending)
	return out
}

// run applies lists until ctx is done. If a list is invalid, the previous endpoints stay in force.
func (p *applier) run(ctx context.Context) error {
	for {
		if _, err := p.wake.Get(ctx); err != nil {
			return err
		}
		next, err := p.holder.Load().Endpoints.With(p.takePending()...)
		if err != nil {
			p.log.Error().Err(err).Msg("list of instances not applied; the former one stays")
			continue
		}
		p.holder.SetEndpoints(next)
	}
}
