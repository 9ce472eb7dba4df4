package proxy

import (
	"fmt"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// startDownloads starts a cluster whose second process has a link of 10 Mbit/s and the only target in service, which responds with bodies
// of the given size.
func startDownloads(t *testing.T, bytes int) *cluster {
	t.Helper()
	c := startCluster(t, mesh.Download)
	c.nodes[1].gatekeeper.outbound = pacer.NewOutbound(10e6 / 8)
	c.nodes[1].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
		reply(conn, s, http.StatusOK, signed, strings.Repeat("d", bytes))
		return true
	})
	c.markLeaving(0)
	return c
}

// fillLink adds a response of the given size to the link, which is never sent and would still meet its objective.
func (k *Gatekeeper) fillLink(bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbound.Add(&pacer.Response{SoftDeadline: time.Now().Add(time.Minute)}, bytes)
}

func TestLargeResponseArrivesOverNarrowLink(t *testing.T) {
	const bytes = 90_000
	c := startDownloads(t, bytes)
	for i := range 3 {
		if resp, body := c.send(t, http.MethodGet, "/"+strconv.Itoa(i), ""); resp.StatusCode != http.StatusOK || body != strings.Repeat("d", bytes) {
			t.Fatalf("%d with %d bytes", resp.StatusCode, len(body))
		}
	}
	k := c.nodes[1].gatekeeper
	if load := k.load(); load.OutboundRate == 0 || load.OutboundWait > time.Second {
		t.Errorf("reported load %+v", load)
	}
	waitFor(t, "the responses to leave the schedule", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.outbound.Waiting() == 0
	})
}

// Load pattern: link saturation at one machine. A download whose response can't leave in time is refused at once and does not run.
func TestDownloadIsRefusedWhileNarrowLinkIsFull(t *testing.T) {
	c := startDownloads(t, 90_000)
	c.nodes[1].gatekeeper.fillLink(5_000_000)
	resp, _ := c.send(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusServiceUnavailable || len(c.nodes[1].target.requests()) > 0 {
		t.Fatalf("%d; the target received %d requests", resp.StatusCode, len(c.nodes[1].target.requests()))
	}
	if retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || retryAfter <= 0 {
		t.Errorf("Retry-After: %q", resp.Header.Get("Retry-After"))
	}
}

// Guards against a response that keeps its turn on the link after its caller has left.
func TestCallerLeavesResponseThatWaitsForLink(t *testing.T) {
	c := startDownloads(t, 500_000)
	c.setTimeouts(t, mesh.Download, 5*time.Second)
	k := c.nodes[1].gatekeeper
	waiting := func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.outbound.Waiting()
	}
	caller := c.caller(t)
	caller.send("first", 0)
	waitFor(t, "the response to be sent", func() bool { return waiting() == 1 })
	caller.Close()
	if !holdsWithin(leaveTimeout, func() bool { return waiting() == 0 }) {
		t.Errorf("the response is still scheduled %v after its caller has left", leaveTimeout)
	}
}

// Guards against a response that stays in the schedule, and in memory, behind a receiver that stopped reading without closing its
// connection, as one behind a cut link does.
func TestResponseThatIsNotReadLeavesScheduleAtDeadline(t *testing.T) {
	c := startDownloads(t, 8<<20) // more than the buffers of the connection hold
	k := c.nodes[1].gatekeeper
	waiting := func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.outbound.Waiting()
	}
	k.outbound = pacer.NewOutbound(pacer.WideLinkRate - 1)
	peer := dialRaw(t, c.nodes[1].peerAddr)
	now := time.Now()
	const timeout = time.Second
	fmt.Fprintf(peer, "GET / HTTP/1.1\r\nHost: h.example\r\nX-Id: id\r\n%s: %s\r\n\r\n", hopHeader, formatCall(&call{
		targetID: "t1", startedMs: 1, route: "route", caller: "caller0", retryable: true, softDeadline: now.Add(timeout), deadline: now.Add(timeout),
	}, now))
	waitFor(t, "the response to be sent", func() bool { return waiting() == 1 })
	if !holdsWithin(timeout+leaveTimeout, func() bool { return waiting() == 0 }) {
		t.Errorf("the response is still scheduled %v after its deadline", leaveTimeout)
	}
}

func TestOutcomeRoundTrip(t *testing.T) {
	for _, load := range []*gate.Load{
		nil,
		{Running: 1, Waiting: 2, Slots: 9, Free: 3, Wait: time.Millisecond, Interval: 2 * time.Millisecond, InboundWait: 3 * time.Millisecond, Cold: true},
		{Slots: 9, ReserveInbound: true, OutboundRate: 1_062_500, OutboundWait: 40 * time.Millisecond},
	} {
		in := &outcome{run: notRun, reason: reasonLinkBusy, retryAfter: time.Second, load: load}
		var out outcome
		if err := parseOutcome(formatOutcome(in), &out); err != nil || out.reason != in.reason || out.retryAfter != in.retryAfter {
			t.Fatalf("%+v: %+v, %v", load, out, err)
		}
		if !reflect.DeepEqual(out.load, load) {
			t.Errorf("got %+v, want %+v", out.load, load)
		}
	}
	if err := parseOutcome(formatOutcome(&outcome{load: &gate.Load{OutboundRate: 1}})+" 1", &outcome{}); err == nil {
		t.Error("an outcome with a surplus field was parsed without error")
	}
}
