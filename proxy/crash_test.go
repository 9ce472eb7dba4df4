package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
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
	if len(held) != 1 || held[0].Request != "GET h.example/bad from caller0" || held[0].State != "suspected" {
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
	revision := c.replica.Position().Revision + 1
	c.replica.Apply(time.Now(), []mesh.Entry{{Key: fmt.Sprintf("127.0.0.%d", i+1), Revision: revision, Target: &next}}, mesh.Position{Revision: revision})
	c.publish()
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

// startCrashingCluster starts processes whose targets crash at requests for /bad and are back after restartDelay.
func startCrashingCluster(t *testing.T, kind mesh.Kind, size int) (c *cluster, crashes *atomic.Int64) {
	c, crashes = startClusterOf(t, kind, size), &atomic.Int64{}
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
