package quarantine

import (
	"testing"
	"time"
)

// runBody begins a run of a request whose body passes while it runs, of which some has passed.
func runBody(l *List, now time.Time, head Fingerprint, passed string) *Run {
	r := &Run{Fingerprint: head, Body: NewDigest()}
	l.Begin(now, r, false)
	_, _ = r.Body.Write([]byte(passed))
	return r
}

// Guards against a long body that is taken for others with the same head, or not known again when it returns.
func TestLongBodyIsKnownByWhatHasPassed(t *testing.T) {
	const head = Fingerprint(7)
	a, b := New("a"), New("b")
	now := epoch
	poison, beside, nothing := runBody(a, now, head, "poison, part"), runBody(a, now, head, "beside"), runBody(a, now, head, "")
	answered := runBody(a, now, head, "answered")
	a.End(now, answered, Answered)
	b.Apply(now, a.Crashed(now, 1, "a"))
	for _, r := range []*Run{poison, beside, nothing} {
		a.End(now, r, Unanswered)
	}
	b.Apply(now, a.End(now, runBody(a, now, head, "another answer"), Answered))
	for _, l := range []*List{a, b} {
		for body, want := range map[string]Verdict{
			"poison, part": Suspect, "poison, part and the rest": Suspect, "beside": Suspect, "poison": Unsuspected, "another": Unsuspected, "": Unsuspected,
			"answered": Unsuspected, "another answer": Unsuspected,
		} {
			f, _ := l.Identify(now, head, []byte(body))
			if got := l.Lookup(now, f); got != want {
				t.Errorf("%s, body %q: verdict %d, want %d", l.self, body, got, want)
			}
		}
		if l.Lookup(now, head) != Unsuspected || len(l.Prefixes(now, head)) != 2 || len(l.Prefixes(now, 8)) != 0 {
			t.Errorf("%s: verdict %d for all requests with the head, prefixes %v", l.self, l.Lookup(now, head), l.Prefixes(now, head))
		}
	}
	f, p := b.Identify(now, head, []byte("poison, part and the rest"))
	trial := &Run{Fingerprint: f, Prefix: p}
	b.Begin(now, trial, true)
	a.Apply(now, b.Crashed(now, 2, "b"))
	if v := a.Lookup(now, f); v != Quarantined {
		t.Errorf("verdict %d after the second crash", v)
	}
}

// The digest of what has passed is that of the body, however it is cut.
func TestDigestDoesNotDependOnPieces(t *testing.T) {
	const head, body = Fingerprint(7), "a body that comes in pieces"
	want, _ := New("a").Identify(epoch, head, []byte(body))
	for cut := range body {
		d := NewDigest()
		_, _ = d.Write([]byte(body[:cut]))
		_, _ = d.Write([]byte(body[cut:]))
		if got, p := d.Fingerprint(head); got != want || p.Bytes != int64(len(body)) {
			t.Errorf("cut at %d: got %v, %v", cut, got, p)
		}
	}
}
