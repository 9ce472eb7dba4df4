// Package frontend accepts callers' requests, picks their targets, forwards them and returns the responses.
package frontend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/retry"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Config holds the settings and dependencies of a Frontend.
type Config struct {
	Instance      string
	FailureDomain string
	// Holder provides the current configuration.
	Holder *snapshot.Holder
	// Current reports whether the configuration may be used; nil means always. It returns false in a process that was paused
	// and has not yet compared its configuration with its peers.
	Current func() bool
	// Picker chooses targets.
	Picker *Picker
	// Transport sends requests to the targets' instances.
	Transport Transport
	// LinkBudget limits requests to other regions to the organisations' shares of the links; nil means unlimited.
	LinkBudget *linkbudget.Budget
	// TrustOrganisationHeader makes the frontend accept the organisation header of callers without a certificate.
	TrustOrganisationHeader bool
	// Registerer registers the metrics; it may be nil.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// Frontend is the HTTP handler of callers' requests.
type Frontend struct {
	config       Config
	routes       routeLimits
	budgets      retryBudgets
	metrics      *metrics
	shutdownFlag shutdownFlag
}

// New returns a frontend and registers its metrics.
func New(config Config) *Frontend {
	return &Frontend{config: config, metrics: newMetrics(config.Registerer)}
}

// refusalWriteTimeout bounds the time for writing a refusal, counted from the deadline of an accepted request or from the
// start of one that was not accepted.
const refusalWriteTimeout = 5 * time.Second

// request is an accepted request of a caller. It uses the same state until it ends, whatever configuration follows.
type request struct {
	state        *snapshot.State
	route        *snapshot.Route
	organisation string
	region       string
	deadline     time.Time
	// retries is the number of retries so far, including those by upstream processes.
	retries retry.Count
	body    *replayBody
	in      *http.Request
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if f.shutdownFlag.isSet() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	body := stream.TrackBody(r)
	defer body.Abandon(w)
	req, refused := f.accept(r, body, started)
	if refused != nil {
		end := started.Add(refusalWriteTimeout)
		stream.SetDeadlines(w, r, end, end)
		f.refuse(w, r, body, refused)
		return
	}
	defer f.routes.release(req.route.Name)
	stream.SetDeadlines(w, r, req.deadline, req.deadline.Add(refusalWriteTimeout))
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	resp, refused := f.forward(ctx, req)
	req.body.stopBuffering()
	if refused != nil {
		f.refuse(w, r, body, refused)
		return
	}
	body.AnnounceClose(w)
	f.answer(w, req, resp, started)
}

// accept checks everything about a request that does not need its body, and counts it against the route's concurrency limit.
func (f *Frontend) accept(r *http.Request, body *stream.Body, now time.Time) (*request, *refusal.Refusal) {
	if refused := checkRequest(r); refused != nil {
		return nil, refused
	}
	state := f.config.Holder.Load()
	if state.Config == nil || f.config.Current != nil && !f.config.Current() {
		return nil, refusal.New(refusal.NotReady, "instance %q holds no configuration that is known to be current", f.config.Instance)
	}
	req := &request{state: state, in: r}
	var refused *refusal.Refusal
	if req.organisation, refused = f.organisation(r, state.Config); refused != nil {
		return nil, refused
	}
	if req.route = state.Config.Match(r.Method, r.URL.Path); req.route == nil {
		return nil, refusal.New(refusal.NoRoute, "no route takes %s %s at revision %d", r.Method, r.URL.Path, state.Config.Version().Revision)
	}
	req.route = state.Config.ForCaller(req.route, req.organisation)
	req.region = state.Config.RegionOf(f.config.FailureDomain)
	if !req.route.Allows(req.region) {
		return nil, wrongRegionRefusal(req.route, req.region, state.Config)
	}
	if limit := req.route.Limits.BodyBytes; r.ContentLength > limit {
		return nil, refusal.New(refusal.BodyTooLarge, "body of %d bytes, the limit of route %q is %d", r.ContentLength, req.route.Name, limit)
	}
	if !f.routes.acquire(req.route.Name, req.route.Limits.Concurrency) {
		return nil, refusal.New(refusal.RouteBusy, "route %q runs %d requests here", req.route.Name, req.route.Limits.Concurrency)
	}
	req.deadline = now.Add(req.route.Limits.Timeout.Std())
	if remaining, ok := headers.ParseTimeout(r.Header.Get(headers.Timeout)); ok && now.Add(remaining).Before(req.deadline) {
		req.deadline = now.Add(remaining)
	}
	req.retries = retryCount(r.Header)
	headers.StripHopByHop(r.Header)
	headers.StripInternal(r.Header)
	req.body = newReplayBody(body, r.ContentLength, req.route.Limits.BodyBytes)
	return req, nil
}

// checkRequest refuses requests that are not supported, independently of the configuration.
func checkRequest(r *http.Request) *refusal.Refusal {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return refusal.New(refusal.NoUpgrade, "CONNECT and Upgrade are not carried")
	}
	if hasDotSegment(r.URL.Path) {
		return refusal.New(refusal.BadRequest, "path has a dot segment; send the path it resolves to")
	}
	if len(r.Header[headers.IdempotencyKey]) > 1 || len(r.Header.Get(headers.IdempotencyKey)) > headers.MaxKeyBytes {
		return refusal.New(refusal.KeyInvalid, "Idempotency-Key is repeated or too long")
	}
	return nil
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func wrongRegionRefusal(route *snapshot.Route, region string, config *snapshot.Config) *refusal.Refusal {
	var homes []string
	for _, name := range config.Regions() {
		if route.Allows(name) {
			homes = append(homes, name)
		}
	}
	return refusal.New(refusal.WrongRegion, "route %q may not be served in region %q; its home regions: %s", route.Name, region, strings.Join(homes, ", "))
}

// organisation returns the organisation named by the caller's certificate. If there is none and the configuration trusts the
// header, it returns the one named by the caller's header.
func (f *Frontend) organisation(r *http.Request, config *snapshot.Config) (string, *refusal.Refusal) {
	name := certs.CallerOrganisation(r.TLS)
	if name == "" && f.config.TrustOrganisationHeader {
		name = r.Header.Get(headers.Organisation)
	}
	if name == "" {
		return "", refusal.New(refusal.NoOrganisation, "caller names no organisation")
	}
	if config.Organisation(name) == nil {
		return "", refusal.New(refusal.NoOrganisation, "organisation %q is not in the catalogue", name)
	}
	return name, nil
}

func (f *Frontend) refuse(w http.ResponseWriter, r *http.Request, body *stream.Body, refused *refusal.Refusal) {
	f.metrics.refusals.WithLabelValues(string(refused.Kind), string(refused.RunState)).Inc()
	f.config.Log.Debug().Str("kind", string(refused.Kind)).Str("run", string(refused.RunState)).Str("detail", refused.Detail).
		Str("method", r.Method).Msg("refused")
	body.AnnounceClose(w)
	refused.Write(w)
}

func (f *Frontend) answer(w http.ResponseWriter, req *request, resp *http.Response, started time.Time) {
	w.Header()[headers.Attempt] = []string{headers.FormatAttempt(int(req.retries) + 1)}
	if chunkedRequest(req.in) {
		w.Header().Set("Connection", "close")
	}
	stream.CopyResponse(w, req.in, resp, func(err error) {
		f.metrics.aborted.Inc()
		f.config.Log.Debug().Err(err).Str("route", req.route.Name).Msg("answer aborted")
	})
	f.metrics.answers.Inc()
	f.metrics.latency.Observe(time.Since(started).Seconds())
	f.config.Log.Debug().Str("route", req.route.Name).Str("organisation", req.organisation).Int("status", resp.StatusCode).Msg("answered")
}

// chunkedRequest reports whether a request may have had both Content-Length and Transfer-Encoding. net/http drops the former
// in that case; RFC 9112, section 6.1, requires closing the connection after the response.
func chunkedRequest(r *http.Request) bool {
	return r.ProtoMajor == 1 && len(r.TransferEncoding) > 0
}
