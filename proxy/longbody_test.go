package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/mesh"
)

// uploadTo sends a body to one path of a process and returns the status, or 0 without a whole response. A body that is not sized is sent in
// chunks.
func (n *node) uploadTo(t *testing.T, id string, body []byte, sized bool) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.callers.URL+"/part/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if !sized {
		req.ContentLength = -1
	}
	req.Host, req.Close = "h.example", true
	req.Header.Set("X-Id", id)
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

// forget drops the requests received, whose bodies would stay in memory.
func (s *fakeTarget) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = nil
}

// startUploadCluster starts processes of one service whose targets crash at a body that begins with "P", and are back after restartDelay.
func startUploadCluster(t *testing.T) (c *cluster, crashes *atomic.Int64) {
	c, crashes = startClusterOf(t, mesh.Upload, 3), &atomic.Int64{}
	c.setCallers("caller0")
	c.setTimeouts(t, mesh.Upload, 5*time.Second)
	var restarts sync.WaitGroup
	t.Cleanup(restarts.Wait)
	for i, n := range c.nodes {
		n.target.set(func(conn net.Conn, r *http.Request, got received) bool {
			if _, err := r.Body.Read(make([]byte, 1)); err != io.EOF {
				return false // the body is not whole
			}
			n.target.forget()
			if got.body[0] != 'P' {
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

// Guards against an upload that crashes each target that runs it and is never stopped, since answers to others of the same length and path
// count as answers to it, and against those others being taken for it.
func TestLongBodyThatCrashesTargetsIsStopped(t *testing.T) {
	for _, sized := range []bool{true, false} {
		for _, room := range []bool{true, false} {
			t.Run(fmt.Sprintf("sized %v, room to identify %v", sized, room), func(t *testing.T) {
				c, crashes := startUploadCluster(t)
				poison, others := bytes.Repeat([]byte("P"), maxBufferedBody+1<<20), 0
				if !room {
					for _, n := range c.nodes {
						n.gatekeeper.bodies = bodyroom.NewRoom(7 << 20) // enough to stream a body, but not to hold it
					}
				}
				last, quarantined := 0, 0
				for i := range 6 {
					last = c.nodes[i%len(c.nodes)].uploadTo(t, fmt.Sprint("poison", i), poison, sized)
					time.Sleep(restartDelay + 100*time.Millisecond)
					for k := range 3 {
						body := bytes.Repeat([]byte{byte('a' + i), byte('a' + k)}, len(poison)/2)
						switch c.nodes[k].uploadTo(t, fmt.Sprint("other", i, k), body, sized) {
						case http.StatusOK:
							others++
						case http.StatusUnprocessableEntity:
							quarantined++
						}
					}
				}
				t.Logf("%d crashes, %d of 18 others served, last status %d", crashes.Load(), others, last)
				if crashes.Load() > 3 {
					t.Errorf("one upload crashed %d targets, want at most 3", crashes.Load())
				}
				if room && last != http.StatusUnprocessableEntity || last == http.StatusOK {
					t.Errorf("the last response is %d, want %d", last, http.StatusUnprocessableEntity)
				}
				if others < 17 || quarantined > 0 {
					t.Errorf("%d of 18 other uploads served, %d refused as the cause of crashes", others, quarantined)
				}
			})
		}
	}
}
