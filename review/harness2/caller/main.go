// Command caller is a case of the review: a request that crashes its endpoints when it comes from one service, and is answered when the same
// comes from another.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/review/harness2/rig"
)

const (
	// stocks and portals are the numbers of machines of the two services.
	stocks, portals = 5, 3
	// deadlyCaller is the service whose request crashes endpoints. Its body is empty, and its path is that of the others.
	deadlyCaller = "portal"
	path         = "/depot/17"
	// downFor is the time after which a crashed endpoint is back.
	downFor = 2 * time.Second
	// calm is the time before the deadly request comes for the first time, again the pause before it comes again, lasts how long.
	calm, again, lasts = 3 * time.Second, time.Second, 30 * time.Second
	// interval is the pause between two requests of the other callers.
	interval = 200 * time.Millisecond
)

var (
	services = []rig.Service{{Name: "stock", Cold: time.Second}, {Name: "portal", Cold: time.Second}}
	routes   = []rig.Route{
		{Name: "r1", Prefix: "/order/", Kind: "unsafe", Service: "stock", Timeout: 1200 * time.Millisecond, Latency: 300 * time.Millisecond, Priority: 1},
		{Name: "r2", Prefix: "/depot/", Kind: "safe", Service: "stock", Timeout: time.Second, Latency: 250 * time.Millisecond, Priority: 2},
	}
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (bool, error) {
	l := &rig.Crashes{}
	if err := r.PutConfig(services, routes); err != nil {
		return false, err
	}
	starts := 0
	start := func(n *rig.Node) error {
		starts++
		var e *rig.Endpoint
		e, err := n.StartEndpoint(fmt.Sprint("i-", starts), 18, time.Second, func(w http.ResponseWriter, req *http.Request) { work(r, l, e, w, req) })
		return err
	}
	for i := range stocks + portals {
		service := "stock"
		if i >= stocks {
			service = deadlyCaller
		}
		n, err := r.AddMachine(rig.Machine{
			Name: fmt.Sprint("node-", i+1), IP: fmt.Sprint("127.84.0.", i+1), Zone: []string{"zone-a", "zone-b"}[i%2], Service: service,
		})
		if err != nil {
			return false, err
		}
		if err := start(n); err != nil {
			return false, err
		}
		if err := n.Start(); err != nil {
			return false, err
		}
	}
	if err := r.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond) // until the endpoints count as warm
	end := time.Now().Add(calm + lasts)
	var others sync.WaitGroup
	var orders, depots tally
	for i, n := range r.Nodes()[:stocks] {
		others.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				status, _ := rig.Ask(n.Outbound(), path, "")
				depots.add(status)
				time.Sleep(interval)
			}
		})
		others.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				status, err := rig.Ask(n.Outbound(), "/order/", fmt.Sprintf("order-%d-%d", i, k))
				if orders.add(status) {
					r.Logf("order-%d-%d: status %d, error %v", i, k, status, err)
				}
				time.Sleep(interval / 5)
			}
		})
	}
	others.Go(func() { r.RestartCrashed(start, downFor, end) })
	time.Sleep(calm)
	for k := 0; time.Now().Before(end); k++ {
		n := r.Nodes()[stocks+k%portals]
		status, err := rig.Ask(n.Outbound(), path, "")
		r.Logf("the request of %s at %s: status %d, error %v; crashes so far: %d", deadlyCaller, n.Name, status, err, l.Count())
		time.Sleep(again)
	}
	others.Wait()
	r.Logf("unsafe requests of the other callers: %s", orders.String())
	r.Logf("the same request from the other callers: %s", depots.String())
	for _, n := range r.Nodes()[:stocks] {
		n.LogLines(4, "target crashed", "quarantined\"")
	}
	return l.Judge(r), nil
}

// tally counts the ends of requests.
type tally struct{ served, refused, denied, failed atomic.Int64 }

// add counts an end and reports whether the request failed after it may have run.
func (t *tally) add(status int) (failed bool) {
	switch status {
	case http.StatusOK:
		t.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		t.refused.Add(1)
	case http.StatusUnprocessableEntity:
		t.denied.Add(1)
	default:
		t.failed.Add(1)
		return true
	}
	return false
}

// String implements fmt.Stringer.
func (t *tally) String() string {
	return fmt.Sprintf("%d served, %d refused with 429 or 503, %d with 422, %d failed", t.served.Load(), t.refused.Load(), t.denied.Load(), t.failed.Load())
}

// work runs a request. The deadly one crashes its endpoint as soon as it has begun.
func work(r *rig.Rig, l *rig.Crashes, e *rig.Endpoint, w http.ResponseWriter, req *http.Request) {
	deadly := r.Trouble && strings.HasPrefix(req.URL.Path, path) && req.Header.Get(rig.CallerService) == deadlyCaller
	if !deadly {
		time.Sleep(40 * time.Millisecond)
		_, _ = w.Write([]byte("done")) // fails only if the caller has left
		return
	}
	l.Begin()
	time.Sleep(20 * time.Millisecond)
	l.Crash(e, "the request of "+deadlyCaller)
}
