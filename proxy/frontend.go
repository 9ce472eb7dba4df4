package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/budget"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/mesh"
)

// FrontendConfig says what a frontend works with.
type FrontendConfig struct {
	// Service is the service beside the process, which callers act for.
	Service               string
	FailureDomain, Region string
	Holder                *mesh.Holder
	Gatekeeper            *Gatekeeper
	// Peers reaches the gatekeepers beside other targets.
	Peers *Peers
	Names Names
	// Repeats bounds the repeats of all processes together; each keeps to its part.
	Repeats budget.Terms
	Log     zerolog.Logger
	// Lines bounds the lines about requests.
	Lines *events.Budget
	// Age returns the time since the store's last word.
	Age     func() time.Duration
	Metrics *Metrics
	Rand    *rand.Rand
}

// Frontend answers the callers of one instance. It is safe for concurrent use.
type Frontend struct {
	cfg     FrontendConfig
	leaving atomic.Bool
	stopped atomic.Bool
	active  atomic.Int64

	mu        sync.Mutex
	balancer  *balance.Balancer
	budgets   map[string]*budget.Budget
	splits    map[string]*split
	deadlines callerDeadlines
	links     links
}

// NewFrontend returns a frontend.
func NewFrontend(cfg FrontendConfig) *Frontend {
	f := &Frontend{cfg: cfg, budgets: map[string]*budget.Budget{}, splits: map[string]*split{}, links: links{}, deadlines: callerDeadlines{}}
	f.balancer = balance.New(balance.Self{FailureDomain: cfg.FailureDomain, Region: cfg.Region, Own: f.own}, cfg.Rand)
	return f
}

func (f *Frontend) own(t *mesh.Target) bool { return t.Addr == f.cfg.Gatekeeper.cfg.Addr }

// Leave makes the frontend close callers' connections after their answers.
func (f *Frontend) Leave() { f.leaving.Store(true) }

// Stop makes the frontend refuse new requests; what runs goes on.
func (f *Frontend) Stop() { f.stopped.Store(true) }

// Active returns the number of requests at work.
func (f *Frontend) Active() int64 { return f.active.Load() }

// Figures of the frontend.
const (
	// assumedDeadline is used where a caller names none.
	assumedDeadline = 10 * time.Second
	// maxRefusals is the number of gates that are asked before a request is refused.
	maxRefusals = 4
	// maxBuffered is the longest body that is read before the request is sent on, so that it can be sent to another target.
	maxBuffered = 4 << 20
	// answerSlack is what the answer of the last target may take to arrive after the request's time.
	answerSlack = 60 * time.Millisecond
	// noConfigReturn is when to come back to a process that has just started and knows no configuration.
	noConfigReturn = 300 * time.Millisecond
	// patience is the number of mean running times after which the answer to a repeatable request is taken to be lost.
	patience = 3
	// worthTrying is the part of the mean running time that has to be left for another attempt.
	worthTrying = 0.6
)

// ServeHTTP answers a caller.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	req := &request{in: r, arrived: clock.Now(), state: f.cfg.Holder.Load()}
	if f.stopped.Load() {
		f.refuse(w, req, refused(notRun, reasonLeaving))
		return
	}
	if req.state.Config == nil {
		o := refused(notRun, reasonNoConfig)
		o.back = noConfigReturn
		f.refuse(w, req, o)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req.route = req.state.Config.Match(r.Host, path)
	if req.route == nil {
		if f.cfg.Lines.Take() {
			f.cfg.Log.Info().Str("request", r.Header.Get(f.cfg.Names.RequestID)).Str("host", r.Host).Str("path", path).
				Uint64("config", req.version()).Dur("age", f.cfg.Age()).Msg(events.NoRoute)
		}
		f.cfg.Metrics.answered(kindNone, "404", reasonNoRoute, clock.Now().Sub(req.arrived))
		http.Error(w, "no route takes this host and path; check them against the configuration", http.StatusNotFound)
		return
	}
	if limit := req.state.Config.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		f.cfg.Metrics.answered(kindNames[req.route.Kind], "413", reasonTooLong, clock.Now().Sub(req.arrived))
		http.Error(w, "body is longer than the configuration allows", http.StatusRequestEntityTooLarge)
		return
	}
	f.plan(req)
	if err := f.readBody(w, req); err != nil {
		f.cfg.Log.Debug().Err(err).Str("request", r.Header.Get(f.cfg.Names.RequestID)).Msg(events.BodyBroken)
		f.refuse(w, req, refused(notRun, reasonCancelled))
		return
	}
	o := f.forward(r.Context(), req)
	f.answer(w, req, o)
}

// forward tries targets until one answers or no further attempt is allowed.
func (f *Frontend) forward(ctx context.Context, req *request) *outcome {
	ctx, cancel := context.WithTimeout(ctx, left(req.end)+answerSlack)
	return f.tryTargets(ctx, req).then(cancel)
}

func (f *Frontend) tryTargets(ctx context.Context, req *request) *outcome {
	last := refused(notRun, reasonNoTarget)
	for {
		choice, ok := f.pick(req)
		if !ok {
			if req.linkBack > 0 && last.reason == reasonNoTarget {
				last.reason, last.back = reasonLinkBusy, req.linkBack
			}
			return req.final(last)
		}
		last = f.hedged(ctx, req, choice)
		if last.run == ran && !f.failedAnswer(req, last) {
			return last
		}
		req.keep(last)
		if !f.again(ctx, req, last) {
			return req.final(last)
		}
	}
}

// failedAnswer reports whether a target's answer is a failure that another might not give.
func (f *Frontend) failedAnswer(req *request, o *outcome) bool {
	return req.route.Kind.Repeatable() && o.status >= http.StatusInternalServerError
}

func (f *Frontend) pick(req *request) (balance.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, ok := f.balancer.Pick(balance.Attempt{
		Now: clock.Now(), State: f.cfg.Holder.Load(), Route: req.route, Service: req.service, Bytes: len(req.body), Tried: req.tried,
		Toll: f.toll(req),
	})
	if ok {
		f.balancer.Started(clock.Now(), choice)
		if choice.Place == balance.OtherRegion {
			f.links.to(choice.Target.Region).Sent(clock.Now(), len(req.body)+balance.HeadBytes)
		}
		req.tried = append(req.tried, choice.Target.ID)
	}
	return choice, ok
}

// attempt sends the request to one target and learns from the outcome.
func (f *Frontend) attempt(ctx context.Context, req *request, choice balance.Choice) *outcome {
	c := f.call(req, choice.Target)
	c.ask = choice.Ask
	began := clock.Now()
	var o *outcome
	if choice.Place == balance.Own {
		o = f.cfg.Gatekeeper.do(ctx, c)
	} else {
		o = f.cfg.Peers.do(ctx, choice.Target, c)
	}
	o.target = choice.Target.ID
	took := clock.Now().Sub(began)
	f.cfg.Metrics.attempt(req.route.Kind, o, took)
	f.learn(ctx, req, choice, o, took)
	f.noteAttempt(req, choice, o)
	return o
}

func (f *Frontend) learn(ctx context.Context, req *request, choice balance.Choice, o *outcome, took time.Duration) {
	t, result := choice.Target, balance.Good
	switch {
	case ctx.Err() != nil:
		result = balance.Abandoned
	case o.leaving || o.reason == reasonLeaving || o.reason == reasonMoved:
		result = balance.Leaving
	case o.reason == reasonUnreachable || o.reason == reasonTargetDown:
		result = balance.Unreachable
	case o.run == unknown || o.reason == reasonShed || o.run == ran && o.status >= http.StatusInternalServerError:
		result = balance.Faulty
	case o.run == notRun:
		result = balance.Refused
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.arrived {
		req.arrivals++
	}
	if o.back > 0 && (req.back == 0 || o.back < req.back) {
		req.back = o.back
	}
	f.crossed(req, t, choice.Place, o, took)
	f.balancer.Ended(clock.Now(), choice, balance.End{
		Route: req.route.Name, Result: result, Load: o.load, Ran: o.took, Answer: len(o.body), Transit: took - o.held,
	})
}

// again decides on another attempt.
func (f *Frontend) again(ctx context.Context, req *request, o *outcome) bool {
	if ctx.Err() != nil || req.rest != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	need := time.Duration(worthTrying * float64(f.balancer.Expected(req.route.Name)))
	if left(req.end) < need {
		return false
	}
	if !o.arrived && o.run == notRun {
		req.refusals++
		return req.refusals < maxRefusals
	}
	if o.run != notRun && !req.route.Kind.Repeatable() {
		return false
	}
	return f.repeat(req, req.arrivals)
}

// repeat spends one repeat after a number of arrivals and reports whether it is allowed. The lock is held.
func (f *Frontend) repeat(req *request, arrivals int) bool {
	if arrivals >= req.route.MaxTargets || !f.budget(req.service).Spend(clock.Now(), f.cfg.Repeats) {
		return false
	}
	f.cfg.Metrics.repeats.Inc()
	return true
}

func (f *Frontend) budget(service string) *budget.Budget {
	b := f.budgets[service]
	if b == nil {
		b = &budget.Budget{}
		f.budgets[service] = b
	}
	return b
}

// answer writes an outcome to the caller.
func (f *Frontend) answer(w http.ResponseWriter, req *request, o *outcome) {
	if o.run != ran {
		f.refuse(w, req, o)
		return
	}
	h := w.Header()
	headers.StripHopByHop(o.header)
	delete(o.header, hopAnswerHeader)
	for name, values := range o.header {
		h[name] = values
	}
	f.note(req, o, o.status, 0)
	if err := writeBody(w, o); err != nil {
		f.cfg.Log.Debug().Err(err).Str("request", req.in.Header.Get(f.cfg.Names.RequestID)).Msg(events.AnswerCut)
		panic(http.ErrAbortHandler) // breaks the connection, so that the part isn't taken for the whole
	}
}

// refuse answers for a request that no target answered.
func (f *Frontend) refuse(w http.ResponseWriter, req *request, o *outcome) {
	status, back := http.StatusServiceUnavailable, time.Duration(0)
	if o.run != notRun {
		status = http.StatusBadGateway
		if o.reason == reasonTimeout {
			status = http.StatusGatewayTimeout
		}
	} else {
		back = f.comeBack(req, o)
		w.Header().Set("Retry-After", strconv.FormatFloat(back.Seconds(), 'f', 3, 64))
	}
	f.note(req, o, status, back)
	h := w.Header()
	h["Content-Length"] = []string{"0"}
	h["Content-Type"] = nil
	if id := req.in.Header.Get(f.cfg.Names.RequestID); id != "" {
		h.Set(f.cfg.Names.RequestID, id)
	}
	w.WriteHeader(status)
}

// comeBack returns when a refused request has a chance again.
func (f *Frontend) comeBack(req *request, o *outcome) time.Duration {
	back := req.back
	if back == 0 {
		back = o.back
	}
	if back == 0 {
		back = defaultReturn
	}
	if !req.end.IsZero() {
		back = min(back, max(left(req.end)/3, 0))
	}
	return max(back, leastReturn)
}

const (
	// defaultReturn is the advice where no gate gave one: about the time in which a target that has just gone is replaced in the
	// choice of the processes.
	defaultReturn = 150 * time.Millisecond
	leastReturn   = 10 * time.Millisecond
)

var kindNames = [...]string{mesh.Safe: "safe", mesh.Once: "once", mesh.Upload: "upload"}

// kindNone is the kind of requests that no route takes.
const kindNone = "none"
