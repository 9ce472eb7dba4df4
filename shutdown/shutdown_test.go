package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestAdmit(t *testing.T) {
	const (
		whole     = "whole"
		shortened = "shortened"
		refused   = "refused"
	)
	for _, c := range []struct {
		name                string
		grace               time.Duration
		at, left, objective time.Duration
		want                string
	}{
		{"at the signal", 6 * time.Second, 0, time.Second, 500 * time.Millisecond, whole},
		{"ends with the window", 6 * time.Second, 3600 * time.Millisecond, 2 * time.Second, time.Second, whole},
		{"may end after the window", 6 * time.Second, 3601 * time.Millisecond, 2 * time.Second, time.Second, refused},
		{"late, but short", 6 * time.Second, 5 * time.Second, 600 * time.Millisecond, 300 * time.Millisecond, whole},
		{"longer than the grace period, callers not drained", 6 * time.Second, time.Second, 20 * time.Second, time.Second, shortened},
		{"just before callers are drained", 6 * time.Second, 2499 * time.Millisecond, 4 * time.Second, 1500 * time.Millisecond, shortened},
		{"callers are drained", 6 * time.Second, 2500 * time.Millisecond, 4 * time.Second, 1500 * time.Millisecond, refused},
		{"too little is left for its objective", 6 * time.Second, time.Second, 20 * time.Second, 2400 * time.Millisecond, refused},
		{"no objective", 6 * time.Second, time.Second, 20 * time.Second, 0, refused},
		{"longer grace period", 10 * time.Second, 4600 * time.Millisecond, 5 * time.Second, 1200 * time.Millisecond, whole},
		{"after the window", 6 * time.Second, 5700 * time.Millisecond, 100 * time.Millisecond, time.Millisecond, refused},
		{"no grace period", 0, 0, time.Second, 100 * time.Millisecond, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, now := NewWindow(epoch, c.grace), epoch.Add(c.at)
			deadline, ok := w.Admit(now, now.Add(c.left), c.objective)
			got := refused
			switch {
			case ok && deadline.Equal(now.Add(c.left)):
				got = whole
			case ok && deadline.Equal(w.End()):
				got = shortened
			case ok:
				t.Fatalf("accepted until %v after the signal", deadline.Sub(epoch))
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestAcceptedRequestsEndInTime checks that no accepted request has a deadline after the window, or after its own.
func TestAcceptedRequestsEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		grace := ms("grace", 20_000)
		w, now := NewWindow(epoch, grace), epoch.Add(ms("at", 25_000))
		asked := now.Add(ms("left", 60_000))
		deadline, ok := w.Admit(now, asked, ms("objective", 5000))
		if ok && (deadline.After(asked) || deadline.After(epoch.Add(max(grace-endLead, 0)))) {
			t.Fatalf("accepted until %v after the signal, grace period %v", deadline.Sub(epoch), grace)
		}
		if !ok && w.Fits(asked) {
			t.Fatal("refused although it ends in time")
		}
	})
}
