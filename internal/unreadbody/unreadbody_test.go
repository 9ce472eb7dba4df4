package unreadbody

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// serve serves requests whose handler reads no body, and returns a connection and the number of requests for the path "/smuggled".
func serve(t *testing.T) (net.Conn, *atomic.Int64) {
	t.Helper()
	smuggled := &atomic.Int64{}
	server := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/smuggled" {
			smuggled.Add(1)
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusNotFound)
	})))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, smuggled
}

const smuggledRequest = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

func TestResponseComesBeforeTheBodyAndKeepsTheConnection(t *testing.T) {
	conn, _ := serve(t)
	in := bufio.NewReader(conn)
	for _, framing := range []struct{ header, first, rest string }{
		{"Content-Length: 20", "123456789012345", "67890"},
		{"Content-Length: 20", "12345678901234567890", ""},
		{"Transfer-Encoding: chunked", "5\r\n12345\r\n", "0\r\n\r\n"},
		{"Content-Length: 0", "", ""},
	} {
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", framing.header, framing.first)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusNotFound || resp.Close {
			t.Fatalf("%+v: %+v, %v", framing, resp, err)
		}
		_, _ = io.WriteString(conn, framing.rest)
	}
}

// Guards against the rest of a body that is taken for the next request.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	for name, request := range map[string]string{
		"chunked": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggledRequest,
		"long":    fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 8*maxBytes) + strings.Repeat(smuggledRequest, 8*maxBytes/len(smuggledRequest)),
	} {
		t.Run(name, func(t *testing.T) {
			conn, smuggled := serve(t)
			go func() { _, _ = io.WriteString(conn, request) }()
			in := bufio.NewReader(conn)
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusNotFound {
				t.Fatalf("%+v, %v", resp, err)
			}
			if n, _ := io.Copy(io.Discard, in); n > 0 || smuggled.Load() > 0 {
				t.Errorf("%d bytes after the response, %d requests from the body", n, smuggled.Load())
			}
		})
	}
}

// Guards against a rest that comes too late to be received and is then taken for the next request.
func TestLateRestOfBodyIsNoRequest(t *testing.T) {
	conn, smuggled := serve(t)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", 1+len(smuggledRequest))
	in := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Fatalf("%+v, %v", resp, err)
	}
	if n, _ := io.Copy(io.Discard, in); n > 0 { // until the process closes the connection
		t.Errorf("%d bytes after the response", n)
	}
	_, _ = io.WriteString(conn, smuggledRequest)
	if smuggled.Load() > 0 {
		t.Error("the rest of the body is a request")
	}
}
