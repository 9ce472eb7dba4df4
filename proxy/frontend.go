package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/internal/unreadbody"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
	"github.com/chervilwell/chervilwell/retrybudget"
	"github.com/chervilwell/chervilwell/shutdown"
)

// FrontendConfig is the configuration of a Frontend.
type FrontendConfig struct {
	// Service is the service of the local target; callers send requests on its behalf.
	Service               string
	FailureDomain, Region string
	Holder                *mesh.Holder
	Gatekeeper            *Gatekeeper
	// Peers sends calls to the gatekeepers of other instances.
	Peers *Peers
	Names HeaderNames
	// RetryBudget limits the retries of this instance. It is its share of the retry budget of all instances together.
	RetryBudget retrybudget.Limits
	Log         zerolog.Logger
	// LogBudget limits the log lines about requests.
	LogBudget *events.Budget
	// StoreAge returns the time since the last contact with the store.
	StoreAge func() time.Duration
	// ApplyWithin is the time within which a change of the configuration, such as a new key, has to be in force.
	ApplyWithin time.Duration
	// RevokeWithin is the age of the state from which on keys are not accepted any more, or 0 if it does not matter.
	RevokeWithin time.Duration
	// Quotas bounds the requests of organisations. It may be nil.
	Quotas  Quotas
	Metrics *Metrics
	Rand    *rand.Rand
}

// Frontend serves the callers of one instance. It is safe for concurrent use.
type Frontend struct {
	cfg    FrontendConfig
	active atomic.Int64
	// window is set once the process stops.
	window atomic.Pointer[shutdown.Window]
	// running ends when the requests in progress have to end.
	running context.Context
	end     context.CancelFunc

	mu        sync.Mutex
	balancer  *balance.Balancer
	budgets   map[string]*retrybudget.Budget
	splits    map[string]*split
	deadlines callerDeadlines
	links     links
}

// NewFrontend returns a frontend that uses cfg.
func NewFrontend(cfg FrontendConfig) *Frontend {
	f := &Frontend{cfg: cfg, budgets: map[string]*retrybudget.Budget{}, splits: map[string]*split{}, links: links{}, deadlines: callerDeadlines{}}
	f.running, f.end = context.WithCancel(context.Background())
	f.balancer = balance.New(balance.Location{FailureDomain: cfg.FailureDomain, Region: cfg.Region, IsLocal: f.isLocal}, cfg.Rand)
	return f
}

// isLocal reports whether t is the local target.
func (f *Frontend) isLocal(t *mesh.Target) bool { return t.Addr == f.cfg.Gatekeeper.cfg.Addr }

// StartDraining makes the frontend close each caller's connection after the next response on it, and refuse the requests that could
// not end within the window.
func (f *Frontend) StartDraining(w *shutdown.Window) { f.window.Store(w) }

// End ends the requests that are still in progress with a response that promises nothing.
func (f *Frontend) End() { f.end() }

// Active returns the number of requests in progress.
func (f *Frontend) Active() int64 { return f.active.Load() }

// Limits of the frontend.
const (
	// defaultDeadline applies to requests without a deadline, maxDeadline to those with a longer one.
	defaultDeadline = 10 * time.Second
	maxDeadline     = time.Hour
	// maxRefusals is the number of attempts that did not reach a target, such as refusals by a gate, after which the request
	// is refused.
	maxRefusals = 4
	// maxBufferedBody is the size in bytes up to which a body is read before the request is forwarded, so that it can be
	// sent again to another target.
	maxBufferedBody = 4 << 20
	// smallBody is the size in bytes up to which a body needs no room among the larger ones, so that these can't keep it out.
	smallBody = 8 << 10
	// roomRetryAfter is the retry-after of a request for whose body there is no room.
	roomRetryAfter = 500 * time.Millisecond
	// unreadBodyTimeout is how long the body of a refused call may still arrive.
	unreadBodyTimeout = 5 * time.Second
	// responseSlack is the time after the request's deadline within which the response of the last target may still arrive.
	responseSlack = 60 * time.Millisecond
	// noConfigRetryAfter is the retry-after of a process that has just started and has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// hedgeFactor is the number of mean running times after which the response to a retryable request is presumed lost.
	hedgeFactor = 3
	// minTimeFactor is the fraction of the mean running time that has to be left for another attempt.
	minTimeFactor = 0.6
)

// ServeHTTP implements http.Handler for callers.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := r.Body
	req := &request{incoming: r, arrived: clock.Now(), state: f.cfg.Holder.Load(), caller: f.cfg.Service}
	f.serve(w, req)
	if !req.received {
		unreadbody.Receive(w, r, body)
	}
}

// serve answers a request.
func (f *Frontend) serve(w http.ResponseWriter, req *request) {
	r := req.incoming
	f.active.Add(1)
	defer f.active.Add(-1)
	window := f.window.Load()
	if window != nil {
		w.Header().Set("Connection", "close")
	}
	unreadbody.Limit(w, r)
	if req.state.Config == nil {
		o := noResponse(notRun, reasonNoConfig)
		o.retryAfter = noConfigRetryAfter
		f.refuse(w, req, o)
		return
	}
	target, ok := httppool.OriginForm(r)
	path, _, _ := strings.Cut(target, "?")
	if ok {
		r.RequestURI = target // sent as it was matched
		req.route = req.state.Config.Match(r.Host, path)
	}
	if req.route == nil {
		if f.cfg.LogBudget.Allow() {
			f.cfg.Log.Info().Str("request", r.Header.Get(f.cfg.Names.RequestID)).Str("host", r.Host).Str("path", path).
				Uint64("config", req.configVersion()).Dur("age", f.cfg.StoreAge()).Msg(events.NoRoute)
		}
		f.cfg.Metrics.observeRequest(kindNone, "404", reasonNoRoute, clock.Now().Sub(req.arrived))
		respondText(w, r, http.StatusNotFound, "no route takes this host and path; check them against the configuration")
		return
	}
	if !f.identify(w, req) {
		return
	}
	if limit := req.state.Config.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		f.refuseLongBody(w, req)
		return
	}
	f.plan(req)
	if window != nil {
		deadline, ok := window.Admit(req.arrived, req.deadline, req.route.Objective)
		if !ok {
			f.refuse(w, req, noResponse(notRun, reasonLeaving))
			return
		}
		req.deadline = deadline
	}
	if !f.admit(w, req) {
		return
	}
	closeBody, err := f.readBody(w, req)
	defer closeBody()
	if err == nil {
		err = f.identifyRequest(req)
	}
	if err != nil {
		f.refuseBody(w, req, err)
		return
	}
	abandoned := watchAbandonment(r.Context())
	defer abandoned.stop()
	o := f.forward(r.Context(), req)
	if at, ok := abandoned.since(); ok {
		f.logCallerLeft(req, at)
	}
	f.writeResponse(w, req, o)
}

// forward tries targets until one responds or no further attempt is allowed.
func (f *Frontend) forward(ctx context.Context, req *request) *outcome {
	ctx, cancel := context.WithTimeout(ctx, remaining(req.deadline)+responseSlack)
	stop := context.AfterFunc(f.running, cancel)
	return f.tryTargets(ctx, req).onClose(func() { stop(); cancel() })
}

func (f *Frontend) tryTargets(ctx context.Context, req *request) *outcome {
	last := noResponse(notRun, reasonNoTarget)
	if ctx.Err() != nil { // the caller left before its request was read
		return noResponse(notRun, failureReason(ctx, reasonCancelled))
	}
	for {
		if f.crashes().lookup(req.fingerprint) == quarantine.Quarantined {
			return req.final(noResponse(notRun, reasonQuarantined))
		}
		choice, ok := f.pick(req)
		if !ok {
			if req.linkRetryAfter > 0 && last.reason == reasonNoTarget {
				last.reason, last.retryAfter = reasonLinkBusy, req.linkRetryAfter
			}
			return req.final(last)
		}
		last = f.attemptHedged(ctx, req, choice)
		if f.succeeded(req, last) {
			req.failedResponse.discard()
			return last
		}
		req.recordAttempt(last)
		if !f.shouldRetry(ctx, req, last) {
			return req.final(last)
		}
	}
}

// retryableFailure reports whether o is a target's failure response to a request that may be retried at another target.
func (f *Frontend) retryableFailure(req *request, o *outcome) bool {
	return req.route.Kind.Retryable() && o.status >= http.StatusInternalServerError
}

// pick chooses a target and records that an attempt starts there. It returns false if no target is available.
func (f *Frontend) pick(req *request) (balance.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempt := balance.Attempt{
		Now: clock.Now(), State: f.cfg.Holder.Load(), Route: req.route, Organisation: req.organisation, Service: req.service, Bytes: len(req.body), Tried: req.tried,
		LinkState: f.linkState(req),
	}
	req.atHome = f.crashes().lookup(req.fingerprint) == quarantine.Suspect
	if req.atHome {
		if attempt.Only = f.home(req, attempt.State); attempt.Only == "" {
			return balance.Choice{}, false
		}
	}
	choice, ok := f.balancer.Pick(attempt)
	if ok {
		f.balancer.Started(clock.Now(), choice)
		if choice.Distance == balance.OtherRegion {
			f.links.pacerFor(choice.Target.Region).RecordSent(clock.Now(), len(req.body)+balance.HeaderBytes)
		}
		req.tried = append(req.tried, choice.Target.ID)
	}
	return choice, ok
}

// attempt sends the request to one target and records the outcome.
func (f *Frontend) attempt(ctx context.Context, req *request, choice balance.Choice) *outcome {
	f.mu.Lock()
	atHome := req.atHome // a hedge that begins meanwhile sets it again
	f.mu.Unlock()
	c := f.call(req, choice.Target, atHome)
	c.expectContinue = choice.ExpectContinue
	start := clock.Now()
	var o *outcome
	if choice.Distance == balance.Local {
		o = f.cfg.Gatekeeper.do(ctx, c)
	} else {
		o = f.cfg.Peers.do(ctx, choice.Target, c)
	}
	o.target = choice.Target.ID
	f.crashes().apply(o.notice)
	took := clock.Now().Sub(start)
	f.cfg.Metrics.attempt(req.route.Kind, o, took)
	f.observeRegion(req, choice, c, o)
	f.recordOutcome(ctx, req, choice, o, took)
	f.logAttempt(req, choice, o)
	return o
}

// recordOutcome passes the outcome of an attempt to the balancer and the link's pacer, and updates the request.
func (f *Frontend) recordOutcome(ctx context.Context, req *request, choice balance.Choice, o *outcome, took time.Duration) {
	t, result := choice.Target, balance.Succeeded
	switch {
	case ctx.Err() != nil:
		result = balance.Abandoned
	case o.leaving || o.reason == reasonLeaving || o.reason == reasonMoved:
		result = balance.Leaving
	case o.reason == reasonUnreachable || o.reason == reasonTargetDown:
		result = balance.Unreachable
	case o.run == unknown || o.reason == reasonShed || o.run == ran && o.status >= http.StatusInternalServerError:
		result = balance.Failed
	case o.run == notRun:
		result = balance.Refused
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.arrived {
		req.arrivals++
	}
	if o.retryAfter > 0 && (req.retryAfter == 0 || o.retryAfter < req.retryAfter) {
		req.retryAfter = o.retryAfter
	}
	f.observeLink(req, t, choice.Distance, o, took)
	f.balancer.Ended(clock.Now(), choice, balance.Completion{
		Route: req.route.Name, Result: result, Load: o.load, RunTime: o.took, ResponseBytes: len(o.body), RoundTrip: took - o.gatekeeperTime,
		TargetLeaving: o.targetLeaving,
	})
}

// shouldRetry reports whether another attempt is allowed after o. Attempts that did not reach a target are limited by
// maxRefusals; others are taken from the retry budget.
func (f *Frontend) shouldRetry(ctx context.Context, req *request, o *outcome) bool {
	if ctx.Err() != nil || req.rest != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	need := time.Duration(minTimeFactor * float64(f.balancer.MeanRunTime(req.route.Name)))
	if remaining(req.deadline) < need {
		return false
	}
	if !o.arrived && o.run == notRun {
		if req.atHome && !targetUnavailable(o) {
			return false // another target would be a second home
		}
		if o.reason == reasonSuspected {
			req.tried = slices.DeleteFunc(req.tried, func(id string) bool { return id == o.target }) // it may be the home
		}
		req.refusals++
		return req.refusals < maxRefusals
	}
	if o.run != notRun && !req.route.Kind.Retryable() {
		return false
	}
	return f.takeRetry(req, req.arrivals)
}

// takeRetry reports whether a retry is allowed after the given number of arrivals, and takes it from the budget if so. It
// must be called with f.mu held.
func (f *Frontend) takeRetry(req *request, arrivals int) bool {
	if arrivals >= req.route.MaxTargets || !f.budget(req.service).AllowRetry(clock.Now(), f.cfg.RetryBudget) {
		return false
	}
	f.cfg.Metrics.retries.Inc()
	return true
}

// budget returns the retry budget of a service. It must be called with f.mu held.
func (f *Frontend) budget(service string) *retrybudget.Budget {
	b := f.budgets[service]
	if b == nil {
		b = &retrybudget.Budget{}
		f.budgets[service] = b
	}
	return b
}

// writeResponse writes an outcome to the caller.
func (f *Frontend) writeResponse(w http.ResponseWriter, req *request, o *outcome) {
	if o.run != ran {
		f.refuse(w, req, o)
		return
	}
	h := w.Header()
	headers.StripHopByHop(o.header)
	delete(o.header, hopResponseHeader)
	delete(o.header, hopQuarantineHeader)
	for name, values := range o.header {
		h[name] = values
	}
	f.recordRequest(req, o, o.status, 0)
	answerEarly(w, req.rest != nil)
	defer deliver(req.incoming.Context(), f.bodies(), o)()
	if err := writeBody(w, o); err != nil {
		f.cfg.Log.Debug().Err(err).Str("request", req.incoming.Header.Get(f.cfg.Names.RequestID)).Msg(events.ResponseIncomplete)
		stream.Abort(w, req.incoming)
	}
}

// refuse writes an error response for a request that no target answered.
func (f *Frontend) refuse(w http.ResponseWriter, req *request, o *outcome) {
	status, retryAfter := http.StatusServiceUnavailable, time.Duration(0)
	switch {
	case o.run != notRun:
		status = http.StatusBadGateway
		if o.reason == reasonTimeout {
			status = http.StatusGatewayTimeout
		}
	case o.reason == reasonQuarantined:
		f.refund(req)
		status = http.StatusUnprocessableEntity
	default:
		if o.reason == reasonOverQuota {
			status = http.StatusTooManyRequests
		}
		f.refund(req)
		retryAfter = f.computeRetryAfter(req, o)
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	f.recordRequest(req, o, status, retryAfter)
	if !req.received {
		unreadbody.Respond(w, req.incoming)
	}
	h := w.Header()
	h["Content-Length"] = []string{"0"}
	h["Content-Type"] = nil
	if id := req.incoming.Header.Get(f.cfg.Names.RequestID); id != "" {
		h.Set(f.cfg.Names.RequestID, id)
	}
	w.WriteHeader(status)
}

// computeRetryAfter returns the retry-after of a refused request: the shortest that a gate returned, but at most a third of
// the time left to the deadline.
func (f *Frontend) computeRetryAfter(req *request, o *outcome) time.Duration {
	retryAfter := req.retryAfter
	if retryAfter == 0 {
		retryAfter = o.retryAfter
	}
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	if !req.deadline.IsZero() {
		retryAfter = min(retryAfter, max(remaining(req.deadline)/3, 0))
	}
	return max(retryAfter, minRetryAfter)
}

const (
	// defaultRetryAfter applies if no gate returned a retry-after. It is about the time in which the instances replace a
	// target that has just left.
	defaultRetryAfter = 150 * time.Millisecond
	minRetryAfter     = 10 * time.Millisecond
)

var kindNames = [...]string{mesh.Safe: "safe", mesh.Once: "once", mesh.Upload: "upload", mesh.Download: "download"}

// kindNone is the kind label of requests that match no route.
const kindNone = "none"
