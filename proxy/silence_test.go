package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/mesh"
)

// Guards against an answer that is kept back until its caller goes on to send a body that the target does not wait for, and against the rest
// of that body being taken for requests.
func TestEarlyResponseReachesCallerThatPauses(t *testing.T) {
	const answerTimeout = 2 * time.Second
	for i, name := range bothTargets {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d", maxBufferedBody+6<<20), "Transfer-Encoding: chunked"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				c := startCluster(t, mesh.Upload)
				c.setTimeouts(t, mesh.Upload, 10*time.Second)
				c.markLeaving(1 - i)
				c.nodes[i].gatekeeper.bodies = bodyroom.NewRoom(2 * maxBufferedBody) // a sized body in memory arrives before the target gets the request
				ended := make(chan struct{})
				c.nodes[i].target.set(func(conn net.Conn, r *http.Request, s received) bool {
					time.Sleep(100 * time.Millisecond) // until all that the caller sends is on its way
					reply(conn, s, 200, signed, "early")
					_, _ = io.Copy(io.Discard, r.Body)
					close(ended)
					return true
				})
				caller := c.caller(t)
				fmt.Fprintf(caller, "POST /early/ HTTP/1.1\r\nHost: h.example\r\nX-Id: early\r\n%s\r\n\r\n", framing)
				part := make([]byte, maxBufferedBody+1<<20)
				if framing == "Transfer-Encoding: chunked" {
					fmt.Fprintf(caller, "%x\r\n%s\r\n", len(part), part)
				} else {
					_, _ = caller.Write(part)
				}
				_ = caller.SetReadDeadline(time.Now().Add(answerTimeout))
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if data, err := io.ReadAll(resp.Body); err != nil || string(data) != "early" || resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, %q, %v", resp.StatusCode, data, err)
				}
				select {
				case <-ended:
				case <-time.After(answerTimeout):
					t.Error("the connection to the target stays open")
				}
				rest := bytes.Repeat([]byte("GET /smuggled/ HTTP/1.1\r\nHost: h.example\r\nX-Id: s\r\n\r\n"), 1<<14)
				if framing == "Transfer-Encoding: chunked" {
					fmt.Fprintf(caller, "%x\r\n%s\r\n", len(rest), rest)
				} else {
					_, _ = caller.Write(rest)
				}
				_, _ = io.Copy(io.Discard, caller) // until the process closes the connection
				for _, r := range c.nodes[i].target.requests() {
					if r.uri != "/early/" {
						t.Errorf("the rest of the body reached the target as a request for %s", r.uri)
					}
				}
			})
		}
	}
}
