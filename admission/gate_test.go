package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/catalogue"
)

var epoch = time.Unix(1_700_000_000, 0)

func limits(slots, cold, queue int, period time.Duration) catalogue.ServiceLimits {
	return catalogue.ServiceLimits{
		Slots: slots, Connections: 100, Queue: queue, ColdSlots: cold, ColdPeriod: catalogue.Duration(period),
	}
}

// warmGate returns a gate that has finished its cold start.
func warmGate(t testing.TB, now time.Time, l catalogue.ServiceLimits, shares Shares) (*Gate, time.Time) {
	g := New(now, l, shares)
	id := ID(1 << 40)
	for g.Load(now).Phase != Warm {
		id++
		if d := g.Offer(now, Request{ID: id, Organisation: "a"}); d.Verdict != Admitted {
			t.Fatalf("offer while warming: %v %v", d.Verdict, d.Reason)
		}
		now = now.Add(30 * time.Millisecond)
		g.Finish(now, id, Outcome{Result: OK})
	}
	return g, now
}

func TestNewGateStartsAtColdLimit(t *testing.T) {
	g := New(epoch, limits(20, 2, 1, time.Second), nil)
	for id, want := range []Verdict{Admitted, Admitted, Queued, Refused} {
		d := g.Offer(epoch, Request{ID: ID(id), Organisation: "a"})
		if d.Verdict != want {
			t.Fatalf("request %d: got %v, want %v", id, d.Verdict, want)
		}
		if want == Refused && d.Reason != ColdTarget {
			t.Fatalf("reason %q, want %q", d.Reason, ColdTarget)
		}
	}
	changes := g.Finish(epoch.Add(time.Millisecond), 0, Outcome{Result: OK})
	if len(changes.Granted) != 1 || changes.Granted[0] != 2 {
		t.Fatalf("granted %v, want [2]", changes.Granted)
	}
}

func TestRampNeedsSuccesses(t *testing.T) {
	g := New(epoch, limits(20, 2, 0, time.Second), nil)
	now := epoch
	g.Offer(now, Request{ID: 1})
	g.Finish(now, 1, Outcome{Result: OK})
	for range 100 {
		now = now.Add(TickInterval)
		g.Tick(now)
	}
	if got := g.Load(now).Limit; got != 2 {
		t.Fatalf("limit %d after one success, want 2", got)
	}
}

func TestUnannouncedColdStartIsDetected(t *testing.T) {
	cases := map[string]func(g *Gate, now time.Time) time.Time{
		"slow answers": func(g *Gate, now time.Time) time.Time {
			for id := ID(1); id <= slowStreakLimit; id++ {
				g.Offer(now, Request{ID: id, Organisation: "a"})
			}
			for id := ID(1); id <= slowStreakLimit; id++ {
				now = now.Add(200 * time.Millisecond)
				g.Finish(now, id, Outcome{Result: OK})
			}
			return now
		},
		"no answers": func(g *Gate, now time.Time) time.Time {
			for id := ID(1); id <= slowStreakLimit; id++ {
				g.Offer(now, Request{ID: id, Organisation: "a"})
			}
			now = now.Add(time.Second)
			g.Tick(now)
			return now
		},
		"crash": func(g *Gate, now time.Time) time.Time {
			g.Offer(now, Request{ID: 1, Organisation: "a"})
			g.Finish(now, 1, Outcome{Result: Crashed})
			return now
		},
		"shed": func(g *Gate, now time.Time) time.Time {
			for id := ID(1); id <= slowStreakLimit; id++ {
				g.Offer(now, Request{ID: id, Organisation: "a"})
				now = now.Add(20 * time.Millisecond)
				g.Finish(now, id, Outcome{Result: Shed})
			}
			return now
		},
		"pause": func(g *Gate, now time.Time) time.Time {
			now = now.Add(PauseGap + time.Millisecond)
			g.Tick(now)
			return now
		},
	}
	for name, turnCold := range cases {
		t.Run(name, func(t *testing.T) {
			g, now := warmGate(t, epoch, limits(20, 2, 40, time.Second), Shares{"a": 1})
			now = turnCold(g, now)
			if got := g.Load(now).Limit; got > 2 {
				t.Fatalf("limit %d, want at most 2", got)
			}
		})
	}
}

func TestDrain(t *testing.T) {
	g, now := warmGate(t, epoch, limits(1, 1, 10, 0), nil)
	g.Offer(now, Request{ID: 1})
	g.Offer(now, Request{ID: 2})
	changes := g.Drain(now)
	if len(changes.Dropped) != 1 || changes.Dropped[0] != (Drop{2, Leaving}) || changes.Drained {
		t.Fatalf("drain: %+v", changes)
	}
	if d := g.Offer(now, Request{ID: 3}); d.Verdict != Refused || d.Reason != Leaving {
		t.Fatalf("offer while draining: %+v", d)
	}
	if changes = g.Finish(now, 1, Outcome{Result: OK}); !changes.Drained {
		t.Fatal("not drained after the last request ended")
	}
	g.Resume(now)
	if got := g.Load(now).Phase; got != Cold {
		t.Fatalf("phase %v after resuming, want cold", got)
	}
}

func TestUnreachableDeadlineIsRefused(t *testing.T) {
	g, now := warmGate(t, epoch, limits(1, 1, 100, 0), Shares{"a": 1})
	g.Offer(now, Request{ID: 1, Organisation: "a"})
	for id := ID(2); id < 12; id++ {
		g.Offer(now, Request{ID: id, Organisation: "a"})
	}
	d := g.Offer(now, Request{ID: 99, Organisation: "a", Deadline: now.Add(100 * time.Millisecond)})
	if d.Verdict != Refused || d.Reason != PastDeadline {
		t.Fatalf("got %v %v: ten requests of 30 ms are ahead in the queue", d.Verdict, d.Reason)
	}
}

func TestExpiredRequestIsDropped(t *testing.T) {
	g, now := warmGate(t, epoch, limits(1, 1, 100, 0), Shares{"a": 1})
	g.Offer(now, Request{ID: 1, Organisation: "a"})
	g.Offer(now, Request{ID: 2, Organisation: "a", Deadline: now.Add(100 * time.Millisecond)})
	changes := g.Tick(now.Add(100 * time.Millisecond))
	if len(changes.Dropped) != 1 || changes.Dropped[0] != (Drop{2, PastDeadline}) {
		t.Fatalf("dropped %+v", changes.Dropped)
	}
}

func TestFullQueueDropsHeaviestOrganisation(t *testing.T) {
	g, now := warmGate(t, epoch, limits(1, 1, 10, 0), Shares{"a": 0.5, "b": 0.5})
	for id := ID(1); id <= 11; id++ {
		g.Offer(now, Request{ID: id, Organisation: "a", Class: catalogue.Critical})
	}
	d := g.Offer(now, Request{ID: 20, Organisation: "b", Class: catalogue.Background})
	if d.Verdict != Queued || len(d.Dropped) != 1 || d.Dropped[0] != (Drop{11, QueueFull}) {
		t.Fatalf("got %+v", d)
	}
}

// closedLoop simulates a target with fixed service times and keeps a backlog of each organisation at its gate.
type closedLoop struct {
	gate    *Gate
	now     time.Time
	nextID  ID
	running []run
	owner   map[ID]string
	used    map[string]time.Duration
}

type run struct {
	id  ID
	end time.Time
}

func (m *closedLoop) offer(org string, class catalogue.Class, service func(string) time.Duration) {
	m.nextID++
	m.owner[m.nextID] = org
	d := m.gate.Offer(m.now, Request{ID: m.nextID, Organisation: org, Class: class})
	if d.Verdict == Admitted {
		m.started(m.nextID, service)
	}
	m.apply(d.Changes, service)
}

func (m *closedLoop) apply(c Changes, service func(string) time.Duration) {
	for _, id := range c.Granted {
		m.started(id, service)
	}
}

func (m *closedLoop) started(id ID, service func(string) time.Duration) {
	m.running = append(m.running, run{id, m.now.Add(service(m.owner[id]))})
}

func (m *closedLoop) finishNext(service func(string) time.Duration) {
	first := 0
	for i, r := range m.running {
		if r.end.Before(m.running[first].end) {
			first = i
		}
	}
	r := m.running[first]
	m.running = append(m.running[:first], m.running[first+1:]...)
	m.now = r.end
	m.used[m.owner[r.id]] += service(m.owner[r.id])
	m.apply(m.gate.Finish(m.now, r.id, Outcome{Result: OK}), service)
}

// Organisations must get slot-time within 5 % of their shares for all classes and service times.
func TestSharesAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := Shares{
			"a": rapid.Float64Range(0.1, 0.5).Draw(t, "a"),
			"b": rapid.Float64Range(0.1, 0.5).Draw(t, "b"),
		}
		classOf := map[string]catalogue.Class{}
		times := map[string]time.Duration{}
		for _, org := range []string{"a", "b"} {
			classOf[org] = rapid.SampledFrom([]catalogue.Class{catalogue.Critical, catalogue.Interactive, catalogue.Background}).Draw(t, "class")
			times[org] = time.Duration(rapid.IntRange(5, 50).Draw(t, "ms")) * time.Millisecond
		}
		service := func(org string) time.Duration { return times[org] }
		m := &closedLoop{
			gate: New(epoch, limits(10, 10, 1000, 0), shares), now: epoch,
			owner: map[ID]string{}, used: map[string]time.Duration{},
		}
		for range 100 {
			m.offer("a", classOf["a"], service)
			m.offer("b", classOf["b"], service)
		}
		for m.now.Before(epoch.Add(4 * time.Second)) {
			m.finishNext(service)
			for _, org := range []string{"a", "b"} {
				if f := m.gate.queue.flows[org]; f.queued < 50 {
					m.offer(org, classOf[org], service)
				}
			}
		}
		got := float64(m.used["a"]) / float64(m.used["a"]+m.used["b"])
		want := shares["a"] / (shares["a"] + shares["b"])
		if got < want-0.05 || got > want+0.05 {
			t.Fatalf("organisation a got %.3f of the target, its share is %.3f", got, want)
		}
	})
}

// The invariants of the gate must hold for any sequence of calls.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		cold := rapid.IntRange(1, 4).Draw(t, "cold")
		period := time.Duration(rapid.IntRange(0, 2000).Draw(t, "period")) * time.Millisecond
		l := limits(slots, cold, rapid.IntRange(0, 10).Draw(t, "queue"), period)
		shares := Shares{"a": 0.6, "b": 0.3}
		g := New(epoch, l, shares)
		now := epoch
		waiting, running := map[ID]bool{}, map[ID]bool{}
		var next ID
		var coldSince time.Time
		begin := func(id ID) {
			if running[id] {
				t.Fatalf("request %d granted twice", id)
			}
			delete(waiting, id)
			running[id] = true
			if limit := g.Load(now).Limit; len(running) > limit {
				t.Fatalf("%d in flight over the limit %d", len(running), limit)
			}
			bound := min(cold, slots)
			if !coldSince.IsZero() && period > 0 {
				bound += int(float64(slots) * min(1, float64(now.Sub(coldSince))/float64(period)))
			} else if !coldSince.IsZero() {
				bound = slots
			}
			if len(running) > bound {
				t.Fatalf("%d in flight over the ramp %d", len(running), bound)
			}
		}
		apply := func(c Changes) {
			for _, d := range c.Dropped {
				if !waiting[d.ID] {
					t.Fatalf("request %d dropped but it does not wait", d.ID)
				}
				delete(waiting, d.ID)
			}
			for _, id := range c.Granted {
				if !waiting[id] {
					t.Fatalf("request %d granted but it does not wait", id)
				}
				begin(id)
			}
		}
		pick := func(set map[ID]bool) ID {
			var ids []ID
			for id := ID(1); id <= next; id++ {
				if set[id] {
					ids = append(ids, id)
				}
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				r := Request{ID: next, Organisation: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "org")}
				r.Class = rapid.SampledFrom([]catalogue.Class{catalogue.Critical, catalogue.Interactive, catalogue.Background}).Draw(t, "class")
				if rapid.Bool().Draw(t, "deadline") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				}
				d := g.Offer(now, r)
				if d.Verdict == Queued {
					waiting[next] = true
				}
				apply(d.Changes)
				if d.Verdict == Admitted {
					begin(next)
				}
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				id := pick(running)
				delete(running, id)
				result := rapid.SampledFrom([]Result{OK, OK, OK, OK, Failed, Shed, Crashed, Cancelled}).Draw(t, "result")
				if result == OK && coldSince.IsZero() {
					coldSince = now
				}
				if result == Crashed {
					coldSince = time.Time{}
				}
				apply(g.Finish(now, id, Outcome{Result: result}))
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				id := pick(waiting)
				delete(waiting, id)
				if !g.Cancel(now, id) {
					t.Fatalf("request %d waits but can't be cancelled", id)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				apply(g.Tick(now))
			},
			"pause": func(*rapid.T) {
				now = now.Add(PauseGap + time.Second)
				coldSince = time.Time{}
				apply(g.Tick(now))
			},
			"": func(t *rapid.T) {
				load := g.Load(now)
				if load.InFlight != len(running) || load.Queued != len(waiting) {
					t.Fatalf("load %+v, want %d running and %d waiting", load, len(running), len(waiting))
				}
				if load.Queued > l.Queue {
					t.Fatalf("%d requests wait, queue limit is %d", load.Queued, l.Queue)
				}
				if load.Queued > 0 && load.InFlight == 0 {
					t.Fatal("requests wait at an idle target")
				}
			},
		})
	})
}

func BenchmarkGate(b *testing.B) {
	g, now := warmGate(b, epoch, limits(20, 2, 40, time.Second), Shares{"a": 0.4, "b": 0.3, "c": 0.3})
	orgs := []string{"a", "b", "c"}
	b.ReportAllocs()
	var running []ID
	next := ID(0)
	for b.Loop() {
		next++
		now = now.Add(time.Millisecond)
		d := g.Offer(now, Request{ID: next, Organisation: orgs[next%3], Class: catalogue.Interactive})
		running = append(running, d.Granted...)
		if d.Verdict == Admitted {
			running = append(running, next)
		}
		if len(running) >= 20 {
			id := running[0]
			running = running[:copy(running, running[1:])]
			running = append(running, g.Finish(now, id, Outcome{Result: OK, Latency: 20 * time.Millisecond}).Granted...)
		}
	}
}
