// Package gatekeeper controls all access to the target of an instance: it admits requests, runs them and returns their
// responses.
package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/bodybuffer"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/once"
	"github.com/chervilwell/chervilwell/quarantine"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Config configures a Gatekeeper.
type Config struct {
	Instance      string
	FailureDomain string
	// Service is the service that the target runs.
	Service string
	// TargetAddr is the host:port of the target's HTTP listener.
	TargetAddr string
	// Holder provides the configuration in force.
	Holder *snapshot.Holder
	// Current reports whether the configuration in force may be used; nil means always. It returns false in a process that
	// was paused and has not yet compared its configuration with its peers.
	Current func() bool
	// Peers sends messages to the gatekeepers of the service's other instances. If nil, keyed requests run only while this
	// instance is the service's only voter.
	Peers Peers
	// Link limits the bandwidth of responses to other regions; nil means unlimited.
	Link *linkbudget.Budget
	// Now returns the current time for keyed requests; nil means time.Now.
	Now func() time.Time
	// Trail receives the audit records; may be nil.
	Trail *audit.Trail
	Log   zerolog.Logger
}

// Call is one request to the target.
type Call struct {
	// Route is the name of the route that the frontend matched.
	Route string
	// Organisation is the organisation to which the request is accounted.
	Organisation string
	// Request carries the method, URL, headers and body. Its context ends at the request's deadline. The gatekeeper may
	// change its headers.
	Request *http.Request
}

// Gatekeeper admits and runs the requests to one target.
type Gatekeeper struct {
	config          Config
	limits          atomic.Pointer[catalogue.ServiceLimits]
	pool            atomic.Pointer[httppool.Pool]
	configMu        sync.Mutex
	appliedRevision atomic.Uint64
	admitter        admitter
	bodies          *bodybuffer.Buffer
	keys            keyTable
	crashTracker    crashTracker
	health          health
	draining        atomic.Bool
	running         sync.WaitGroup
	drainMu         sync.RWMutex
}

// New returns a gatekeeper. Its background work is done by Serve.
func New(config Config) *Gatekeeper {
	if config.Now == nil {
		config.Now = time.Now
	}
	g := &Gatekeeper{config: config, bodies: bodybuffer.New(maxWaitingBodies)}
	g.keys = keyTable{
		table: once.New(config.Now(), once.Voter{Instance: config.Instance}, once.DefaultLimits),
		runs:  map[once.Key]chan struct{}{},
		now:   config.Now,
	}
	g.crashTracker = crashTracker{list: quarantine.New(config.Instance), trial: make(chan struct{}, 1)}
	g.limits.Store(&catalogue.ServiceLimits{})
	return g
}

// Load returns the load of the target. While the target accepts no connections, its limit is 0.
func (g *Gatekeeper) Load() headers.LoadState {
	load := g.admitter.load()
	if g.health.down.Load() {
		load.Limit = 0
	}
	return load
}

// Phase returns the phase that the admission gate assumes for the target.
func (g *Gatekeeper) Phase() admission.Phase { return g.admitter.state().Phase }

// MarkCold records that the target or its host reported a cold start.
func (g *Gatekeeper) MarkCold() { g.admitter.markCold() }

// Serve advances the admission gate's clock, probes the target and exchanges messages with the service's other voters until
// the context ends. It returns the context's error.
func (g *Gatekeeper) Serve(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { g.serveVoters(ctx) })
	workers.Go(func() { g.serveHealth(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(g.admitter.tick())
		}
	}
}

// Leaving reports whether the gatekeeper refuses new requests because the instance is leaving.
func (g *Gatekeeper) Leaving() bool { return g.draining.Load() }

// Do runs a call at the target. It returns either a response or a refusal. The response's body must be closed.
func (g *Gatekeeper) Do(call *Call) (*http.Response, *refusal.Refusal) {
	if !g.begin() {
		return nil, refusal.New(refusal.Leaving, "instance %q is leaving", g.config.Instance)
	}
	if g.config.Current != nil && !g.config.Current() {
		g.running.Done()
		return nil, refusal.New(refusal.NotReady, "instance %q holds no configuration that is known to be current", g.config.Instance)
	}
	state := g.config.Holder.Load()
	route, refused := g.check(state, call)
	if refused != nil {
		g.running.Done()
		return nil, refused
	}
	g.configure(state.Config)
	if key, ok := keyOf(call, route); ok {
		defer g.running.Done()
		return g.doKeyed(call, route, key)
	}
	return g.start(call, route)
}

// begin counts a request as running. It returns false while the gatekeeper drains.
func (g *Gatekeeper) begin() bool {
	g.drainMu.RLock()
	defer g.drainMu.RUnlock()
	if g.draining.Load() {
		return false
	}
	g.running.Add(1)
	return true
}

// start admits and runs a call that was counted as running. The count ends with a refusal or with the response body.
func (g *Gatekeeper) start(call *Call, route *snapshot.Route) (*http.Response, *refusal.Refusal) {
	resp, refused := g.admit(call, route)
	if refused != nil {
		g.running.Done()
		return nil, refused
	}
	return resp, nil
}

func (g *Gatekeeper) admit(call *Call, route *snapshot.Route) (*http.Response, *refusal.Refusal) {
	tracked, refused := g.checkQuarantine(call, route)
	if refused != nil {
		return nil, refused
	}
	releaseBody := func() {}
	permit, refused := g.admitter.acquire(call.Request.Context(), call.Organisation, route.Class, func() (refused *refusal.Refusal) {
		releaseBody, refused = g.bufferBody(call.Request)
		return refused
	})
	releaseBody()
	if refused != nil {
		g.endTrial(tracked)
		return nil, refused
	}
	if refused := g.beginRun(tracked); refused != nil {
		permit.finish(admission.Cancelled)
		g.endTrial(tracked)
		return nil, refused
	}
	return g.run(call, permit, tracked)
}

// check checks the call against the configuration in force at this instance, before its body is read.
func (g *Gatekeeper) check(state *snapshot.State, call *Call) (*snapshot.Route, *refusal.Refusal) {
	config := state.Config
	if g.health.down.Load() {
		return nil, refusal.New(refusal.TargetDown, "the target of instance %q takes no connections", g.config.Instance)
	}
	if config == nil {
		return nil, refusal.New(refusal.NotReady, "instance %q holds no configuration yet", g.config.Instance)
	}
	route := config.ForCaller(config.Route(call.Route), call.Organisation)
	if route == nil {
		return nil, refusal.New(refusal.NotReady, "instance %q knows no route %q at revision %d", g.config.Instance, call.Route, config.Version().Revision)
	}
	if region := config.RegionOf(g.config.FailureDomain); !route.Allows(region) {
		return nil, refusal.New(refusal.WrongRegion, "route %q may not run in region %q", route.Name, region)
	}
	if route.Service != g.config.Service {
		return nil, refusal.New(refusal.WrongTarget, "instance %q runs service %q, not %q", g.config.Instance, g.config.Service, route.Service)
	}
	if !config.DomainInService(g.config.FailureDomain) || !config.InstanceInService(g.config.Instance) {
		return nil, refusal.New(refusal.OutOfService, "instance %q is out of service", g.config.Instance)
	}
	if config.Organisation(call.Organisation) == nil {
		return nil, refusal.New(refusal.NoOrganisation, "organisation %q is not in the catalogue", call.Organisation)
	}
	return route, nil
}

// configure applies the limits of a revision, once per revision.
func (g *Gatekeeper) configure(config *snapshot.Config) {
	revision := config.Version().Revision
	if g.appliedRevision.Load() >= revision && g.pool.Load() != nil {
		return
	}
	g.configMu.Lock()
	defer g.configMu.Unlock()
	service := config.Service(g.config.Service)
	if service == nil || (g.appliedRevision.Load() >= revision && g.pool.Load() != nil) {
		return
	}
	old := g.limits.Load()
	limits := service.Limits
	if previous := g.pool.Load(); previous == nil || old.Connections != limits.Connections {
		g.pool.Store(newTargetPool(g.config.TargetAddr, limits.Connections))
		if previous != nil {
			previous.Close()
		}
	}
	g.limits.Store(&limits)
	g.admitter.configure(limits, config.Organisations())
	g.appliedRevision.Store(revision)
}

// run sends an admitted call to the target.
func (g *Gatekeeper) run(call *Call, permit *permit, tracked *trackedRun) (*http.Response, *refusal.Refusal) {
	ctx := call.Request.Context()
	resp, err := g.pool.Load().Do(g.outgoing(ctx, call))
	if err != nil {
		wrote := !errors.Is(err, httppool.ErrNotWritten)
		g.end(permit, tracked, resultOf(ctx, err), wrote)
		if !wrote && ctx.Err() == nil {
			g.health.down.Store(true)
			return nil, refusal.New(refusal.TargetDown, "target: %v", err)
		}
		return nil, failure(ctx, err, wrote)
	}
	permit.responded()
	g.health.responded.Store(true)
	if !delimited(resp) {
		resp.Body.Close()
		g.end(permit, tracked, admission.Failed, true)
		return nil, refusal.Unknown(refusal.InvalidResponse, "answer has neither Content-Length nor chunked encoding")
	}
	attempt := resp.Header[headers.Attempt]
	headers.StripInternal(resp.Header)
	headers.StripHopByHop(resp.Header)
	if len(attempt) == 1 {
		resp.Header[headers.Attempt] = attempt // the count of the target's own calls, for its caller
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, onEnd: func(err error) {
		g.end(permit, tracked, resultOfResponse(ctx, resp.StatusCode, err), true)
		g.running.Done()
	}}
	return resp, nil
}

// end releases a request's permit. If its connection broke after the request was written, the target may have crashed.
func (g *Gatekeeper) end(permit *permit, tracked *trackedRun, result admission.Result, wrote bool) {
	if result == admission.Crashed && wrote {
		g.handleBrokenConn(tracked)
	}
	permit.finish(result)
	g.endRun(tracked, result, wrote)
}

// resultOf returns the result of a request that got no response, or only part of one.
func resultOf(ctx context.Context, err error) admission.Result {
	var tooLarge *http.MaxBytesError
	switch {
	case stream.DeadlinePassed(ctx):
		return admission.Failed
	case ctx.Err() != nil || errors.As(err, &tooLarge):
		return admission.Cancelled
	}
	return admission.Crashed
}

// resultOfResponse returns the result of a request whose response has started.
func resultOfResponse(ctx context.Context, status int, err error) admission.Result {
	switch {
	case errors.Is(err, errReaderClosed):
		return admission.Cancelled
	case err != nil:
		return resultOf(ctx, err)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.Shed
	case status >= http.StatusInternalServerError:
		return admission.Failed
	}
	return admission.OK
}

// outgoing returns the request as it is sent to the target.
func (g *Gatekeeper) outgoing(ctx context.Context, call *Call) *http.Request {
	r := call.Request
	headers.StripHopByHop(r.Header)
	out := r.WithContext(ctx)
	target, _ := httppool.OriginForm(r) // a request without a path has no route
	httppool.SetTarget(out, g.config.TargetAddr, target)
	out.RequestURI = ""
	out.Close = false
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	delete(out.Header, "Expect")
	out.Header[headers.Organisation] = []string{call.Organisation}
	stream.SuppressDefaultUserAgent(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header[headers.Timeout] = []string{headers.FormatTimeout(time.Until(deadline))}
	}
	return out
}

// failure returns the refusal for a request that got no response from the target.
func failure(ctx context.Context, err error, wrote bool) *refusal.Refusal {
	kind := refusal.Unreachable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		kind = refusal.BodyTooLarge
	case errors.Is(err, context.DeadlineExceeded), stream.DeadlinePassed(ctx):
		kind = refusal.Timeout
	case ctx.Err() != nil:
		kind = refusal.Cancelled
	case wrote:
		kind = refusal.InvalidResponse
	}
	if wrote {
		return refusal.Unknown(kind, "target: %v", err)
	}
	return refusal.New(kind, "target: %v", err)
}

// delimited reports whether the end of a response body can be distinguished from a broken connection.
func delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return true
	}
	return len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
}
