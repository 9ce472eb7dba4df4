package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// Guards against a target that gets a body as whole whose caller has left in the middle of it or has not sent the rest in time.
func TestUnfinishedBodyIsNotSentAsWhole(t *testing.T) {
	for _, kind := range []mesh.Kind{mesh.Safe, mesh.Upload} {
		for i, name := range bothTargets {
			for _, leaves := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, caller leaves %v", kindNames[kind], name, leaves), func(t *testing.T) {
					t.Parallel()
					c := startCluster(t, kind)
					c.markLeaving(1 - i)
					ended := make(chan error, 1)
					c.nodes[i].target.set(func(_ net.Conn, r *http.Request, _ received) bool {
						_, err := r.Body.Read(make([]byte, 1))
						ended <- err
						return false
					})
					caller := c.caller(t)
					part := make([]byte, maxBufferedBody+1<<20)
					fmt.Fprintf(caller, "POST /x/ HTTP/1.1\r\nHost: h.example\r\nX-Id: part\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part)
					if leaves {
						caller.Close()
					} else if resp, err := http.ReadResponse(bufio.NewReader(caller), nil); err == nil && resp.StatusCode < http.StatusBadRequest {
						t.Errorf("status %d", resp.StatusCode)
					}
					select {
					case err := <-ended:
						if err == io.EOF {
							t.Error("the target got the part as a whole body")
						}
					case <-time.After(5 * time.Second):
						if n := len(c.nodes[i].target.requests()); n > 0 {
							t.Errorf("target got %d requests", n)
						}
					}
				})
			}
		}
	}
}

// Guards against a streamed answer that goes on after its caller has left or its deadline has passed, or that then looks complete.
func TestStreamedAnswerEndsWithCallerAndDeadline(t *testing.T) {
	for _, kind := range []mesh.Kind{mesh.Safe, mesh.Once} {
		for i, name := range bothTargets {
			for _, leaves := range []bool{true, false} {
				for _, framing := range []string{"Content-Length: 100000000\r\n", ""} {
					t.Run(fmt.Sprintf("%s, %s, caller leaves %v, %q", kindNames[kind], name, leaves, framing), func(t *testing.T) {
						t.Parallel()
						c := startCluster(t, kind)
						c.markLeaving(1 - i)
						ended := make(chan struct{})
						c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
							fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s%s\r\n", s.id, signed, framing)
							piece := make([]byte, 64<<10)
							for {
								if _, err := conn.Write(piece); err != nil {
									close(ended)
									return false
								}
								time.Sleep(time.Millisecond)
							}
						})
						caller := c.caller(t)
						caller.send("stream", 0)
						resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
						if err != nil {
							t.Fatal(err)
						}
						defer resp.Body.Close()
						if leaves {
							caller.Close()
						} else if _, err := io.Copy(io.Discard, resp.Body); err == nil {
							t.Error("the answer looks complete")
						}
						select {
						case <-ended:
						case <-time.After(5 * time.Second):
							t.Error("the connection to the target stays open")
						}
					})
				}
			}
		}
	}
}
