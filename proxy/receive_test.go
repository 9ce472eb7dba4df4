package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// narrow gives the second process a link of 10 Mbit/s and leaves only its target; the first process has learnt of the link.
func narrow(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, mesh.Upload)
	c.nodes[1].gatekeeper.inlet = pacer.NewInlet(10e6 / 8)
	c.leave(0)
	if resp, body := c.ask(t, http.MethodGet, "/first/", ""); resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %q", resp.StatusCode, body)
	}
	return c
}

func TestLargeBodyArrivesWholeOverANarrowLink(t *testing.T) {
	c := narrow(t)
	body := strings.Repeat("b", 60_000)
	for i := range 3 {
		if resp, text := c.ask(t, http.MethodPost, "/upload/"+strconv.Itoa(i), body); resp.StatusCode != http.StatusOK {
			t.Fatalf("%d %q", resp.StatusCode, text)
		}
	}
	runs := c.nodes[1].target.runs()
	if len(runs) != 4 {
		t.Fatalf("%d runs, want 4", len(runs))
	}
	for _, run := range runs[1:] {
		if string(run.body) != body {
			t.Errorf("the target got %d bytes of %d", len(run.body), len(body))
		}
	}
}

// Load pattern: link saturation at one machine. The body that can't come in in time is refused at once and never runs.
func TestLargeBodyIsRefusedWhileANarrowLinkIsFull(t *testing.T) {
	c := narrow(t)
	k := c.nodes[1].gatekeeper
	k.mu.Lock()
	now := time.Now()
	k.inlet.Take(now, 5_000_000, now.Add(time.Minute))
	k.mu.Unlock()
	began := time.Now()
	resp, text := c.ask(t, http.MethodPost, "/upload/", strings.Repeat("b", 60_000))
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%d %q", resp.StatusCode, text)
	}
	if back, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || back <= 0 {
		t.Errorf("Retry-After: %q", resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	if resp, text := c.ask(t, http.MethodPost, "/small/", "s"); resp.StatusCode != http.StatusOK {
		t.Errorf("a small request meanwhile: %d %q", resp.StatusCode, text)
	}
	if runs := len(c.nodes[1].target.runs()); runs != 2 {
		t.Errorf("%d runs, want those of the two small requests", runs)
	}
}
