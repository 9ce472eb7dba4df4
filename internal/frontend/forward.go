package frontend

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/once"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/retry"
)

// forward sends the request to one target after another until one responds or no further attempt is allowed.
func (f *Frontend) forward(ctx context.Context, req *request) (*http.Response, *refusal.Refusal) {
	var tried []string
	var last *refusal.Refusal
	for {
		target, err := f.pickTarget(req, tried, last)
		if err != nil {
			return nil, noTargetRefusal(err, last)
		}
		resp, refused := f.attempt(ctx, req, target)
		if refused == nil {
			f.budgets.succeeded(req.route.Service)
			return resp, nil
		}
		last = mergeRunState(last, refused)
		if !f.mayRetry(ctx, req, refused) {
			return nil, last
		}
		tried = append(tried, target.Name)
	}
}

// pickTarget picks the target of the next attempt. A keyed request goes to the executor of its key. Any request goes to the
// key's holder if the last refusal named one.
func (f *Frontend) pickTarget(req *request, tried []string, last *refusal.Refusal) (origin.Instance, error) {
	var holder string
	if last != nil {
		holder = last.Holder
	}
	if !req.keyed() && holder == "" {
		return f.config.Picker.start(req.state, req.route, tried)
	}
	key := once.Key{Organisation: req.organisation, Route: req.route.Name, Value: req.in.Header.Get(headers.IdempotencyKey)}
	rank := func(names []string) string { return once.Rank(key, names)[0] }
	return f.config.Picker.startRanked(req.state, req.route, rank, holder, tried)
}

// keyed reports whether a request runs at most once for its idempotency key, however often it is sent.
func (req *request) keyed() bool {
	return req.route.Retry == catalogue.RetryNever && req.in.Header.Get(headers.IdempotencyKey) != ""
}

// mergeRunState returns the latest refusal with the run state of the whole request: unknown if any attempt may have run.
func mergeRunState(earlier, latest *refusal.Refusal) *refusal.Refusal {
	if earlier != nil && earlier.RunState == headers.Unknown {
		latest.RunState = headers.Unknown
	}
	return latest
}

func noTargetRefusal(err error, last *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	return refusal.New(refusal.NoTarget, "%v", err)
}

// attempt sends the request to one target.
func (f *Frontend) attempt(ctx context.Context, req *request, target origin.Instance) (*http.Response, *refusal.Refusal) {
	timeout := f.startAttemptTimeout(ctx, req)
	a := &Attempt{Target: target, Route: req.route.Name, Organisation: req.organisation, Request: req.outgoing(timeout.ctx)}
	resp, refused := timeout.finish(f.send(timeout.ctx, req, a))
	if refused != nil {
		a.Outcome.Result = refusalResult(ctx, a, refused)
		if timeout.expired() {
			a.Outcome.Result = pick.Failed
		}
		f.config.Picker.ended(target.Name, a.Outcome)
		if refused.Kind == refusal.KeyNotReady {
			f.config.Picker.notReady(target.Name)
		}
		return nil, refused
	}
	req.retries = req.retries.Merge(retryCount(resp.Header))
	a.Outcome.Result = pick.OK
	if resp.StatusCode >= http.StatusInternalServerError {
		a.Outcome.Result = pick.Failed
	}
	resp.Body = &notifyingBody{ReadCloser: resp.Body, end: func(err error) {
		outcome := a.Outcome
		if err != nil {
			outcome.Result = abortResult(ctx)
		}
		f.config.Picker.ended(target.Name, outcome)
	}}
	return resp, nil
}

// requestHeaderBytes is the number of link bytes charged for a request's header.
const requestHeaderBytes = 1 << 10

// send passes an attempt to the transport, limited by the organisation's share of the link if the target is in another region.
func (f *Frontend) send(ctx context.Context, req *request, a *Attempt) (*http.Response, *refusal.Refusal) {
	targetRegion := req.state.Config.RegionOf(a.Target.FailureDomain)
	if f.config.LinkBudget == nil || targetRegion == req.region {
		return f.config.Transport.Do(a)
	}
	if !f.config.LinkBudget.TrySpend(targetRegion, req.organisation, requestHeaderBytes) {
		return nil, refusal.New(refusal.LinkBusy, "%v", linkbudget.ErrShareExhausted)
	}
	if a.Request.Body != http.NoBody {
		a.Request.Body = &linkbudget.Body{
			ReadCloser: a.Request.Body, Budget: f.config.LinkBudget, Context: ctx, To: targetRegion, Organisation: req.organisation,
		}
	}
	return f.config.Transport.Do(a)
}

// retryCount returns the number of retries that the headers report.
func retryCount(h http.Header) retry.Count {
	return retry.Count(max(0, headers.ParseAttempt(h.Get(headers.Attempt))-1))
}

// refusalResult returns the result of a refused attempt for the statistics of its target.
func refusalResult(ctx context.Context, a *Attempt, refused *refusal.Refusal) pick.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), refused.Kind == refusal.BodyTooLarge,
		refused.Kind == refusal.Cancelled, refused.Kind == refusal.LinkBusy:
		return pick.Cancelled
	case a.Outcome.Load == nil, refused.Kind == refusal.TargetDown:
		return pick.ConnectionFailed
	case refused.RunState == headers.Unknown && isTargetFault(refused.Kind):
		return pick.Failed
	}
	return pick.OK
}

// isTargetFault reports whether a refusal indicates a fault of its target. One that concerns an idempotency key does not,
// although the request may have run before.
func isTargetFault(kind refusal.Kind) bool {
	switch kind {
	case refusal.Unreachable, refusal.InvalidResponse, refusal.Timeout:
		return true
	}
	return false
}

func abortResult(ctx context.Context) pick.Result {
	if ctx.Err() != nil {
		return pick.Cancelled
	}
	return pick.Failed
}

// notifyingBody calls end once when the response body ends, with nil if it was read completely.
type notifyingBody struct {
	io.ReadCloser
	ended atomic.Bool
	end   func(error)
}

// Read implements io.Reader.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.finish(nil)
	default:
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(context.Canceled)
	return err
}

func (b *notifyingBody) finish(err error) {
	if b.ended.CompareAndSwap(false, true) {
		b.end(err)
	}
}

// outgoing returns the request as sent in one attempt.
func (req *request) outgoing(ctx context.Context) *http.Request {
	out := req.in.WithContext(ctx)
	out.Header = maps.Clone(req.in.Header) // values are shared; replace them, never modify them
	out.Header[headers.Attempt] = []string{headers.FormatAttempt(int(req.retries) + 1)}
	out.Header[headers.Timeout] = []string{headers.FormatTimeout(time.Until(req.deadline))}
	out.Body = req.body.open()
	out.GetBody = nil
	return out
}

// mayRetry decides whether another attempt is allowed, and if so counts it and waits for its back-off.
func (f *Frontend) mayRetry(ctx context.Context, req *request, refused *refusal.Refusal) bool {
	decision := f.budgets.decide(req.route.Service, retry.Failure{
		Retry:        retryPolicy(req),
		NotRun:       refused.RunState == headers.NotRun,
		BodyConsumed: !req.body.replayable(),
		Final:        isFinal(refused.Kind),
		Retries:      req.retries,
		Deadline:     req.deadline,
	})
	if !decision.Retry || ctx.Err() != nil {
		return false
	}
	req.retries = decision.Retries
	timer := time.NewTimer(decision.After)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryPolicy returns catalogue.RetrySafe if a request may be retried, since it has an idempotency key or since its route and its
// method both allow retries. Otherwise it returns catalogue.RetryNever.
func retryPolicy(req *request) catalogue.RetryPolicy {
	if req.keyed() {
		return catalogue.RetrySafe
	}
	if req.route.Retry == catalogue.RetrySafe && idempotent(req.in.Method) {
		return catalogue.RetrySafe
	}
	return catalogue.RetryNever
}

// isFinal reports whether every other target would return the same refusal.
func isFinal(kind refusal.Kind) bool {
	switch kind {
	case refusal.BodyTooLarge, refusal.NoOrganisation, refusal.Cancelled, refusal.Timeout, refusal.Quarantined,
		refusal.KeyInvalid, refusal.KeyRunning, refusal.KeyUnknown, refusal.KeyUndecided: // another executor would split the votes
		return true
	}
	return false
}

// idempotent reports whether a method is idempotent (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
