package quarantine

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// begin asks to run a request and returns its run.
func begin(l *List, now time.Time, f Fingerprint, home bool) (*Run, Verdict) {
	r := &Run{Fingerprint: f}
	return r, l.Begin(now, r, home)
}

func TestPoisonIsQuarantinedAfterTwoCrashes(t *testing.T) {
	a, b := New("a"), New("b")
	const poison, harmless = Fingerprint(1), Fingerprint(2)
	first, _ := begin(a, epoch, poison, false)
	beside, _ := begin(a, epoch, harmless, false)
	b.Apply(epoch, a.Crashed(epoch, 1, "a"))
	a.End(epoch, first, Unanswered)
	a.End(epoch, beside, Unanswered)

	if _, v := begin(b, epoch, poison, false); v != Suspect {
		t.Fatalf("verdict %d for a suspect away from its home", v)
	}
	now := epoch.Add(time.Second)
	trial, v := begin(b, now, poison, true)
	if v != Suspect {
		t.Fatalf("verdict %d for a suspect at its home", v)
	}
	if _, v := begin(b, now, harmless, true); v != Busy {
		t.Fatalf("verdict %d for a second suspect", v)
	}
	a.Apply(now, b.Crashed(now, 2, "b"))
	b.End(now, trial, Unanswered)
	if a.Lookup(now, poison) != Quarantined || b.Lookup(now, poison) != Quarantined {
		t.Fatal("not quarantined after its second crash")
	}
	run, _ := begin(b, now, harmless, true)
	now = now.Add(time.Second)
	a.Apply(now, b.End(now, run, Answered))
	if a.Lookup(now, harmless) != Unsuspected || b.Lookup(now, harmless) != Unsuspected {
		t.Fatal("not cleared after its success")
	}
	if a.Lookup(now.Add(QuarantineTTL), poison) != Unsuspected {
		t.Fatal("quarantine does not end")
	}
}

// notice returns a notice with one record.
func notice(f Fingerprint, crashes ...Crash) Notice {
	return Notice{Records: []Record{{Fingerprint: f, Crashes: crashes, ExpiresInMs: 60_000}}}
}

func TestLateNoticesDoNotUndo(t *testing.T) {
	l := New("a")
	l.Apply(epoch, notice(1, Crash{ID: 1, Cleared: true}))
	l.Apply(epoch, notice(1, Crash{ID: 1}))
	if l.Lookup(epoch, 1) != Unsuspected {
		t.Error("a suspicion undid a clearance of the same crash")
	}
	l.Apply(epoch, notice(1, Crash{ID: 2}))
	if l.Lookup(epoch, 1) != Suspect {
		t.Error("a clearance hides a crash that it does not cover")
	}
	l.Apply(epoch, notice(2, Crash{ID: 1}, Crash{ID: 2, Alone: true}))
	l.Apply(epoch, notice(2, Crash{ID: 1, Cleared: true}, Crash{ID: 2, Cleared: true}))
	if l.Lookup(epoch, 2) != Quarantined {
		t.Error("a clearance undid a quarantine")
	}
}

func TestMalformedNoticesAreBounded(t *testing.T) {
	l := New("a")
	many := Notice{Records: make([]Record, 2*MaxNotice), Down: make([]string, 2*MaxNotice)}
	for i := range many.Records {
		many.Records[i] = Record{Fingerprint: Fingerprint(i), Crashes: make([]Crash, 100), ExpiresInMs: math.MaxInt64, Label: strings.Repeat("x", 10*maxLabelBytes)}
	}
	l.Apply(epoch, many)
	for f, e := range l.entries {
		if len(e.crashes) > maxCrashes || len(e.label) > maxLabelBytes || e.until.After(epoch.Add(QuarantineTTL)) {
			t.Fatalf("request %d: %d crashes, label of %d bytes, until %v", f, len(e.crashes), len(e.label), e.until)
		}
	}
	if len(l.entries) > MaxNotice || len(l.down) > MaxNotice {
		t.Fatalf("%d entries, %d targets", len(l.entries), len(l.down))
	}
	for _, r := range []Record{{Fingerprint: 9_999}, {Fingerprint: 9_999, Crashes: []Crash{{ID: 1}}, ExpiresInMs: -1}} {
		if l.Apply(epoch, Notice{Records: []Record{r}}) || l.Lookup(epoch, 9_999) != Unsuspected {
			t.Fatalf("%+v was taken", r)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	l := New("a")
	for i := range 3 * MaxEntries {
		l.Apply(epoch.Add(time.Duration(i)), notice(Fingerprint(i), Crash{ID: uint64(i)}))
		run, _ := begin(l, epoch.Add(time.Duration(i)), Fingerprint(i+4*MaxEntries), false)
		l.End(epoch.Add(time.Duration(i)), run, Answered+Ending(i%4))
		l.addDown(epoch, fmt.Sprint(i))
	}
	if len(l.entries) > MaxEntries || len(l.answered) > MaxEntries || len(l.unanswered) > MaxNotice || len(l.running) > 0 || len(l.down) > maxDown {
		t.Fatalf("%d entries, %d answered, %d unanswered, %d running, %d down", len(l.entries), len(l.answered), len(l.unanswered), len(l.running), len(l.down))
	}
}

// A popular request is in flight whenever a target crashes. It must not be taken for the cause.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	l := New("a")
	run, _ := begin(l, epoch, 1, false)
	l.End(epoch, run, Answered)
	for crash := range uint64(5) {
		now := epoch.Add(time.Duration(crash) * time.Second)
		begin(l, now, 1, false)
		l.Crashed(now, crash, "a")
	}
	if v := l.Lookup(epoch, 1); v != Unsuspected {
		t.Fatalf("verdict %d", v)
	}
	later := epoch.Add(2 * answeredTTL)
	begin(l, later, 1, false)
	l.Crashed(later, 9, "a")
	if v := l.Lookup(later, 1); v != Suspect {
		t.Fatalf("verdict %d long after the answer", v)
	}
}

// A caller may leave before its request crashes the target.
func TestRequestWithoutAnswerIsSuspectedOfLaterCrash(t *testing.T) {
	l := New("a")
	run, _ := begin(l, epoch, 1, false)
	l.End(epoch, run, Unanswered)
	l.Crashed(epoch.Add(unansweredTTL/2), 1, "a")
	if v := l.Lookup(epoch, 1); v != Suspect {
		t.Fatalf("verdict %d", v)
	}
	run, _ = begin(l, epoch, 2, false)
	l.End(epoch, run, Unanswered)
	l.Crashed(epoch.Add(2*unansweredTTL), 2, "a")
	if v := l.Lookup(epoch, 2); v != Unsuspected {
		t.Fatalf("verdict %d for a request that ended long before the crash", v)
	}
	for f, how := range map[Fingerprint]Ending{3: Inconclusive, 4: NotRun} {
		run, _ = begin(l, epoch, f, false)
		l.End(epoch, run, how)
		l.Crashed(epoch, uint64(f), "a")
		if v := l.Lookup(epoch, f); v != Unsuspected {
			t.Fatalf("verdict %d for a request that ended with %d", v, how)
		}
	}
}

// A request may wait for a connection when its target crashes.
func TestRequestThatWasNotRunIsNotSuspected(t *testing.T) {
	a, b := New("a"), New("b")
	waiting, _ := begin(a, epoch, 1, false)
	begin(a, epoch, 2, false)
	b.Apply(epoch, a.Crashed(epoch, 7, "a"))
	b.Apply(epoch, a.End(epoch, waiting, NotRun))
	if a.Lookup(epoch, 1) != Unsuspected || b.Lookup(epoch, 1) != Unsuspected || b.Lookup(epoch, 2) != Suspect {
		t.Fatalf("verdicts %d, %d, %d", a.Lookup(epoch, 1), b.Lookup(epoch, 1), b.Lookup(epoch, 2))
	}
}

// Several targets may run a request when the first of them crashes, beside the same other requests.
func TestRequestIsQuarantinedAfterThreeCrashesBesideOthers(t *testing.T) {
	lists := []*List{New("a"), New("b"), New("c")}
	for i, l := range lists {
		begin(l, epoch, 1, false)
		begin(l, epoch, Fingerprint(10+i), false)
	}
	for i, l := range lists {
		n := l.Crashed(epoch, uint64(i), fmt.Sprint(i))
		for _, other := range lists {
			other.Apply(epoch, n)
		}
	}
	for i, l := range lists {
		if l.Lookup(epoch, 1) != Quarantined || l.Lookup(epoch, Fingerprint(10+i)) != Suspect {
			t.Fatalf("list %d: verdicts %d and %d", i, l.Lookup(epoch, 1), l.Lookup(epoch, Fingerprint(10+i)))
		}
	}
}

func TestHomeAvoidsCrashedTargets(t *testing.T) {
	l, targets := New("a"), []string{"a", "b", "c"}
	first := l.Home(epoch, 1, targets)
	l.Apply(epoch, Notice{Down: []string{first}})
	if home := l.Home(epoch, 1, targets); home == first || home == "" {
		t.Fatalf("home %q", home)
	}
	l.Apply(epoch, Notice{Down: targets})
	if l.Home(epoch, 1, targets) == "" {
		t.Fatal("no home when all targets have crashed")
	}
	if home := l.Home(epoch.Add(downTTL+1), 1, targets); home != first {
		t.Fatalf("home %q, want %q again", home, first)
	}
}

// A process that starts asks another one for all that it knows.
func TestStartingProcessLearnsWhatIsHeld(t *testing.T) {
	a, b := New("a"), New("b")
	a.Apply(epoch, notice(1, Crash{ID: 1}, Crash{ID: 2, Alone: true}))
	a.Apply(epoch, notice(2, Crash{ID: 3}))
	a.Apply(epoch, notice(3, Crash{ID: 4, Cleared: true}))
	now := epoch.Add(time.Second)
	b.Apply(now, a.All(now))
	if b.Lookup(now, 1) != Quarantined || b.Lookup(now, 2) != Suspect || b.Lookup(now, 3) != Unsuspected {
		t.Fatalf("verdicts %d, %d, %d", b.Lookup(now, 1), b.Lookup(now, 2), b.Lookup(now, 3))
	}
	if end := epoch.Add(QuarantineTTL + time.Millisecond); a.Lookup(end, 1) != Unsuspected || b.Lookup(end, 1) != Unsuspected {
		t.Error("the quarantine lasts longer at the process that has started later")
	}
}

func TestFingerprintsDiffer(t *testing.T) {
	base := Request{"org", "caller", "service", "route", "POST", "/x", "key", 1}
	seen := map[Fingerprint]bool{FingerprintOf(base): true}
	for _, r := range []Request{
		{"orgcaller", "", "service", "route", "POST", "/x", "key", 1},
		{"org", "callerservice", "", "route", "POST", "/x", "key", 1},
		{"org", "caller", "serviceroute", "", "POST", "/x", "key", 1},
		{"gro", "caller", "service", "route", "POST", "/x", "key", 1},
		{"org", "other", "service", "route", "POST", "/x", "key", 1},
		{"org", "caller", "other", "route", "POST", "/x", "key", 1},
		{"org", "caller", "service", "other", "POST", "/x", "key", 1},
		{"org", "caller", "service", "route", "PUT", "/x", "key", 1},
		{"org", "caller", "service", "route", "POST", "/y", "key", 1},
		{"org", "caller", "service", "route", "POST", "/x", "yek", 1},
		{"org", "caller", "service", "route", "POST", "/x", "key", 2},
	} {
		if f := FingerprintOf(r); seen[f] {
			t.Errorf("%+v has a fingerprint seen before", r)
		} else {
			seen[f] = true
		}
	}
}

// fleet runs requests on instances that receive each other's notices.
type fleet struct {
	lists   []*List
	names   []string
	running [][]*Run
	crashes map[Fingerprint]int
	total   uint64
}

func (f *fleet) broadcast(now time.Time, n Notice, twice bool) {
	for _, l := range f.lists {
		l.Apply(now, n)
		if twice {
			l.Apply(now, n)
		}
	}
}

// crash ends all requests that run at an instance because of a poisonous request.
func (f *fleet) crash(now time.Time, at int, poison Fingerprint, twice bool) {
	f.crashes[poison]++
	f.total++
	f.broadcast(now, f.lists[at].Crashed(now, f.total, f.names[at]), twice)
	for _, r := range f.running[at] {
		f.lists[at].End(now, r, Unanswered)
	}
	f.running[at] = nil
}

// However often requests are resent, a poisonous one crashes at most two targets, and the others end unsuspected.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{crashes: map[Fingerprint]int{}}
		for i := range rapid.IntRange(2, 5).Draw(t, "instances") {
			f.names = append(f.names, fmt.Sprint("i", i))
			f.lists = append(f.lists, New(f.names[i]))
			f.running = append(f.running, nil)
		}
		const requests = 8
		poison := Fingerprint(rapid.IntRange(1, requests).Draw(t, "poison"))
		now := epoch
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, len(f.lists)-1).Draw(t, "at")
			l := f.lists[at]
			if len(f.running[at]) > 0 && rapid.Bool().Draw(t, "end") {
				r := f.running[at][0]
				f.running[at] = f.running[at][1:]
				f.broadcast(now, l.End(now, r, Answered), false)
				continue
			}
			r := Fingerprint(rapid.IntRange(1, requests).Draw(t, "request"))
			home := l.Home(now, r, f.names) == f.names[at]
			run, v := begin(l, now, r, home)
			if v != Unsuspected && (v != Suspect || !home) {
				continue
			}
			f.running[at] = append(f.running[at], run)
			if r == poison {
				f.crash(now, at, r, rapid.Bool().Draw(t, "twice"))
			}
		}
		if f.crashes[poison] > 2 {
			t.Fatalf("the poisonous request crashed %d targets, want at most 2", f.crashes[poison])
		}
		later := now.Add(SuspicionTTL + time.Second)
		for r := Fingerprint(1); r <= requests; r++ {
			if r != poison && f.lists[0].Lookup(later, r) != Unsuspected {
				t.Fatalf("request %d did not crash a target but is not free", r)
			}
		}
	})
}

// BenchmarkCalmRequest measures what a request costs while no target has crashed.
func BenchmarkCalmRequest(b *testing.B) {
	l := New("a")
	now := epoch
	b.ReportAllocs()
	for i := range b.N {
		f := FingerprintOf(Request{Route: "h.example", Method: "GET", Target: fmt.Sprint("/stock/lookup/", i)})
		l.Lookup(now, f)
		l.Lookup(now, f)
		r := &Run{Fingerprint: f}
		l.Begin(now, r, false)
		l.End(now, r, Answered)
		now = now.Add(5 * time.Millisecond)
	}
}
