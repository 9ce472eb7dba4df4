package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestPoisonIsQuarantinedAfterTwoCrashes(t *testing.T) {
	a, b := New("a"), New("b")
	const poison, harmless = Fingerprint(1), Fingerprint(2)
	a.Begin(epoch, poison, false)
	a.Begin(epoch, harmless, false)
	b.Apply(epoch, a.Crashed(epoch))
	a.End(epoch, poison, false)
	a.End(epoch, harmless, false)

	if v := b.Begin(epoch, poison, false); v != Suspect {
		t.Fatalf("verdict %d for a suspect away from its home", v)
	}
	now := epoch.Add(time.Second)
	if v := b.Begin(now, poison, true); v != Suspect {
		t.Fatalf("verdict %d for a suspect at its home", v)
	}
	if v := b.Begin(now, harmless, true); v != Busy {
		t.Fatalf("verdict %d for a second suspect", v)
	}
	a.Apply(now, b.Crashed(now))
	b.End(now, poison, false)
	if a.Lookup(now, poison) != Quarantined || b.Lookup(now, poison) != Quarantined {
		t.Fatal("not quarantined after its second crash")
	}
	b.Begin(now, harmless, true)
	now = now.Add(time.Second)
	a.Apply(now, b.End(now, harmless, true))
	if a.Lookup(now, harmless) != Unsuspected || b.Lookup(now, harmless) != Unsuspected {
		t.Fatal("not cleared after its success")
	}
	if a.Lookup(now.Add(QuarantineTTL), poison) != Unsuspected {
		t.Fatal("quarantine does not end")
	}
}

func TestLateNoticesDoNotUndo(t *testing.T) {
	l := New("a")
	at := func(d time.Duration) int64 { return epoch.Add(d).UnixNano() }
	l.Apply(epoch, Notice{At: at(2 * time.Second), Cleared: []Fingerprint{1}})
	l.Apply(epoch, Notice{At: at(time.Second), Suspects: []Fingerprint{1, 2}})
	if l.Lookup(epoch, 1) != Unsuspected {
		t.Error("an older suspicion undid a clearance")
	}
	l.Apply(epoch, Notice{At: at(time.Second), Quarantined: []Fingerprint{2}})
	l.Apply(epoch, Notice{At: at(3 * time.Second), Cleared: []Fingerprint{2}})
	if l.Lookup(epoch, 2) != Quarantined {
		t.Error("a clearance undid a quarantine")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	l := New("a")
	for i := range 3 * MaxEntries {
		l.Apply(epoch, Notice{At: epoch.UnixNano() + int64(i), Suspects: []Fingerprint{Fingerprint(i)}})
	}
	if len(l.entries) > MaxEntries {
		t.Fatalf("%d entries", len(l.entries))
	}
}

func TestFingerprintsDiffer(t *testing.T) {
	base := Request{"org", "route", "POST", "/x", "key", 1}
	seen := map[Fingerprint]bool{FingerprintOf(base): true}
	for _, r := range []Request{
		{"orgroute", "", "POST", "/x", "key", 1},
		{"org", "route", "PUT", "/x", "key", 1},
		{"org", "route", "POST", "/y", "key", 1},
		{"org", "route", "POST", "/x", "yek", 1},
		{"org", "route", "POST", "/x", "key", 2},
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
	running [][]Fingerprint
	crashes map[Fingerprint]int
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
	f.broadcast(now, f.lists[at].Crashed(now), twice)
	for _, r := range f.running[at] {
		f.lists[at].End(now, r, false)
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
				f.broadcast(now, l.End(now, r, true), false)
				continue
			}
			r := Fingerprint(rapid.IntRange(1, requests).Draw(t, "request"))
			v := l.Begin(now, r, Home(r, f.names) == f.names[at])
			if v != Unsuspected && (v != Suspect || Home(r, f.names) != f.names[at]) {
				continue
			}
			f.running[at] = append(f.running[at], r)
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
