package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// crash closes the listener and all connections of the target.
func (s *fakeTarget) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.crashes++
	s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		conn.Close()
	}
}

// crashOn returns a behaviour that crashes the target at requests whose path contains a word, after others have run for a while.
func (s *fakeTarget) crashOn(word string, run time.Duration) behaviour {
	return func(conn net.Conn, r *http.Request, got received) bool {
		time.Sleep(run)
		if strings.Contains(r.RequestURI, word) {
			s.crash()
			return false
		}
		return respondOK(conn, r, got)
	}
}

// held returns the requests that a process knows as suspected or quarantined.
func (n *node) held() (out []quarantine.Held) {
	n.gatekeeper.crashes.withList(func(l *quarantine.List, now time.Time) { out = l.Held(now) })
	return out
}

// Guards against crashes that leave no trace of the requests that were running.
func TestCrashNamesRequestsInFlight(t *testing.T) {
	c := startCluster(t, mesh.Once)
	n := c.nodes[0]
	n.target.set(n.target.crashOn("bad", 50*time.Millisecond))
	c.markLeaving(1)
	c.send(t, "GET", "/bad", "")
	held := n.held()
	if len(held) != 1 || held[0].Label != "GET h.example/bad from caller0" || held[0].Verdict != quarantine.Suspect {
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
	if held := n.held(); len(held) > 0 {
		t.Fatalf("suspects %+v", held)
	}
}
