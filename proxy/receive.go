package proxy

import (
	"context"
	"io"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/pacer"
)

// receiveBody reads a large body over a narrow link within the time reserved for it, and returns the outcome if the call is
// refused, or nil. Until then the caller's process delays the body, so that a refused call uses no bandwidth of the link.
func (k *Gatekeeper) receiveBody(ctx context.Context, c *call) *outcome {
	if c.rest == nil || c.length < pacer.LargeMessageBytes || !k.inbound.Bounded() {
		return nil
	}
	wait, o := k.reserveLink(c)
	if o != nil {
		return o
	}
	if err := periodic.Sleep(ctx, wait); err != nil {
		return noResponse(notRun, failureReason(ctx, reasonCancelled))
	}
	body := make([]byte, c.length)
	if _, err := io.ReadFull(c.rest, body); err != nil {
		o := noResponse(notRun, failureReason(ctx, reasonCancelled))
		o.err = err
		return o
	}
	c.body, c.rest = body, nil
	return nil
}

// reserveLink reserves the link for the body of a call and returns the time to wait before it is read. It returns a refusal
// if the call could not run in time afterwards.
func (k *Gatekeeper) reserveLink(c *call) (time.Duration, *outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, req := clock.Now(), gateRequest(c)
	if fits, retryAfter := k.gate.Fits(now, req); !fits {
		o := noResponse(notRun, reasonBusy)
		o.retryAfter = retryAfter
		return 0, o
	}
	wait, ok := k.inbound.Reserve(now, c.length, req.LastStart())
	if !ok {
		o := noResponse(notRun, reasonLinkBusy)
		o.retryAfter = wait
		return 0, o
	}
	return wait, nil
}
