package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// Guards against a path or query that a target gets as another one than the caller sent.
func TestPathReachesTargetUnchanged(t *testing.T) {
	target := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Target", r.RequestURI) })
	}
	onBothPaths(t, target, func(t *testing.T, f *fleet) {
		for _, path := range []string{"/order/x", "/order//x", "/order/%2f%00;a", "/order/x?", "/order/x??a?b", "/order/\xc3\xa4", "/order/a\"b^c", "/order/x?a=%zz"} {
			for _, prefix := range []string{"", "http://x"} {
				conn, err := net.Dial("tcp", strings.TrimPrefix(f.members[0].url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: x\r\n%s: haulier-a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", prefix, path, headers.Organisation)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.Header.Get("X-Target"); got != path {
					t.Errorf("%q: status %d, target got %q", prefix+path, resp.StatusCode, got)
				}
				resp.Body.Close()
				conn.Close()
			}
		}
	})
}
