package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// rawTarget returns a target that serves each connection with respond, which is called with each request and its number on the
// connection, from 0, and reports whether the connection stays open.
func rawTarget(t *testing.T, respond func(conn net.Conn, r *http.Request, number int) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		in := bufio.NewReader(buffered)
		for number := 0; err == nil && respond(conn, r, number); number++ {
			r, err = http.ReadRequest(in)
		}
	})
}

// Guards against a refusal that a target writes once more on a kept connection, and that is reported as "not run" to the caller of
// the next request, or makes that run again.
func TestRepeatedRefusalIsNotReportedAsNotRun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + headers.Run + ": not-run\r\n\r\n"
	var runs, repeated atomic.Int64
	target := func(int) http.Handler {
		return rawTarget(t, func(conn net.Conn, r *http.Request, number int) bool {
			if number == 0 && r.URL.Path == "/order/refused" {
				_, _ = io.WriteString(conn, refusal)
				return true
			}
			runs.Add(1)
			if number > 0 {
				repeated.Add(1)
				_, _ = io.WriteString(conn, refusal)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran")
			return false
		})
	}
	onBothPaths(t, target, func(t *testing.T, f *fleet) {
		runs.Store(0)
		repeated.Store(0)
		call(t, "POST", f.members[0].url+"/order/refused", "")
		resp, _ := call(t, "POST", f.members[0].url+"/order/next", "")
		if run := resp.Header.Get(headers.Run); run == string(headers.NotRun) {
			t.Errorf("status %d, run state %q", resp.StatusCode, run)
		}
		if runs.Load() != 1 || repeated.Load() != 1 {
			t.Errorf("ran %d times, refusal repeated %d times, want 1 each", runs.Load(), repeated.Load())
		}
	})
}
