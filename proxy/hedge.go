package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/quarantine"
)

// attemptHedged sends a request to a target and, if that does not respond in time and the request may be retried, to a second
// one. The first successful response is used, and the other attempt is cancelled. The context of the attempt that is used ends with the body
// of its response.
func (f *Frontend) attemptHedged(ctx context.Context, req *request, choice balance.Choice) *outcome {
	delay, ok := f.hedgeDelay(req, choice)
	if !ok {
		return f.attempt(ctx, req, choice)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	hedged := make(chan *outcome, 1)
	var decided atomic.Bool // set by the first success
	timer := time.AfterFunc(delay, func() {
		o := f.hedge(hedgeCtx, req)
		if o != nil && f.succeeded(req, o) && decided.CompareAndSwap(false, true) {
			cancelFirst()
		}
		hedged <- o
	})
	first := f.attempt(firstCtx, req, choice).onClose(cancelFirst)
	if timer.Stop() {
		cancelHedge()
		return first
	}
	if f.succeeded(req, first) && decided.CompareAndSwap(false, true) {
		cancelHedge()
		go func() { (<-hedged).discard() }()
		return first
	}
	second := <-hedged
	if second == nil {
		cancelHedge()
		return first
	}
	second.onClose(cancelHedge)
	if f.succeeded(req, second) {
		first.discard()
		return second
	}
	req.recordAttempt(second)
	return first
}

// succeeded reports whether an outcome ends the request.
func (f *Frontend) succeeded(req *request, o *outcome) bool {
	return o.run == ran && !f.retryableFailure(req, o)
}

// discard closes the body of an outcome that is not used. o may be nil.
func (o *outcome) discard() {
	if o != nil && o.stream != nil {
		o.stream.Close()
	}
}

// onClose calls f when the body of the outcome is closed, or at once if the body is not streamed.
func (o *outcome) onClose(f func()) *outcome {
	if o.stream == nil {
		f()
		return o
	}
	o.stream = &closeHook{ReadCloser: o.stream, onClose: f}
	return o
}

// hedgeDelay returns how long to wait for the response before a second target is tried, or false if hedging is not allowed: a body that is
// not in memory as a whole can be sent only once.
func (f *Frontend) hedgeDelay(req *request, choice balance.Choice) (time.Duration, bool) {
	if !req.route.Kind.Retryable() || req.atHome || req.rest != nil {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.arrivals+1 >= req.route.MaxTargets {
		return 0, false
	}
	mean := f.balancer.MeanRunTime(req.route.Name)
	delay := max(hedgeFactor*mean, req.route.Objective) + choice.Wait + choice.Transfer
	return delay, remaining(req.deadline)-delay > mean
}

// hedge sends a request to a second target while the first has not responded, or returns nil if this is not allowed.
func (f *Frontend) hedge(ctx context.Context, req *request) *outcome {
	if f.crashes().lookup(req.fingerprint) != quarantine.Unsuspected {
		return nil
	}
	f.mu.Lock()
	allowed := ctx.Err() == nil && f.takeRetry(req, req.arrivals+1)
	f.mu.Unlock()
	if !allowed {
		return nil
	}
	choice, ok := f.pick(req)
	if !ok {
		return nil
	}
	return f.attempt(ctx, req, choice)
}
