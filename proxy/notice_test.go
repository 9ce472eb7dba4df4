package proxy

import (
	"fmt"
	"net"
	"net/http"
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
