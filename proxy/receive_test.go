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

// startNarrowLinkCluster gives the second process a link of 10 Mbit/s and leaves only its target in service. The first
// process has received the load report that describes the link.
func startNarrowLinkCluster(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, mesh.Upload)
	c.nodes[1].gatekeeper.inbound = pacer.NewInbound(10e6 / 8)
	c.markLeaving(0)
	if resp, body := c.send(t, http.MethodGet, "/first/", ""); resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %q", resp.StatusCode, body)
	}
	return c
}

func TestLargeBodyArrivesOverNarrowLink(t *testing.T) {
	c := startNarrowLinkCluster(t)
	body := strings.Repeat("b", 60_000)
	for i := range 3 {
		if resp, text := c.send(t, http.MethodPost, "/upload/"+strconv.Itoa(i), body); resp.StatusCode != http.StatusOK {
			t.Fatalf("%d %q", resp.StatusCode, text)
		}
	}
	requests := c.nodes[1].target.requests()
	if len(requests) != 4 {
		t.Fatalf("target received %d requests, want 4", len(requests))
	}
	for _, run := range requests[1:] {
		if string(run.body) != body {
			t.Errorf("target received %d bytes, want %d", len(run.body), len(body))
		}
	}
}

// Load pattern: link saturation at one machine. A body that can't be received in time is refused at once and never runs.
func TestLargeBodyIsRefusedWhileNarrowLinkIsFull(t *testing.T) {
	c := startNarrowLinkCluster(t)
	k := c.nodes[1].gatekeeper
	k.mu.Lock()
	now := time.Now()
	k.inbound.Reserve(now, 5_000_000, now.Add(time.Minute))
	k.mu.Unlock()
	start := time.Now()
	resp, text := c.send(t, http.MethodPost, "/upload/", strings.Repeat("b", 60_000))
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%d %q", resp.StatusCode, text)
	}
	if retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || retryAfter <= 0 {
		t.Errorf("Retry-After: %q", resp.Header.Get("Retry-After"))
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("refusal took %v", took)
	}
	if resp, text := c.send(t, http.MethodPost, "/small/", "s"); resp.StatusCode != http.StatusOK {
		t.Errorf("small request over a full link: %d %q", resp.StatusCode, text)
	}
	if requests := len(c.nodes[1].target.requests()); requests != 2 {
		t.Errorf("target received %d requests, want the two small ones", requests)
	}
}
