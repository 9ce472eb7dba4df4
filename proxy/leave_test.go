package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/mesh"
)

// leaveTimeout is the time after a caller has left within which work for it has to end.
const leaveTimeout = 400 * time.Millisecond

// rawCaller is a caller that controls the bytes that it sends and the end of its connection.
type rawCaller struct {
	t *testing.T
	net.Conn
}

func dialRaw(t *testing.T, addr string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &rawCaller{t, conn}
}

// caller connects to the first process.
func (c *cluster) caller(t *testing.T) *rawCaller {
	t.Helper()
	return dialRaw(t, c.nodes[0].callers.Listener.Addr().String())
}

// send sends a request with the ID id and a body of the given size. The caller stays until its connection is closed.
func (r *rawCaller) send(id string, bodyBytes int) {
	r.t.Helper()
	method := http.MethodGet
	if bodyBytes > 0 {
		method = http.MethodPost
	}
	head := fmt.Sprintf("%s /%s/ HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Deadline: 5000\r\nContent-Length: %d\r\n\r\n", method, id, id, bodyBytes)
	if _, err := io.WriteString(r, head); err != nil {
		r.t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(r, strings.Repeat("b", bodyBytes)) }() // ends with the connection
}

// startBusyCluster leaves only the target of process i in service, with one slot, which a request occupies until release is called.
func startBusyCluster(t *testing.T, kind mesh.Kind, i int) (c *cluster, release func()) {
	t.Helper()
	c = startCluster(t, kind)
	c.setTimeouts(t, kind, 5*time.Second)
	c.markLeaving(1 - i)
	done := make(chan struct{})
	c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
		if s.id == "first" {
			<-done
		}
		return respondOK(conn, nil, s)
	})
	k := c.nodes[i].gatekeeper
	k.mu.Lock()
	k.gate.SetSlots(time.Now(), 1)
	k.mu.Unlock()
	c.caller(t).send("first", 0)
	waitFor(t, "the first request to run", func() bool { return len(c.nodes[i].target.requests()) == 1 })
	return c, func() { close(done) }
}

// setTimeouts replaces the configuration by one whose route has the given timeout and objective.
func (c *cluster) setTimeouts(t *testing.T, kind mesh.Kind, timeout time.Duration) {
	t.Helper()
	c.setRoute(t, &mesh.Route{Kind: kind, Timeout: timeout, Objective: timeout})
}

// waitFor waits until condition holds, and fails the test if it does not within some seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const timeout = 5 * time.Second
	if !holdsWithin(timeout, condition) {
		t.Fatalf("timeout waiting for %s", what)
	}
}

// holdsWithin polls condition and reports whether it holds before the timeout.
func holdsWithin(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (k *Gatekeeper) waiting() int { return k.load().Waiting }

var bothTargets = []string{"local target", "remote target"}

// Guards against a call with an unread body that waits on in the queue after its caller has left, and then reaches the target.
func TestCallerLeavesQueuedCall(t *testing.T) {
	for i, name := range bothTargets {
		for _, kind := range []mesh.Kind{mesh.Safe, mesh.Once, mesh.Upload} {
			for _, bodyBytes := range []int{0, 5, 40_000, maxBufferedBody + 1} {
				t.Run(fmt.Sprintf("%s, %s, body of %d bytes", name, kindNames[kind], bodyBytes), func(t *testing.T) {
					t.Parallel()
					c, release := startBusyCluster(t, kind, i)
					k := c.nodes[i].gatekeeper
					caller := c.caller(t)
					caller.send("second", bodyBytes)
					waitFor(t, "the second request to be queued", func() bool { return k.waiting() == 1 })
					caller.Close()
					if !holdsWithin(leaveTimeout, func() bool { return k.waiting() == 0 }) {
						t.Errorf("the request is still queued %v after its caller has left", leaveTimeout)
					}
					release()
					waitFor(t, "all requests to end", func() bool { return k.Active() == 0 })
					if n := len(c.nodes[i].target.requests()); n != 1 {
						t.Errorf("target received %d requests, want only the first", n)
					}
					if load := k.load(); load.Running != 0 {
						t.Errorf("%d slots are still occupied", load.Running)
					}
				})
			}
		}
	}
}

// Guards against a queued call whose caller can leave unnoticed, since there is no room for its body in memory.
func TestCallWithUnreadBodyIsNotQueued(t *testing.T) {
	for i, name := range bothTargets {
		t.Run(name, func(t *testing.T) {
			c, release := startBusyCluster(t, mesh.Upload, i)
			defer release()
			caller := c.caller(t)
			caller.send("second", maxWaitingBodies+1)
			start := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || time.Since(start) > leaveTimeout {
				t.Errorf("status %d, Retry-After %q after %v", resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(start))
			}
		})
	}
}

// Guards against large bodies that take all room, so that calls with small bodies can't wait.
func TestCallWithSmallBodyWaitsBesideLargeBodies(t *testing.T) {
	c, release := startBusyCluster(t, mesh.Once, 1)
	k := c.nodes[1].gatekeeper
	if !k.bodies.TryAcquire(maxWaitingBodies) {
		t.Fatal("the room is not free")
	}
	caller := c.caller(t)
	caller.send("second", 5)
	waitFor(t, "the second request to be queued", func() bool { return k.waiting() == 1 })
	release()
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards against a target that works on for a caller that has left, hidden by bytes beyond the request.
func TestCallerLeavesAfterExtraBytes(t *testing.T) {
	for i, name := range bothTargets {
		for _, extra := range []string{"\r\n", "GET /next/ HTTP/1.1\r\nHost: h.example\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(extra)), func(t *testing.T) {
				t.Parallel()
				c := startCluster(t, mesh.Safe)
				c.setTimeouts(t, mesh.Safe, 5*time.Second)
				c.markLeaving(1 - i)
				ended := make(chan struct{})
				c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, _ received) bool {
					_, _ = conn.Read(make([]byte, 1))
					close(ended)
					return false
				})
				caller := c.caller(t)
				caller.send("first", 0)
				waitFor(t, "the request to run", func() bool { return len(c.nodes[i].target.requests()) == 1 })
				if _, err := io.WriteString(caller, extra); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
				caller.Close()
				select {
				case <-ended:
				case <-time.After(leaveTimeout):
					t.Errorf("target still runs the request %v after its caller has left", leaveTimeout)
				}
			})
		}
	}
}

// Guards against a request that is sent to a target although it was read only after its caller had left.
func TestCallerLeftBeforeRequestIsRead(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in the daemon
	for i, name := range bothTargets {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, mesh.Once)
			c.markLeaving(1 - i)
			if resp, body := c.send(t, http.MethodGet, "/connect/", ""); resp.StatusCode != http.StatusOK {
				t.Fatalf("%d %q", resp.StatusCode, body)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			const requests = 20
			for n := range requests {
				caller := dialRaw(t, l.Addr().String())
				caller.send(fmt.Sprint(n), 0)
				caller.Close()
			}
			server := c.newServer(c.nodes[0].frontend)
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			time.Sleep(leaveTimeout)
			if n := len(c.nodes[i].target.requests()) - 1; n > 0 {
				t.Errorf("%d of %d requests reached the target", n, requests)
			}
		})
	}
}

// Guards against a call that reaches the target, or keeps its slot, if the slot is granted as its caller leaves.
func TestGrantCrossesDeparture(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the call does not continue between the grant and the departure
	c := startCluster(t, mesh.Once)
	k, target := c.nodes[0].gatekeeper, c.replica.State().TargetAt(c.nodes[0].target.addr)
	k.mu.Lock()
	k.gate.SetSlots(time.Now(), 1)
	k.mu.Unlock()
	for n := range 50 {
		blocker := k.gateRequest(&call{route: "route", softDeadline: time.Now().Add(time.Minute), deadline: time.Now().Add(time.Minute)})
		k.mu.Lock()
		k.gate.Offer(time.Now(), blocker)
		k.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan *outcome)
		go func() {
			ended <- k.do(ctx, &call{
				method: http.MethodGet, uri: fmt.Sprintf("/%d/", n), header: http.Header{"X-Id": {fmt.Sprint(n)}}, targetID: target.ID,
				startedMs: target.StartedMs, route: "route", priority: 1, softDeadline: time.Now().Add(time.Minute), deadline: time.Now().Add(time.Minute),
			})
		}()
		waitFor(t, "the call to be queued", func() bool { return k.waiting() == 1 })
		grant := func() { k.release(blocker, -1) }
		if n%2 == 0 {
			grant()
			cancel()
		} else {
			cancel()
			grant()
		}
		if o := <-ended; o.run != notRun || o.reason != reasonCancelled {
			t.Errorf("call %d: run %v, reason %q", n, runNames[o.run], o.reason)
		}
	}
	if n := len(c.nodes[0].target.requests()); n > 0 {
		t.Errorf("%d calls reached the target", n)
	}
	if load := k.load(); load.Running != 0 || load.Waiting != 0 {
		t.Errorf("%d slots are still occupied, %d calls queued", load.Running, load.Waiting)
	}
}

// Guards against a call that goes on waiting for a narrow link after its caller has left.
func TestCallerLeavesCallThatWaitsForLink(t *testing.T) {
	c := startNarrowLinkCluster(t)
	c.setTimeouts(t, mesh.Upload, 5*time.Second)
	k := c.nodes[1].gatekeeper
	k.mu.Lock()
	now := time.Now()
	const reserved = 2_000_000 // more than two seconds of the link
	k.inbound.Reserve(now, reserved, now.Add(time.Minute))
	k.mu.Unlock()
	caller := c.caller(t)
	caller.send("second", 60_000)
	waitFor(t, "the call to arrive", func() bool { return k.Active() == 1 })
	caller.Close()
	if !holdsWithin(leaveTimeout, func() bool { return k.Active() == 0 }) {
		t.Errorf("the call still waits %v after its caller has left", leaveTimeout)
	}
}

// Guards against a link that stays reserved for the body of a caller that has left, so that other bodies are refused or wait for nothing.
func TestCallerThatLeavesReleasesLink(t *testing.T) {
	c := startNarrowLinkCluster(t)
	c.setTimeouts(t, mesh.Upload, 5*time.Second)
	k := c.nodes[1].gatekeeper
	freeAt := func() time.Time {
		k.mu.Lock()
		defer k.mu.Unlock()
		now := time.Now()
		return now.Add(k.inbound.Wait(now))
	}
	k.mu.Lock()
	now := time.Now()
	k.inbound.Reserve(now, 1_000_000, now.Add(time.Minute))
	k.mu.Unlock()
	before := freeAt()
	caller := c.caller(t)
	caller.send("second", 400_000) // some 0.45 s of the link
	waitFor(t, "the call to reserve the link", func() bool { return freeAt().After(before.Add(100 * time.Millisecond)) })
	caller.Close()
	if !holdsWithin(leaveTimeout, func() bool { return freeAt().Before(before.Add(10 * time.Millisecond)) }) {
		t.Errorf("the link is reserved until %v after it would be free", freeAt().Sub(before))
	}
}

// Guards against a body that does not arrive in time and is reported as a caller that left.
func TestLateBodyIsReportedAsTimeout(t *testing.T) {
	for err, want := range map[error]string{os.ErrDeadlineExceeded: reasonTimeout, io.ErrUnexpectedEOF: reasonCancelled} {
		if o := bodyFailure(t.Context(), errors.Wrap(err, "read")); o.run != notRun || o.reason != want {
			t.Errorf("%v: run %v, reason %q, want %q", err, runNames[o.run], o.reason, want)
		}
	}
}
