package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
)

// admitter serializes the calls of the admission gate and blocks the requests that it queues. Each queued request waits on
// its own channel, which receives one value.
type admitter struct {
	mu      sync.Mutex
	gate    *admission.Gate
	lastID  admission.ID
	waiting map[admission.ID]chan admission.Reason
	drained bool
}

// granted is sent to a waiting request that may run.
const granted admission.Reason = ""

// permit is the permission of one request to run at the target.
type permit struct {
	admitter    *admitter
	id          admission.ID
	started     time.Time
	headLatency time.Duration
}

// configure applies limits and the shares of organisations.
func (a *admitter) configure(limits catalogue.ServiceLimits, organisations map[string]*catalogue.Organisation) {
	shares := make(admission.Shares, len(organisations))
	for name, o := range organisations {
		shares[name] = o.Share
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.gate == nil {
		a.waiting = map[admission.ID]chan admission.Reason{}
		a.gate = admission.New(now, limits, shares)
		return
	}
	a.gate.SetShares(shares)
	a.apply(a.gate.SetLimits(now, limits))
}

// acquire waits until a request may run. The context's deadline is the request's deadline. If the request is queued, acquire calls
// queued, and takes it out of the queue if queued refuses it.
func (a *admitter) acquire(ctx context.Context, organisation string, class catalogue.Class, queued func() *refusal.Refusal) (*permit, *refusal.Refusal) {
	deadline, _ := ctx.Deadline()
	id, reasonCh, refused := a.offer(admission.Request{Organisation: organisation, Class: class, Deadline: deadline})
	if refused != nil {
		return nil, refused
	}
	if reasonCh == nil {
		return &permit{admitter: a, id: id, started: time.Now()}, nil
	}
	if refused := queued(); refused != nil {
		_ = a.cancel(ctx, id, reasonCh) // the refusal of the body is the reason
		return nil, refused
	}
	select {
	case reason := <-reasonCh:
		if reason == granted && ctx.Err() != nil {
			reasonCh <- reason
			return nil, a.cancel(ctx, id, reasonCh)
		}
		return a.resolve(id, reason)
	case <-ctx.Done():
		return nil, a.cancel(ctx, id, reasonCh)
	}
}

func (a *admitter) offer(r admission.Request) (admission.ID, chan admission.Reason, *refusal.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	r.ID = a.lastID
	decision := a.gate.Offer(time.Now(), r)
	a.apply(decision.Changes)
	switch decision.Verdict {
	case admission.Admitted:
		return r.ID, nil, nil
	case admission.Queued:
		reasonCh := make(chan admission.Reason, 1)
		a.waiting[r.ID] = reasonCh
		return r.ID, reasonCh, nil
	}
	return r.ID, nil, refusalFor(decision.Reason)
}

func (a *admitter) resolve(id admission.ID, reason admission.Reason) (*permit, *refusal.Refusal) {
	if reason != granted {
		return nil, refusalFor(reason)
	}
	return &permit{admitter: a, id: id, started: time.Now()}, nil
}

// cancel removes a waiting request, also if it was granted in the meantime.
func (a *admitter) cancel(ctx context.Context, id admission.ID, reasonCh chan admission.Reason) *refusal.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.gate.Cancel(now, id) {
		delete(a.waiting, id)
	} else if reason := <-reasonCh; reason == granted {
		a.apply(a.gate.Finish(now, id, admission.Outcome{Result: admission.Cancelled}))
	}
	if stream.DeadlinePassed(ctx) {
		return refusal.New(refusal.TooLate, "deadline passed in the target's queue")
	}
	return refusal.New(refusal.Cancelled, "caller went away while the request waited")
}

// apply notifies waiting requests of the gate's decisions. It must be called with a.mu held.
func (a *admitter) apply(c admission.Changes) {
	for _, id := range c.Granted {
		a.notify(id, granted)
	}
	for _, drop := range c.Dropped {
		a.notify(drop.ID, drop.Reason)
	}
	a.drained = a.drained || c.Drained
}

func (a *admitter) notify(id admission.ID, reason admission.Reason) {
	if reasonCh, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		reasonCh <- reason
	}
}

// responded records that the response header has arrived.
func (p *permit) responded() {
	p.headLatency = time.Since(p.started)
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.gate.RecordResponse(time.Now(), p.id))
}

// finish ends the request. It must be called once.
func (p *permit) finish(result admission.Result) {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.gate.Finish(time.Now(), p.id, admission.Outcome{Result: result, Latency: p.headLatency}))
}

// load returns the target's load for the load header of responses.
func (a *admitter) load() headers.LoadState {
	l := a.state()
	return headers.LoadState{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued}
}

func (a *admitter) state() admission.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return admission.Load{}
	}
	return a.gate.Load(time.Now())
}

// drain drops waiting requests and refuses new ones.
func (a *admitter) drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil {
		a.apply(a.gate.Drain(time.Now()))
	}
}

// markCold starts a cold phase that the target or its host reported.
func (a *admitter) markCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil {
		a.gate.AnnounceColdStart(time.Now())
	}
}

// tick advances the gate's clock and returns the time until the next tick.
func (a *admitter) tick() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return admission.TickInterval
	}
	now := time.Now()
	a.apply(a.gate.Tick(now))
	const shortest = time.Millisecond
	return max(time.Until(a.gate.NextTick(now)), shortest)
}

// refusalFor returns the refusal for a reason of the gate. None of these requests ran.
func refusalFor(reason admission.Reason) *refusal.Refusal {
	kind := refusal.QueueFull
	switch reason {
	case admission.PastDeadline:
		kind = refusal.TooLate
	case admission.Leaving:
		kind = refusal.Leaving
	case admission.CallerCancelled:
		kind = refusal.Cancelled
	}
	return refusal.New(kind, "admission: %s", reason)
}
