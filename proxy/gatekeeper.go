package proxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/intake"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// Figures of the gatekeeper.
const (
	// targetDialTimeout bounds the connection to a target on the same machine.
	targetDialTimeout = 250 * time.Millisecond
	// targetIdle is how long a connection to the target waits for its next request; targets announce ten seconds or more.
	targetIdle = 4 * time.Second
	// endSlack is what a target's own answer at the deadline may take to arrive.
	endSlack = 40 * time.Millisecond
	// maxTargetHead bounds the head of a target's answer.
	maxTargetHead = 64 << 10
	// assumedSlots is used while the target's entry has not been read.
	assumedSlots = 4
	// assumedColdRate bounds the starts of a target whose service is not known yet.
	assumedColdRate = 10
)

// GatekeeperConfig says what a gatekeeper works with.
type GatekeeperConfig struct {
	// Addr is the address of the target beside the process.
	Addr netip.AddrPort
	// Service is the service that the target belongs to.
	Service string
	// LinkRate is what the machine's link carries, in bytes a second; 0 if it is not known.
	LinkRate float64
	Holder   *mesh.Holder
	Names    Names
	Log      zerolog.Logger
	// Lines bounds the lines about requests.
	Lines   *events.Budget
	Metrics *Metrics
}

// Gatekeeper is the only way to the target beside the process. It is safe for concurrent use.
type Gatekeeper struct {
	cfg     GatekeeperConfig
	pool    *httppool.Pool
	stopped atomic.Bool
	leaving atomic.Bool
	active  atomic.Int64

	mu    sync.Mutex
	gate  *intake.Gate
	inlet *pacer.Inlet
	life  *mesh.Target
	// wasOut reports whether the target's failure domain was out of service in the last state.
	wasOut bool
	wake   *time.Timer
	health health
}

// NewGatekeeper returns a gatekeeper that takes its target to be cold until the target says otherwise.
func NewGatekeeper(cfg GatekeeperConfig) *Gatekeeper {
	k := &Gatekeeper{cfg: cfg, gate: intake.New(assumedSlots), inlet: pacer.NewInlet(cfg.LinkRate)}
	k.pool = httppool.New(httppool.Config{
		Dial:           func(ctx context.Context) (net.Conn, error) { return dial(ctx, cfg.Addr.String(), targetDialTimeout) },
		MaxConns:       maxTargetConns,
		MaxIdle:        maxTargetConns,
		IdleTimeout:    targetIdle,
		MaxHeaderBytes: maxTargetHead,
		Belongs:        k.belongs,
	})
	k.gate.SetCold(assumedColdRate)
	return k
}

// maxTargetConns bounds the connections to the target, below what any service is known to allow for all callers together.
const maxTargetConns = 64

// belongs reports whether an answer echoes the request's identity; health checks have none.
func (k *Gatekeeper) belongs(req *http.Request, resp *http.Response) bool {
	name := k.cfg.Names.RequestID
	return req.Header.Get(name) == resp.Header.Get(name)
}

// Leave makes the gatekeeper tell frontends that it will stop; it still serves.
func (k *Gatekeeper) Leave() { k.leaving.Store(true) }

// Stop makes the gatekeeper refuse new requests; what runs goes on.
func (k *Gatekeeper) Stop() {
	k.stopped.Store(true)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.RefuseWaiting()
}

// Update takes note of a new state.
func (k *Gatekeeper) Update() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(k.cfg.Holder.Load())
}

// Active returns the number of calls at work.
func (k *Gatekeeper) Active() int64 { return k.active.Load() }

// refresh follows the target's entry: a new life begins cold, and one that leaves gets nothing more.
func (k *Gatekeeper) refresh(state *mesh.State) {
	t := state.At(k.cfg.Addr)
	if t == nil {
		return
	}
	if !t.SameLife(k.life) {
		k.cfg.Log.Info().Str("target", t.ID).Int64("born", t.Born).Dur("cold", t.ColdFor).Int("slots", t.Slots).Msg(events.TargetLife)
		k.suspect("new life")
		k.gate.SetSlots(clock.Now(), t.Slots)
	}
	if t.ColdFor > 0 && (k.life == nil || t.ColdFor != k.life.ColdFor) {
		k.coldFor(t.ColdFor)
	}
	k.life = t
	out := state.Out[t.FailureDomain]
	if k.wasOut && !out {
		k.suspect("failure domain returned")
	}
	k.wasOut = out
	if !state.Usable(t) {
		k.gate.RefuseWaiting()
	}
}

// refusal returns why a call can't be let in whatever the load, or nil.
func (k *Gatekeeper) refusal(state *mesh.State, c *call) *outcome {
	if k.stopped.Load() {
		return refused(notRun, reasonLeaving)
	}
	t := state.At(k.cfg.Addr)
	switch {
	case t == nil:
		return nil // an entry that only the frontend has read; the target itself refuses if it is another
	case !c.matches(t) && t.Born >= c.born:
		return refused(notRun, reasonMoved)
	case c.matches(t) && !state.Usable(t):
		return refused(notRun, reasonLeaving)
	}
	return nil
}

// do lets a call in when its turn comes and returns what became of it.
func (k *Gatekeeper) do(ctx context.Context, c *call) *outcome {
	began := clock.Now()
	k.active.Add(1)
	defer k.active.Add(-1)
	state := k.cfg.Holder.Load()
	o := k.refusal(state, c)
	if o == nil {
		o = k.receive(ctx, c)
	}
	if o == nil {
		o = k.admit(ctx, c)
	}
	load := k.load()
	o.load, o.leaving, o.revision = &load, k.leaving.Load(), state.Revision
	o.held = clock.Now().Sub(began)
	k.cfg.Metrics.gate(o)
	k.noteCall(c, o)
	return o
}

// load returns what other processes are told of the target.
func (k *Gatekeeper) load() intake.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	l := k.gate.Load(now)
	l.Narrow, l.Inbound = k.inlet.Bounded(), k.inlet.Wait(now)
	return l
}

// demand describes a call to the gate.
func demand(c *call) *intake.Request {
	return &intake.Request{Route: c.route, Priority: c.priority, Useful: c.useful, Deadline: c.end}
}

// admit waits for a place and runs the call.
func (k *Gatekeeper) admit(ctx context.Context, c *call) *outcome {
	turn := make(chan bool, 1)
	req := demand(c)
	req.Start = func(run bool) { turn <- run }
	k.mu.Lock()
	verdict, back := k.gate.Offer(clock.Now(), req)
	k.schedule()
	k.mu.Unlock()
	switch verdict {
	case intake.Refuse:
		o := refused(notRun, reasonBusy)
		o.back = back
		return o
	case intake.Wait:
		if o := k.await(ctx, req, turn); o != nil {
			return o
		}
	case intake.Run:
	}
	if o := k.recheck(c); o != nil {
		k.done(req, -1)
		return o
	}
	started := clock.Now()
	o := k.run(ctx, c)
	took := clock.Now().Sub(started)
	o.took = took
	if o.run != ran || o.status >= http.StatusInternalServerError {
		took = -1 // says nothing about how long a good answer takes
	}
	k.done(req, took)
	return o
}

// await waits for a request's turn and returns why it won't come, or nil. One whose turn is too late to be answered in time is
// refused while its caller can still go elsewhere.
func (k *Gatekeeper) await(ctx context.Context, req *intake.Request, turn chan bool) *outcome {
	timer := time.NewTimer(left(req.LastStart()))
	defer timer.Stop()
	reason := reasonBusy
	select {
	case run := <-turn:
		if run {
			return nil
		}
		return k.busy(reason)
	case <-timer.C:
	case <-ctx.Done():
		reason = reasonCancelled
	}
	k.mu.Lock()
	waiting := k.gate.Cancel(req)
	k.mu.Unlock()
	if !waiting && <-turn {
		if ctx.Err() == nil {
			return nil
		}
		k.done(req, -1)
	}
	return k.busy(reason)
}

// busy is a refusal with the time after which the backlog is expected to be gone.
func (k *Gatekeeper) busy(reason string) *outcome {
	o := refused(notRun, reason)
	k.mu.Lock()
	defer k.mu.Unlock()
	o.back = k.gate.CalmReturn(clock.Now())
	return o
}

// recheck looks once more after a wait: the target may have begun to leave.
func (k *Gatekeeper) recheck(c *call) *outcome {
	if o := k.refusal(k.cfg.Holder.Load(), c); o != nil && !k.stopped.Load() {
		return o
	}
	if left(c.end) <= 0 {
		return refused(notRun, reasonTimeout)
	}
	return nil
}

func (k *Gatekeeper) done(req *intake.Request, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Done(clock.Now(), req, took)
	k.schedule()
}

// schedule sets the timer for the next thing that the gate does by itself.
func (k *Gatekeeper) schedule() {
	at := k.gate.Wake()
	if at.IsZero() {
		return
	}
	wait := max(left(at), 0) + time.Millisecond
	if k.wake != nil {
		k.wake.Reset(wait)
		return
	}
	k.wake = time.AfterFunc(wait, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.gate.Tick(clock.Now())
		k.schedule()
	})
}

// run sends a call to the target and judges the answer.
func (k *Gatekeeper) run(ctx context.Context, c *call) *outcome {
	if !c.repeatable {
		// Breaking off would not undo it, and the caller's next attempt would not know that it had begun.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left(c.end)+endSlack)
	resp, err := k.pool.Do(k.request(ctx, c))
	if err != nil {
		defer cancel()
		return k.failed(ctx, err)
	}
	o := &outcome{run: ran, arrived: true, status: resp.StatusCode, header: resp.Header}
	if k.refusedByTarget(resp, o) {
		resp.Body.Close()
		cancel()
		return o
	}
	if err := readWhole(resp, o); err != nil {
		defer cancel()
		return k.failed(ctx, err)
	}
	o.then(cancel)
	if resp.Header.Get(k.cfg.Names.Signature) == "" {
		if o.stream != nil {
			o.stream.Close()
		}
		return &outcome{run: unknown, arrived: true, reason: reasonUnsigned}
	}
	return o
}

// refusedByTarget reports whether the target says that it has not run the request.
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

// failed says what became of a call that the target gave no whole answer to.
func (k *Gatekeeper) failed(ctx context.Context, err error) *outcome {
	o := refused(unknown, ended(ctx, reasonBroken))
	o.arrived = true
	if errors.Is(err, httppool.ErrNotWritten) {
		o = refused(notRun, ended(ctx, reasonTargetDown))
	}
	o.err = err
	if ctx.Err() == nil {
		k.broken(err.Error())
	}
	return o
}

// request builds what the target gets.
func (k *Gatekeeper) request(ctx context.Context, c *call) *http.Request {
	n := k.cfg.Names
	h := c.header
	h[n.Deadline] = []string{strconv.FormatInt(max(left(c.end).Milliseconds(), 1), 10)}
	h[n.ExpectTarget] = []string{c.targetID}
	h[n.CallerService] = []string{c.caller}
	return newRequest(ctx, c, k.cfg.Addr.String())
}

// newRequest builds a request that carries the call's method, target, headers and body unchanged.
func newRequest(ctx context.Context, c *call, addr string) *http.Request {
	path, query, forced := strings.Cut(c.uri, "?")
	req := &http.Request{
		Method: c.method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query, ForceQuery: forced && query == ""},
		Host: c.host, Header: c.header, ContentLength: c.length, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	stream.KeepUserAgent(c.header)
	setBody(req, c)
	return req.WithContext(ctx)
}
