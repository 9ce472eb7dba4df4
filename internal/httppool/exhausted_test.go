package httppool

import (
	"context"
	"testing"

	"github.com/pkg/errors"
)

// Guards against requests that wait for a connection unnoticed.
func TestExhaustedPoolIsReported(t *testing.T) {
	waits, stops := 0, 0
	p := New(Config{MaxConns: 1, Exhausted: func() func() { waits++; return func() { stops++ } }})
	if !p.inUse.TryAcquire(1) {
		t.Fatal("no connection is free")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.acquire(ctx, false); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	if waits != 1 || stops != 1 {
		t.Errorf("%d waits, %d ended", waits, stops)
	}
}
