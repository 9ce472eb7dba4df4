package balance

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
)

// Load pattern: downloads of 90 KB. The link of the near target has a backlog of 0.9 s of responses, that of the other one is free, and
// both have free slots. Downloads go to the other one; small responses, which pass the backlog, stay.
func TestDownloadsAvoidFullLinks(t *testing.T) {
	s, b := state("n1", "n2", "f1"), newBalancer()
	const rate = 0.75 * 10e6 / 8
	for id, wait := range map[string]time.Duration{"n1": 900 * time.Millisecond, "n2": 0} {
		run(b, epoch, byID(s, id), Completion{
			Result: Succeeded, RunTime: 150 * time.Millisecond, ResponseBytes: 90_000, RoundTrip: time.Second,
			Load: &gate.Load{Running: 2, Slots: 9, Free: 7, OutboundRate: rate, OutboundWait: wait},
		})
	}
	a := attempt(s, 0)
	a.Route = &mesh.Route{Name: "r", Kind: mesh.Download, Objective: time.Second, Timeout: 8 * time.Second}
	if got := shares(t, b, a); got["n2"] < 950 {
		t.Errorf("downloads: got %v", got)
	}
	c, _ := b.Pick(a)
	if limit := 200 * time.Millisecond; c.Transfer < 90*time.Millisecond || c.Transfer > limit {
		t.Errorf("a response of 90 KB is expected to take %v, want at most %v", c.Transfer, limit)
	}
	a.Route = &mesh.Route{Name: "small", Objective: 200 * time.Millisecond, Timeout: time.Second}
	if got := shares(t, b, a); got["n1"] < 900 {
		t.Errorf("small responses: got %v", got)
	}
}
