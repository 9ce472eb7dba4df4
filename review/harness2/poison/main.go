// Command poison is a case of the review: an upload that crashes each endpoint that begins to run it comes again and again.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/review/harness2/rig"
)

const (
	config = `{"Version":"00000001","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
"Services":[{"Name":"letters","HealthPath":"/health","MaxConnections":110,"ColdStartS":1,"ColdPerS":57}],
"VirtualHosts":[{"Host":"h.example","PathRules":[{"Name":"r1","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":1.2,"TargetLatencyS":0.3,"Priority":1,"Service":"letters","MaxAttempts":2,"AllowedRegions":[]},
{"Name":"r2","PathPrefix":"/upload/","Kind":"upload","TimeoutS":6,"TargetLatencyS":3,"Priority":1,"Service":"letters","MaxAttempts":2,"AllowedRegions":[]}]}]}`
	machines = 4
	// bodyBytes is the length of the upload. MaxBodyBytes allows 67,108,864.
	bodyBytes = 20 << 20
	// downFor is the time after which a crashed endpoint is back.
	downFor = 2 * time.Second
	// again is the pause before the upload comes again.
	again  = 1500 * time.Millisecond
	lasts  = 30 * time.Second
	window = 3 * time.Second // StabilityWindowS
	// mostRetries is the number of retries that may reach endpoints later than window after the third crash.
	mostRetries = 3
)

func main() { rig.Main(run) }

type ledger struct {
	mu sync.Mutex
	// crashes are the times of the crashes, arrivals those at which endpoints began to run the upload, by attempt.
	crashes  []time.Time
	arrivals map[string]time.Time
}

func run(r *rig.Rig) (bool, error) {
	l := &ledger{arrivals: map[string]time.Time{}}
	r.Store.Put("op/config", config)
	starts := 0
	start := func(n *rig.Node) error {
		starts++
		var e *rig.Endpoint
		e, err := n.StartEndpoint(fmt.Sprint("i-", starts), 18, time.Second, func(w http.ResponseWriter, req *http.Request) { l.work(r, e, w, req) })
		return err
	}
	for i := range machines {
		n, err := r.AddMachine(rig.Machine{
			Name: fmt.Sprint("node-", i+1), IP: fmt.Sprint("127.83.0.", i+1), Zone: []string{"zone-a", "zone-b"}[i%2], Service: "letters", MemoryMb: 134, MaxFds: 4100,
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
	if status, err := rig.Ask(r.Nodes()[0].Outbound(), "/order/", "first"); status != http.StatusOK {
		return false, fmt.Errorf("an ordinary request is not served at the start: %d, %v", status, err)
	}
	end := time.Now().Add(lasts)
	var served, lost, refused atomic.Int64
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				status, err := rig.Ask(r.Nodes()[i%machines].Outbound(), "/order/", fmt.Sprintf("order-%d-%d", i, k))
				switch {
				case status == http.StatusOK:
					served.Add(1)
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					lost.Add(1)
					r.Logf("order-%d-%d: status %d, error %v", i, k, status, err)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	callers.Go(func() { // the platform starts crashed endpoints again
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
			time.Sleep(100 * time.Millisecond)
		}
	})
	body := bytes.Repeat([]byte("letter "), bodyBytes/7+1)[:bodyBytes]
	path := "/upload/allergy-letter"
	if !r.Trouble {
		path = "/upload/sound-letter"
	}
	for k := 0; time.Now().Before(end); k++ {
		n, id := r.Nodes()[k%machines], fmt.Sprint("upload-", k)
		sent := time.Now()
		status, err := upload(n.Outbound(), path, id, body)
		l.mu.Lock()
		_, ran := l.arrivals[id]
		crashes := len(l.crashes)
		l.mu.Unlock()
		r.Logf("%s sent to %s: status %d after %.2f s, error %v, began to run: %v, crashes so far: %d", id, n.Name, status, time.Since(sent).Seconds(), err, ran, crashes)
		time.Sleep(again)
	}
	callers.Wait()
	r.Logf("ordinary requests meanwhile: %d served, %d refused, %d failed", served.Load(), refused.Load(), lost.Load())
	for _, n := range r.Nodes() {
		n.LogLines(6, "target crashed", "quarantined\"")
	}
	return l.judge(r), nil
}

// work runs a request. The poisoned upload crashes its endpoint as soon as it has begun.
func (l *ledger) work(r *rig.Rig, e *rig.Endpoint, w http.ResponseWriter, req *http.Request) {
	if !strings.HasPrefix(req.URL.Path, "/upload/") {
		time.Sleep(60 * time.Millisecond)
		_, _ = w.Write([]byte("done")) // fails only if the caller has left
		return
	}
	id := req.Header.Get(rig.AttemptID)
	l.mu.Lock()
	l.arrivals[id] = time.Now()
	l.mu.Unlock()
	if !strings.Contains(req.URL.Path, "allergy") {
		n, _ := io.Copy(io.Discard, req.Body) // a body that breaks off is no case here
		fmt.Fprint(w, n)
		return
	}
	part := make([]byte, 64<<10)
	n, _ := io.ReadFull(req.Body, part)
	time.Sleep(20 * time.Millisecond)
	l.mu.Lock()
	l.crashes = append(l.crashes, time.Now())
	l.mu.Unlock()
	r.Logf("%s crashes endpoint %s after it has read %d bytes", id, e.ID, n)
	e.Crash()
}

// judge reports whether the upload reached endpoints in more than mostRetries retries later than window after the third crash.
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

// upload sends the upload on a new connection and returns the status of the answer.
func upload(addr, path, id string, body []byte) (int, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(7 * time.Second)) // fails only on a closed connection
	req, err := rig.NewRequest(http.MethodPost, path, "", 6000, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set(rig.AttemptID, id)
	go func() { _ = req.Write(conn) }() // the answer may come before the body has been sent
	return rig.ReadAnswer(conn, req)
}
