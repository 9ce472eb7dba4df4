package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// crashOn makes the targets of a service crash at the requests for which deadly returns true, and answer all others. They are back after
// restartDelay.
func (c *cluster) crashOn(t *testing.T, deadly func(service string, got received) bool) (crashes *atomic.Int64) {
	crashes = &atomic.Int64{}
	var restarts sync.WaitGroup
	t.Cleanup(restarts.Wait)
	for i, n := range c.nodes {
		n.target.set(func(conn net.Conn, r *http.Request, got received) bool {
			n.target.forget()
			if !deadly(n.gatekeeper.cfg.Service, got) {
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
	return crashes
}

// sendAs sends a request with a key, or without one if it is empty, to a process. It returns the status, or 0 without a whole response.
func (n *node) sendAs(t *testing.T, key, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.callers.URL+"/depot/17", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	if key != "" {
		req.Header.Set("X-Key", key)
	}
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

// TestSameRequestOfAnotherSender guards against a request that crashes one target after the other without end, since the same request is
// answered for another sender, and against the refusal of the other sender's requests.
func TestSameRequestOfAnotherSender(t *testing.T) {
	const rounds = 5
	for _, tc := range []struct {
		name string
		// callers are the services of the processes. The first two processes send the deadly request, the others the harmless one.
		callers                [4]string
		organisations          []*mesh.Organisation
		deadlyKey, harmlessKey string
		deadly                 func(got received) bool
		// label describes the deadly request to operators.
		label string
	}{
		{
			name: "another caller", callers: [4]string{"portal", "portal", "stock", "stock"},
			deadly: func(got received) bool { return got.caller == "portal" },
			label:  "POST h.example/depot/17 from portal to s",
		},
		{
			name: "another organisation", callers: [4]string{"stock", "stock", "stock", "stock"}, deadlyKey: "k1", harmlessKey: "k2",
			organisations: []*mesh.Organisation{{Name: "o1", Keys: []string{"k1"}}, {Name: "o2", Keys: []string{"k2"}}},
			deadly:        func(got received) bool { return got.organisation == "o1" },
			label:         "POST h.example/depot/17 from stock to s, organisation o1",
		},
	} {
		for _, size := range []int{0, maxBufferedBody + 1} {
			for _, harmlessBeside := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d bytes, harmless beside %v", tc.name, size, harmlessBeside), func(t *testing.T) {
					c := startClusterOf(t, mesh.Upload, len(tc.callers))
					c.setRoute(t, &mesh.Route{Kind: mesh.Upload, Timeout: 5 * time.Second, Objective: 5 * time.Second}, tc.organisations...)
					c.setCallers(tc.callers[:]...)
					crashes := c.crashOn(t, func(_ string, got received) bool { return tc.deadly(got) })
					body := strings.Repeat("x", size)
					deadly := map[int]int{}
					harmless := map[int]int{}
					sendDeadly := func(i int) {
						deadly[c.nodes[i%2].sendAs(t, tc.deadlyKey, body)]++
						time.Sleep(restartDelay + 100*time.Millisecond)
					}
					sendHarmless := func(i int) { harmless[c.nodes[2+i%2].sendAs(t, tc.harmlessKey, body)]++ }
					for i := range rounds {
						if harmlessBeside {
							sendHarmless(i)
						}
						sendDeadly(i)
					}
					for i := range rounds {
						sendHarmless(i)
					}
					t.Logf("%d crashes; statuses of the deadly request %v, of the harmless one %v", crashes.Load(), deadly, harmless)
					if held := c.nodes[0].gatekeeper.Held(); len(held) != 1 || held[0].Request != tc.label {
						t.Errorf("operators are shown %+v, want one request %q", held, tc.label)
					}
					if crashes.Load() > 2 || deadly[http.StatusUnprocessableEntity] != rounds-2 {
						t.Errorf("the deadly request crashed %d targets, want at most 2, and was then refused %d times, want %d",
							crashes.Load(), deadly[http.StatusUnprocessableEntity], rounds-2)
					}
					if len(harmless) != 1 || harmless[http.StatusOK] == 0 {
						t.Errorf("the harmless request was not served each time: statuses %v", harmless)
					}
				})
			}
		}
	}
}

// TestSameRequestToAnotherService guards against a request that crashes the targets of one service of a split without end, since those of
// the other service answer it, and against its refusal by the other service.
func TestSameRequestToAnotherService(t *testing.T) {
	const rounds, otherService = 12, "s2"
	c := startServices(t, mesh.Once, testService, testService, otherService, otherService)
	c.setRoute(t, &mesh.Route{
		Kind: mesh.Once, Timeout: 5 * time.Second, Objective: 5 * time.Second,
		Parts: []mesh.WeightedService{{Service: testService, Weight: 1}, {Service: otherService, Weight: 1}},
	})
	crashes := c.crashOn(t, func(service string, _ received) bool { return service == testService })
	statuses := map[int]int{}
	for range rounds {
		statuses[c.nodes[0].sendAs(t, "", "")]++
		time.Sleep(restartDelay + 100*time.Millisecond)
	}
	t.Logf("%d crashes, statuses %v", crashes.Load(), statuses)
	if crashes.Load() > 2 || statuses[http.StatusUnprocessableEntity] != rounds/2-2 {
		t.Errorf("the request crashed %d targets, want at most 2, and was refused with 422 %d times, want %d", crashes.Load(), statuses[http.StatusUnprocessableEntity], rounds/2-2)
	}
	if statuses[http.StatusOK] != rounds/2 {
		t.Errorf("%d requests were served, want %d", statuses[http.StatusOK], rounds/2)
	}
}

// Guards against requests that are refused beside processes of an earlier version, whose fingerprints left out the sender and the service.
func TestVerdictOfEarlierVersionRefusesNothing(t *testing.T) {
	c := startCluster(t, mesh.Once)
	d := xxhash.New()
	_, _ = d.WriteString("\x00h.example\x00POST\x00/depot/17\x00\x00")
	_, _ = d.Write(make([]byte, 8))
	earlier := quarantine.Fingerprint(d.Sum64()) &^ headOnly
	for _, n := range c.nodes {
		n.gatekeeper.crashes.apply(&quarantine.Notice{Records: []quarantine.Record{{Fingerprint: earlier, Quarantined: true, ExpiresInMs: 60_000}}})
		if v := n.gatekeeper.crashes.lookup(earlier); v != quarantine.Quarantined {
			t.Fatalf("verdict %d on the fingerprint of the earlier version", v)
		}
	}
	if status := c.nodes[0].sendAs(t, "", ""); status != http.StatusOK {
		t.Errorf("status %d, want %d", status, http.StatusOK)
	}
}
