package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/disconnect"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/ratelimit"
	"github.com/chervilwell/chervilwell/retrybudget"
)

var names = HeaderNames{
	RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature", ExpectTarget: "X-Expect", NotRun: "X-Not-Run",
	CallerService: "X-Caller", TargetID: "X-Target", ColdFor: "X-Cold", Key: "X-Key", Organisation: "X-Organisation",
}

// decodeNotice decodes the headers of fake targets.
func decodeNotice(h http.Header) (Notice, error) {
	n := Notice{Leaving: h.Get("X-Leaving") != ""}
	if text := h.Get("X-Limit"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return n, err
		}
		n.RateLimit = ratelimit.Limit{PerSecond: rate, Limited: true}
	}
	return n, nil
}

// received describes a request received by a fake target.
type received struct {
	method, uri, id, caller, expect string
	deadline                        int
	body                            []byte
	hop, key, organisation          string
}

// behaviour handles a request at a fake target and reports whether the connection stays open; nil means respondOK.
type behaviour func(conn net.Conn, r *http.Request, s received) (keep bool)

// fakeTarget is a target on its own loopback address.
type fakeTarget struct {
	addr     netip.AddrPort
	mu       sync.Mutex
	received []received
	respond  behaviour
	cold     string
	// health holds additional header lines of responses to health checks.
	health string
	// listener is nil while the target is down; conns holds its open connections.
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func (s *fakeTarget) set(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = b
}

func (s *fakeTarget) requests() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.received...)
}

func startFakeTarget(t testing.TB, ip string) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &fakeTarget{addr: netip.MustParseAddrPort(l.Addr().String()), cold: "0", conns: map[net.Conn]struct{}{}}
	s.accept(l)
	return s
}

// accept serves the connections of a listener until it is closed.
func (s *fakeTarget) accept(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

func (s *fakeTarget) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			s.mu.Lock()
			cold, lines := s.cold, s.health
			s.mu.Unlock()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Target: t\r\nX-Cold: %s\r\n%sContent-Length: 0\r\n\r\n", cold, lines)
			continue
		}
		got := received{method: r.Method, uri: r.RequestURI, id: r.Header.Get("X-Id"), caller: r.Header.Get("X-Caller"), expect: r.Header.Get("X-Expect"), hop: r.Header.Get(hopHeader), key: r.Header.Get("X-Key"), organisation: r.Header.Get("X-Organisation")}
		got.deadline, _ = strconv.Atoi(r.Header.Get("X-Deadline"))
		s.mu.Lock()
		respond := s.respond
		s.mu.Unlock()
		if respond == nil || !strings.HasPrefix(r.URL.Path, "/early/") {
			got.body, _ = io.ReadAll(r.Body)
		}
		s.mu.Lock()
		s.received = append(s.received, got)
		s.mu.Unlock()
		if respond == nil {
			respond = respondOK
		}
		if !respond(conn, r, got) {
			return
		}
	}
}

func reply(conn net.Conn, s received, status int, extra, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, s.id, extra, len(body), body)
}

const signed = "X-Signature: sig\r\n"

func respondOK(conn net.Conn, _ *http.Request, s received) bool {
	reply(conn, s, 200, signed, "hello "+s.id)
	return true
}

func refuseNotRun(conn net.Conn, _ *http.Request, s received) bool {
	reply(conn, s, 503, "X-Not-Run: 1\r\n", "")
	return true
}

func truncateResponse(conn net.Conn, _ *http.Request, s received) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: 100\r\n\r\npart", s.id, signed)
	return false
}

// node is one process of the test cluster.
type node struct {
	frontend   *Frontend
	gatekeeper *Gatekeeper
	target     *fakeTarget
	callers    *httptest.Server
	// peerAddr is the address for calls from the other process.
	peerAddr string
}

// cluster consists of processes with one target each, on separate loopback addresses.
type cluster struct {
	nodes []*node
	// mu guards replica and its publication.
	mu      sync.Mutex
	replica *mesh.Replica
	monitor *disconnect.Monitor
}

const testService = "s"

// listenOnOnePort listens on the same port of several loopback addresses. A port that is free on the first address may be in use on
// another one; then it tries the next.
func listenOnOnePort(t testing.TB, size int) []net.Listener {
	t.Helper()
	const tries = 20
	var err error
	for range tries {
		var listeners []net.Listener
		port := 0
		for i := range size {
			var l net.Listener
			if l, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.%d:%d", i+1, port)); err != nil {
				break
			}
			port = l.Addr().(*net.TCPAddr).Port
			listeners = append(listeners, l)
		}
		if len(listeners) == size {
			return listeners
		}
		for _, l := range listeners {
			l.Close()
		}
	}
	t.Fatal(err)
	return nil
}

// startCluster starts two processes in separate failure domains.
func startCluster(t testing.TB, kind mesh.Kind) *cluster { return startClusterOf(t, kind, 2) }

func startClusterOf(t testing.TB, kind mesh.Kind, size int) *cluster {
	t.Helper()
	return startServices(t, kind, slices.Repeat([]string{testService}, size)...)
}

// startServices starts processes whose targets run the given services, in separate failure domains.
func startServices(t testing.TB, kind mesh.Kind, services ...string) *cluster {
	t.Helper()
	c := &cluster{replica: mesh.NewReplica(), monitor: disconnect.NewMonitor(func(err error) { t.Error(err) })}
	listeners := listenOnOnePort(t, len(services))
	port := uint16(listeners[0].Addr().(*net.TCPAddr).Port)
	for i, l := range listeners {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		n := &node{target: startFakeTarget(t, ip), peerAddr: l.Addr().String()}
		holder, peers := &mesh.Holder{}, NewPeers(port)
		n.gatekeeper = NewGatekeeper(GatekeeperConfig{
			Addr: n.target.addr, Service: services[i], Peers: peers, Holder: holder, Names: names, DecodeNotice: decodeNotice, Log: zerolog.Nop(), LogBudget: events.NewBudget(1), Metrics: NewMetrics(nil),
		})
		n.frontend = NewFrontend(FrontendConfig{
			Service: "caller" + strconv.Itoa(i), FailureDomain: "d" + strconv.Itoa(i), Region: "r", Holder: holder, Gatekeeper: n.gatekeeper,
			Peers: peers, Names: names, Log: zerolog.Nop(), LogBudget: events.NewBudget(1), StoreAge: func() time.Duration { return 0 }, Metrics: NewMetrics(nil), Rand: rand.New(rand.NewPCG(1, uint64(i))),
			RetryBudget: retrybudget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		})
		calls, notices := PeerHandler(n.gatekeeper), QuarantineHandler(n.gatekeeper)
		server := c.newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if IsQuarantineNotice(r) {
				notices.ServeHTTP(w, r)
				return
			}
			calls.ServeHTTP(w, r)
		}))
		go func() { _ = server.Serve(l) }()
		n.callers = httptest.NewUnstartedServer(nil)
		n.callers.Config = c.newServer(n.frontend)
		n.callers.Start()
		t.Cleanup(func() { n.callers.Close(); server.Close() })
		c.nodes = append(c.nodes, n)
		c.replica.Apply(time.Now(), []mesh.Entry{{Key: ip, Revision: uint64(i + 1), Target: &mesh.Target{
			ID: "t" + strconv.Itoa(i), Service: services[i], Addr: n.target.addr, FailureDomain: "d" + strconv.Itoa(i), Region: "r", Slots: 18, StartedMs: 1,
		}}}, mesh.Position{Revision: uint64(i + 1)})
	}
	c.setConfig(t, 1, kind, false)
	return c
}

// setConfig puts a configuration with one route for all requests, and organisations, in force.
func (c *cluster) setConfig(t testing.TB, version uint64, kind mesh.Kind, public bool, organisations ...*mesh.Organisation) {
	t.Helper()
	c.applyConfig(t, version, &mesh.Route{Kind: kind, Timeout: time.Second, Objective: 500 * time.Millisecond, MaxTargets: 2, Public: public}, organisations)
}

// setRoute replaces the configuration by one with the given route for all requests, and organisations.
func (c *cluster) setRoute(t testing.TB, route *mesh.Route, organisations ...*mesh.Organisation) {
	t.Helper()
	c.applyConfig(t, 2, route, organisations)
}

// applyConfig puts a configuration with one route for all requests in force. Of the route it sets what is the same in all tests, and the
// target limit and the service if they are missing.
func (c *cluster) applyConfig(t testing.TB, version uint64, route *mesh.Route, organisations []*mesh.Organisation) {
	t.Helper()
	route.Name, route.Host, route.Prefix, route.Priority, route.MaxTargets = "route", "h.example", "/", 1, cmp.Or(route.MaxTargets, 1)
	if route.Parts == nil {
		route.Parts = []mesh.WeightedService{{Service: testService, Weight: 1}}
	}
	var services []*mesh.Service
	for _, part := range route.Parts {
		services = append(services, &mesh.Service{Name: part.Service, HealthPath: "/health", ColdRate: 1000})
	}
	config, err := mesh.NewConfig(version, []*mesh.Route{route}, services, mesh.Limits{}, organisations...)
	if err != nil {
		t.Fatal(err)
	}
	at := c.replica.Position().Revision + 1
	c.replica.Apply(time.Now(), []mesh.Entry{{Key: "config", Revision: at, Config: config}}, mesh.Position{Revision: at})
	c.publish()
}

// applyTarget replaces the entry of a target.
func (c *cluster) applyTarget(i int, entry *mesh.Target) {
	revision := c.replica.Position().Revision + 1
	c.replica.Apply(time.Now(), []mesh.Entry{{Key: fmt.Sprintf("127.0.0.%d", i+1), Revision: revision, Target: entry}}, mesh.Position{Revision: revision})
	c.publish()
}

// setCallers sets the services of the processes, which their targets are told as the caller: one for each process, or one for all.
func (c *cluster) setCallers(services ...string) {
	for i, n := range c.nodes {
		n.frontend.cfg.Service = services[i%len(services)]
	}
}

// newServer returns a server for the callers or the peers of a process.
func (c *cluster) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: c.monitor.Handler(h), ConnContext: disconnect.ConnContext, DisableGeneralOptionsHandler: true}
}

func (c *cluster) publish() {
	for _, n := range c.nodes {
		n.gatekeeper.cfg.Holder.Store(c.replica.State())
		n.gatekeeper.Update()
	}
}

// send sends a request to the first process.
func (c *cluster) send(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, c.nodes[0].callers.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Id", "id-"+path)
	req.Header.Set("X-Deadline", "900")
	req.Header.Set("X-Caller", "forged")
	req.Header.Set("X-Expect", "forged")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, "truncated: " + err.Error()
	}
	return resp, string(data)
}

func TestRequestReachesTargetUnchanged(t *testing.T) {
	for i, name := range []string{"local target", "remote target"} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, mesh.Once)
			c.markLeaving(1 - i)
			resp, body := c.send(t, http.MethodPost, "/a%2Fb//c/../d?x=%20&y", "payload")
			if resp.StatusCode != 200 || body != "hello id-/a%2Fb//c/../d?x=%20&y" || resp.Header.Get("X-Signature") != "sig" {
				t.Fatalf("got %d %q %v", resp.StatusCode, body, resp.Header)
			}
			if resp.Header.Get(hopResponseHeader) != "" {
				t.Error("internal header was forwarded to the caller")
			}
			requests := c.nodes[i].target.requests()
			if len(requests) != 1 {
				t.Fatalf("target received %d requests, want 1", len(requests))
			}
			got := requests[0]
			if got.method != "POST" || got.uri != "/a%2Fb//c/../d?x=%20&y" || string(got.body) != "payload" || got.caller != "caller0" ||
				got.expect != "t"+strconv.Itoa(i) || got.hop != "" {
				t.Errorf("target received %+v", got)
			}
			if got.deadline > 900 || got.deadline < 500 {
				t.Errorf("deadline header is %d ms, want 500 to 900", got.deadline)
			}
		})
	}
}

// markLeaving marks a target as leaving.
func (c *cluster) markLeaving(i int) {
	old := *c.replica.State().TargetAt(c.nodes[i].target.addr)
	old.Leaving = true
	c.applyTarget(i, &old)
}

func TestFailedAndForeignResponses(t *testing.T) {
	for _, tc := range []struct {
		name       string
		kind       mesh.Kind
		first      behaviour
		wantStatus int
		wantRuns   int
	}{
		{"truncated, retryable", mesh.Safe, truncateResponse, 200, 2},
		{"truncated, once", mesh.Once, truncateResponse, 502, 1},
		{"unsigned, once", mesh.Once, func(c net.Conn, _ *http.Request, s received) bool { reply(c, s, 200, "", "x"); return true }, 502, 1},
		{"response to another request, once", mesh.Once, func(c net.Conn, _ *http.Request, s received) bool {
			s.id = "other"
			reply(c, s, 200, signed, "x")
			return false
		}, 502, 1},
		{"no response, once", mesh.Once, func(net.Conn, *http.Request, received) bool { return false }, 502, 1},
		{"shed, once", mesh.Once, refuseNotRun, 200, 2},
		{"wrong target, once", mesh.Once, func(c net.Conn, _ *http.Request, s received) bool { reply(c, s, 421, "", ""); return true }, 200, 2},
		{"failure response, once", mesh.Once, func(c net.Conn, _ *http.Request, s received) bool { reply(c, s, 500, signed, "bad"); return true }, 500, 1},
		{"failure response, retryable", mesh.Safe, func(c net.Conn, _ *http.Request, s received) bool { reply(c, s, 500, signed, "bad"); return true }, 200, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t, tc.kind)
			c.nodes[0].target.set(tc.first)
			resp, body := c.send(t, http.MethodGet, "/x/", "")
			if resp.StatusCode != tc.wantStatus {
				t.Errorf("status %d, want %d", resp.StatusCode, tc.wantStatus)
			}
			if resp.StatusCode == 200 && body != "hello id-/x/" || resp.StatusCode == 502 && resp.Header.Get("X-Signature") != "" {
				t.Errorf("got %q %v", body, resp.Header)
			}
			if requests := len(c.nodes[0].target.requests()) + len(c.nodes[1].target.requests()); requests != tc.wantRuns {
				t.Errorf("targets received %d requests, want %d", requests, tc.wantRuns)
			}
		})
	}
}

func TestUnsolicitedResponseIsDropped(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.markLeaving(1)
	c.nodes[0].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
		respondOK(conn, nil, s)
		respondOK(conn, nil, s)
		return true
	})
	for i := range 5 {
		path := fmt.Sprintf("/%d/", i)
		if resp, body := c.send(t, http.MethodGet, path, ""); resp.StatusCode != 200 || body != "hello id-"+path {
			t.Fatalf("got %d %q", resp.StatusCode, body)
		}
	}
}

func TestTruncatedResponseWithoutLengthIsNotForwarded(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.markLeaving(1)
	c.nodes[0].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sConnection: close\r\n\r\npart", s.id, signed)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	if resp, body := c.send(t, http.MethodGet, "/x/", ""); resp.StatusCode != 502 {
		t.Errorf("got %d %q", resp.StatusCode, body)
	}
}

func TestEarlyResponseToLongBody(t *testing.T) {
	c := startCluster(t, mesh.Upload)
	c.markLeaving(1)
	c.nodes[0].target.set(func(conn net.Conn, r *http.Request, s received) bool {
		reply(conn, s, 413, signed, "too long")
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	resp, body := c.send(t, http.MethodPost, "/early/", strings.Repeat("x", 3<<20))
	if resp.StatusCode != 413 || body != "too long" {
		t.Fatalf("got %d %q", resp.StatusCode, body)
	}
	c.nodes[0].target.set(nil)
	if resp, body := c.send(t, http.MethodPost, "/next/", "y"); resp.StatusCode != 200 || body != "hello id-/next/" {
		t.Errorf("next request: got %d %q", resp.StatusCode, body)
	}
}

func TestRefusalsWithoutTarget(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.markLeaving(0)
	c.markLeaving(1)
	resp, _ := c.send(t, http.MethodPost, "/x/", "")
	if retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode != 503 || err != nil || retryAfter <= 0 || retryAfter > 0.9/3 {
		t.Errorf("without a target: got %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	req := httptest.NewRequest(http.MethodGet, "/x/", nil)
	req.Host = "other.example"
	w := httptest.NewRecorder()
	c.nodes[0].frontend.ServeHTTP(w, req)
	if w.Code != 404 {
		t.Errorf("without a route: got %d", w.Code)
	}
	c.nodes[0].gatekeeper.cfg.Holder.Store(&mesh.State{})
	if resp, _ := c.send(t, http.MethodGet, "/x/", ""); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: got %d", resp.StatusCode)
	}
	if n := len(c.nodes[0].target.requests()) + len(c.nodes[1].target.requests()); n != 0 {
		t.Errorf("%d requests reached a target", n)
	}
}

func TestUnreachablePeerIsRetriedElsewhere(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.markLeaving(0)
	third := *c.replica.State().TargetAt(c.nodes[1].target.addr)
	third.ID, third.Addr = "gone", netip.MustParseAddrPort("127.0.0.9:1")
	c.replica.Apply(time.Now(), []mesh.Entry{{Key: "gone", Revision: 50, Target: &third}}, mesh.Position{Revision: 50})
	c.publish()
	for i := range 10 {
		if resp, _ := c.send(t, http.MethodPost, fmt.Sprintf("/%d/", i), "x"); resp.StatusCode != 200 {
			t.Errorf("got %d", resp.StatusCode)
		}
	}
}

func TestRouteTimeout(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.markLeaving(1)
	stop := make(chan struct{})
	defer close(stop)
	c.nodes[0].target.set(func(net.Conn, *http.Request, received) bool { <-stop; return false })
	start := time.Now()
	resp, _ := c.send(t, http.MethodGet, "/x/", "")
	if took := time.Since(start); resp.StatusCode != 504 || took > 1200*time.Millisecond {
		t.Errorf("got %d after %v", resp.StatusCode, took)
	}
}

// Guards against cancelling an attempt that is slow to respond when no second attempt is allowed.
func TestSlowTargetIsHedgedNotCancelled(t *testing.T) {
	c := startCluster(t, mesh.Safe)
	c.nodes[0].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
		time.Sleep(700 * time.Millisecond)
		return respondOK(conn, nil, s)
	})
	start := time.Now()
	if resp, body := c.send(t, http.MethodGet, "/x/", ""); resp.StatusCode != 200 || body != "hello id-/x/" {
		t.Fatalf("got %d %q", resp.StatusCode, body)
	}
	if took := time.Since(start); took > 650*time.Millisecond {
		t.Errorf("response of the second target took %v", took)
	}
	c.markLeaving(1)
	if resp, _ := c.send(t, http.MethodGet, "/y/", ""); resp.StatusCode != 200 {
		t.Errorf("without a second target: got %d", resp.StatusCode)
	}
}

func TestCallerDisconnectCancelsRetryableRequest(t *testing.T) {
	c := startCluster(t, mesh.Safe)
	c.markLeaving(0)
	ended := make(chan struct{})
	c.nodes[1].target.set(func(conn net.Conn, _ *http.Request, _ received) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, c.nodes[0].callers.URL+"/x/", nil)
	req.Host = "h.example"
	req.Header.Set("X-Id", "1")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Fatal("request was answered")
	}
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Error("target still runs the request 0.4 s after its caller disconnected")
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	s := &split{credit: map[string]float64{}}
	got := map[string]int{}
	for range 100 {
		got[s.next([]mesh.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c", Weight: 0}})]++
	}
	if got["a"] != 70 || got["b"] != 30 || got["c"] != 0 {
		t.Errorf("got %v", got)
	}
}

func TestRetryingCallerHasWaited(t *testing.T) {
	p := callerDeadlines{}
	p.waited("r", time.Second)
	if got := p.waited("r", 600*time.Millisecond); got < 390*time.Millisecond || got > 400*time.Millisecond {
		t.Errorf("got %v", got)
	}
	if got := p.waited("r", 990*time.Millisecond); got != 0 {
		t.Errorf("first attempt: got a waited time of %v", got)
	}
}

func TestHopHeaderRoundTrip(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	in := &call{targetID: "t", startedMs: 7, route: "r", caller: "c", priority: 2, retryable: true, softDeadline: now.Add(-time.Second), deadline: now.Add(time.Second)}
	var out call
	if err := parseCall(formatCall(in, now), now, &out); err != nil {
		t.Fatal(err)
	}
	if out.targetID != "t" || out.startedMs != 7 || out.route != "r" || out.caller != "c" || out.priority != 2 || !out.retryable ||
		!out.softDeadline.Equal(in.softDeadline) || !out.deadline.Equal(in.deadline) {
		t.Errorf("got %+v", out)
	}
	for _, bad := range []string{"", "a b", "t x r c 1 true 5 5", "t 1 r c 1 true 5 five"} {
		if err := parseCall(bad, now, &call{}); err == nil {
			t.Errorf("%q was parsed without error", bad)
		}
	}
	var o outcome
	if err := parseOutcome("9 busy false false 0 0 0 0", &o); err == nil {
		t.Error("unknown outcome was parsed without error")
	}
}

func TestResponseBeyondBufferIsStreamed(t *testing.T) {
	c := startCluster(t, mesh.Safe)
	c.markLeaving(0)
	long := bytes.Repeat([]byte("0123456789"), maxBufferedResponse/4)
	c.nodes[1].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
		reply(conn, s, 200, signed, string(long))
		return true
	})
	if resp, body := c.send(t, http.MethodGet, "/x/", ""); resp.StatusCode != 200 || body != string(long) {
		t.Errorf("got %d and %d bytes of %d", resp.StatusCode, len(body), len(long))
	}
}

// Guards against a deadline of a caller that overflows, so that its request fails at once.
func TestHugeDeadlineIsBounded(t *testing.T) {
	for _, deadline := range []string{"1e300", "Inf", "9223372036854775807"} {
		c := startCluster(t, mesh.Once)
		req := httptest.NewRequest(http.MethodGet, "/x/", nil)
		req.Host = "h.example"
		req.Header.Set("X-Deadline", deadline)
		planned := &request{incoming: req, arrived: time.Now(), state: c.replica.State(), route: c.replica.State().Config.Match("h.example", "/x/")}
		c.nodes[0].frontend.plan(planned)
		if left := planned.deadline.Sub(planned.arrived); left != planned.route.Timeout {
			t.Errorf("deadline %s: %v are left, want the route's timeout of %v", deadline, left, planned.route.Timeout)
		}
	}
}

// Guards against a cold period that overflows, and one that can't be read and is taken for warm.
func TestColdPeriodIsChecked(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "-5": 0, "1500.5": 1500500 * time.Microsecond} {
		if got, err := parseColdPeriod(text); err != nil || got != want {
			t.Errorf("%q: got %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"1e300", "Inf", "NaN", "cold"} {
		if _, err := parseColdPeriod(text); !errors.Is(err, ErrColdPeriod) {
			t.Errorf("%q: got %v", text, err)
		}
	}
}
