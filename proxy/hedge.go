package proxy

import (
	"context"
	"time"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/quarantine"
)

// attemptHedged sends a request to a target and, if that does not respond in time and the request may be retried, to a second
// one. The first successful response is used; the other attempt is cancelled only then.
func (f *Frontend) attemptHedged(ctx context.Context, req *request, choice balance.Choice) *outcome {
	delay, ok := f.hedgeDelay(req, choice)
	if !ok {
		return f.attempt(ctx, req, choice)
	}
	ctx, cancel := context.WithCancel(ctx)
	hedge := make(chan *outcome, 1)
	timer := time.AfterFunc(delay, func() {
		o := f.hedge(ctx, req)
		if o != nil && o.run == ran && !f.retryableFailure(req, o) {
			hedge <- o
			cancel()
			return
		}
		hedge <- nil
	})
	first := f.attempt(ctx, req, choice)
	if timer.Stop() {
		return first.onClose(cancel)
	}
	if first.run == ran && !f.retryableFailure(req, first) {
		return first.onClose(cancel) // also cancels the second attempt
	}
	if o := <-hedge; o != nil {
		return o
	}
	return first.onClose(cancel)
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

// hedgeDelay returns how long to wait for the response before a second target is tried, or false if hedging is not allowed.
func (f *Frontend) hedgeDelay(req *request, choice balance.Choice) (time.Duration, bool) {
	if !req.route.Kind.Retryable() || req.atHome {
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
