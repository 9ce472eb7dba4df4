// Command refused is a case of the review: requests for which there is no route, whose bodies stop just short of their end, keep all
// connections of a process.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/review/harness2/rig"
)

const (
	// bodyBytes is the length of the bodies, which stop one byte short of it. The mean of the deployment's uploads is 280,000.
	bodyBytes = 200_000
	// senders is the number of callers that send such a body at once.
	senders = 640
	// tryFor is how long ordinary callers try meanwhile.
	tryFor = 9 * time.Second
)

var (
	services = []rig.Service{{Name: "letters", Cold: 3 * time.Second}}
	routes   = []rig.Route{
		{Name: "r1", Prefix: "/menu/", Kind: "safe", Service: "letters", Timeout: time.Second, Latency: 250 * time.Millisecond, Priority: 2},
		{Name: "r2", Prefix: "/upload/", Kind: "upload", Service: "letters", Timeout: 1200 * time.Millisecond, Latency: 300 * time.Millisecond, Priority: 1},
	}
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (bool, error) {
	work := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(15 * time.Millisecond)
		_, _ = w.Write([]byte(strings.Repeat("menu ", 80))) // fails only if the caller has left
	}
	if err := r.PutConfig(services, routes); err != nil {
		return false, err
	}
	for i := range 2 {
		n, err := r.AddMachine(rig.Machine{
			Name: fmt.Sprint("node-", i+1), IP: fmt.Sprint("127.79.0.", i+1), Zone: []string{"zone-a", "zone-b"}[i], Service: "letters",
		})
		if err != nil {
			return false, err
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
	node := r.Nodes()[0]
	if status, err := rig.Ask(node.Outbound(), "/menu/", "first"); status != http.StatusOK {
		return false, fmt.Errorf("an ordinary request is not served at the start: %d, %v", status, err)
	}
	var crowd sync.WaitGroup
	var stop func()
	crowd.Go(func() { stop = sendBodies(r, node.Outbound()) })
	broken := r.TryOrdinary(node, "/menu/", tryFor)
	crowd.Wait()
	stop()
	return broken, nil
}

// sendBodies sends the bodies of the crowd, each on a connection of its own that stays open. In the trouble their last byte is missing.
func sendBodies(r *rig.Rig, addr string) (stop func()) {
	send := bodyBytes
	if r.Trouble {
		send--
	}
	var mu sync.Mutex
	var conns []net.Conn
	var callers sync.WaitGroup
	failed := 0
	for i := range senders {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp4", addr, time.Second)
			if err == nil {
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // fails only on a closed connection
				_, err = fmt.Fprintf(conn, "POST /nowhere/%d HTTP/1.1\r\nHost: %s\r\n%s: body-%d\r\n%s: 1200\r\nContent-Length: %d\r\n\r\n%s",
					i, rig.Host, rig.AttemptID, i, rig.DeadlineMs, bodyBytes, strings.Repeat("x", send))
			}
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
		time.Sleep(time.Millisecond)
	}
	callers.Wait()
	r.Logf("%d callers have connected, and sent %d of %d bytes of a body; %d were closed meanwhile or could not connect", len(conns), send, bodyBytes, failed)
	return func() {
		for _, c := range conns {
			c.Close()
		}
	}
}
