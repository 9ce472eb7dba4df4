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

// forward tries targets until one answers or no further attempt is allowed.
func (f *Frontend) forward(ctx context.Context, req *request) (*http.Response, *refusal.Refusal) {
	var tried []string
	var last *refusal.Refusal
	for {
		target, err := f.target(req, tried, last)
		if err != nil {
			return nil, noTarget(err, last)
		}
		resp, refused := f.attempt(ctx, req, target)
		if refused == nil {
			f.budgets.succeeded(req.route.Service)
			return resp, nil
		}
		last = merge(last, refused)
		if !f.mayRetry(ctx, req, refused) {
			return nil, last
		}
		tried = append(tried, target.Name)
	}
}

// target picks the next instance to try. A keyed request goes to its executor, and any to the holder that a refusal named.
func (f *Frontend) target(req *request, tried []string, last *refusal.Refusal) (origin.Instance, error) {
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

// keyed reports whether a request runs at most once under its key, however often it is sent.
func (req *request) keyed() bool {
	return req.route.Repeat == catalogue.Never && req.in.Header.Get(headers.IdempotencyKey) != ""
}

// merge keeps the truth about the whole request: it may have run if it may have run in any attempt.
func merge(earlier, latest *refusal.Refusal) *refusal.Refusal {
	if earlier != nil && earlier.Run == headers.Unknown {
		latest.Run = headers.Unknown
	}
	return latest
}

func noTarget(err error, last *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	return refusal.New(refusal.NoTarget, "%v", err)
}

// attempt sends the request to one target.
func (f *Frontend) attempt(ctx context.Context, req *request, target origin.Instance) (*http.Response, *refusal.Refusal) {
	limit := f.limitAttempt(ctx, req)
	shipment := &Shipment{Target: target, Route: req.route.Name, Organisation: req.organisation, Request: req.outgoing(limit.ctx)}
	resp, refused := limit.judge(f.send(limit.ctx, req, shipment))
	if refused != nil {
		shipment.Answer.Result = resultOfRefusal(ctx, shipment, refused)
		if limit.passed() {
			shipment.Answer.Result = pick.Failed
		}
		f.config.Picker.ended(target.Name, shipment.Answer)
		if refused.Kind == refusal.KeyNotReady {
			f.config.Picker.notReady(target.Name)
		}
		return nil, refused
	}
	req.retries = req.retries.Absorb(countOf(resp.Header))
	shipment.Answer.Result = pick.OK
	if resp.StatusCode >= http.StatusInternalServerError {
		shipment.Answer.Result = pick.Failed
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, end: func(err error) {
		answer := shipment.Answer
		if err != nil {
			answer.Result = resultOfCut(ctx)
		}
		f.config.Picker.ended(target.Name, answer)
	}}
	return resp, nil
}

// headBytes is what the head of a request takes of a link.
const headBytes = 1 << 10

// send gives a shipment to the carrier, within the organisation's share of the link if it goes to another region.
func (f *Frontend) send(ctx context.Context, req *request, s *Shipment) (*http.Response, *refusal.Refusal) {
	there := req.state.Config.RegionOf(s.Target.FailureDomain)
	if f.config.Link == nil || there == req.region {
		return f.config.Carrier.Do(s)
	}
	if !f.config.Link.TrySpend(there, req.organisation, headBytes) {
		return nil, refusal.New(refusal.LinkBusy, "%v", linkbudget.ErrShareExhausted)
	}
	if s.Request.Body != http.NoBody {
		s.Request.Body = &linkbudget.Body{
			ReadCloser: s.Request.Body, Budget: f.config.Link, Context: ctx, To: there, Organisation: req.organisation,
		}
	}
	return f.config.Carrier.Do(s)
}

// countOf returns the retries that headers tell of.
func countOf(h http.Header) retry.Count {
	return retry.Count(max(0, headers.ParseAttempt(h.Get(headers.Attempt))-1))
}

// resultOfRefusal says what a refusal teaches about its target.
func resultOfRefusal(ctx context.Context, s *Shipment, refused *refusal.Refusal) pick.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), refused.Kind == refusal.BodyTooLarge,
		refused.Kind == refusal.Cancelled, refused.Kind == refusal.LinkBusy:
		return pick.Cancelled
	case s.Answer.Load == nil, refused.Kind == refusal.TargetDown:
		return pick.Broken
	case refused.Run == headers.Unknown && faulty(refused.Kind):
		return pick.Failed
	}
	return pick.OK
}

// faulty reports whether a refusal speaks against its target. One for the sake of a key does not, though its request may have
// run before.
func faulty(kind refusal.Kind) bool {
	switch kind {
	case refusal.Unreachable, refusal.BrokenAnswer, refusal.Timeout:
		return true
	}
	return false
}

func resultOfCut(ctx context.Context) pick.Result {
	if ctx.Err() != nil {
		return pick.Cancelled
	}
	return pick.Failed
}

// countedBody reports the end of an answer once, with nil if it was whole.
type countedBody struct {
	io.ReadCloser
	ended atomic.Bool
	end   func(error)
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
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
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(context.Canceled)
	return err
}

func (b *countedBody) finish(err error) {
	if b.ended.CompareAndSwap(false, true) {
		b.end(err)
	}
}

// outgoing returns the request as it leaves for one attempt.
func (req *request) outgoing(ctx context.Context) *http.Request {
	out := req.in.WithContext(ctx)
	out.Header = maps.Clone(req.in.Header) // whoever changes a header replaces its values
	out.Header[headers.Attempt] = []string{headers.FormatAttempt(int(req.retries) + 1)}
	out.Header[headers.Timeout] = []string{headers.FormatTimeout(time.Until(req.deadline))}
	out.Body = req.body.open()
	out.GetBody = nil
	return out
}

// mayRetry decides on another attempt, counts it and waits its delay.
func (f *Frontend) mayRetry(ctx context.Context, req *request, refused *refusal.Refusal) bool {
	decision := f.budgets.decide(req.route.Service, retry.Failure{
		Repeat:   repeatOf(req),
		NotRun:   refused.Run == headers.NotRun,
		BodyGone: !req.body.replayable(),
		Final:    final(refused.Kind),
		Retries:  req.retries,
		Deadline: req.deadline,
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

// repeatOf says whether a request may be repeated: its key makes sure of it, or its route and its method both allow it.
func repeatOf(req *request) catalogue.Repeat {
	if req.keyed() {
		return catalogue.Safe
	}
	if req.route.Repeat == catalogue.Safe && idempotent(req.in.Method) {
		return catalogue.Safe
	}
	return catalogue.Never
}

// final reports whether no other target would answer otherwise.
func final(kind refusal.Kind) bool {
	switch kind {
	case refusal.BodyTooLarge, refusal.NoOrganisation, refusal.Cancelled, refusal.Timeout, refusal.Quarantined,
		refusal.KeyInvalid, refusal.KeyRunning, refusal.KeyUnknown, refusal.KeyUndecided: // another executor would split the votes
		return true
	}
	return false
}

// idempotent reports whether a method may be repeated (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
