package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// requestTargets are request targets of callers; "{host}" stands for the host of the route.
var requestTargets = []string{
	"/x", "/", "//ny95/0", "///", "//", "//{host}/x", "//[::1", "/./", "/../x", "//../x", "/%2f", "/%2e%2e/", "/%00", "/;a=b;c", "//;", "/x?a?b", "/x?",
	"/x??", "//x?", "//x?a=//b", "/?//", "/\xc3\xa4", "//\xff", "//a\"b<>\\^`{|}", "/x#y", "//x#y", "/%zz", "//%zz", "/a b", "/a\x7f", "/a\x01", "", "x", "*", "?",
	"http://{host}/x", "http://{host}", "http://{host}?a", "http://{host}//x/", "http://{host}/a\"b?c?d", "HTTP://{host}/%2F", "https://{host}/x", "http://u@{host}/x",
	"http://other/x", "http:/x", "http:x", "http:///x", ":80", "{host}:80",
}

// pathCluster consists of processes that record the requests that targets get.
type pathCluster struct {
	addr string
	mu   sync.Mutex
	got  []string
}

func startPathCluster(t testing.TB, local bool) *pathCluster {
	c := startCluster(t, mesh.Once)
	if local {
		c.markLeaving(1)
	} else {
		c.markLeaving(0)
	}
	p := &pathCluster{addr: c.nodes[0].callers.Listener.Addr().String()}
	for _, n := range c.nodes {
		n.target.set(func(conn net.Conn, r *http.Request, s received) bool {
			p.mu.Lock()
			p.got = append(p.got, r.Method+" "+r.RequestURI+" for "+r.Host)
			p.mu.Unlock()
			return respondOK(conn, r, s)
		})
	}
	return p
}

// send sends a request with a request target as it is, and returns the status, or 0 without a response, and the requests that targets got.
func (p *pathCluster) send(t *testing.T, method, target string) (status int, got []string) {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Id: path\r\nConnection: close\r\n\r\n", method, target)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	got, p.got = p.got, nil
	return status, got
}

// check fails the test unless the target gets a request target byte for byte, in origin form, or the caller gets a refusal.
func (p *pathCluster) check(t *testing.T, method, target string) {
	t.Helper()
	status, got := p.send(t, method, target)
	if len(got) == 0 {
		if status < http.StatusBadRequest {
			t.Errorf("%s %q: status %d without a request to a target", method, target, status)
		}
		return
	}
	want := target
	if !strings.HasPrefix(target, "/") { // an absolute URI
		_, want, _ = strings.Cut(target, "://")
		want = want[min(len(want), len(strings.SplitN(strings.SplitN(want, "?", 2)[0], "/", 2)[0])):]
		if !strings.HasPrefix(want, "/") {
			want = "/" + want
		}
	}
	if len(got) != 1 || got[0] != method+" "+want+" for h.example" {
		t.Errorf("%s %q: target got %q", method, target, got)
	}
}

// Guards against a path that a target gets as another path or host than the caller sent.
func TestPathReachesTargetUnchanged(t *testing.T) {
	for i, name := range bothTargets {
		t.Run(name, func(t *testing.T) {
			p := startPathCluster(t, i == 0)
			for _, target := range requestTargets {
				for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodOptions, http.MethodConnect} {
					p.check(t, method, strings.ReplaceAll(target, "{host}", "h.example"))
				}
			}
			for _, target := range []string{"//ny95/0", "//x?a?b", "//a\"b", "/x??", "/%00", "http://h.example/x", "http://h.example"} {
				if status, got := p.send(t, http.MethodGet, target); status != http.StatusOK || len(got) != 1 {
					t.Errorf("%q is refused with status %d", target, status)
				}
			}
		})
	}
}

func FuzzPathReachesTargetUnchanged(f *testing.F) {
	for _, target := range requestTargets {
		f.Add(strings.ReplaceAll(target, "{host}", "h.example"))
	}
	clusters := [...]*pathCluster{startPathCluster(f, true), startPathCluster(f, false)}
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, "\r\n") {
			t.Skip("not one request line")
		}
		for _, p := range clusters {
			p.check(t, http.MethodGet, target)
		}
	})
}
