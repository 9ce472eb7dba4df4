package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/mesh"
)

// stating returns a behaviour that responds with the given header lines.
func stating(lines string) behaviour {
	return func(conn net.Conn, _ *http.Request, s received) bool {
		reply(conn, s, 200, signed+lines, "hello "+s.id)
		return true
	}
}

// offer sends safe requests to the first process at a rate for a time, and returns the status of each response with its duration.
func (c *cluster) offer(t *testing.T, perSecond int, during time.Duration) (statuses map[int]int, slowest time.Duration) {
	t.Helper()
	type result struct {
		status int
		took   time.Duration
	}
	n := int(during.Seconds() * float64(perSecond))
	results := make(chan result, n)
	pace := rate.NewLimiter(rate.Limit(perSecond), 1)
	for i := range n {
		if err := pace.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		go func() {
			start := time.Now()
			resp, _ := c.send(t, http.MethodGet, fmt.Sprintf("/%d/", i), "")
			results <- result{resp.StatusCode, time.Since(start)}
		}()
	}
	statuses = map[int]int{}
	for range n {
		r := <-results
		statuses[r.status]++
		slowest = max(slowest, r.took)
	}
	return statuses, slowest
}

// Guards against a target that receives more requests than the rate limit that it states (LIMIT), while another one has room.
func TestTargetReceivesNoMoreThanItsRateLimit(t *testing.T) {
	const limit, during = 20, 2 * time.Second
	c := startCluster(t, mesh.Safe)
	c.nodes[0].target.set(stating(fmt.Sprintf("X-Limit: %d\r\n", limit)))
	statuses, _ := c.offer(t, 200, during)
	// The stated bound: one and a half times the limit, and five requests.
	if got, most := len(c.nodes[0].target.requests()), int(1.5*limit*during.Seconds())+5; got > most {
		t.Errorf("the limited target received %d requests in %v, more than %d", got, during, most)
	}
	if statuses[http.StatusOK] != 400 {
		t.Errorf("statuses %v; the other target has room for all 400 requests", statuses)
	}
}

// Guards against requests that wait at targets whose rate limits leave no room for them, instead of being refused at once.
func TestRequestsBeyondAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	c := startCluster(t, mesh.Safe)
	for _, n := range c.nodes {
		n.target.set(stating("X-Limit: 5\r\n"))
	}
	statuses, slowest := c.offer(t, 100, time.Second)
	if statuses[http.StatusServiceUnavailable] < 50 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v", statuses)
	}
	if slowest > 700*time.Millisecond { // the objective, and a scheduling delay
		t.Errorf("the slowest response took %v", slowest)
	}
	resp, _ := c.send(t, http.MethodGet, "/x/", "")
	if back, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode == http.StatusServiceUnavailable && (err != nil || back <= 0 || back > 0.3) {
		t.Errorf("retry-after %q with 900 ms left", resp.Header.Get("Retry-After"))
	}
}

// Guards against a burst at a limited target from a gatekeeper that has just started and has had no response yet.
func TestStartingGatekeeperLearnsRateLimitFromHealthCheck(t *testing.T) {
	c := startCluster(t, mesh.Safe)
	n := c.nodes[0]
	n.target.mu.Lock()
	n.target.health = "X-Limit: 0\r\n"
	n.target.mu.Unlock()
	n.gatekeeper.mu.Lock()
	n.gatekeeper.assumeCold("start")
	n.gatekeeper.mu.Unlock()
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		n.gatekeeper.mu.Lock()
		known := n.gatekeeper.rateLimit.Limit().Limited && !n.gatekeeper.gate.Cold()
		n.gatekeeper.mu.Unlock()
		if known {
			break
		}
	}
	before := len(n.target.requests())
	if statuses, _ := c.offer(t, 100, time.Second/2); statuses[http.StatusOK] != 50 || len(n.target.requests()) != before {
		t.Errorf("statuses %v, %d requests reached the target with a limit of 0", statuses, len(n.target.requests())-before)
	}
	n.target.mu.Lock()
	n.target.health = ""
	n.target.mu.Unlock()
	// No request reaches the target that could show the end of the limit: a health check does.
	for range 20 {
		if c.offer(t, 50, time.Second/5); len(n.target.requests()) > before {
			return
		}
	}
	t.Error("the end of the limit was not noticed within 4 s")
}

// Guards against requests to a target that has stated in a response that it is leaving (DRAIN), also if the gatekeeper beside it has
// restarted since and does not know.
func TestLeavingTargetReceivesNoMoreRequests(t *testing.T) {
	for i, name := range []string{"local target", "remote target"} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, mesh.Safe)
			leaving, other := c.nodes[i], c.nodes[1-i]
			other.target.set(stating("X-Limit: 20\r\n")) // so that the rest goes to the leaving one
			leaving.target.set(stating("X-Leaving: 1\r\n"))
			c.offer(t, 200, time.Second/2)
			before := len(leaving.target.requests())
			if before == 0 {
				t.Fatal("no request has reached the leaving target")
			}
			c.offer(t, 200, time.Second/2)
			if got := len(leaving.target.requests()) - before; got > 0 {
				t.Errorf("the leaving target received %d requests after its first responses", got)
			}
			leaving.gatekeeper.leavingTarget.Store(nil)
			before = len(leaving.target.requests())
			c.offer(t, 200, time.Second/2)
			if got := len(leaving.target.requests()) - before; got > 0 {
				t.Errorf("the leaving target received %d requests after a restart of its gatekeeper", got)
			}
			restarted := *c.replica.State().TargetAt(leaving.target.addr)
			restarted.StartedMs++
			revision := c.replica.Position().Revision + 1
			c.replica.Apply(time.Now(), []mesh.Entry{{Key: fmt.Sprintf("127.0.0.%d", i+1), Revision: revision, Target: &restarted}}, mesh.Position{Revision: revision})
			c.publish()
			if c.offer(t, 200, time.Second/2); len(leaving.target.requests()) == before {
				t.Error("the next incarnation of the target receives no requests")
			}
		})
	}
}
