package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
)

// rawExchange sends bytes to a server and returns everything received until the server closes the connection.
func rawExchange(t *testing.T, addr, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(conn)
	return string(data)
}

func addrOf(m *member) string { return strings.TrimPrefix(m.url, "http://") }

// takeFirstDomainOut takes the failure domain of the first member out of service, so that its frontend uses other instances.
func (f *fleet) takeFirstDomainOut() {
	f.catalogue.Revision++
	f.catalogue.Regions[0].FailureDomains[0].State = catalogue.OutOfService
	f.publish()
}

// onBothPaths runs a check with a target behind the local instance and with one behind another instance.
func onBothPaths(t *testing.T, handler func(int) http.Handler, check func(t *testing.T, f *fleet)) {
	t.Run("local instance", func(t *testing.T) { check(t, newFleet(t, handler, "obb-muc")) })
	t.Run("other instance", func(t *testing.T) {
		f := newFleet(t, handler, "obb-muc", "nbb-la")
		f.takeFirstDomainOut()
		check(t, f)
	})
}

func TestTruncatedAnswerIsNotReportedComplete(t *testing.T) {
	truncated := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stock/sized" {
				w.Header().Set("Content-Length", "100")
			}
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	onBothPaths(t, truncated, func(t *testing.T, f *fleet) {
		for _, path := range []string{"/stock/sized", "/stock/chunked"} {
			req, _ := http.NewRequest("POST", f.members[0].url+path, nil)
			req.Header.Set(headers.Organisation, "haulier-a")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				continue
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			// The failure may be noticed before the caller has received any of the response; it is then reported as a
			// refusal.
			if err == nil && (resp.StatusCode != http.StatusBadGateway || resp.Header.Get(headers.Run) != "unknown") {
				t.Fatalf("%s: caller received %q without an error", path, body)
			}
		}
	})
}

func TestUnsizedAnswerIsRefused(t *testing.T) {
	unsized := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwho knows")
			conn.Close()
		})
	}
	onBothPaths(t, unsized, func(t *testing.T, f *fleet) {
		resp, body := call(t, "POST", f.members[0].url+"/order/x", "")
		if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(headers.Run) != "unknown" || !strings.Contains(body, "broken-answer") {
			t.Fatalf("%d %v %s", resp.StatusCode, resp.Header, body)
		}
	})
}

func TestConnectionLossBeforeAnswerIsUnknownAndNotRetried(t *testing.T) {
	var runs atomic.Int64
	closeConnection := func(int) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
	}
	onBothPaths(t, closeConnection, func(t *testing.T, f *fleet) {
		for _, method := range []string{"GET", "POST"} {
			runs.Store(0)
			resp, body := call(t, method, f.members[0].url+"/order/x", "", "X-Idempotency-Key", method)
			if resp.Header.Get(headers.Run) != "unknown" {
				t.Fatalf("%s: %v %s", method, resp.Header, body)
			}
			if runs.Load() != 1 {
				t.Fatalf("%s ran %d times", method, runs.Load())
			}
		}
	})
}

func TestTargetDownIsNotRunAndRetriedOnAnotherTarget(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la")
	f.members[0].target.Close()
	resp, body := call(t, "POST", f.members[0].url+"/order/x", "salt")
	if resp.StatusCode != http.StatusOK || body != "salt" || count.Load() != 1 {
		t.Fatalf("%d %q, %d runs", resp.StatusCode, body, count.Load())
	}
	f.members[1].target.Close()
	resp, body = call(t, "POST", f.members[0].url+"/order/x", "salt")
	if resp.Header.Get(headers.Run) != "not-run" {
		t.Fatalf("want not-run: %v %s", resp.Header, body)
	}
}

func TestCancellationReachesTarget(t *testing.T) {
	running, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	blockUntilCancelled := func(int) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			running <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		})
	}
	onBothPaths(t, blockUntilCancelled, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "GET", f.members[0].url+"/stock/x", nil)
		req.Header.Set(headers.Organisation, "haulier-a")
		go func() {
			<-running
			cancel()
		}()
		if _, err := http.DefaultClient.Do(req); err == nil {
			t.Fatal("a cancelled request was answered")
		}
		<-ended
	})
}

func TestDeadlineIsPropagatedAndEnforced(t *testing.T) {
	timeoutHeader := make(chan string, 1)
	blockUntilCancelled := func(int) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			timeoutHeader <- r.Header.Get(headers.Timeout)
			<-r.Context().Done()
		})
	}
	onBothPaths(t, blockUntilCancelled, func(t *testing.T, f *fleet) {
		resp, body := call(t, "POST", f.members[0].url+"/order/x", "", headers.Timeout, "150")
		if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(headers.Run) != "unknown" {
			t.Fatalf("%d %v %s", resp.StatusCode, resp.Header, body)
		}
		if d, ok := headers.ParseTimeout(<-timeoutHeader); !ok || d > 150*time.Millisecond {
			t.Fatalf("target received a timeout of %v", d)
		}
	})
}

func TestDrainWaitsForRunningRequests(t *testing.T) {
	running, finish := make(chan struct{}, 4), make(chan struct{})
	slow := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			running <- struct{}{}
			<-finish
			_, _ = io.WriteString(w, "whole")
		})
	}
	f := newFleet(t, slow, "obb-muc", "nbb-la")
	answers := make(chan string, 4)
	for i := range 4 {
		go func() {
			_, body := call(t, "GET", f.members[i%2].url+"/stock/x", "")
			answers <- body
		}()
	}
	for range 4 {
		<-running
	}
	drainErrs := make(chan error, 2)
	go func() { drainErrs <- f.members[0].gatekeeper.Drain(context.Background()) }()
	go func() { drainErrs <- f.members[0].server.Shutdown(context.Background()) }()
	for !f.members[0].gatekeeper.Leaving() {
		time.Sleep(time.Millisecond)
	}
	if _, refused := f.members[0].gatekeeper.Do(nil); refused == nil || refused.Kind != refusal.Leaving || refused.RunState != headers.NotRun {
		t.Fatalf("new work at a draining instance: %v", refused)
	}
	close(finish)
	for range 4 {
		if body := <-answers; body != "whole" {
			t.Fatalf("a running request was interrupted: %q", body)
		}
	}
	for range 2 {
		if err := <-drainErrs; err != nil {
			t.Fatal(err)
		}
	}
}

func TestWrongRegionLeavesBodyUnread(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la")
	request := "POST /home/x HTTP/1.1\r\nHost: x\r\n" + headers.Organisation + ": haulier-a\r\nContent-Length: 1000\r\n%s\r\n"
	// The server responds although it never receives the body, and does not request it.
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		got := rawExchange(t, addrOf(f.members[1]), fmt.Sprintf(request, expect))
		if !strings.HasPrefix(got, "HTTP/1.1 421 ") || strings.Contains(got, "100 Continue") || !strings.Contains(got, "home regions: obb") {
			t.Fatalf("got %q", got)
		}
	}
	// The next hop checks the region as well.
	call := attemptTo(f, "home")
	if _, refused := NewHTTPTransport(f.members[0].store).Do(call); refused == nil || refused.Kind != refusal.WrongRegion {
		t.Fatalf("gatekeeper in the wrong region: %v", refused)
	}
	if count.Load() != 0 {
		t.Fatal("target ran")
	}
}

// attemptTo returns an attempt to send a request on a route to the second member.
func attemptTo(f *fleet, route string) *Attempt {
	req, _ := http.NewRequest("POST", "http://x/"+route+"/x", strings.NewReader("salt"))
	return &Attempt{Target: f.members[1].instance, Route: route, Organisation: "haulier-a", Request: req}
}

func TestSmuggledAndMalformedRequests(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc")
	org := headers.Organisation + ": haulier-a\r\n"
	smuggled := "0\r\n\r\nGET /order/hidden HTTP/1.1\r\nHost: x\r\n" + org + "\r\n"
	for _, c := range []struct {
		name, request, status string
		runs                  int64
	}{
		{"two framings", "POST /stock/x HTTP/1.1\r\nHost: x\r\n" + org + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled, "200", 1},
		{"two lengths", "POST /stock/x HTTP/1.1\r\nHost: x\r\n" + org + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nsalt", "400", 0},
		{"odd encoding", "POST /stock/x HTTP/1.1\r\nHost: x\r\n" + org + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled, "501", 0},
		{"space before colon", "POST /stock/x HTTP/1.1\r\nHost: x\r\n" + org + "Content-Length : 4\r\n\r\nsalt", "400", 0},
		{"header flood", "GET /stock/x HTTP/1.1\r\nHost: x\r\n" + org + strings.Repeat("X-Flood: 0123456789\r\n", 8000) + "\r\n", "431", 0},
		{"connect", "CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n" + org + "Connection: close\r\n\r\n", "501", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			count.Store(0)
			got := rawExchange(t, addrOf(f.members[0]), c.request)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || strings.Count(got, "HTTP/1.1 ") != 1 {
				t.Fatalf("got %.300q", got)
			}
			if count.Load() != c.runs {
				t.Fatalf("%d runs, want %d", count.Load(), c.runs)
			}
		})
	}
}

func TestSlowBodyEndsAtDeadline(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc")
	got := rawExchange(t, addrOf(f.members[0]), "POST /order/x HTTP/1.1\r\nHost: x\r\n"+headers.Organisation+": haulier-a\r\n"+
		headers.Timeout+": 100\r\nContent-Length: 1000\r\n\r\nslow")
	if !strings.HasPrefix(got, "HTTP/1.1 504 ") {
		t.Fatalf("got %q", got)
	}
}

func TestUnauthenticatedPeerIsRefused(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc")
	resp, err := http.Get("http://" + f.members[0].instance.RequestAddr + "/stock/x")
	if err == nil {
		defer resp.Body.Close()
		if resp.StatusCode < http.StatusBadRequest {
			t.Fatalf("plain HTTP got %d", resp.StatusCode)
		}
	}
	pair, err := f.authority.IssueCaller("haulier-a", "tablet")
	if err != nil {
		t.Fatal(err)
	}
	cert, err := pair.TLS()
	if err != nil {
		t.Fatal(err)
	}
	config := f.members[0].store.PeerClient("")
	config.GetClientCertificate = nil
	config.Certificates = append(config.Certificates, cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	if resp, err := client.Get("https://" + f.members[0].instance.RequestAddr + "/stock/x"); err == nil {
		resp.Body.Close()
		t.Fatalf("a caller's certificate got %d", resp.StatusCode)
	}
	if count.Load() != 0 {
		t.Fatal("target ran")
	}
}

func TestRequestKeepsItsStateAcrossConfigurationChange(t *testing.T) {
	entered, swapped := make(chan struct{}, 1), make(chan struct{})
	handler := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			<-swapped
			_, _ = io.Copy(w, r.Body)
		})
	}
	f := newFleet(t, handler, "obb-muc")
	answer := make(chan string, 1)
	go func() {
		_, body := call(t, "POST", f.members[0].url+"/stock/x", "salt")
		answer <- body
	}()
	<-entered
	f.catalogue.Revision++
	f.catalogue.Routes = f.catalogue.Routes[1:]
	f.publish()
	close(swapped)
	if body := <-answer; body != "salt" {
		t.Fatalf("got %q", body)
	}
	if resp, _ := call(t, "POST", f.members[0].url+"/stock/x", "salt"); resp.StatusCode != http.StatusNotFound {
		t.Fatalf("a removed route returned %d", resp.StatusCode)
	}
}

// noTransport fails the test if a request is sent to another instance.
type noTransport struct{ t *testing.T }

func (n noTransport) Do(a *Attempt) (*http.Response, *refusal.Refusal) {
	n.t.Errorf("request sent to %q", a.Target.Name)
	return nil, refusal.New(refusal.Unreachable, "no network")
}

func TestLocalTargetUsesNoNetworkHop(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la")
	m := f.members[0]
	m.frontend.config.Transport.(*LocalTransport).Remote = noTransport{t}
	for range 20 {
		if resp, body := call(t, "POST", m.url+"/stock/x", "salt"); resp.StatusCode != http.StatusOK || body != "salt" {
			t.Fatalf("%d %q", resp.StatusCode, body)
		}
	}
}

func TestForgedInternalHeadersHaveNoEffect(t *testing.T) {
	seen := make(chan http.Header, 1)
	handler := func(int) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Clone() })
	}
	onBothPaths(t, handler, func(t *testing.T, f *fleet) {
		f.members[0].frontend.config.TrustOrganisationHeader = true
		call(t, "GET", f.members[0].url+"/stock/x", "", headers.Route, "order", headers.GateLoad, "0/99/0",
			headers.Leaving, "1", headers.Run, "not-run", headers.Timeout, "99999999", headers.Attempt, "-7", "Chervilwell-New", "1")
		h := <-seen
		for _, name := range []string{headers.Route, headers.GateLoad, headers.Leaving, headers.Run, "Chervilwell-New"} {
			if h.Get(name) != "" {
				t.Fatalf("target got %s: %s", name, h.Get(name))
			}
		}
		if d, _ := headers.ParseTimeout(h.Get(headers.Timeout)); d > 5*time.Second || h.Get(headers.Attempt) != "1" {
			t.Fatalf("target got %v", h)
		}
	})
}

func TestAnswerMayStartBeforeRequestBodyEnds(t *testing.T) {
	respondLineByLine := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			in := bufio.NewReader(r.Body)
			for {
				line, err := in.ReadString('\n')
				_, _ = io.WriteString(w, strings.ToUpper(line))
				w.(http.Flusher).Flush()
				if err != nil {
					return
				}
			}
		})
	}
	onBothPaths(t, respondLineByLine, func(t *testing.T, f *fleet) {
		body, feed := io.Pipe()
		req, _ := http.NewRequest("POST", f.members[0].url+"/stock/x", body)
		req.Header.Set(headers.Organisation, "haulier-a")
		go func() { _, _ = io.WriteString(feed, "one\n") }()
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		out := bufio.NewReader(resp.Body)
		for _, input := range []string{"two", "three"} {
			if _, err := out.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(feed, input+"\n")
		}
		feed.Close()
		rest, err := io.ReadAll(out)
		if err != nil || string(rest) != "THREE\n" {
			t.Fatalf("%q %v", rest, err)
		}
	})
}

func TestAttemptsOfNestedCallsAreReturned(t *testing.T) {
	nested := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headers.Attempt, "3")
			w.Header().Set("X-Seen", r.Header.Get(headers.Attempt))
		})
	}
	onBothPaths(t, nested, func(t *testing.T, f *fleet) {
		resp, _ := call(t, "GET", f.members[0].url+"/stock/x", "", headers.Attempt, "2")
		if resp.Header.Get("X-Seen") != "2" || resp.Header.Get(headers.Attempt) != "3" {
			t.Fatalf("headers %v", resp.Header)
		}
	})
}

// crashingTarget is a target that stops and restarts when it receives the body "poison".
type crashingTarget struct {
	addr    string
	server  *httptest.Server
	crashes *atomic.Int64
}

// ServeHTTP implements http.Handler.
func (c *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != "poison" {
		_, _ = w.Write(body)
		return
	}
	c.crashes.Add(1)
	c.server.Listener.Close()
	go c.restart()
	panic(http.ErrAbortHandler)
}

func (c *crashingTarget) restart() {
	time.Sleep(100 * time.Millisecond)
	l, err := net.Listen("tcp", c.addr)
	if err != nil {
		return
	}
	c.server = &httptest.Server{Listener: l, Config: &http.Server{Handler: c}}
	c.server.Start()
}

func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	var crashes atomic.Int64
	var targets [3]crashingTarget
	f := newFleet(t, func(i int) http.Handler { return &targets[i] }, "obb-muc", "obb-muc", "nbb-la")
	for i, m := range f.members {
		targets[i] = crashingTarget{addr: m.target.Listener.Addr().String(), server: m.target, crashes: &crashes}
	}
	var last string
	for i := 0; i < 200 && !strings.Contains(last, `"kind":"quarantined"`); i++ {
		resp, body := call(t, "PUT", f.members[i%3].url+"/stock/x", "poison")
		if resp.StatusCode == http.StatusOK {
			t.Fatalf("poison was answered: %s", body)
		}
		last = body
		time.Sleep(10 * time.Millisecond)
	}
	if crashes.Load() > 2 || !strings.Contains(last, `"kind":"quarantined"`) {
		t.Fatalf("one request crashed %d targets; the last answer was %s", crashes.Load(), last)
	}
	if resp, body := call(t, "PUT", f.members[0].url+"/stock/x", "salt"); resp.StatusCode != http.StatusOK || body != "salt" {
		t.Fatalf("an unrelated request got %d %s", resp.StatusCode, body)
	}
}
