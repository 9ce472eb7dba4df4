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
	config = `{"Version":"00000001","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
"Services":[{"Name":"stock","HealthPath":"/health","MaxConnections":110,"ColdStartS":1,"ColdPerS":57},{"Name":"portal","HealthPath":"/health","MaxConnections":110,"ColdStartS":1,"ColdPerS":57}],
"VirtualHosts":[{"Host":"h.example","PathRules":[{"Name":"r1","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":1.2,"TargetLatencyS":0.3,"Priority":1,"Service":"stock","MaxAttempts":2,"AllowedRegions":[]},
{"Name":"r2","PathPrefix":"/depot/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.25,"Priority":2,"Service":"stock","MaxAttempts":2,"AllowedRegions":[]}]}]}`
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
	window   = 3 * time.Second // StabilityWindowS
	// mostRetries is the number of retries that may reach endpoints later than window after the third crash.
	mostRetries = 3
)

func main() { rig.Main(run) }

type ledger struct {
	mu sync.Mutex
	// crashes are the times of the crashes, arrivals those at which endpoints began to run the deadly request.
	crashes, arrivals []time.Time
}

func run(r *rig.Rig) (bool, error) {
	l := &ledger{}
	r.Store.Put("op/config", config)
	starts := 0
	start := func(n *rig.Node) error {
		starts++
		var e *rig.Endpoint
		e, err := n.StartEndpoint(fmt.Sprint("i-", starts), 18, time.Second, func(w http.ResponseWriter, req *http.Request) { l.work(r, e, w, req) })
		return err
	}
	for i := range stocks + portals {
		service := "stock"
		if i >= stocks {
			service = deadlyCaller
		}
		n, err := r.AddMachine(rig.Machine{
			Name: fmt.Sprint("node-", i+1), IP: fmt.Sprint("127.84.0.", i+1), Zone: []string{"zone-a", "zone-b"}[i%2], Service: service, MemoryMb: 134, MaxFds: 4100,
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
	others.Go(func() { restart(r, start, end) })
	time.Sleep(calm)
	for k := 0; time.Now().Before(end); k++ {
		n := r.Nodes()[stocks+k%portals]
		status, err := rig.Ask(n.Outbound(), path, "")
		l.mu.Lock()
		crashes := len(l.crashes)
		l.mu.Unlock()
		r.Logf("the request of %s at %s: status %d, error %v; crashes so far: %d", deadlyCaller, n.Name, status, err, crashes)
		time.Sleep(again)
	}
	others.Wait()
	r.Logf("unsafe requests of the other callers: %s", orders.String())
	r.Logf("the same request from the other callers: %s", depots.String())
	for _, n := range r.Nodes()[:stocks] {
		n.LogLines(4, "target crashed", "quarantined\"")
	}
	return l.judge(r), nil
}

// restart starts crashed endpoints again, as the platform does.
func restart(r *rig.Rig, start func(*rig.Node) error, end time.Time) {
	down := map[*rig.Endpoint]time.Time{}
	for time.Now().Before(end) {
		for _, n := range r.Nodes() {
			e := n.Endpoint
			switch since, known := down[e]; {
			case !e.Ended():
			case !known:
				down[e] = time.Now()
			case time.Since(since) >= downFor:
				r.Store.Delete("servers/" + e.ID)
				if err := start(n); err != nil {
					r.Logf("endpoint of %s: %v", n.Name, err)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
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
func (l *ledger) work(r *rig.Rig, e *rig.Endpoint, w http.ResponseWriter, req *http.Request) {
	deadly := r.Trouble && strings.HasPrefix(req.URL.Path, path) && req.Header.Get(rig.CallerService) == deadlyCaller
	if !deadly {
		time.Sleep(40 * time.Millisecond)
		_, _ = w.Write([]byte("done")) // fails only if the caller has left
		return
	}
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	l.mu.Lock()
	l.crashes = append(l.crashes, time.Now())
	l.mu.Unlock()
	r.Logf("the request of %s crashes endpoint %s", deadlyCaller, e.ID)
	e.Crash()
}

// judge reports whether the request reached endpoints in more than mostRetries retries later than window after the third crash.
func (l *ledger) judge(r *rig.Rig) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < 3 {
		r.Logf("%d endpoints crashed", len(l.crashes))
		return false
	}
	late, from := 0, l.crashes[2].Add(window)
	for _, at := range l.arrivals {
		if at.After(from) {
			late++
		}
	}
	r.Logf("%d endpoints crashed; %d retries reached endpoints later than %v after the third crash, %d may", len(l.crashes), late, window, mostRetries)
	return late > mostRetries
}
