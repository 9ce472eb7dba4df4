package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Host is the host of all requests.
const Host = "h.example"

// ReadAnswer reads the answer to a request from a connection, and returns its status once it is whole.
func ReadAnswer(conn net.Conn, req *http.Request) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// NewRequest returns a request with the headers that callers send.
func NewRequest(method, prefix, id string, deadlineMs int, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+Host+prefix+id, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(AttemptID, id)
	req.Header.Set(DeadlineMs, fmt.Sprint(deadlineMs))
	return req, nil
}

// attempts counts the requests without an ID of their own.
var attempts atomic.Int64

// Ask sends one short request on a new connection and returns the status of the answer. The path is that of the prefix and the ID; with an
// empty ID it is the prefix, and the request gets another ID each time.
func Ask(addr, prefix, id string) (int, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond)) // fails only on a closed connection
	req, err := NewRequest(http.MethodGet, prefix, id, 1000, nil)
	if err != nil {
		return 0, err
	}
	if id == "" {
		req.Header.Set(AttemptID, fmt.Sprint("attempt-", attempts.Add(1)))
	}
	if err := req.Write(conn); err != nil {
		return 0, err
	}
	return ReadAnswer(conn, req)
}

const (
	// ordinary is the number of ordinary callers, which try every tryInterval. RECOVER asks for seven.
	ordinary    = 10
	tryInterval = 200 * time.Millisecond
	// window is StabilityWindowS.
	window = 3 * time.Second
)

// TryOrdinary lets ordinary callers try, each time on a new connection, and reports whether RECOVER was broken: the process said all the
// while that it was ready, and took none of their connections for StabilityWindowS. A connection counts as taken if any answer comes on it.
func (r *Rig) TryOrdinary(node *Node, prefix string, tryFor time.Duration) bool {
	var mu sync.Mutex
	taken, longest, ready := time.Now(), time.Duration(0), true
	tries, answers, served := 0, 0, 0
	end := time.Now().Add(tryFor)
	var callers sync.WaitGroup
	for i := range ordinary {
		callers.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				start := time.Now()
				status, err := Ask(node.Outbound(), prefix, fmt.Sprintf("ordinary-%d-%d", i, k))
				mu.Lock()
				tries++
				if err == nil {
					answers++
					longest, taken = max(longest, time.Since(taken)), time.Now()
				}
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
				if k%5 == 0 {
					r.Logf("ordinary-%d-%d: status %d after %.3f s, error %v", i, k, status, time.Since(start).Seconds(), err)
				}
				time.Sleep(tryInterval)
			}
		})
	}
	callers.Go(func() {
		for time.Now().Before(end) {
			ok := node.Ready()
			mu.Lock()
			ready = ready && ok
			mu.Unlock()
			time.Sleep(500 * time.Millisecond)
		}
	})
	callers.Wait()
	longest = max(longest, time.Since(taken))
	r.Logf("%d ordinary callers: %d tries, %d answers, %d served; the longest time in which no connection was taken is %.1f s; ready all the while: %v",
		ordinary, tries, answers, served, longest.Seconds(), ready)
	r.Logf("connections of callers at the end: %v of %v",
		node.Metric(`chervilwell_client_connections{listener="callers"}`), node.Metric(`chervilwell_client_connections_limit{listener="callers"}`))
	return ready && longest > window
}

// Nodes returns the nodes in the order in which they were added.
func (r *Rig) Nodes() []*Node { return r.nodes }
