package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/chervilwell/chervilwell/mesh"
)

// exchange sends a request, without an ID if id is empty, on a connection of its own, and returns the status and body of the response
// and whether it was complete.
func (c *cluster) exchange(t *testing.T, id string) (status int, body string, complete bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.nodes[0].callers.URL+"/x/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Close = "h.example", true
	if id != "" {
		req.Header.Set("X-Id", id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err == nil
}

// Guards against a refusal that a target writes once more on a kept connection, and that is taken for the response to the next
// request, which the target runs.
func TestRepeatedRefusalIsNotResponseToNextRequest(t *testing.T) {
	for i, name := range bothTargets {
		for _, test := range []struct{ name, repeated, id string }{
			{"refusal of the earlier request", "X-Id: refused\r\n", "next"},
			{"refusal without an ID", "", "next"},
			{"request without an ID, refusal of the earlier request", "X-Id: refused\r\n", ""},
			{"request and refusal without an ID", "", ""},
		} {
			t.Run(name+", "+test.name, func(t *testing.T) {
				c := startCluster(t, mesh.Once)
				c.markLeaving(1 - i)
				refusal := "HTTP/1.1 503 X\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				var kept net.Conn // the connection of the refused request
				c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
					if s.id == "refused" {
						kept = conn
						fmt.Fprintf(conn, refusal, "X-Id: refused\r\n")
						return true
					}
					if conn == kept {
						fmt.Fprintf(conn, refusal, test.repeated)
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Length: 3\r\n\r\nran", idLine(s.id), signed)
					return true
				})
				if status, _, _ := c.exchange(t, "refused"); status != http.StatusServiceUnavailable {
					t.Fatalf("refused request: status %d", status)
				}
				if status, body, _ := c.exchange(t, test.id); status != http.StatusOK || body != "ran" {
					t.Errorf("status %d, body %q", status, body)
				}
				if n := len(c.nodes[i].target.requests()); n != 2 {
					t.Errorf("target received %d requests, want 2", n)
				}
			})
		}
	}
}

func idLine(id string) string {
	if id == "" {
		return ""
	}
	return "X-Id: " + id + "\r\n"
}
