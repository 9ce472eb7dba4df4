package httppool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// scriptedServer reads request headers and answers the n-th request with the n-th of its raw responses; the last one repeats.
// An empty response closes the connection.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func newScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, responses)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, responses []string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		response := responses[min(n, len(responses)-1)]
		if _, err := io.WriteString(conn, response); err != nil || response == "" || strings.Contains(response, "Connection: close") {
			return
		}
	}
}

func (s *scriptedServer) pool(t *testing.T) *Pool {
	t.Helper()
	p := New(Config{
		Dial: func(ctx context.Context) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", s.listener.Addr().String())
		},
		MaxConns: 4, MaxIdle: 4, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
	})
	t.Cleanup(p.Close)
	return p
}

func newRequest(t *testing.T, ctx context.Context, method string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://target/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	return req
}

func get(t *testing.T, p *Pool) (string, error) {
	t.Helper()
	resp, err := p.Do(newRequest(t, context.Background(), "GET", nil))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name, first string
		conns       int64
	}{
		{"complete response", completeResponse, 1},
		{"informational response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"unsolicited response", completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", 2},
		{"connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, c.first, completeResponse)
			p := s.pool(t)
			for range 2 {
				if got, err := get(t, p); err != nil || got != "ok" {
					t.Fatalf("got %q, %v", got, err)
				}
			}
			if s.conns.Load() != c.conns {
				t.Fatalf("%d connections, want %d", s.conns.Load(), c.conns)
			}
		})
	}
}

func TestInvalidResponseIsErrorWithoutRetry(t *testing.T) {
	for _, c := range []struct{ name, response string }{
		{"closed before the response", ""},
		{"short body", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 20\r\n\r\nshort"},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		{"not HTTP", "hello\r\n\r\nConnection: close"},
		{"header too long", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Flood: 0123456789\r\n", 1000) + "Connection: close\r\n\r\n"},
		{"switched protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nConnection: close"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, completeResponse, c.response)
			p := s.pool(t)
			if _, err := get(t, p); err != nil {
				t.Fatal(err)
			}
			got, err := get(t, p)
			if err == nil || errors.Is(err, ErrNotWritten) {
				t.Fatalf("got %q, %v; want an error other than ErrNotWritten", got, err)
			}
			if s.requests.Load() != 2 {
				t.Fatalf("server saw %d requests, want 2", s.requests.Load())
			}
		})
	}
}

func TestErrNotWritten(t *testing.T) {
	s := newScriptedServer(t, completeResponse)
	p := s.pool(t)
	s.listener.Close()
	if _, err := get(t, p); !errors.Is(err, ErrNotWritten) {
		t.Fatalf("refused connection: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	server := newScriptedServer(t, completeResponse)
	if _, err := server.pool(t).Do(newRequest(t, ctx, "GET", nil)); !errors.Is(err, ErrNotWritten) {
		t.Fatalf("cancelled before the start: %v", err)
	}
	if server.requests.Load() != 0 {
		t.Fatal("a request was written despite ErrNotWritten")
	}
}

func TestCancelWhileRunning(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	s := newScriptedServer(t)
	s.listener.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = l
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		in := bufio.NewReader(conn)
		_, _ = http.ReadRequest(in)
		close(received)
		_, _ = in.ReadByte()
		conn.Close()
	}()
	t.Cleanup(func() { l.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err = s.pool(t).Do(newRequest(t, ctx, "GET", nil))
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotWritten) {
		t.Fatalf("got %v", err)
	}
	<-closed
}

func TestRequestBodyErrorEndsRequest(t *testing.T) {
	s := newScriptedServer(t, completeResponse)
	p := s.pool(t)
	errBody := errors.New("caller disconnected")
	req := newRequest(t, context.Background(), "POST", io.MultiReader(strings.NewReader("part"), errorReader{errBody}))
	req.ContentLength = 10
	resp, err := p.Do(req)
	if err != nil && !errors.Is(err, errBody) {
		t.Fatalf("got %v", err)
	}
	if err == nil { // The server may respond before the body has failed.
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if p.Idle() != 0 {
		t.Fatal("a connection with an incomplete request was kept")
	}
}

// errorReader fails every read with err.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
