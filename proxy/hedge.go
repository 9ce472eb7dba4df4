package proxy

import (
	"context"
	"time"

	"github.com/chervilwell/chervilwell/balance"
)

// hedged sends a request to a target and, if that is silent for long and the request may be repeated, to a second one. The first
// good answer counts; the attempt that is left over is broken off only then.
func (f *Frontend) hedged(ctx context.Context, req *request, choice balance.Choice) *outcome {
	after, ok := f.hedgeAfter(req, choice)
	if !ok {
		return f.attempt(ctx, req, choice)
	}
	ctx, cancel := context.WithCancel(ctx)
	second := make(chan *outcome, 1)
	timer := time.AfterFunc(after, func() {
		o := f.second(ctx, req)
		if o != nil && o.run == ran && !f.failedAnswer(req, o) {
			second <- o
			cancel()
			return
		}
		second <- nil
	})
	first := f.attempt(ctx, req, choice)
	if timer.Stop() {
		return first.then(cancel)
	}
	if first.run == ran && !f.failedAnswer(req, first) {
		return first.then(cancel) // ends the second attempt
	}
	if o := <-second; o != nil {
		return o
	}
	return first.then(cancel)
}

// then calls f once the outcome's body has been read.
func (o *outcome) then(f func()) *outcome {
	if o.stream == nil {
		f()
		return o
	}
	o.stream = &closing{ReadCloser: o.stream, then: f}
	return o
}

// hedgeAfter returns how long to wait for the answer before a second target is asked, or false if none may be.
func (f *Frontend) hedgeAfter(req *request, choice balance.Choice) (time.Duration, bool) {
	if !req.route.Kind.Repeatable() {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.arrivals+1 >= req.route.MaxTargets {
		return 0, false
	}
	mean := f.balancer.Expected(req.route.Name)
	limit := max(patience*mean, req.route.Objective) + choice.Wait
	return limit, left(req.end)-limit > mean
}

// second sends a request to a second target while the first is silent, or returns nil if it must not.
func (f *Frontend) second(ctx context.Context, req *request) *outcome {
	f.mu.Lock()
	allowed := ctx.Err() == nil && f.repeat(req, req.arrivals+1)
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
