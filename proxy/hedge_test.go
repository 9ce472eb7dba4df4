package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// startHedgingCluster starts two processes whose route sends a request to a second target after 100 ms.
func startHedgingCluster(t *testing.T, kind mesh.Kind) *cluster {
	t.Helper()
	c := startCluster(t, kind)
	config, err := mesh.NewConfig(2, []*mesh.Route{{
		Name: "route", Host: "h.example", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond,
		MaxTargets: 2, Priority: 1, Parts: []mesh.WeightedService{{Service: testService, Weight: 1}},
	}}, []*mesh.Service{{Name: testService, HealthPath: "/health", ColdRate: 1000}}, mesh.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	revision := c.replica.Position().Revision + 1
	c.replica.Apply(time.Now(), []mesh.Entry{{Key: "config", Revision: revision, Config: config}}, mesh.Position{Revision: revision})
	c.publish()
	return c
}

// slowFirst makes the first request that reaches any target wait until release is closed, or its connection ends, before respond answers it,
// so that it is hedged. It returns the number of requests that targets got.
func (c *cluster) slowFirst(t *testing.T, release <-chan struct{}, respond behaviour) (sends *atomic.Int64) {
	t.Helper()
	sends = &atomic.Int64{}
	for _, n := range c.nodes {
		n.target.set(func(conn net.Conn, r *http.Request, s received) bool {
			if sends.Add(1) == 1 {
				<-release
			}
			return respond(conn, r, s)
		})
	}
	return sends
}

// respondLong answers with a body that a process doesn't hold in memory as a whole, the second half after a pause.
func respondLong(conn net.Conn, _ *http.Request, s received) bool {
	half := bytes.Repeat([]byte("r"), maxBufferedResponse)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n", s.id, signed, 2*len(half))
	_, _ = conn.Write(half)
	time.Sleep(50 * time.Millisecond)
	_, err := conn.Write(half)
	return err == nil
}

// Guards against a hedged answer that is cut, since the attempt's context ends before its body.
func TestLongResponseOfHedgeIsWhole(t *testing.T) {
	for _, winner := range []string{"first", "second"} {
		t.Run(winner, func(t *testing.T) {
			c := startHedgingCluster(t, mesh.Safe)
			release := make(chan struct{})
			respond := behaviour(respondLong)
			if winner == "first" {
				respond = func(conn net.Conn, r *http.Request, s received) bool {
					select {
					case <-release: // the first request
						return respondLong(conn, r, s)
					default:
					}
					close(release)
					time.Sleep(2 * time.Second)
					return respondOK(conn, r, s)
				}
			} else {
				t.Cleanup(func() { close(release) })
			}
			sends := c.slowFirst(t, release, respond)
			status, answer, complete := c.upload(t, "/x/", []byte("question"), true)
			if status != http.StatusOK || len(answer) != 2*maxBufferedResponse || !complete {
				t.Errorf("status %d with %d bytes, complete %v", status, len(answer), complete)
			}
			if n := sends.Load(); n != 2 {
				t.Errorf("%d requests were sent, want 2", n)
			}
		})
	}
}

// Guards against a part of a body that is sent as the whole: a body that is not in memory as a whole goes to one target only.
func TestBodyThatIsNotBufferedIsSentOnce(t *testing.T) {
	body := bytes.Repeat([]byte("b"), maxBufferedBody+1<<20)
	for _, kind := range []mesh.Kind{mesh.Safe, mesh.Once, mesh.Upload, mesh.Download} {
		for _, sized := range []bool{true, false} {
			for _, failure := range []string{"slow", "broken", "failed", "shed"} {
				t.Run(fmt.Sprintf("%s, sized %v, %s", kindNames[kind], sized, failure), func(t *testing.T) {
					c := startHedgingCluster(t, kind)
					var sends, changed atomic.Int64
					for _, n := range c.nodes {
						n.target.set(func(conn net.Conn, r *http.Request, s received) bool {
							sends.Add(1)
							n.target.forget()
							if _, err := r.Body.Read(make([]byte, 1)); err == io.EOF && !bytes.Equal(s.body, body) {
								changed.Add(1)
							}
							switch failure {
							case "slow":
								time.Sleep(300 * time.Millisecond)
								return respondOK(conn, r, s)
							case "failed":
								reply(conn, s, 500, signed, "failed")
							case "shed":
								return refuseNotRun(conn, r, s)
							}
							return false
						})
					}
					c.upload(t, "/x/", body, sized)
					if n := sends.Load(); n != 1 || changed.Load() > 0 {
						t.Errorf("%d sends, %d of them of another body", n, changed.Load())
					}
				})
			}
		}
	}
}

// Guards against a refusal that says "not run" although the second attempt may have run, and against connections that stay in use after the
// answers of attempts that were not used.
func TestHedgeThatFailsCounts(t *testing.T) {
	c := startHedgingCluster(t, mesh.Safe)
	release, once := make(chan struct{}), atomic.Bool{}
	sends := c.slowFirst(t, release, func(conn net.Conn, r *http.Request, s received) bool {
		if once.CompareAndSwap(false, true) { // the second request: it is broken off, and then the first one is refused
			close(release)
			return false
		}
		time.Sleep(50 * time.Millisecond)
		return refuseNotRun(conn, r, s)
	})
	if status, _, _ := c.upload(t, "/x/", []byte("question"), true); sends.Load() != 2 || status != http.StatusBadGateway {
		t.Errorf("status %d after %d sends, want %d after 2", status, sends.Load(), http.StatusBadGateway)
	}
}

// Guards against an attempt that goes on after the other one has answered.
func TestLosingAttemptEnds(t *testing.T) {
	c := startHedgingCluster(t, mesh.Safe)
	ended := make(chan error, 1)
	var sends atomic.Int64
	for _, n := range c.nodes {
		n.target.set(func(conn net.Conn, r *http.Request, s received) bool {
			if sends.Add(1) > 1 {
				return respondOK(conn, r, s)
			}
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, err := conn.Read(make([]byte, 1))
			ended <- err
			return false
		})
	}
	if status, _, _ := c.upload(t, "/x/", []byte("question"), true); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if err := <-ended; err == nil || err != io.EOF && err.(net.Error) != nil && err.(net.Error).Timeout() {
		t.Errorf("the slow attempt goes on: %v", err)
	}
}
