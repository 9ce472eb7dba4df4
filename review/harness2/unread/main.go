// Command unread is a case of the review: callers that do not read their answers keep all connections of a process.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chervilwell/chervilwell/review/harness2/rig"
)

const (
	// machines is the number of machines; the deployment has 12.
	machines = 12
	// menuBytes and manifestBytes are the lengths of the answers.
	menuBytes, manifestBytes = 400, 300_000
	// callersAtOnce is the number of callers that ask for a manifest, one each callerInterval.
	callersAtOnce      = 640
	callerInterval     = 20 * time.Millisecond
	downloadDeadlineMs = 3000
	// tryFor is how long ordinary callers try.
	tryFor = 12 * time.Second
)

var (
	services = []rig.Service{{Name: "menu", Cold: 3 * time.Second}}
	routes   = []rig.Route{
		{Name: "r1", Prefix: "/menu/", Kind: "safe", Service: "menu", Timeout: time.Second, Latency: 250 * time.Millisecond, Priority: 2},
		{Name: "r2", Prefix: "/manifest/", Kind: "download", Service: "menu", Timeout: 4 * time.Second, Latency: time.Second, Priority: 2},
	}
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (bool, error) {
	manifest := bytes.Repeat([]byte("manifest "), manifestBytes/9)
	work := func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(15 * time.Millisecond)
		body := manifest[:menuBytes]
		if strings.HasPrefix(req.URL.Path, "/manifest/") {
			body = manifest
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body) // fails only if the caller has left
	}
	if err := r.PutConfig(services, routes); err != nil {
		return false, err
	}
	for i := range machines {
		ip, zone := fmt.Sprint("127.78.0.", i+1), []string{"zone-a", "zone-b"}[i%2]
		n, err := r.AddMachine(rig.Machine{Name: fmt.Sprint("node-", i+1), IP: ip, Zone: zone, Service: "menu"})
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
	node := r.Nodes()[0]
	time.Sleep(2 * time.Second) // until the endpoints count as warm
	if status, err := rig.Ask(node.Outbound(), "/menu/", "first"); status != http.StatusOK {
		return false, fmt.Errorf("an ordinary request is not served at the start: %d, %v", status, err)
	}
	stop := openConns(r, node.Outbound())
	defer stop()
	broken := r.TryOrdinary(node, "/menu/", tryFor)
	served := 0
	const elsewhere = 20
	for i := range elsewhere {
		if status, err := rig.Ask(r.Nodes()[1].Outbound(), "/menu/", fmt.Sprint("elsewhere-", i)); err == nil && status == http.StatusOK {
			served++
		}
	}
	r.Logf("for information: %d of %d ordinary requests at another machine are served", served, elsewhere)
	return broken, nil
}

// openConns opens the connections of the callers. Each sends one request. In the trouble they read nothing of its answer and stay; otherwise
// they read it and keep the connection.
func openConns(r *rig.Rig, addr string) (stop func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var callers sync.WaitGroup
	answered, failed := 0, 0
	for i := range callersAtOnce {
		callers.Go(func() {
			dialer := net.Dialer{Timeout: time.Second, Control: remoteCaller}
			conn, err := dialer.Dial("tcp4", addr)
			mu.Lock()
			if err != nil {
				failed++
				mu.Unlock()
				return
			}
			conns = append(conns, conn)
			mu.Unlock()
			req, err := rig.NewRequest(http.MethodGet, "/manifest/", fmt.Sprint("caller-", i), downloadDeadlineMs, nil)
			if err == nil {
				err = req.Write(conn)
			}
			status := 0
			if err == nil && !r.Trouble {
				_ = conn.SetReadDeadline(time.Now().Add(downloadDeadlineMs * time.Millisecond))
				status, err = rig.ReadAnswer(conn, req)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failed++
			case status == http.StatusOK:
				answered++
			}
		})
		time.Sleep(callerInterval)
	}
	callers.Wait()
	r.Logf("%d callers have sent a request for a manifest and keep their connections; %d have read the answer; %d failed", len(conns), answered, failed)
	return func() {
		for _, c := range conns {
			c.Close()
		}
	}
}

// remoteCaller gives a connection the segment size and the window of a caller behind a network.
func remoteCaller(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
	})
}
