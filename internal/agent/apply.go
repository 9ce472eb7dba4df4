package agent

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/ring"
	"github.com/chervilwell/chervilwell/snapshot"
)

// applier puts lists of instances in force. Lists that arrive while it works are merged: only the latest of each counts.
type applier struct {
	holder *snapshot.Holder
	log    zerolog.Logger
	wake   *ring.Ring[struct{}]

	mu      sync.Mutex
	pending map[string]*document.Document
}

func newApplier(holder *snapshot.Holder, log zerolog.Logger) *applier {
	return &applier{
		holder: holder, log: log, wake: ring.New[struct{}](1, ring.Refuse), pending: map[string]*document.Document{},
	}
}

func (p *applier) put(doc *document.Document) {
	p.mu.Lock()
	p.pending[doc.Name()] = doc
	p.mu.Unlock()
	p.wake.Put(struct{}{})
}

func (p *applier) take() []*document.Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*document.Document
	for _, doc := range p.pending {
		out = append(out, doc)
	}
	clear(p.pending)
	return out
}

func (p *applier) run(ctx context.Context) error {
	for {
		if _, err := p.wake.Get(ctx); err != nil {
			return err
		}
		next, err := p.holder.Load().Endpoints.With(p.take()...)
		if err != nil {
			p.log.Error().Err(err).Msg("list of instances not applied; the former one stays")
			continue
		}
		p.holder.SetEndpoints(next)
	}
}
