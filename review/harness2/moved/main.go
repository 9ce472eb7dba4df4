// Command moved is a case of the review: the settings files change, and the processes go on with the former settings.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/chervilwell/chervilwell/review/harness2/rig"
)

// config is the configuration: a version, and the service to which the route of orders leads.
const config = `{"Version":"%08x","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
"Services":[{"Name":"old","HealthPath":"/health","MaxConnections":110,"ColdStartS":3,"ColdPerS":57},{"Name":"new","HealthPath":"/health","MaxConnections":110,"ColdStartS":3,"ColdPerS":57}],
"VirtualHosts":[{"Host":"h.example","PathRules":[{"Name":"r1","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":1.2,"TargetLatencyS":0.3,"Priority":1,"Service":"%s","MaxAttempts":2,"AllowedRegions":[]}]}]}`

const (
	machines = 5
	// signalled is the number of machines that get SIGHUP: at most 0.6 of all.
	signalled = 3
	// overlap is the time for which the store answers at both addresses.
	overlap = 4 * time.Second
	// applyWithin is ConfigApplyS, settle StabilityWindowS.
	applyWithin = 2 * time.Second
	settle      = 3 * time.Second
	watched     = 15 * time.Second
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (bool, error) {
	var mu sync.Mutex
	ranBy := map[string]string{}
	r.Store.Put("op/config", fmt.Sprintf(config, 1, "old"))
	for i := range machines {
		service := []string{"old", "new"}[i%2]
		n, err := r.AddMachine(rig.Machine{
			Name: fmt.Sprint("node-", i+1), IP: fmt.Sprint("127.82.0.", i+1), Zone: []string{"zone-a", "zone-b"}[i/2%2], Service: service, MemoryMb: 134, MaxFds: 4100,
		})
		if err != nil {
			return false, err
		}
		work := func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			ranBy[req.Header.Get(rig.AttemptID)] = service
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			_, _ = w.Write([]byte("done")) // fails only if the caller has left
		}
		if _, err := n.StartEndpoint(fmt.Sprint("i-", i+1), 18, 0, work); err != nil {
			return false, err
		}
		if err := n.Start(); err != nil {
			return false, err
		}
	}
	if err := r.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // until the endpoints count as warm
	if status, err := rig.Ask(r.Nodes()[0].Outbound(), "/order/", "first"); status != http.StatusOK {
		return false, fmt.Errorf("a request is not served at the start: %d, %v", status, err)
	}
	if r.Trouble {
		closeFormer, err := r.MoveStore()
		if err != nil {
			return false, err
		}
		for _, n := range r.Nodes()[:signalled] {
			n.Signal(syscall.SIGHUP)
		}
		time.Sleep(overlap)
		closeFormer()
	}
	time.Sleep(settle + time.Second)
	revision := r.Store.Put("op/config", fmt.Sprintf(config, 2, "new"))
	acknowledged := time.Now()
	r.Logf("the store has acknowledged version 2, which moves the route to the other service, at revision %d", revision)
	old, current, refused, unsignalled := 0, 0, 0, 0
	for k := 0; time.Since(acknowledged) < watched; k++ {
		n := r.Nodes()[k%machines]
		id, sent := fmt.Sprint("order-", k), time.Since(acknowledged)
		status, err := rig.Ask(n.Outbound(), "/order/", id)
		mu.Lock()
		by := ranBy[id]
		mu.Unlock()
		r.Logf("%s sent to %s %.2f s after the acknowledgement: status %d, error %v, run by %q", id, n.Name, sent.Seconds(), status, err, by)
		if sent > applyWithin {
			switch {
			case by == "old" && k%machines >= signalled:
				unsignalled++
			case by == "old":
				old++
			case by == "new":
				current++
			default:
				refused++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Logf("requests sent later than %v after the acknowledgement: %d run by the old service from machines that got SIGHUP, %d from the others (not judged), %d run by the new one, %d not run",
		applyWithin, old, unsignalled, current, refused)
	for _, n := range r.Nodes() {
		n.LogLines(3, "settings", "store is silent")
	}
	return old > 0, nil
}
