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

// turnstile serializes the calls of the pure gate and lets the requests that it queues wait. A request waits on a channel of
// its own, which takes its fate once.
type turnstile struct {
	mu      sync.Mutex
	gate    *admission.Gate
	last    admission.ID
	waiting map[admission.ID]chan admission.Reason
	drained bool
}

// granted is the fate of a waiting request that may run.
const granted admission.Reason = ""

// pass is the right of one request to run at the target.
type pass struct {
	turnstile *turnstile
	id        admission.ID
	started   time.Time
	headAfter time.Duration
}

// configure puts limits and shares in force.
func (t *turnstile) configure(limits catalogue.ServiceLimits, organisations map[string]*catalogue.Organisation) {
	shares := make(admission.Shares, len(organisations))
	for name, o := range organisations {
		shares[name] = o.Share
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.gate == nil {
		t.waiting = map[admission.ID]chan admission.Reason{}
		t.gate = admission.New(now, limits, shares)
		return
	}
	t.gate.SetShares(shares)
	t.apply(t.gate.SetLimits(now, limits))
}

// enter waits until a request may run. Its deadline is the context's.
func (t *turnstile) enter(ctx context.Context, organisation string, class catalogue.Class) (*pass, *refusal.Refusal) {
	deadline, _ := ctx.Deadline()
	id, turn, refused := t.offer(admission.Request{Organisation: organisation, Class: class, Deadline: deadline})
	if refused != nil {
		return nil, refused
	}
	if turn == nil {
		return &pass{turnstile: t, id: id, started: time.Now()}, nil
	}
	select {
	case reason := <-turn:
		return t.decided(id, reason)
	case <-ctx.Done():
		return nil, t.cancel(ctx, id, turn)
	}
}

func (t *turnstile) offer(r admission.Request) (admission.ID, chan admission.Reason, *refusal.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	r.ID = t.last
	decision := t.gate.Offer(time.Now(), r)
	t.apply(decision.Changes)
	switch decision.Verdict {
	case admission.Admitted:
		return r.ID, nil, nil
	case admission.Queued:
		turn := make(chan admission.Reason, 1)
		t.waiting[r.ID] = turn
		return r.ID, turn, nil
	}
	return r.ID, nil, refusalFor(decision.Reason)
}

func (t *turnstile) decided(id admission.ID, reason admission.Reason) (*pass, *refusal.Refusal) {
	if reason != granted {
		return nil, refusalFor(reason)
	}
	return &pass{turnstile: t, id: id, started: time.Now()}, nil
}

// cancel gives up a waiting request, also if it was granted meanwhile.
func (t *turnstile) cancel(ctx context.Context, id admission.ID, turn chan admission.Reason) *refusal.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.gate.Cancel(now, id) {
		delete(t.waiting, id)
	} else if reason := <-turn; reason == granted {
		t.apply(t.gate.Finish(now, id, admission.Outcome{Result: admission.Cancelled}))
	}
	if stream.Expired(ctx) {
		return refusal.New(refusal.TooLate, "deadline passed in the target's queue")
	}
	return refusal.New(refusal.Cancelled, "caller went away while the request waited")
}

// apply tells waiting requests their fate. The caller holds the lock.
func (t *turnstile) apply(c admission.Changes) {
	for _, id := range c.Granted {
		t.tell(id, granted)
	}
	for _, drop := range c.Dropped {
		t.tell(drop.ID, drop.Reason)
	}
	t.drained = t.drained || c.Drained
}

func (t *turnstile) tell(id admission.ID, reason admission.Reason) {
	if turn, ok := t.waiting[id]; ok {
		delete(t.waiting, id)
		turn <- reason
	}
}

// responded tells that the head of the answer has come.
func (p *pass) responded() {
	p.headAfter = time.Since(p.started)
	t := p.turnstile
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.gate.Responded(time.Now(), p.id))
}

// leave ends the request. Call it once.
func (p *pass) leave(result admission.Result) {
	t := p.turnstile
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.gate.Finish(time.Now(), p.id, admission.Outcome{Result: result, Latency: p.headAfter}))
}

// load returns the target's load for answers.
func (t *turnstile) load() headers.LoadState {
	l := t.state()
	return headers.LoadState{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued}
}

func (t *turnstile) state() admission.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate == nil {
		return admission.Load{}
	}
	return t.gate.Load(time.Now())
}

// drain drops waiting requests and refuses new ones.
func (t *turnstile) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate != nil {
		t.apply(t.gate.Drain(time.Now()))
	}
}

// cold begins a cold start that was announced.
func (t *turnstile) cold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate != nil {
		t.gate.Cold(time.Now())
	}
}

// tick lets time pass and returns when to do so next.
func (t *turnstile) tick() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate == nil {
		return admission.TickInterval
	}
	now := time.Now()
	t.apply(t.gate.Tick(now))
	const shortest = time.Millisecond
	return max(time.Until(t.gate.Wake(now)), shortest)
}

// refusalFor turns the gate's reason into what the caller gets. None of these requests ran.
func refusalFor(reason admission.Reason) *refusal.Refusal {
	kind := refusal.QueueFull
	switch reason {
	case admission.PastDeadline:
		kind = refusal.TooLate
	case admission.Leaving:
		kind = refusal.Leaving
	case admission.Abandoned:
		kind = refusal.Cancelled
	}
	return refusal.New(kind, "admission: %s", reason)
}
