package headers

import (
	"net/http"
	"testing"
	"time"
)

func TestStripInternalIgnoresCase(t *testing.T) {
	h := http.Header{"Chervilwell-Run": {"not-run"}, "chervilwell-load": {"1/2/3"}, "CHERVILWELL-X": {"1"}, "Accept": {"*/*"}}
	StripInternal(h)
	if len(h) != 1 || h.Get("Accept") != "*/*" {
		t.Fatalf("left %v", h)
	}
}

func TestStripHopByHopRemovesHeadersListedInConnection(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Upgrade": {"websocket"}, "X-Kept": {"1"}}
	StripHopByHop(h)
	if len(h) != 1 || h.Get("X-Kept") != "1" {
		t.Fatalf("left %v", h)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "1/2/3", "-1", "99999999999999999999", "1//2", "not-run", "250"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if n := ParseAttempt(s); n < 0 || n > MaxAttempts {
			t.Fatalf("attempt %d", n)
		}
		if d, ok := ParseTimeout(s); d < 0 || d > MaxTimeout || (!ok && d != 0) {
			t.Fatalf("timeout %v", d)
		}
		if l, err := ParseLoad(s); err == nil {
			again, err := ParseLoad(l.String())
			if err != nil || again != l {
				t.Fatalf("load %v formatted and parsed again gives %v, %v", l, again, err)
			}
		}
		if run := ParseRun(s); run == NotRun && s != "not-run" {
			t.Fatalf("%q was parsed as not-run", s)
		}
	})
}

func TestFormatTimeoutRoundsDown(t *testing.T) {
	d, ok := ParseTimeout(FormatTimeout(1999 * time.Microsecond))
	if !ok || d != time.Millisecond {
		t.Fatalf("got %v", d)
	}
}
