package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// Guards against a response that breaks off, in its head or after it, and reaches the caller as a complete success.
func TestResponseCutAtAnyByteIsNotReportedComplete(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%d bytes", len(response)), func(t *testing.T) {
			var length atomic.Int64
			target := func(int) http.Handler {
				return rawTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(conn, response[:length.Load()])
					return false
				})
			}
			onBothPaths(t, target, func(t *testing.T, f *fleet) {
				for n := range int64(len(response)) {
					length.Store(n)
					if status, body, complete := callOnce(t, f.members[0].url+fmt.Sprintf("/order/%d", n)); complete && status < http.StatusBadRequest {
						t.Errorf("cut after %d bytes: status %d, body %q", n, status, body)
					}
					length.Store(int64(len(response)))
					if status, body, complete := callOnce(t, f.members[0].url+fmt.Sprintf("/order/whole/%d", n)); !complete || status != http.StatusOK || body != "hello" {
						t.Errorf("whole response after a cut at %d bytes: status %d, body %q", n, status, body)
					}
				}
			})
		})
	}
}

// callOnce sends a request and returns the status and body of the response, and whether it was complete.
func callOnce(t *testing.T, url string) (status int, body string, complete bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headers.Organisation, "haulier-a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err == nil
}
