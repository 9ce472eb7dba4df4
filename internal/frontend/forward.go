package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/platform"
)

// maxAttempts bounds the attempts of one request, over all nested calls.
const maxAttempts = 3

// forward tries targets until one answers or no further attempt is allowed.
func (f *Frontend) forward(ctx context.Context, req *request) (*http.Response, *refusal.Refusal) {
	var tried []string
	var last *refusal.Refusal
	for {
		target, ok := f.config.Picker.Pick(Choice{State: req.state, Route: req.route, Tried: tried, Key: req.in.Header.Get(headers.IdempotencyKey)})
		if !ok {
			return nil, noTarget(req, last)
		}
		resp, refused := f.attempt(ctx, req, target)
		if refused == nil {
			return resp, nil
		}
		last = merge(last, refused)
		if !f.mayRetry(ctx, req, refused) {
			return nil, last
		}
		tried = append(tried, target.Name)
	}
}

// merge keeps the truth about the whole request: it may have run if it may have run in any attempt.
func merge(earlier, latest *refusal.Refusal) *refusal.Refusal {
	if earlier != nil && earlier.Run == headers.Unknown {
		latest.Run = headers.Unknown
	}
	return latest
}

func noTarget(req *request, last *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	return refusal.New(refusal.NoTarget, "service %q has no target in service that route %q may use", req.route.Service, req.route.Name)
}

// attempt sends the request to one target.
func (f *Frontend) attempt(ctx context.Context, req *request, target platform.Instance) (*http.Response, *refusal.Refusal) {
	req.attempt++
	f.config.Picker.Begin(target.Name)
	result := Result{Instance: target.Name}
	defer func() { f.config.Picker.End(result) }()
	resp, refused := f.config.Carrier.Do(&Shipment{
		Target:       target,
		Route:        req.route.Name,
		Organisation: req.organisation,
		Request:      req.outgoing(ctx),
		Result:       &result,
	})
	result.Failed = refused != nil && refused.Run == headers.Unknown
	return resp, refused
}

// outgoing returns the request as it leaves for one attempt.
func (req *request) outgoing(ctx context.Context) *http.Request {
	out := req.in.WithContext(ctx)
	out.Header = req.in.Header.Clone()
	headers.StripHopByHop(out.Header)
	headers.StripInternal(out.Header)
	out.Header[headers.Attempt] = []string{headers.FormatAttempt(req.attempt)}
	out.Header[headers.Timeout] = []string{headers.FormatTimeout(time.Until(req.deadline))}
	out.Body = req.body.open()
	out.GetBody = nil
	return out
}

// mayRetry reports whether a refused request may be sent again: it is proven not run, or may run twice.
func (f *Frontend) mayRetry(ctx context.Context, req *request, refused *refusal.Refusal) bool {
	if ctx.Err() != nil || req.attempt >= maxAttempts || !req.body.replayable() {
		return false
	}
	if refused.Run == headers.NotRun {
		return retryableKind(refused.Kind)
	}
	return req.route.Repeat == catalogue.Safe && idempotent(req.in.Method)
}

// retryableKind reports whether another target may accept what one refused.
func retryableKind(kind refusal.Kind) bool {
	switch kind {
	case refusal.BodyTooLarge, refusal.NoOrganisation, refusal.Cancelled, refusal.Timeout, refusal.TooLate, refusal.Quarantined:
		return false
	}
	return true
}

// idempotent reports whether a method may be repeated (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
