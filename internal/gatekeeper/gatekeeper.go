// Package gatekeeper is the only way to the target of an instance: it admits requests, runs them and answers for them.
package gatekeeper

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/once"
	"github.com/chervilwell/chervilwell/quarantine"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Config says which target a gatekeeper keeps.
type Config struct {
	Instance      string
	FailureDomain string
	// Service is the service that the target runs.
	Service string
	// TargetAddr is the host:port of the target's HTTP listener.
	TargetAddr string
	// Holder has the configuration in force.
	Holder *snapshot.Holder
	// Current reports whether the configuration in force may be used; nil means always. It is false in a process that was
	// paused and has not yet compared its configuration with its peers.
	Current func() bool
	// Peers reaches the gatekeepers of the service's other instances. Without it no keyed request can run beside others.
	Peers Peers
	// Link paces answers to other regions; nil means unlimited.
	Link *linkbudget.Budget
	// Now returns the present time for keyed requests; nil means time.Now.
	Now func() time.Time
	// Trail takes the audit records; it may be nil.
	Trail *audit.Trail
	Log   zerolog.Logger
}

// Call is one request on its way to the target.
type Call struct {
	// Route is the name of the route that the frontend matched.
	Route string
	// Organisation is the one that the request is accounted to.
	Organisation string
	// Request carries method, URL, headers and body. Its context ends with the request's deadline.
	// The gatekeeper may change its headers.
	Request *http.Request
}

// Gatekeeper admits requests to one target.
type Gatekeeper struct {
	config    Config
	limits    atomic.Pointer[catalogue.ServiceLimits]
	pool      atomic.Pointer[httppool.Pool]
	setup     sync.Mutex
	version   atomic.Uint64
	turnstile turnstile
	keys      keyTable
	crashes   crashes
	health    health
	draining  atomic.Bool
	running   sync.WaitGroup
	drainLock sync.RWMutex
}

// New returns a gatekeeper.
func New(config Config) *Gatekeeper {
	if config.Now == nil {
		config.Now = time.Now
	}
	g := &Gatekeeper{config: config}
	g.keys = keyTable{
		table: once.New(config.Now(), once.Seat{Instance: config.Instance}, once.DefaultLimits),
		runs:  map[once.Key]chan struct{}{},
		now:   config.Now,
	}
	g.crashes = crashes{list: quarantine.New(config.Instance), trial: make(chan struct{}, 1)}
	g.limits.Store(&catalogue.ServiceLimits{})
	return g
}

// Load returns the load of the target.
// While the target takes no connections, its limit is 0.
func (g *Gatekeeper) Load() headers.LoadState {
	load := g.turnstile.load()
	if g.health.down.Load() {
		load.Limit = 0
	}
	return load
}

// Phase returns the gate's belief about the target.
func (g *Gatekeeper) Phase() admission.Phase { return g.turnstile.state().Phase }

// TurnCold tells that the target or its host reported a cold start.
func (g *Gatekeeper) TurnCold() { g.turnstile.cold() }

// Serve lets the gate's time pass and keeps in touch with the service's other instances until the context ends.
func (g *Gatekeeper) Serve(ctx context.Context) error {
	var seats sync.WaitGroup
	defer seats.Wait()
	seats.Go(func() { g.serveSeats(ctx) })
	seats.Go(func() { g.serveHealth(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(g.turnstile.tick())
		}
	}
}

// Leaving reports whether the gatekeeper refuses new work because the instance is leaving.
func (g *Gatekeeper) Leaving() bool { return g.draining.Load() }

// Do runs a call at the target. Exactly one of the results is set. The response's body must be closed.
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

// begin counts a request as running unless the gatekeeper drains.
func (g *Gatekeeper) begin() bool {
	g.drainLock.RLock()
	defer g.drainLock.RUnlock()
	if g.draining.Load() {
		return false
	}
	g.running.Add(1)
	return true
}

// start admits and runs a call that was counted as running. The count ends with a refusal or with the answer's body.
func (g *Gatekeeper) start(call *Call, route *snapshot.Route) (*http.Response, *refusal.Refusal) {
	resp, refused := g.admit(call, route)
	if refused != nil {
		g.running.Done()
		return nil, refused
	}
	return resp, nil
}

func (g *Gatekeeper) admit(call *Call, route *snapshot.Route) (*http.Response, *refusal.Refusal) {
	suspicion, refused := g.vet(call, route)
	if refused != nil {
		return nil, refused
	}
	pass, refused := g.turnstile.enter(call.Request.Context(), call.Organisation, route.Class)
	if refused != nil {
		g.release(suspicion)
		return nil, refused
	}
	if refused := g.beginRun(suspicion); refused != nil {
		pass.leave(admission.Cancelled)
		g.release(suspicion)
		return nil, refused
	}
	return g.run(call, pass, suspicion)
}

// check holds the call against the configuration in force here, before its body is read.
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

// configure puts the limits of a revision in force once.
func (g *Gatekeeper) configure(config *snapshot.Config) {
	revision := config.Version().Revision
	if g.version.Load() >= revision && g.pool.Load() != nil {
		return
	}
	g.setup.Lock()
	defer g.setup.Unlock()
	service := config.Service(g.config.Service)
	if service == nil || (g.version.Load() >= revision && g.pool.Load() != nil) {
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
	g.turnstile.configure(limits, config.Organisations())
	g.version.Store(revision)
}

// run sends an admitted call to the target.
func (g *Gatekeeper) run(call *Call, pass *pass, suspicion *suspicion) (*http.Response, *refusal.Refusal) {
	ctx := call.Request.Context()
	resp, err := g.pool.Load().Do(g.outgoing(ctx, call))
	if err != nil {
		wrote := !errors.Is(err, httppool.ErrNotWritten)
		g.end(pass, suspicion, resultOf(ctx, err), wrote)
		if !wrote && ctx.Err() == nil {
			g.health.down.Store(true)
			return nil, refusal.New(refusal.TargetDown, "target: %v", err)
		}
		return nil, failure(ctx, err, wrote)
	}
	pass.responded()
	g.health.answered.Store(true)
	if !verifiable(resp) {
		resp.Body.Close()
		g.end(pass, suspicion, admission.Failed, true)
		return nil, refusal.Unknown(refusal.BrokenAnswer, "answer has neither Content-Length nor chunked encoding")
	}
	attempt := resp.Header[headers.Attempt]
	headers.StripInternal(resp.Header)
	headers.StripHopByHop(resp.Header)
	if len(attempt) == 1 {
		resp.Header[headers.Attempt] = attempt // the count of the target's own calls, for its caller
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, end: func(err error) {
		g.end(pass, suspicion, resultOfAnswer(ctx, resp.StatusCode, err), true)
		g.running.Done()
	}}
	return resp, nil
}

// end gives up the place of a request at the target. If its connection broke after it was written, the target may have crashed.
func (g *Gatekeeper) end(pass *pass, suspicion *suspicion, result admission.Result, wrote bool) {
	if result == admission.Crashed && wrote {
		g.cut(suspicion)
	}
	pass.leave(result)
	g.endRun(suspicion, result)
}

// resultOf says how a request ended that got no answer.
func resultOf(ctx context.Context, err error) admission.Result {
	var tooLarge *http.MaxBytesError
	switch {
	case stream.Expired(ctx):
		return admission.Failed
	case ctx.Err() != nil || errors.As(err, &tooLarge):
		return admission.Cancelled
	}
	return admission.Crashed
}

// resultOfAnswer says how a request ended whose answer began.
func resultOfAnswer(ctx context.Context, status int, err error) admission.Result {
	switch {
	case errors.Is(err, errAbandoned):
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

// outgoing returns the request as the target gets it.
func (g *Gatekeeper) outgoing(ctx context.Context, call *Call) *http.Request {
	r := call.Request
	headers.StripHopByHop(r.Header)
	out := r.WithContext(ctx)
	out.URL = &url.URL{
		Scheme:   "http",
		Host:     g.config.TargetAddr,
		Path:     r.URL.Path,
		RawPath:  r.URL.RawPath,
		RawQuery: r.URL.RawQuery,
	}
	out.RequestURI = ""
	out.Close = false
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	delete(out.Header, "Expect")
	out.Header[headers.Organisation] = []string{call.Organisation}
	stream.KeepUserAgent(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header[headers.Timeout] = []string{headers.FormatTimeout(time.Until(deadline))}
	}
	return out
}

// failure says what became of a request that the target gave no answer to.
func failure(ctx context.Context, err error, wrote bool) *refusal.Refusal {
	kind := refusal.Unreachable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		kind = refusal.BodyTooLarge
	case errors.Is(err, context.DeadlineExceeded), stream.Expired(ctx):
		kind = refusal.Timeout
	case ctx.Err() != nil:
		kind = refusal.Cancelled
	case wrote:
		kind = refusal.BrokenAnswer
	}
	if wrote {
		return refusal.Unknown(kind, "target: %v", err)
	}
	return refusal.New(kind, "target: %v", err)
}

// verifiable reports whether the end of an answer can be told from a cut connection.
func verifiable(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return true
	}
	return len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
}
