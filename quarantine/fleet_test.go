package quarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// event is something that happens at a time of a simulated fleet.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a fleet in which each process has a list, and the first ones also a target. Its time is virtual.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	events  events
	lists   []*List
	targets []string
	// up is false while a target is down; runs holds what runs at each target, oldest first.
	up   []bool
	runs [][]simulatedRequest
	// linkDelay is the largest delay of a message, lossPercent the percentage of notices that are lost.
	linkDelay   time.Duration
	lossPercent int
	// cut is set while the processes in the first half of the fleet and the others cannot reach each other. Notices are sent again
	// when it ends.
	cut bool
	// learned is the number of processes from which each process has learned since its start.
	learned []int
	crashes int
	// results counts the ended requests of others.
	results map[result]int
}

// simulatedRequest is a run at a target; retry continues the request if the run is broken off.
type simulatedRequest struct {
	run   *Run
	retry func()
}

// result is how a request ended.
type result uint8

const (
	served result = iota
	failed
	quarantinedResult
)

const (
	simulatedRestart = 3 * time.Second
	simulatedRun     = 100 * time.Millisecond
	// simulatedRetry is the delay after which a frontend tries again after a crash or a refusal.
	simulatedRetry = 20 * time.Millisecond
)

func newSimulation(seed uint64, processes, targets int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, up: make([]bool, targets), runs: make([][]simulatedRequest, targets),
		linkDelay: 30 * time.Millisecond, results: map[result]int{},
	}
	for i := range processes {
		s.lists, s.learned = append(s.lists, New(fmt.Sprint("p", i))), append(s.learned, 2)
	}
	for i := range targets {
		s.targets, s.up[i] = append(s.targets, fmt.Sprint("t", i)), true
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now.Add(d), do}) }

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); len(s.events) > 0 && !s.events[0].at.After(end); {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rng.Int64N(int64(s.linkDelay))) }

// spread sends a notice to the processes beside targets, or to all if it quarantines a request.
func (s *simulation) spread(n Notice) {
	to := s.lists[:len(s.targets)]
	if len(n.Quarantined()) > 0 {
		to = s.lists
	}
	for i := range to {
		if !n.Empty() && s.rng.IntN(100) >= s.lossPercent {
			s.deliver(n, i)
		}
	}
}

// deliver delivers a notice to a process, after the end of the cut if it comes from the other half.
func (s *simulation) deliver(n Notice, to int) {
	s.after(s.delay(), func() {
		var from int
		_, _ = fmt.Sscanf(n.From, "p%d", &from)
		if s.cut && s.half(from) != s.half(to) {
			s.deliver(n, to)
			return
		}
		s.lists[to].Apply(s.now, n)
	})
}

// half returns the half of the fleet to which a process belongs during a cut.
func (s *simulation) half(process int) int { return process % 2 }

// restart replaces a process, which then learns from a random one beside a target. Its runs end without an answer.
func (s *simulation) restart(process int) {
	s.lists[process] = New(fmt.Sprint("p", process))
	if process < len(s.targets) {
		for _, r := range s.runs[process] {
			r.retry()
		}
		s.runs[process] = nil
	}
	s.learned[process] = 0
	s.learn(process, s.lists[process])
}

// learn makes a new process ask processes beside targets, until it has learned from two that have learned something themselves.
func (s *simulation) learn(process int, l *List) {
	s.after(2*s.delay(), func() {
		if s.lists[process] != l {
			return
		}
		teacher := s.rng.IntN(len(s.targets))
		if teacher != process && s.learned[teacher] > 0 && (!s.cut || s.half(teacher) == s.half(process)) {
			l.Apply(s.now, s.lists[teacher].All(s.now))
			s.learned[process]++
		}
		if s.learned[process] < 2 {
			s.after(50*time.Millisecond, func() { s.learn(process, l) })
		}
	})
}

// send sends a request from a process; poisonous requests crash the target at the end of their run. attempts limits the targets that
// the request reaches.
func (s *simulation) send(from int, f Fingerprint, poison bool, attempts int, done func(result)) {
	l := s.lists[from]
	v := l.Lookup(s.now, f)
	if v == Quarantined {
		s.after(0, func() { done(quarantinedResult) })
		return
	}
	var candidates []string
	for i, name := range s.targets {
		if s.up[i] && (!s.cut || s.half(i) == s.half(from)) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 || attempts == 0 {
		s.after(0, func() { done(failed) })
		return
	}
	name := candidates[s.rng.IntN(len(candidates))]
	var known Notice
	if v == Suspect {
		name, known = l.Home(s.now, f, candidates), l.About(s.now, f)
	}
	s.after(s.delay(), func() { s.arrive(from, name, f, poison, v == Suspect, known, attempts, done) })
}

// arrive handles a request at the process beside a target.
func (s *simulation) arrive(from int, name string, f Fingerprint, poison, home bool, known Notice, attempts int, done func(result)) {
	var at int
	_, _ = fmt.Sscanf(name, "t%d", &at)
	l := s.lists[at]
	l.Apply(s.now, known)
	retry := func(attempts int) {
		about := l.About(s.now, f)
		s.after(s.delay()+simulatedRetry, func() {
			s.lists[from].Apply(s.now, about)
			s.send(from, f, poison, attempts, done)
		})
	}
	r := &Run{Fingerprint: f}
	v := l.Begin(s.now, r, home)
	if !s.up[at] || v == Quarantined || v == Busy || v == Suspect && !home {
		l.End(s.now, r, NotRun)
		retry(attempts)
		return
	}
	s.runs[at] = append(s.runs[at], simulatedRequest{r, func() { retry(attempts - 1) }})
	s.after(time.Duration(1+s.rng.Int64N(int64(simulatedRun))), func() {
		i := slices.IndexFunc(s.runs[at], func(other simulatedRequest) bool { return other.run == r })
		if i < 0 {
			return
		}
		if poison {
			s.crash(at)
			return
		}
		s.runs[at] = slices.Delete(s.runs[at], i, i+1)
		s.spread(l.End(s.now, r, Answered))
		done(served)
	})
}

// crash ends a target and its runs, and starts it again later.
func (s *simulation) crash(at int) {
	s.crashes++
	s.up[at] = false
	s.spread(s.lists[at].Crashed(s.now, s.rng.Uint64(), s.targets[at]))
	for _, r := range s.runs[at] {
		s.lists[at].End(s.now, r.run, Unanswered)
		r.retry()
	}
	s.runs[at] = nil
	s.after(simulatedRestart, func() { s.up[at] = true })
}

// load sends other requests, each of which is sent once by its caller, with the given pause between them.
func (s *simulation) load(pause time.Duration, next Fingerprint) {
	s.send(s.rng.IntN(len(s.lists)), next, false, 2, func(r result) { s.results[r]++ })
	s.after(pause, func() { s.load(pause, next+1) })
}

// repeat sends a poisonous request again and again, each time at a random process after the given pause.
func (s *simulation) repeat(pause time.Duration, attempts int) {
	s.send(s.rng.IntN(len(s.lists)), 1, true, attempts, func(result) {
		s.after(pause, func() { s.repeat(pause, attempts) })
	})
}

const firstOther = Fingerprint(1000)

var fleetSeeds = flag.Int("seeds", 10, "number of random histories of each simulated fleet; a tenth of it for the large one")

// TestRepeatedRequestCrashesFewTargets guards against a request that crashes each target that runs it, and is sent again at any process
// of the fleet, while notices are lost.
func TestRepeatedRequestCrashesFewTargets(t *testing.T) {
	// wantServed is the fraction of the other requests to be served.
	const wantServed = 0.95
	for _, fleet := range []struct {
		processes, targets int
		othersPerSecond    time.Duration
		seeds              uint64
	}{{13, 5, 50, uint64(*fleetSeeds)}, {296, 98, 200, uint64(max(*fleetSeeds/10, 1))}} {
		for _, pause := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second, 5 * time.Second} {
			for _, attempts := range []int{1, 2} {
				t.Run(fmt.Sprintf("%d processes, pause %v, %d attempts", fleet.processes, pause, attempts), func(t *testing.T) {
					for seed := range fleet.seeds {
						s := newSimulation(seed, fleet.processes, fleet.targets)
						s.lossPercent = 5
						s.load(time.Second/fleet.othersPerSecond, firstOther)
						s.repeat(pause, attempts)
						s.run(30 * time.Second)
						if s.crashes > 3 {
							t.Errorf("seed %d: %d targets crashed, want at most 3", seed, s.crashes)
						}
						if s.results[quarantinedResult] > 0 {
							t.Errorf("seed %d: %d other requests were quarantined", seed, s.results[quarantinedResult])
						}
						if sent := s.results[served] + s.results[failed]; float64(s.results[served]) < wantServed*float64(sent) {
							t.Errorf("seed %d: %d of %d other requests were served", seed, s.results[served], sent)
						}
					}
				})
			}
		}
	}
}

// TestRepeatedRequestDuringRestartsAndCuts guards against a request that crashes targets and is forgotten when processes restart one after
// the other, or not known beyond a cut link. Each half of the fleet learns of it by itself during a cut, and in each a copy may be on its
// way to a target beside which the process has just restarted.
func TestRepeatedRequestDuringRestartsAndCuts(t *testing.T) {
	for seed := range uint64(*fleetSeeds) {
		s := newSimulation(seed, 12, 6)
		s.load(20*time.Millisecond, firstOther)
		s.repeat(time.Duration(50+s.rng.Int64N(950))*time.Millisecond, 2)
		var restart, cut func()
		restart = func() {
			s.restart(s.rng.IntN(len(s.lists)))
			s.after(time.Duration(s.rng.Int64N(int64(time.Second))), restart)
		}
		cut = func() {
			s.cut = !s.cut
			s.after(time.Duration(1+s.rng.Int64N(3))*time.Second, cut)
		}
		s.after(0, restart)
		s.after(time.Duration(s.rng.Int64N(int64(3*time.Second))), cut)
		s.run(60 * time.Second)
		t.Logf("seed %d: %d crashes, results %v", seed, s.crashes, s.results)
		if s.crashes > 2*3 {
			t.Errorf("seed %d: %d targets crashed, want at most 3 in each half of the fleet", seed, s.crashes)
		}
		if s.results[quarantinedResult] > 0 {
			t.Errorf("seed %d: %d other requests were quarantined", seed, s.results[quarantinedResult])
		}
	}
}

// TestCrashesWithoutCauseQuarantineFew guards against requests that are taken for the cause when targets crash often for other reasons.
func TestCrashesWithoutCauseQuarantineFew(t *testing.T) {
	// A day may have tolerated refusals of proper requests, and one more for each toleratedEvery requests.
	const tolerated, toleratedEvery = 5, 500
	for seed := range uint64(20) {
		s := newSimulation(seed, 13, 5)
		s.load(10*time.Millisecond, firstOther)
		var crashSome func()
		crashSome = func() {
			for at := range s.targets {
				if s.up[at] && s.rng.IntN(2) == 0 {
					s.crash(at)
				}
			}
			s.after(time.Duration(s.rng.Int64N(int64(2*time.Second))), crashSome)
		}
		s.after(time.Second, crashSome)
		s.run(30 * time.Second)
		sent := s.results[served] + s.results[failed] + s.results[quarantinedResult]
		t.Logf("seed %d: %d crashes, %d of %d requests quarantined", seed, s.crashes, s.results[quarantinedResult], sent)
		if s.results[quarantinedResult] > tolerated+sent/toleratedEvery {
			t.Errorf("seed %d: too many requests are quarantined", seed)
		}
	}
}

// TestSimulationRepeats guards against simulated fleets of which a seed does not give the same history again.
func TestSimulationRepeats(t *testing.T) {
	history := func() string {
		s := newSimulation(1, 13, 5)
		s.lossPercent = 5
		s.load(10*time.Millisecond, firstOther)
		s.repeat(250*time.Millisecond, 2)
		for at := range s.targets {
			s.after(time.Duration(5+at)*time.Second, func() { s.crash(at) })
		}
		s.run(20 * time.Second)
		return fmt.Sprint(s.crashes, s.results, s.rng.Uint64())
	}
	first := history()
	for range 5 {
		if again := history(); again != first {
			t.Fatalf("one seed gave %s and %s", first, again)
		}
	}
}
