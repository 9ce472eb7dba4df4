package gate

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// simulation runs a gate in virtual time: requests arrive, run for a given time and end.
type simulation struct {
	gate       *Gate
	now        time.Time
	running    []endingRequest
	starts     []time.Time
	maxRunning int
}

type endingRequest struct {
	at   time.Time
	took time.Duration
	req  *Request
}

func (s *simulation) advance(to time.Time) {
	for {
		next, i := to, -1
		for j, e := range s.running {
			if e.at.Before(next) {
				next, i = e.at, j
			}
		}
		if tick := s.gate.NextTick(s.now); !tick.IsZero() && tick.Before(next) {
			s.now = later(tick, s.now.Add(time.Millisecond))
			s.gate.Tick(s.now)
			if s.now.After(to) {
				return
			}
			continue
		}
		s.now = later(next, s.now)
		if i < 0 {
			return
		}
		e := s.running[i]
		s.running = append(s.running[:i], s.running[i+1:]...)
		s.gate.Done(s.now, e.req, e.took)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// offer offers a request with running time took. done is called with the outcome and, if the request runs, the time of its
// end.
func (s *simulation) offer(r *Request, took time.Duration, done func(run bool, at time.Time)) Verdict {
	start := func() {
		s.starts = append(s.starts, s.now)
		s.running = append(s.running, endingRequest{s.now.Add(took), took, r})
		s.maxRunning = max(s.maxRunning, len(s.running))
		done(true, s.now.Add(took))
	}
	r.Start = func(run bool) {
		if run {
			start()
			return
		}
		done(false, s.now)
	}
	verdict, _ := s.gate.Offer(s.now, r)
	switch verdict {
	case Run:
		start()
	case Refuse:
		done(false, s.now)
	case Wait:
	}
	return verdict
}

func newSimulation(slots int) *simulation { return &simulation{gate: New(slots), now: epoch} }

// request returns a request that arrives now, with the given objective and deadline relative to now.
func (s *simulation) request(priority int, objective, deadline time.Duration) *Request {
	return &Request{Route: "r", Priority: priority, SoftDeadline: s.now.Add(objective), Deadline: s.now.Add(deadline)}
}

// Load pattern: sustained overload at twice the capacity, where each refused request is retried once after a third of its
// deadline. At least 90% of the served requests meet their objective, and the slots stay busy.
func TestSustainedOverloadWithRetriesMeetsObjective(t *testing.T) {
	const (
		slots     = 18
		run       = 90 * time.Millisecond
		objective = 250 * time.Millisecond
		deadline  = time.Second
		duration  = 20 * time.Second
		perSecond = 400
	)
	s := newSimulation(slots)
	rng := rand.New(rand.NewPCG(1, 2))
	type arrival struct {
		at    time.Time
		retry bool
	}
	var retries []arrival
	onTime, late, offered := 0, 0, 0
	offer := func(firstSent time.Time, retry bool) {
		r := &Request{Route: "r", Priority: 2, SoftDeadline: firstSent.Add(objective), Deadline: firstSent.Add(deadline)}
		s.offer(r, time.Duration(float64(run)*(0.5+rng.Float64())), func(ran bool, at time.Time) {
			switch {
			case ran && at.Sub(firstSent) <= objective:
				onTime++
			case ran:
				late++
			case !retry:
				retries = append(retries, arrival{firstSent.Add(deadline / 3), true})
			}
		})
	}
	for at := epoch; at.Before(epoch.Add(duration)); at = at.Add(time.Second / perSecond) {
		for len(retries) > 0 && retries[0].at.Before(at) {
			s.advance(retries[0].at)
			firstSent := retries[0].at.Add(-deadline / 3)
			retries = retries[1:]
			offer(firstSent, true)
		}
		s.advance(at)
		offered++
		offer(at, false)
	}
	capacity := float64(slots) * duration.Seconds() / run.Seconds()
	if served := float64(onTime + late); served < 0.9*min(capacity, float64(offered)) {
		t.Errorf("served %v of a capacity of %v", served, capacity)
	}
	if share := float64(onTime) / float64(onTime+late); share < 0.9 {
		t.Errorf("only %.2f of the served requests were on time (%d on time, %d late)", share, onTime, late)
	}
}

// Load pattern: urgent requests arrive at an overloaded target whose queue is full of less urgent ones.
func TestUrgentRequestsPrecedeQueuedOnes(t *testing.T) {
	s := newSimulation(4)
	refusedUrgent := 0
	for i := range 400 {
		s.advance(epoch.Add(time.Duration(i) * 10 * time.Millisecond))
		priority := 2
		if i%4 == 0 {
			priority = 1
		}
		s.offer(s.request(priority, 300*time.Millisecond, time.Second), 100*time.Millisecond, func(run bool, _ time.Time) {
			if !run && priority == 1 {
				refusedUrgent++
			}
		})
	}
	if refusedUrgent > 0 {
		t.Errorf("%d urgent requests were refused while less urgent ones ran", refusedUrgent)
	}
}

// Load pattern: a short burst above the capacity. A late request is queued if no request within its objective was refused.
func TestLateRequestsAreQueuedWithoutOverload(t *testing.T) {
	s := newSimulation(1)
	ran := 0
	count := func(run bool, _ time.Time) {
		if run {
			ran++
		}
	}
	s.offer(s.request(2, 300*time.Millisecond, time.Second), 100*time.Millisecond, count)
	if v := s.offer(s.request(2, 0, time.Second), 100*time.Millisecond, count); v != Wait {
		t.Fatalf("a late request got verdict %d although a slot becomes free in time", v)
	}
	s.advance(epoch.Add(time.Second))
	if ran != 2 {
		t.Errorf("%d of 2 requests ran", ran)
	}
}

func TestColdTargetStartsAtItsRate(t *testing.T) {
	const rate = 21.0
	s := newSimulation(18)
	s.gate.SetCold(s.now, rate)
	for i := range 2000 {
		s.advance(epoch.Add(time.Duration(i) * 2 * time.Millisecond))
		s.offer(s.request(1, time.Second, 2*time.Second), 10*time.Millisecond, func(bool, time.Time) {})
	}
	for i := range s.starts {
		n := 0
		for _, start := range s.starts[i:] {
			if start.Sub(s.starts[i]) < time.Second {
				n++
			}
		}
		if float64(n) > 1.3*rate+1 {
			t.Fatalf("%d starts within a second at a rate of %v", n, rate)
		}
	}
	if len(s.starts) < 60 {
		t.Errorf("only %d starts in 4 s at a rate of %v", len(s.starts), rate)
	}
	s.gate.SetWarm(s.now)
	if s.gate.Cold() {
		t.Error("still cold after SetWarm")
	}
}

func TestEachRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 5).Draw(rt, "slots"))
		slots := s.gate.slots
		for range rapid.IntRange(1, 80).Draw(rt, "requests") {
			s.advance(s.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "gap")) * time.Millisecond))
			ended := false
			s.offer(s.request(rapid.IntRange(0, 2).Draw(rt, "priority"), 150*time.Millisecond, 400*time.Millisecond),
				time.Duration(rapid.IntRange(1, 200).Draw(rt, "took"))*time.Millisecond, func(bool, time.Time) {
					if ended {
						rt.Fatal("the outcome of a request was reported twice")
					}
					ended = true
				})
			if s.maxRunning > slots {
				rt.Fatalf("%d requests run in %d slots", s.maxRunning, slots)
			}
		}
		s.advance(s.now.Add(time.Minute))
		if len(s.gate.queue) > 0 || s.gate.running != 0 {
			rt.Fatalf("%d requests are queued and %d run at the end", len(s.gate.queue), s.gate.running)
		}
	})
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	g := New(1)
	run := &Request{Route: "r", SoftDeadline: epoch.Add(time.Second), Deadline: epoch.Add(time.Second)}
	g.Offer(epoch, run)
	waiting := &Request{Route: "r", SoftDeadline: epoch.Add(time.Second), Deadline: epoch.Add(time.Second), Start: func(bool) { t.Error("Start called after Cancel") }}
	if v, _ := g.Offer(epoch, waiting); v != Wait {
		t.Fatalf("verdict %d", v)
	}
	if !g.Cancel(waiting) || g.Cancel(waiting) {
		t.Error("Cancel must return true for a queued request and false after its removal")
	}
	g.Done(epoch, run, time.Millisecond)
	if g.running != 0 {
		t.Errorf("%d requests run", g.running)
	}
}

func TestQueueOrder(t *testing.T) {
	var q queue
	for _, r := range []*Request{
		{Priority: 2, arrival: 1}, {Priority: 1, arrival: 2, late: true}, {Priority: 1, arrival: 3}, {Priority: 0, arrival: 4}, {Priority: 1, arrival: 5},
	} {
		heap.Push(&q, r)
	}
	for _, want := range []uint64{4, 3, 5, 2, 1} {
		if got := heap.Pop(&q).(*Request).arrival; got != want {
			t.Errorf("got arrival %d, want %d", got, want)
		}
	}
}

func TestRequestThatMustNotWaitIsRefused(t *testing.T) {
	g := New(1)
	g.SetWarm(epoch)
	request := func(noWait bool) *Request {
		return &Request{SoftDeadline: epoch.Add(time.Minute), Deadline: epoch.Add(time.Minute), NoWait: noWait, Start: func(bool) {}}
	}
	if verdict, _ := g.Offer(epoch, request(true)); verdict != Run {
		t.Errorf("with a free slot: verdict %d", verdict)
	}
	if verdict, retryAfter := g.Offer(epoch, request(true)); verdict != Refuse || retryAfter <= 0 {
		t.Errorf("without a free slot: verdict %d, retry-after %v", verdict, retryAfter)
	}
	if verdict, _ := g.Offer(epoch, request(false)); verdict != Wait {
		t.Errorf("a request that may wait: verdict %d", verdict)
	}
}
