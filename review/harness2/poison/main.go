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
	machines = 4
	// bodyBytes is the length of the upload. MaxBodyBytes allows 67,108,864.
	bodyBytes = 20 << 20
	// downFor is the time after which a crashed endpoint is back.
	downFor = 2 * time.Second
	// again is the pause before the upload comes again.
	again = 1500 * time.Millisecond
	lasts = 30 * time.Second
)

var (
	services = []rig.Service{{Name: "letters", Cold: time.Second}}
	routes   = []rig.Route{
		{Name: "r1", Prefix: "/order/", Kind: "unsafe", Service: "letters", Timeout: 1200 * time.Millisecond, Latency: 300 * time.Millisecond, Priority: 1},
		{Name: "r2", Prefix: "/upload/", Kind: "upload", Service: "letters", Timeout: 6 * time.Second, Latency: 3 * time.Second, Priority: 1},
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
		e, err := n.StartEndpoint(fmt.Sprint("i-", starts), 18, time.Second, func(w http.ResponseWriter, req *http.Request) { work(l, e, w, req) })
		return err
	}
	for i := range machines {
		n, err := r.AddMachine(rig.Machine{
			Name: fmt.Sprint("node-", i+1), IP: fmt.Sprint("127.83.0.", i+1), Zone: []string{"zone-a", "zone-b"}[i%2], Service: "letters",
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
	callers.Go(func() { r.RestartCrashed(start, downFor, end) })
	body := bytes.Repeat([]byte("letter "), bodyBytes/7+1)[:bodyBytes]
	path := "/upload/allergy-letter"
	if !r.Trouble {
		path = "/upload/sound-letter"
	}
	for k := 0; time.Now().Before(end); k++ {
		n, id := r.Nodes()[k%machines], fmt.Sprint("upload-", k)
		sent := time.Now()
		status, err := upload(n.Outbound(), path, id, body)
		r.Logf("%s sent to %s: status %d after %.2f s, error %v; crashes so far: %d", id, n.Name, status, time.Since(sent).Seconds(), err, l.Count())
		time.Sleep(again)
	}
	callers.Wait()
	r.Logf("ordinary requests meanwhile: %d served, %d refused, %d failed", served.Load(), refused.Load(), lost.Load())
	for _, n := range r.Nodes() {
		n.LogLines(6, "target crashed", "quarantined\"")
	}
	return l.Judge(r), nil
}

// work runs a request. The poisoned upload crashes its endpoint as soon as it has begun.
func work(l *rig.Crashes, e *rig.Endpoint, w http.ResponseWriter, req *http.Request) {
	if !strings.HasPrefix(req.URL.Path, "/upload/") {
		time.Sleep(60 * time.Millisecond)
		_, _ = w.Write([]byte("done")) // fails only if the caller has left
		return
	}
	if !strings.Contains(req.URL.Path, "allergy") {
		n, _ := io.Copy(io.Discard, req.Body) // a body that breaks off is no case here
		fmt.Fprint(w, n)
		return
	}
	l.Begin()
	n, _ := io.ReadFull(req.Body, make([]byte, 64<<10)) // the endpoint crashes all the same
	time.Sleep(20 * time.Millisecond)
	l.Crash(e, fmt.Sprintf("%s, of which it has read %d bytes,", req.Header.Get(rig.AttemptID), n))
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
