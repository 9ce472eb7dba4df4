package intake

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// world plays a gate in virtual time: requests arrive, run for a while and end.
type world struct {
	gate    *Gate
	now     time.Time
	running []ending
	starts  []time.Time
	most    int
}

type ending struct {
	at   time.Time
	took time.Duration
	req  *Request
}

func (w *world) advance(to time.Time) {
	for {
		next, i := to, -1
		for j, e := range w.running {
			if e.at.Before(next) {
				next, i = e.at, j
			}
		}
		if wake := w.gate.Wake(); !wake.IsZero() && wake.Before(next) {
			w.now = latest(wake, w.now.Add(time.Millisecond))
			w.gate.Tick(w.now)
			if w.now.After(to) {
				return
			}
			continue
		}
		w.now = latest(next, w.now)
		if i < 0 {
			return
		}
		e := w.running[i]
		w.running = append(w.running[:i], w.running[i+1:]...)
		w.gate.Done(w.now, e.req, e.took)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// offer offers a request that runs for took; done is told whether it ran.
func (w *world) offer(r *Request, took time.Duration, done func(run bool, at time.Time)) Verdict {
	begin := func() {
		w.starts = append(w.starts, w.now)
		w.running = append(w.running, ending{w.now.Add(took), took, r})
		w.most = max(w.most, len(w.running))
		done(true, w.now.Add(took))
	}
	r.Start = func(run bool) {
		if run {
			begin()
			return
		}
		done(false, w.now)
	}
	verdict, _ := w.gate.Offer(w.now, r)
	switch verdict {
	case Run:
		begin()
	case Refuse:
		done(false, w.now)
	case Wait:
	}
	return verdict
}

func newWorld(slots int) *world { return &world{gate: New(slots), now: epoch} }

// request is one that arrives now, is of full use within objective and of none after deadline.
func (w *world) request(priority int, objective, deadline time.Duration) *Request {
	return &Request{Route: "r", Priority: priority, Useful: w.now.Add(objective), Deadline: w.now.Add(deadline)}
}

// Load pattern: a standing overload of twice the capacity, where each refused request comes back once after a third of its time.
// Those that are served are served in time, and the slots stay busy.
func TestStandingOverloadWithReturnsServesInTime(t *testing.T) {
	const (
		slots     = 18
		run       = 90 * time.Millisecond
		objective = 250 * time.Millisecond
		deadline  = time.Second
		length    = 20 * time.Second
		perSecond = 400
	)
	w := newWorld(slots)
	rng := rand.New(rand.NewPCG(1, 2))
	type arrival struct {
		at   time.Time
		back bool
	}
	var returns []arrival
	inTime, late, offered := 0, 0, 0
	offer := func(born time.Time, back bool) {
		r := &Request{Route: "r", Priority: 2, Useful: born.Add(objective), Deadline: born.Add(deadline)}
		w.offer(r, time.Duration(float64(run)*(0.5+rng.Float64())), func(ran bool, at time.Time) {
			switch {
			case ran && at.Sub(born) <= objective:
				inTime++
			case ran:
				late++
			case !back:
				returns = append(returns, arrival{born.Add(deadline / 3), true})
			}
		})
	}
	for at := epoch; at.Before(epoch.Add(length)); at = at.Add(time.Second / perSecond) {
		for len(returns) > 0 && returns[0].at.Before(at) {
			w.advance(returns[0].at)
			born := returns[0].at.Add(-deadline / 3)
			returns = returns[1:]
			offer(born, true)
		}
		w.advance(at)
		offered++
		offer(at, false)
	}
	capacity := float64(slots) * length.Seconds() / run.Seconds()
	if served := float64(inTime + late); served < 0.9*min(capacity, float64(offered)) {
		t.Errorf("served %v of a capacity of %v", served, capacity)
	}
	if share := float64(inTime) / float64(inTime+late); share < 0.9 {
		t.Errorf("only %.2f of what was served was in time (%d in time, %d late)", share, inTime, late)
	}
}

// Load pattern: urgent requests arrive at an overloaded target whose queue is full of less urgent ones.
func TestUrgentRequestsPassAFullQueue(t *testing.T) {
	w := newWorld(4)
	refusedUrgent := 0
	for i := range 400 {
		w.advance(epoch.Add(time.Duration(i) * 10 * time.Millisecond))
		priority := 2
		if i%4 == 0 {
			priority = 1
		}
		w.offer(w.request(priority, 300*time.Millisecond, time.Second), 100*time.Millisecond, func(run bool, _ time.Time) {
			if !run && priority == 1 {
				refusedUrgent++
			}
		})
	}
	if refusedUrgent > 0 {
		t.Errorf("%d urgent requests were refused while less urgent ones ran", refusedUrgent)
	}
}

// Load pattern: a short burst above the capacity. Late requests wait while there is room for the punctual ones.
func TestLateRequestsWaitWhereThereIsRoom(t *testing.T) {
	w := newWorld(1)
	ran := 0
	count := func(run bool, _ time.Time) {
		if run {
			ran++
		}
	}
	w.offer(w.request(2, 300*time.Millisecond, time.Second), 100*time.Millisecond, count)
	if v := w.offer(w.request(2, 0, time.Second), 100*time.Millisecond, count); v != Wait {
		t.Fatalf("a late request got verdict %d beside free time", v)
	}
	w.advance(epoch.Add(time.Second))
	if ran != 2 {
		t.Errorf("%d of 2 ran", ran)
	}
}

func TestColdTargetTakesItsRate(t *testing.T) {
	const rate = 21.0
	w := newWorld(18)
	w.gate.SetCold(rate)
	for i := range 2000 {
		w.advance(epoch.Add(time.Duration(i) * 2 * time.Millisecond))
		w.offer(w.request(1, time.Second, 2*time.Second), 10*time.Millisecond, func(bool, time.Time) {})
	}
	for i := range w.starts {
		n := 0
		for _, s := range w.starts[i:] {
			if s.Sub(w.starts[i]) < time.Second {
				n++
			}
		}
		if float64(n) > 1.3*rate+1 {
			t.Fatalf("%d starts within a second at a rate of %v", n, rate)
		}
	}
	if len(w.starts) < 60 {
		t.Errorf("only %d starts in 4 s at a rate of %v", len(w.starts), rate)
	}
	w.gate.SetWarm(w.now)
	if w.gate.Cold() {
		t.Error("still cold after SetWarm")
	}
}

func TestRefusedNeverRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(rt, "slots"))
		slots := w.gate.slots
		for range rapid.IntRange(1, 80).Draw(rt, "requests") {
			w.advance(w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "gap")) * time.Millisecond))
			ended := false
			w.offer(w.request(rapid.IntRange(0, 2).Draw(rt, "priority"), 150*time.Millisecond, 400*time.Millisecond),
				time.Duration(rapid.IntRange(1, 200).Draw(rt, "took"))*time.Millisecond, func(bool, time.Time) {
					if ended {
						rt.Fatal("a request was told twice")
					}
					ended = true
				})
			if w.most > slots {
				rt.Fatalf("%d run in %d slots", w.most, slots)
			}
		}
		w.advance(w.now.Add(time.Minute))
		if len(w.gate.queue) > 0 || w.gate.running != 0 {
			rt.Fatalf("%d wait and %d run at the end", len(w.gate.queue), w.gate.running)
		}
	})
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	g := New(1)
	run := &Request{Route: "r", Useful: epoch.Add(time.Second), Deadline: epoch.Add(time.Second)}
	g.Offer(epoch, run)
	waiting := &Request{Route: "r", Useful: epoch.Add(time.Second), Deadline: epoch.Add(time.Second), Start: func(bool) { t.Error("told") }}
	if v, _ := g.Offer(epoch, waiting); v != Wait {
		t.Fatalf("verdict %d", v)
	}
	if !g.Cancel(waiting) || g.Cancel(waiting) {
		t.Error("Cancel does not tell a waiting request from another")
	}
	g.Done(epoch, run, time.Millisecond)
	if g.running != 0 {
		t.Errorf("%d run", g.running)
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
