package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/chervilwell/chervilwell/mesh"
)

// Guards against a response that breaks off, in its head or after it, and reaches the caller as a complete success.
func TestResponseCutAtAnyByteIsNotComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: cut\r\n" + signed
	for _, response := range []string{
		head + "Content-Length: 5\r\n\r\nhello",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for i, name := range bothTargets {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(response)), func(t *testing.T) {
				t.Parallel()
				c := startCluster(t, mesh.Once)
				c.markLeaving(1 - i)
				for n := range len(response) {
					c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, _ received) bool {
						_, _ = io.WriteString(conn, response[:n])
						return false
					})
					if status, body, complete := c.exchange(t, "cut"); complete && status < http.StatusBadRequest {
						t.Errorf("cut after %q: status %d, body %q", lastBytes(response[:n]), status, body)
					}
				}
				c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, _ received) bool {
					_, _ = io.WriteString(conn, response)
					return false
				})
				if status, body, complete := c.exchange(t, "cut"); status != http.StatusOK || body != "hello" || !complete {
					t.Errorf("whole response: status %d, body %q", status, body)
				}
			})
		}
	}
}

func lastBytes(s string) string { return s[max(len(s)-20, 0):] }

// cuttingProxy forwards connections to an address and closes each after a number of bytes in the direction to the client.
func cuttingProxy(t *testing.T, listen, to string, limit func() int64) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.Dial("tcp4", to)
				if err != nil {
					return
				}
				defer server.Close()
				go func() { _, _ = io.Copy(server, client) }()
				_, _ = io.CopyN(client, server, limit())
			}()
		}
	}()
	return l
}

// Guards against the same on a connection between two instances that breaks off.
func TestPeerResponseCutAtAnyByteIsNotComplete(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.markLeaving(0)
	var limit atomic.Int64
	limit.Store(1 << 20)
	proxy := cuttingProxy(t, "127.0.0.2:0", c.nodes[1].peerAddr, limit.Load)
	c.nodes[0].frontend.cfg.Peers = NewPeers(uint16(proxy.Addr().(*net.TCPAddr).Port))
	if status, body, _ := c.exchange(t, "whole"); status != http.StatusOK || !strings.Contains(body, "hello") {
		t.Fatalf("whole response: status %d, body %q", status, body)
	}
	const longest = 2000 // more than the response has
	whole := 0
	for n := range int64(longest) {
		limit.Store(n)
		c.nodes[0].frontend.cfg.Peers = NewPeers(uint16(proxy.Addr().(*net.TCPAddr).Port))
		switch status, body, complete := c.exchange(t, "cut"); {
		case complete && status == http.StatusOK && body == "hello cut":
			whole++
		case complete && status < http.StatusBadRequest:
			t.Errorf("cut after %d bytes: status %d, body %q", n, status, body)
		}
		if whole > 0 {
			break
		}
	}
	if whole == 0 {
		t.Errorf("no response of %d bytes was whole", longest)
	}
}
