package proxy

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"weak"

	"github.com/fxamacker/cbor/v2"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// crash closes the listener and all connections of the target. It reports whether the target was up.
func (s *fakeTarget) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		conn.Close()
	}
	return true
}

// Guards against crashes that leave no trace of the requests that were running.
func TestCrashNamesRequestsInFlight(t *testing.T) {
	c := startCluster(t, mesh.Once)
	n := c.nodes[0]
	n.target.set(func(net.Conn, *http.Request, received) bool { n.target.crash(); return false })
	c.markLeaving(1)
	c.send(t, "GET", "/bad", "")
	held := n.gatekeeper.Held()
	if len(held) != 1 || held[0].Request != "GET h.example/bad from caller0 to s" || held[0].State != "suspected" {
		t.Fatalf("suspects %+v", held)
	}
}

// Guards against suspicions of requests whose target broke off a response but is still up, or stopped as planned.
func TestBrokenResponseIsNoCrash(t *testing.T) {
	c := startCluster(t, mesh.Once)
	n := c.nodes[0]
	n.target.set(truncateResponse)
	c.markLeaving(1)
	c.send(t, "GET", "/truncated", "")
	n.target.set(func(net.Conn, *http.Request, received) bool {
		c.markLeaving(0)
		n.target.crash()
		return false
	})
	c.send(t, "GET", "/planned", "")
	if held := n.gatekeeper.Held(); len(held) > 0 {
		t.Fatalf("suspects %+v", held)
	}
}

// restart starts a new incarnation of a crashed target at the same address and publishes it.
func (c *cluster) restart(t *testing.T, i int) {
	target := c.nodes[i].target
	l, err := net.Listen("tcp4", target.addr.String())
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { l.Close() })
	target.accept(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.replica.State().TargetAt(target.addr)
	next.StartedMs++
	next.ID = fmt.Sprintf("t%d-%d", i, next.StartedMs)
	c.applyTarget(i, &next)
}

// get sends a request to a process as its caller and returns the status, or 0 without a response.
func (n *node) get(ctx context.Context, path, id string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.callers.URL+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Deadline", "900")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

const (
	// crashRun is the running time at targets that crash, restartDelay the time until they are back.
	crashRun     = 30 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

// startCrashingCluster starts processes of one service whose targets crash at requests for /bad and are back after restartDelay.
func startCrashingCluster(t *testing.T, kind mesh.Kind, size int) (c *cluster, crashes *atomic.Int64) {
	c, crashes = startClusterOf(t, kind, size), &atomic.Int64{}
	c.setCallers("caller0")
	var restarts sync.WaitGroup
	t.Cleanup(restarts.Wait)
	for i, n := range c.nodes {
		n.target.set(func(conn net.Conn, r *http.Request, got received) bool {
			time.Sleep(crashRun)
			if r.RequestURI != "/bad" {
				return respondOK(conn, r, got)
			}
			if n.target.crash() {
				crashes.Add(1)
				restarts.Go(func() {
					time.Sleep(restartDelay)
					c.restart(t, i)
				})
			}
			return false
		})
	}
	return c, crashes
}

// TestRequestThatCrashesTargetsIsStopped guards against a request that crashes each target that runs it, and is sent again by its caller
// at one process after the other.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	const (
		sends    = 24
		interval = 250 * time.Millisecond
		others   = 6
		// wantServed is the fraction of the other requests to be served. Those in flight at a crash may be lost.
		wantServed = 0.95
	)
	for _, kind := range []mesh.Kind{mesh.Safe, mesh.Once} {
		t.Run(kindNames[kind], func(t *testing.T) {
			c, crashes := startCrashingCluster(t, kind, 4)
			ctx, stop := context.WithCancel(t.Context())
			var sent, served, quarantined atomic.Int64
			var wg sync.WaitGroup
			for caller := range others {
				wg.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						path := fmt.Sprintf("/good/%d/%d", caller, i)
						status := c.nodes[(caller+i)%len(c.nodes)].get(t.Context(), path, path)
						sent.Add(1)
						switch status {
						case http.StatusOK:
							served.Add(1)
						case http.StatusUnprocessableEntity:
							quarantined.Add(1)
						}
					}
				})
			}
			last := 0
			for i := range sends {
				last = c.nodes[i%len(c.nodes)].get(t.Context(), "/bad", fmt.Sprint("bad", i))
				time.Sleep(interval)
			}
			stop()
			wg.Wait()
			t.Logf("%d targets crashed, %d of %d other requests served", crashes.Load(), served.Load(), sent.Load())
			if crashes.Load() > 3 {
				t.Errorf("one request crashed %d targets, want at most 3", crashes.Load())
			}
			if last != http.StatusUnprocessableEntity {
				t.Errorf("the last response to the request is %d, want %d", last, http.StatusUnprocessableEntity)
			}
			if float64(served.Load()) < wantServed*float64(sent.Load()) {
				t.Errorf("%d of %d other requests were served, want a fraction of %g", served.Load(), sent.Load(), wantServed)
			}
			if quarantined.Load() > 0 {
				t.Errorf("%d other requests were refused as the cause of crashes", quarantined.Load())
			}
		})
	}
}

// quarantineRequest sends the request for /bad until the first process refuses it.
func (c *cluster) quarantineRequest(t *testing.T) {
	t.Helper()
	for i := range 20 {
		if c.nodes[0].get(t.Context(), "/bad", fmt.Sprint("bad", i)) == http.StatusUnprocessableEntity {
			return
		}
		time.Sleep(restartDelay)
	}
	t.Fatal("the request is not refused")
}

// holds reports whether a process refuses the one request that crashes targets.
func (n *node) holds() bool {
	held := n.gatekeeper.Held()
	return len(held) == 1 && held[0].State == reasonQuarantined
}

// Guards against a quarantine that only the process knows whose target crashed, or that a restart of a process ends.
func TestQuarantineReachesAllProcesses(t *testing.T) {
	c, crashes := startCrashingCluster(t, mesh.Once, 4)
	c.quarantineRequest(t)
	for _, n := range c.nodes {
		waitFor(t, "every process holds the request", n.holds)
	}
	k := c.nodes[3].gatekeeper
	k.crashes.withList(func(*quarantine.List, time.Time) { k.crashes.list = quarantine.New("restarted") })
	k.learn()
	if !c.nodes[3].holds() {
		t.Fatalf("a process that has started holds %+v", k.Held())
	}
	if status := c.nodes[3].get(t.Context(), "/bad", "last"); status != http.StatusUnprocessableEntity || crashes.Load() > 3 {
		t.Fatalf("status %d, %d targets crashed", status, crashes.Load())
	}
}

// Guards against notices that are lost when a process does not respond at first.
func TestNoticeIsRepeatedUntilItArrives(t *testing.T) {
	c := startCluster(t, mesh.Once)
	to := c.nodes[1]
	var refusals atomic.Int64
	l, err := net.Listen("tcp4", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	server := c.newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusals.Add(1) <= 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		QuarantineHandler(to.gatekeeper).ServeHTTP(w, r)
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	addr := netip.MustParseAddrPort(l.Addr().String())
	from := NewGatekeeper(GatekeeperConfig{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), Peers: NewPeers(addr.Port()), Holder: &mesh.Holder{}, Names: names, Metrics: NewMetrics(nil),
	})
	data, err := cbor.Marshal(quarantine.Notice{Records: []quarantine.Record{{Fingerprint: 1, Crashes: []quarantine.Crash{{ID: 1}}, ExpiresInMs: 60_000}}})
	if err != nil {
		t.Fatal(err)
	}
	from.deliver(addr.Addr(), data)
	if held := to.gatekeeper.Held(); len(held) != 1 || refusals.Load() != 4 {
		t.Fatalf("held %+v after %d attempts", held, refusals.Load())
	}
}

// Guards against processes that started together and learn from each other that nothing is known.
func TestStartingProcessIsNotAskedAtOnce(t *testing.T) {
	k := NewGatekeeper(GatekeeperConfig{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Holder: &mesh.Holder{}, Names: names, Metrics: NewMetrics(nil)})
	ask := func() int {
		w := httptest.NewRecorder()
		QuarantineHandler(k).ServeHTTP(w, httptest.NewRequest(http.MethodGet, QuarantinePath, nil))
		return w.Code
	}
	if status := ask(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d before it has learned", status)
	}
	k.learned.Store(true)
	if status := ask(); status != http.StatusOK {
		t.Errorf("status %d after it has learned", status)
	}
}

// Guards against news of other processes that end this one or fail its requests.
func TestMalformedNoticesDoNoHarm(t *testing.T) {
	c := startCluster(t, mesh.Once)
	k := c.nodes[0].gatekeeper
	for _, body := range []string{"", "x", "\xbf", "\xa1\x02\x81\xa1\x01\x20"} {
		w := httptest.NewRecorder()
		QuarantineHandler(k).ServeHTTP(w, httptest.NewRequest(http.MethodPost, QuarantinePath, strings.NewReader(body)))
		if w.Code != http.StatusBadRequest {
			t.Errorf("%q: status %d", body, w.Code)
		}
		if n := takeQuarantineNotice(http.Header{hopQuarantineHeader: {base64.StdEncoding.EncodeToString([]byte(body))}}); n != nil {
			t.Errorf("%q: notice %+v", body, n)
		}
	}
	if resp, body := c.send(t, http.MethodGet, "/x", ""); resp.StatusCode != http.StatusOK {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
}

func FuzzNotice(f *testing.F) {
	data, err := cbor.Marshal(quarantine.Notice{
		Records: []quarantine.Record{{Fingerprint: 1, Crashes: []quarantine.Crash{{ID: 1, Alone: true}, {ID: 2}}, ExpiresInMs: 1000, Label: "GET h/x"}}, Down: []string{"t"},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		k := NewGatekeeper(GatekeeperConfig{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Holder: &mesh.Holder{}, Names: names, Metrics: NewMetrics(nil)})
		w := httptest.NewRecorder()
		QuarantineHandler(k).ServeHTTP(w, httptest.NewRequest(http.MethodPost, QuarantinePath, bytes.NewReader(data)))
		if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
			t.Fatalf("status %d", w.Code)
		}
		if held := k.Held(); len(held) > quarantine.MaxNotice {
			t.Fatalf("%d requests are held", len(held))
		}
	})
}

// Guards against requests that are taken for each other, such as uploads with the same path.
func TestFingerprintCoversBody(t *testing.T) {
	of := func(method, uri, body string) quarantine.Fingerprint {
		r := httptest.NewRequest(method, "http://h.example"+uri, nil)
		r.RequestURI = uri
		return fingerprint(&request{incoming: r, body: []byte(body), length: int64(len(body))})
	}
	base := of("POST", "/x?a=1", "body")
	for _, other := range []quarantine.Fingerprint{of("PUT", "/x?a=1", "body"), of("POST", "/x?a=2", "body"), of("POST", "/x?a=1", "Body"), of("POST", "/x?a=1", "")} {
		if other == base {
			t.Error("two requests have one fingerprint")
		}
	}
	if of("POST", "/x?a=1", "body") != base {
		t.Error("one request has two fingerprints")
	}
}

// Guards against homes at targets that leave, are out of service, were tried, or lie in regions that the route does not allow.
func TestHomeIsAnAllowedTarget(t *testing.T) {
	c := startClusterOf(t, mesh.Safe, 4)
	f := c.nodes[0].frontend
	c.markLeaving(0)
	state := c.replica.State()
	state.OutOfService = map[string]bool{"d1": true}
	route := *state.Config.Routes[0]
	for fp := range quarantine.Fingerprint(20) {
		req := &request{route: &route, service: testService, fingerprint: fp, tried: []string{"t2"}}
		if home := f.home(req, state); home != "t3" {
			t.Fatalf("home %q, want t3", home)
		}
	}
	route.HomeRegions = []string{"elsewhere"}
	if home := f.home(&request{route: &route, service: testService}, state); home != "" {
		t.Fatalf("home %q in a region that the route does not allow", home)
	}
}

// TestCallerThatLeavesBeforeCrashIsStopped guards against a request whose caller gives up before the target has crashed, so that no call
// is broken off.
func TestCallerThatLeavesBeforeCrashIsStopped(t *testing.T) {
	const sends = 24
	c, crashes := startCrashingCluster(t, mesh.Safe, 4)
	for i := range sends {
		ctx, cancel := context.WithTimeout(t.Context(), crashRun/2)
		c.nodes[i%len(c.nodes)].get(ctx, "/bad", fmt.Sprint("bad", i))
		cancel()
		time.Sleep(restartDelay / 2)
	}
	if crashes.Load() > 3 {
		t.Errorf("one request crashed %d targets, want at most 3", crashes.Load())
	}
}

// post sends an upload to a process and returns the status, or 0 without a response.
func (n *node) post(ctx context.Context, body string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.callers.URL+"/upload", strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Deadline", "900")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestUploadThatCrashesTargetsIsStopped guards against uploads to one path that crash targets by their body, also by one that is too long
// to be buffered, and against the refusal of other uploads to that path.
func TestUploadThatCrashesTargetsIsStopped(t *testing.T) {
	for _, size := range []int{100, maxBufferedBody + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c, crashes := startCrashingCluster(t, mesh.Upload, 4)
			for i, n := range c.nodes {
				n.target.set(func(conn net.Conn, r *http.Request, got received) bool {
					if !strings.HasPrefix(string(got.body), "bad") {
						return respondOK(conn, r, got)
					}
					if n.target.crash() {
						crashes.Add(1)
						time.AfterFunc(restartDelay, func() { c.restart(t, i) })
					}
					return false
				})
			}
			bad, good := "bad"+strings.Repeat("x", size-3), "good"+strings.Repeat("x", size-3)
			last, served := 0, 0
			for i := range 10 {
				last = c.nodes[i%len(c.nodes)].post(t.Context(), bad)
				time.Sleep(restartDelay)
				if c.nodes[i%len(c.nodes)].post(t.Context(), good) == http.StatusOK {
					served++
				}
			}
			time.Sleep(restartDelay)
			if crashes.Load() > 3 || last != http.StatusUnprocessableEntity {
				t.Errorf("one upload crashed %d targets, want at most 3; the last response is %d", crashes.Load(), last)
			}
			if served < 9 {
				t.Errorf("%d of 10 other uploads were served", served)
			}
		})
	}
}

// Guards against bodies that stay in memory after their call has ended without an answer.
func TestUnansweredCallKeepsNoBody(t *testing.T) {
	k := NewGatekeeper(GatekeeperConfig{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Holder: &mesh.Holder{}, Names: names, Metrics: NewMetrics(nil)})
	body := func() weak.Pointer[[maxBufferedBody]byte] {
		data := new([maxBufferedBody]byte)
		c := &call{method: "POST", host: "h.example", uri: "/upload", caller: "s", body: data[:]}
		run, _ := k.beginRun(c)
		k.endRun(run, c, noResponse(unknown, reasonTimeout))
		return weak.Make(data)
	}()
	if !holdsWithin(5*unansweredCheckInterval, func() bool { runtime.GC(); return body.Value() == nil }) {
		t.Fatal("the body is still in memory")
	}
}
