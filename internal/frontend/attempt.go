package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/retry"
)

// errAttemptTimeout is the cancellation cause of an attempt that timed out while another one still fits before the deadline.
var errAttemptTimeout = errors.New("no answer within the time of one attempt; trying another target")

// attemptTimeout bounds the time until the response header of an attempt.
type attemptTimeout struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// startAttemptTimeout starts the timeout of an attempt. The timeout is shorter than the request's remaining time only if the
// request is safe to retry, its body can be replayed and the retry budget allows a retry.
func (f *Frontend) startAttemptTimeout(ctx context.Context, req *request) *attemptTimeout {
	policy := retryPolicy(req)
	if req.keyed() || !req.body.replayable() || f.budgets.remaining(req.route.Service) == 0 {
		policy = catalogue.RetryNever
	}
	now := time.Now()
	timeout := retry.AttemptTimeout(now, req.deadline, policy, req.retries)
	if timeout >= req.deadline.Sub(now) {
		return &attemptTimeout{ctx: ctx}
	}
	a := &attemptTimeout{}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.timer = time.AfterFunc(timeout, func() { a.cancel(errAttemptTimeout) })
	return a
}

// expired reports whether the attempt timed out.
func (a *attemptTimeout) expired() bool { return context.Cause(a.ctx) == errAttemptTimeout }

// finish stops the timer and returns the attempt's result. A response that arrived just as the timeout expired is discarded,
// since its body can no longer be read.
func (a *attemptTimeout) finish(resp *http.Response, refused *refusal.Refusal) (*http.Response, *refusal.Refusal) {
	if a.timer == nil {
		return resp, refused
	}
	a.timer.Stop()
	if !a.expired() {
		return resp, refused
	}
	timedOut := refusal.Unknown(refusal.Unreachable, "%v", errAttemptTimeout)
	if resp != nil {
		resp.Body.Close()
	} else {
		timedOut.RunState = refused.RunState
	}
	return nil, timedOut
}
