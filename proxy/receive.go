package proxy

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/pacer"
)

// maxWaitingBodies is the total size in bytes of the request bodies that a gatekeeper without shared memory holds.
const maxWaitingBodies = 16 << 20

// pauseForSlot is the time for which the sender of a body must have paused before its request is ended since others wait for its slot at
// the target.
const pauseForSlot = 2 * time.Second

// receiveBody reads the body of a call before the call waits for a slot: the end of its connection can be noticed only behind the
// body. If there is no room for a large body, it or its end stays in c.rest. receiveBody returns the outcome if the call is refused, or nil.
func (k *Gatekeeper) receiveBody(ctx context.Context, c *call) *outcome {
	if c.rest == nil || c.length <= 0 {
		return nil
	}
	if c.length >= pacer.LargeMessageBytes && k.inbound.Bounded() {
		r, o := k.waitForLink(ctx, c)
		if o != nil {
			return o
		}
		defer k.endArrival(r)
	} else if !k.fits(c) {
		return nil // the gate is about to refuse the call
	}
	if err := c.setReadDeadline(time.Now().Add(remaining(c.deadline))); err != nil {
		return bodyFailure(ctx, err)
	}
	if c.length > smallBody && !k.bodies.Fits(c.length) {
		return nil
	}
	body, _, err := c.rest.ReadUpTo(c.length, true, smallBody)
	if errors.Is(err, bodyroom.ErrFull) {
		c.body = body
		return nil
	}
	if err != nil {
		return bodyFailure(ctx, err)
	}
	c.body, c.rest = body, nil
	if err := c.setReadDeadline(time.Time{}); err != nil {
		return bodyFailure(ctx, err)
	}
	return nil
}

// endStalledBodies ends a request that runs at the target while its sender has paused in the middle of the body, now and once more while
// a call waits for a slot. The caller must call stop.
func (k *Gatekeeper) endStalledBodies() (stop func()) {
	if !k.bodies.Streamed() {
		return func() {}
	}
	k.bodies.EndStreamed(pauseForSlot)
	timer := time.AfterFunc(pauseForSlot, func() { k.bodies.EndStreamed(pauseForSlot) })
	return func() { timer.Stop() }
}

// bodyFailure returns the outcome of a call whose body could not be read.
func bodyFailure(ctx context.Context, err error) *outcome {
	reason := reasonCancelled
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = reasonTimeout
	}
	o := noResponse(notRun, failureReason(ctx, reason))
	if errors.Is(err, bodyroom.ErrStalled) {
		o.reason, o.retryAfter = reasonStalled, roomRetryAfter
	}
	o.err = err
	return o
}

// fits reports whether the gate would accept a call now.
func (k *Gatekeeper) fits(c *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	fits, _ := k.gate.Fits(clock.Now(), k.gateRequest(c))
	return fits
}

// waitForLink waits until a large body may be received over a narrow link, and returns its reservation, or the outcome if the call is
// refused. Until then the caller's process delays the body, so that a refused call uses no bandwidth of the link. The caller must call
// endArrival.
func (k *Gatekeeper) waitForLink(ctx context.Context, c *call) (*pacer.Reservation, *outcome) {
	r, o := k.reserveLink(c)
	if o != nil {
		return nil, o
	}
	for {
		wait, inTime := k.beginArrival(r)
		if !inTime {
			k.releaseLink(r)
			o := noResponse(notRun, reasonLinkBusy)
			o.retryAfter = wait
			return nil, o
		}
		if wait <= 0 {
			return r, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-r.Moved():
		case <-ctx.Done():
			timer.Stop()
			k.releaseLink(r)
			return nil, noResponse(notRun, failureReason(ctx, reasonCancelled))
		}
		timer.Stop()
	}
}

// beginArrival records that the body of a reservation arrives, and returns 0, or the time to wait if the link is not free for it. It
// returns false if the body would arrive too late after that.
func (k *Gatekeeper) beginArrival(r *pacer.Reservation) (wait time.Duration, inTime bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	wait, inTime = k.inbound.WaitFor(now, r)
	if wait <= 0 && inTime {
		k.inbound.Begin(now, r)
	}
	return wait, inTime
}

func (k *Gatekeeper) endArrival(r *pacer.Reservation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inbound.End(clock.Now(), r)
}

func (k *Gatekeeper) releaseLink(r *pacer.Reservation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inbound.Cancel(clock.Now(), r)
}

// reserveLink reserves the link for the body of a call. It returns a refusal if the call could not run in time afterwards.
func (k *Gatekeeper) reserveLink(c *call) (*pacer.Reservation, *outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, req := clock.Now(), k.gateRequest(c)
	if fits, retryAfter := k.gate.Fits(now, req); !fits {
		o := noResponse(notRun, reasonBusy)
		o.retryAfter = retryAfter
		return nil, o
	}
	r, wait, ok := k.inbound.Reserve(now, c.length, req.LastStart())
	if !ok {
		o := noResponse(notRun, reasonLinkBusy)
		o.retryAfter = wait
		return nil, o
	}
	return r, nil
}
