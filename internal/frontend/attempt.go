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

// errSlowAttempt says that an attempt was given up while another one still fits before the deadline.
var errSlowAttempt = errors.New("no answer within the time of one attempt; trying another target")

// attemptLimit bounds the time until the head of an attempt's answer.
type attemptLimit struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// limitAttempt begins the time of an attempt. Only an attempt that can and may be repeated has less than the request's own
// time.
func (f *Frontend) limitAttempt(ctx context.Context, req *request) *attemptLimit {
	repeat := repeatOf(req)
	if req.keyed() || !req.body.replayable() || f.budgets.left(req.route.Service) == 0 {
		repeat = catalogue.Never
	}
	now := time.Now()
	limit := retry.AttemptTimeout(now, req.deadline, repeat, req.retries)
	if limit >= req.deadline.Sub(now) {
		return &attemptLimit{ctx: ctx}
	}
	a := &attemptLimit{}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.timer = time.AfterFunc(limit, func() { a.cancel(errSlowAttempt) })
	return a
}

// passed reports whether the attempt was given up.
func (a *attemptLimit) passed() bool { return context.Cause(a.ctx) == errSlowAttempt }

// judge ends the time of the attempt with its result. An answer that came at the last moment is given up too, since its
// body can't be read any more.
func (a *attemptLimit) judge(resp *http.Response, refused *refusal.Refusal) (*http.Response, *refusal.Refusal) {
	if a.timer == nil {
		return resp, refused
	}
	a.timer.Stop()
	if !a.passed() {
		return resp, refused
	}
	slow := refusal.Unknown(refusal.Unreachable, "%v", errSlowAttempt)
	if resp != nil {
		resp.Body.Close()
	} else {
		slow.Run = refused.Run
	}
	return nil, slow
}
