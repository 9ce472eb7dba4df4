package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// upload sends a request to the first process while its target may answer early, and returns the status and body of the response and whether
// it was complete. A body that is not sized is sent in chunks.
func (c *cluster) upload(t *testing.T, path string, body []byte, sized bool) (status int, answer []byte, complete bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.nodes[0].callers.URL+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if !sized {
		req.ContentLength = -1
	}
	req.Host, req.Close = "h.example", true
	req.Header.Set("X-Id", path)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, false
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err == nil
}

// cutEarly returns a behaviour that answers without a length before the request has been read, and resets the connection after the given
// number of bytes.
func cutEarly(bytes int) behaviour {
	return func(conn net.Conn, _ *http.Request, s received) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n%s", s.id, signed, strings.Repeat("r", bytes))
		time.Sleep(20 * time.Millisecond) // lets the process read what was sent
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// Guards against a part of an answer that is passed on as a whole one: an answer without a length that is reset while the request is still
// being written.
func TestResponseCutDuringUploadIsNotComplete(t *testing.T) {
	for _, kind := range []mesh.Kind{mesh.Safe, mesh.Once, mesh.Upload, mesh.Download} {
		for i, name := range bothTargets {
			t.Run(fmt.Sprintf("%s, %s", kindNames[kind], name), func(t *testing.T) {
				c := startCluster(t, kind)
				c.markLeaving(1 - i)
				for _, bodyBytes := range []int{300 << 10, maxBufferedBody - 1, maxBufferedBody + 2<<20} {
					for _, sized := range []bool{true, false} {
						for _, part := range []int{5, 3000, 2 << 20} {
							c.nodes[i].target.set(cutEarly(part))
							status, answer, complete := c.upload(t, "/early/", make([]byte, bodyBytes), sized)
							if complete && status < http.StatusBadRequest {
								t.Errorf("body of %d, sized %v, cut after %d: status %d with %d bytes", bodyBytes, sized, part, status, len(answer))
							}
						}
					}
				}
			})
		}
	}
}

// Guards against a cut answer that looks complete to a caller of HTTP/1.0, for whom an answer without a length ends with its connection.
func TestCutResponseIsNotCompleteForHTTP10(t *testing.T) {
	for i, name := range bothTargets {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, mesh.Once)
			c.markLeaving(1 - i)
			c.nodes[i].target.set(cutEarly(2 << 20))
			caller := c.caller(t)
			fmt.Fprint(caller, "GET /early/ HTTP/1.0\r\nHost: h.example\r\nX-Id: cut\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode < http.StatusBadRequest {
				t.Errorf("status %d with %d bytes", resp.StatusCode, n)
			}
		})
	}
}

// Guards against the rest of a long body being taken for another request, at the target or at the process, after an early answer: a target
// that reads on later gets only bytes of that body, on a connection that carries no further request.
func TestRestOfBodyAfterEarlyResponseGoesNowhere(t *testing.T) {
	const line = "GET /smuggled/ HTTP/1.1\r\nHost: h.example\r\nX-Id: smuggled\r\n\r\n"
	body := bytes.Repeat([]byte(line), (maxBufferedBody+2<<20)/len(line))
	for i, name := range bothTargets {
		for _, sized := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, sized %v", name, sized), func(t *testing.T) {
				c := startCluster(t, mesh.Upload)
				c.markLeaving(1 - i)
				rest := make(chan []byte, 1)
				c.nodes[i].target.set(func(conn net.Conn, r *http.Request, s received) bool {
					if s.uri != "/early/" {
						return respondOK(conn, r, s)
					}
					reply(conn, s, 200, signed, "early")
					time.Sleep(100 * time.Millisecond)
					data, _ := io.ReadAll(r.Body)
					rest <- data
					return true
				})
				if status, answer, complete := c.upload(t, "/early/", body, sized); status != http.StatusOK || string(answer) != "early" || !complete {
					t.Errorf("status %d, answer %q, complete %v", status, answer, complete)
				}
				for range 5 {
					if status, _, complete := c.upload(t, "/next/", []byte("next"), true); status != http.StatusOK || !complete {
						t.Errorf("next request: status %d", status)
					}
				}
				if data := <-rest; !bytes.HasPrefix(body, data) {
					t.Errorf("the target read %d bytes that are not those of the body", len(data))
				}
				for _, r := range c.nodes[i].target.requests() {
					if r.uri != "/early/" && r.uri != "/next/" {
						t.Errorf("target got a request for %s", r.uri)
					}
				}
			})
		}
	}
}
