package proxy

import (
	"context"
	"io"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/pacer"
)

// receive takes in a large body over a narrow link when its turn comes, and returns why it won't, or nil. Until then the caller's
// process holds the body back, so that a call that is refused costs the link nothing.
func (k *Gatekeeper) receive(ctx context.Context, c *call) *outcome {
	if c.rest == nil || c.length < pacer.Large || !k.inlet.Bounded() {
		return nil
	}
	wait, o := k.reserve(c)
	if o != nil {
		return o
	}
	if err := duty.Sleep(ctx, wait); err != nil {
		return refused(notRun, ended(ctx, reasonCancelled))
	}
	body := make([]byte, c.length)
	if _, err := io.ReadFull(c.rest, body); err != nil {
		o := refused(notRun, ended(ctx, reasonCancelled))
		o.err = err
		return o
	}
	c.body, c.rest = body, nil
	return nil
}

// reserve finds the time at which a body may come in, unless the call could not run in time then.
func (k *Gatekeeper) reserve(c *call) (time.Duration, *outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, req := clock.Now(), demand(c)
	if fits, back := k.gate.Fits(now, req); !fits {
		o := refused(notRun, reasonBusy)
		o.back = back
		return 0, o
	}
	wait, ok := k.inlet.Take(now, c.length, req.LastStart())
	if !ok {
		o := refused(notRun, reasonLinkBusy)
		o.back = wait
		return 0, o
	}
	return wait, nil
}
