package proxy

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
	"github.com/chervilwell/chervilwell/quarantine"
	"github.com/chervilwell/chervilwell/ratelimit"
	"github.com/chervilwell/chervilwell/shutdown"
)

// Limits and intervals of the gatekeeper.
const (
	// targetDialTimeout applies to connections to the local target.
	targetDialTimeout = 250 * time.Millisecond
	// targetIdleTimeout is the idle timeout of connections to the target. It is below the idle timeout of targets, which is
	// ten seconds or more.
	targetIdleTimeout = 4 * time.Second
	// deadlineSlack is the time after the deadline within which a response that the target sends at the deadline may still
	// arrive.
	deadlineSlack = 40 * time.Millisecond
	// maxResponseHeaderBytes is the maximum size of a target's response header.
	maxResponseHeaderBytes = 64 << 10
	// maxLimitAge is the age from which on a rate limit that holds back requests is checked.
	maxLimitAge = time.Second
	// defaultSlots applies until the target's entry has been read.
	defaultSlots = 4
	// defaultColdRate is the maximum number of starts per second at a cold target whose service has no configured rate.
	defaultColdRate = 10
)

// GatekeeperConfig is the configuration of a Gatekeeper.
type GatekeeperConfig struct {
	// Bodies is the memory for bodies of the process. If it is nil, the gatekeeper has its own, of maxWaitingBodies.
	Bodies *bodyroom.Room
	// Addr is the address of the local target.
	Addr netip.AddrPort
	// Service is the service of the local target.
	Service string
	// Peers sends notices to other processes.
	Peers *Peers
	// LinkRate is the bandwidth of the machine's link in bytes per second, or 0 if unknown.
	LinkRate float64
	Holder   *mesh.Holder
	Names    HeaderNames
	// DecodeNotice decodes what the target states about itself in the header of a response.
	DecodeNotice func(http.Header) (Notice, error)
	Log          zerolog.Logger
	// LogBudget limits the log lines about requests.
	LogBudget *events.Budget
	Metrics   *Metrics
}

// Gatekeeper controls all access to the local target. It is safe for concurrent use.
type Gatekeeper struct {
	cfg     GatekeeperConfig
	pool    *httppool.Pool
	bodies  *bodyroom.Room
	stopped atomic.Bool
	active  atomic.Int64
	// window is set once the process stops.
	window atomic.Pointer[shutdown.Window]
	// running ends when the calls in progress have to end.
	running context.Context
	end     context.CancelFunc
	// leavingTarget is the last incarnation of the target that stated that it is leaving, or nil.
	leavingTarget atomic.Pointer[incarnation]

	mu      sync.Mutex
	gate    *gate.Gate
	inbound *pacer.Inbound
	// outbound schedules the large responses that leave over the machine's link, linkTimer its next Tick.
	outbound  *pacer.Outbound
	linkTimer *time.Timer
	// linkBusyLogged is the time of the last log line that reports a busy link.
	linkBusyLogged time.Time
	// responses limits the bodies of the target's responses in memory.
	responses responseRoom
	// entry is the target's entry as last applied, or nil.
	entry *mesh.Target
	// wasOutOfService reports whether the target's failure domain was out of service in the last state applied.
	wasOutOfService bool
	tickTimer       *time.Timer
	health          health
	// rateLimit is the limit that the target states.
	rateLimit ratelimit.Advertised
	// noticeLog limits the log lines about what the target states, and about its crashes.
	noticeLog *rate.Limiter

	crashes crashTracker
	// learnOnce starts learn. learned is set once other processes may learn from this one.
	learnOnce sync.Once
	learned   atomic.Bool
	// deliveries limits the notices that are being sent.
	deliveries *semaphore.Weighted
}

// NewGatekeeper returns a gatekeeper that treats its target as cold until the target reports that it is warm.
func NewGatekeeper(cfg GatekeeperConfig) *Gatekeeper {
	k := &Gatekeeper{
		cfg: cfg, gate: gate.New(defaultSlots), inbound: pacer.NewInbound(cfg.LinkRate), outbound: pacer.NewOutbound(cfg.LinkRate),
		bodies: cmp.Or(cfg.Bodies, bodyroom.NewRoom(maxWaitingBodies)), noticeLog: rate.NewLimiter(noticeLinesPerSecond, noticeBurstLines),
	}
	k.responses = newResponseRoom(k.bodies)
	k.crashes.list, k.crashes.trial = quarantine.New(cfg.Addr.Addr().String()), make(chan struct{}, 1)
	k.deliveries = semaphore.NewWeighted(maxDeliveries)
	k.running, k.end = context.WithCancel(context.Background())
	k.pool = httppool.New(httppool.Config{
		Dial:           func(ctx context.Context) (net.Conn, error) { return dial(ctx, cfg.Addr.String(), targetDialTimeout) },
		MaxConns:       maxTargetConns,
		Exhausted:      func() (stop func()) { return k.bodies.EndUnread(k.pool) },
		MaxIdle:        maxTargetConns,
		IdleTimeout:    targetIdleTimeout,
		MaxHeaderBytes: maxResponseHeaderBytes,
		MatchesRequest: k.matchesRequest,
		Identifiable:   func(req *http.Request) bool { return req.Header.Get(cfg.Names.RequestID) != "" },
	})
	k.gate.SetCold(clock.Now(), defaultColdRate)
	return k
}

// maxTargetConns is the maximum number of connections to the target. It is below the known limits of all services, which
// apply to all callers together.
const maxTargetConns = 64

// matchesRequest reports whether resp echoes the request ID of req. Health checks, and requests of some callers, have none.
func (k *Gatekeeper) matchesRequest(req *http.Request, resp *http.Response) bool {
	name := k.cfg.Names.RequestID
	return req.Header.Get(name) == resp.Header.Get(name)
}

// StartDraining makes the gatekeeper announce to frontends that it is going to stop, and refuse the calls that could not end within the
// window.
func (k *Gatekeeper) StartDraining(w *shutdown.Window) { k.window.Store(w) }

// End ends the calls that are still in progress.
func (k *Gatekeeper) End() { k.end() }

// Stop makes the gatekeeper refuse new and waiting requests; those in progress continue.
func (k *Gatekeeper) Stop() {
	k.stopped.Store(true)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.RefuseWaiting()
}

// Update applies the current state of the mesh.
func (k *Gatekeeper) Update() {
	state := k.cfg.Holder.Load()
	k.mu.Lock()
	k.applyState(state)
	k.mu.Unlock()
	if state.Config != nil {
		k.learnOnce.Do(func() { go k.learn() })
	}
}

// Active returns the number of calls in progress.
func (k *Gatekeeper) Active() int64 { return k.active.Load() }

// applyState applies the target's entry: a new incarnation is cold at first, and a leaving target gets no more requests. It
// must be called with k.mu held.
func (k *Gatekeeper) applyState(state *mesh.State) {
	t := state.TargetAt(k.cfg.Addr)
	if t == nil {
		return
	}
	if !t.SameIncarnation(k.entry) {
		k.cfg.Log.Info().Str("target", t.ID).Int64("born", t.StartedMs).Dur("cold", t.ColdFor).Int("slots", t.Slots).Msg(events.TargetRestarted)
		k.rateLimit.Reset()
		k.gate.SetRateLimit(clock.Now(), ratelimit.Limit{})
		k.assumeCold("new life")
		k.gate.SetSlots(clock.Now(), t.Slots)
	}
	if t.ColdFor > 0 && (k.entry == nil || t.ColdFor != k.entry.ColdFor) {
		k.setColdFor(t.ColdFor)
	}
	k.entry = t
	outOfService := state.OutOfService[t.FailureDomain]
	if k.wasOutOfService && !outOfService {
		k.assumeCold("failure domain returned")
	}
	k.wasOutOfService = outOfService
	if !state.Usable(t) {
		k.gate.RefuseWaiting()
	}
}

// precheck returns the outcome of a call that has to be refused whatever the load, or nil.
func (k *Gatekeeper) precheck(state *mesh.State, c *call) *outcome {
	if window := k.window.Load(); k.stopped.Load() || window != nil && !window.Fits(c.deadline) {
		return noResponse(notRun, reasonLeaving)
	}
	if k.isLeaving(c.incarnation()) {
		return noResponse(notRun, reasonLeaving)
	}
	t := state.TargetAt(k.cfg.Addr)
	switch {
	case t == nil:
		return nil // only the frontend has read the entry; a different target at this address refuses the request itself
	case !c.matches(t) && t.StartedMs >= c.startedMs:
		return noResponse(notRun, reasonMoved)
	case c.matches(t) && !state.Usable(t):
		return noResponse(notRun, reasonLeaving)
	}
	return nil
}

// do runs a call as soon as the gate admits it and returns its outcome.
func (k *Gatekeeper) do(ctx context.Context, c *call) *outcome {
	start := clock.Now()
	k.active.Add(1)
	defer k.active.Add(-1)
	abandoned := watchAbandonment(ctx)
	defer abandoned.stop()
	state := k.cfg.Holder.Load()
	o := k.precheck(state, c)
	if o == nil {
		o = k.checkSuspect(c)
	}
	if o == nil {
		var forget func()
		forget, o = k.expectResponse(state, c)
		defer forget()
	}
	if o == nil {
		o = k.receiveBody(ctx, c)
	}
	if o == nil {
		o = k.identify(c)
	}
	if o == nil {
		o = k.admit(ctx, c)
	}
	load := k.load()
	o.load, o.leaving, o.targetLeaving, o.revision = &load, k.window.Load() != nil, k.isLeaving(c.incarnation()), state.Position.Revision
	o.notice = k.crashes.about(c.fingerprint)
	o.gatekeeperTime = clock.Now().Sub(start)
	k.cfg.Metrics.countGateOutcome(o)
	k.logCall(c, o)
	if at, ok := abandoned.since(); ok {
		k.recordAbandoned(c, o, start, at)
	}
	return o
}

// load returns the target's load as reported to other instances.
func (k *Gatekeeper) load() gate.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	l := k.gate.Load(now)
	l.ReserveInbound, l.InboundWait = k.inbound.Bounded(), k.inbound.Wait(now)
	if k.outbound.Used() {
		l.OutboundRate, l.OutboundWait = k.outbound.Rate(), k.outbound.Wait(now)
	}
	return l
}

// gateRequest returns the gate's request for a call.
func (k *Gatekeeper) gateRequest(c *call) *gate.Request {
	r := &gate.Request{Route: c.route, Priority: c.priority, SoftDeadline: c.softDeadline.Add(-c.transfer), Deadline: c.deadline}
	config := k.cfg.Holder.Load().Config
	if name := k.organisationOf(config, c); name != "" {
		r.Flow, r.Weight = name, config.ShareOf(name)
	}
	return r
}

// organisationOf returns the name of the organisation that sent a call, or "" if there is none or the configuration, which may be nil, has
// no organisations.
func (k *Gatekeeper) organisationOf(config *mesh.Config, c *call) string {
	names := c.header[k.cfg.Names.Organisation]
	if config == nil || !config.HasOrganisations() || len(names) == 0 {
		return ""
	}
	return names[0]
}

// admit waits for a slot and runs the call.
func (k *Gatekeeper) admit(ctx context.Context, c *call) *outcome {
	endTrial, o := k.awaitTrial(ctx, c)
	defer endTrial()
	if o != nil {
		return o
	}
	granted := make(chan bool, 1)
	req := k.gateRequest(c)
	req.NoWait = c.rest != nil
	req.Start = func(run bool) { granted <- run }
	k.mu.Lock()
	verdict, retryAfter := k.gate.Offer(clock.Now(), req)
	reason := k.busyReason()
	k.scheduleTick()
	k.mu.Unlock()
	if verdict != gate.Run {
		stop := k.endStalledBodies()
		defer stop()
	}
	switch verdict {
	case gate.Refuse:
		o := noResponse(notRun, reason)
		o.retryAfter = retryAfter
		return o
	case gate.Wait:
		if o := k.waitForSlot(ctx, req, granted); o != nil {
			return o
		}
	case gate.Run:
	}
	if o := k.recheck(ctx, c); o != nil {
		k.release(req, -1)
		return o
	}
	tracked, o := k.beginRun(c)
	if o != nil {
		k.release(req, -1)
		return o
	}
	if c.rest != nil {
		c.rest.Stream()
	}
	started := clock.Now()
	o = k.run(ctx, c)
	took := clock.Now().Sub(started)
	k.endRun(tracked, c, o)
	o.took = took
	if o.run != ran || o.status >= http.StatusInternalServerError {
		took = -1 // not representative of the service time of a successful response
	}
	k.release(req, took)
	return o
}

// waitForSlot waits until the gate starts a request and returns nil, or the outcome if it is refused. A request that can no
// longer be answered in time is refused while its caller still has time for another target.
func (k *Gatekeeper) waitForSlot(ctx context.Context, req *gate.Request, granted chan bool) *outcome {
	timer := time.NewTimer(remaining(req.LastStart()))
	defer timer.Stop()
	reason := ""
	select {
	case run := <-granted:
		if run {
			return nil
		}
		return k.busyOutcome(reason)
	case <-timer.C:
	case <-ctx.Done():
		reason = reasonCancelled
	}
	k.mu.Lock()
	waiting := k.gate.Cancel(req)
	k.mu.Unlock()
	if !waiting && <-granted {
		if ctx.Err() == nil {
			return nil
		}
		k.release(req, -1)
	}
	return k.busyOutcome(reason)
}

// busyOutcome returns a refusal whose retry-after is the time in which the current backlog is expected to clear. An empty reason
// stands for that of busyReason.
func (k *Gatekeeper) busyOutcome(reason string) *outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := noResponse(notRun, cmp.Or(reason, k.busyReason()))
	o.retryAfter = k.gate.BacklogRetryAfter(clock.Now())
	return o
}

// busyReason returns why the gate refuses a request: the target's rate limit or its load. If the limit has not been confirmed for
// some time, it also schedules a health check, since a limit below the rate of requests may end unnoticed. It must be called with
// k.mu held.
func (k *Gatekeeper) busyReason() string {
	now := clock.Now()
	if !k.gate.AtRateLimit(now) {
		return reasonBusy
	}
	if now.Sub(k.rateLimit.StatedAt()) >= maxLimitAge {
		k.scheduleCheck(0)
	}
	return reasonRateLimited
}

// recheck repeats the precheck after a wait, since the target may have begun to leave, or the caller have left. A call that was
// admitted before Stop still runs.
func (k *Gatekeeper) recheck(ctx context.Context, c *call) *outcome {
	if ctx.Err() != nil {
		return noResponse(notRun, failureReason(ctx, reasonCancelled))
	}
	if o := k.precheck(k.cfg.Holder.Load(), c); o != nil && !k.stopped.Load() {
		return o
	}
	if remaining(c.deadline) <= 0 {
		return noResponse(notRun, reasonTimeout)
	}
	return nil
}

// release returns the slot of a request. A negative service time is not recorded.
func (k *Gatekeeper) release(req *gate.Request, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Done(clock.Now(), req, took)
	k.scheduleTick()
}

// scheduleTick sets the timer for the next Tick of the gate. It must be called with k.mu held.
func (k *Gatekeeper) scheduleTick() {
	at := k.gate.NextTick(clock.Now())
	if at.IsZero() {
		return
	}
	wait := max(remaining(at), 0) + time.Millisecond
	if k.tickTimer != nil {
		k.tickTimer.Reset(wait)
		return
	}
	k.tickTimer = time.AfterFunc(wait, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.gate.Tick(clock.Now())
		k.scheduleTick()
	})
}

// run sends a call to the target and classifies the response.
func (k *Gatekeeper) run(ctx context.Context, c *call) *outcome {
	connect, cancelConnect := context.WithTimeout(ctx, remaining(c.deadline)+deadlineSlack)
	defer cancelConnect()
	lifetime := cmp.Or(c.lifetime, ctx)
	if !c.retryable {
		// Cancelling would not undo the request, and the caller's next attempt could not know that it had started.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancelCall := context.WithTimeout(ctx, remaining(c.deadline)+deadlineSlack)
	stop := context.AfterFunc(k.running, cancelCall)
	cancel := func() { stop(); cancelCall() }
	sent := clock.Now()
	resp, err := k.pool.DoConnected(connect, k.targetRequest(ctx, c))
	if errors.Is(err, httppool.ErrNotWritten) {
		defer cancel()
		return k.targetFailure(connect, err)
	}
	if err != nil {
		defer cancel()
		return k.targetFailure(ctx, err)
	}
	if resp.StatusCode != http.StatusMisdirectedRequest { // from another target than the one that the call names
		k.noteNotice(sourceResponse, sent, c.incarnation(), resp.Header)
	}
	o := &outcome{run: ran, arrived: true, status: resp.StatusCode, header: resp.Header, via: k.pool}
	if k.refusedByTarget(resp, o) {
		resp.Body.Close()
		cancel()
		return o
	}
	if err := k.responses.buffer(lifetime, resp, o); err != nil {
		defer cancel()
		return k.targetFailure(ctx, err)
	}
	o.onClose(cancel)
	if resp.Header.Get(k.cfg.Names.Signature) == "" {
		if o.stream != nil {
			o.stream.Close()
		}
		return &outcome{run: unknown, arrived: true, reason: reasonUnsigned}
	}
	return o
}

// refusedByTarget reports whether the response states that the target has not run the request. If so, it completes o.
func (k *Gatekeeper) refusedByTarget(resp *http.Response, o *outcome) bool {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		o.reason, o.arrived = reasonMoved, false
	case resp.Header.Get(k.cfg.Names.NotRun) != "":
		o.reason = reasonShed
	default:
		return false
	}
	o.run, o.header = notRun, nil
	return true
}

// targetFailure returns the outcome of a call for which the target returned no complete response.
func (k *Gatekeeper) targetFailure(ctx context.Context, err error) *outcome {
	o := noResponse(unknown, failureReason(ctx, reasonBroken))
	o.arrived = true
	if errors.Is(err, errSuspectBody) {
		o.reason, o.err = reasonSuspected, err
		return o
	}
	if errors.Is(err, httppool.ErrNotWritten) {
		o = noResponse(notRun, failureReason(ctx, reasonTargetDown))
	}
	o.err = err
	if ctx.Err() == nil {
		k.noteFailure(err.Error())
	}
	return o
}

// targetRequest builds the request to the target.
func (k *Gatekeeper) targetRequest(ctx context.Context, c *call) *http.Request {
	n := k.cfg.Names
	h := c.header
	h[n.Deadline] = []string{strconv.FormatInt(max(remaining(c.deadline).Milliseconds(), 1), 10)}
	h[n.ExpectTarget] = []string{c.targetID}
	h[n.CallerService] = []string{c.caller}
	return newRequest(ctx, c, k.cfg.Addr.String())
}

// newRequest builds a request to addr with the method, path, query, headers and body of the call unchanged.
func newRequest(ctx context.Context, c *call, addr string) *http.Request {
	req := &http.Request{
		Method: c.method, Host: c.host, Header: c.header, ContentLength: c.length, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	httppool.SetTarget(req, addr, c.uri)
	stream.SuppressDefaultUserAgent(c.header)
	setBody(req, c)
	return req.WithContext(ctx)
}
