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

// script is a server that reads one request head at a time and answers with raw bytes; "" cuts the connection.
type script struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func newScript(t *testing.T, answers ...string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answers)
		}
	}()
	return s
}

func (s *script) serve(conn net.Conn, answers []string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		answer := answers[min(n, len(answers)-1)]
		if _, err := io.WriteString(conn, answer); err != nil || answer == "" || strings.Contains(answer, "Connection: close") {
			return
		}
	}
}

func (s *script) pool(t *testing.T) *Pool {
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

func request(t *testing.T, ctx context.Context, method string, body io.Reader) *http.Request {
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
	resp, err := p.Do(request(t, context.Background(), "GET", nil))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestReusesOnlyCleanConnections(t *testing.T) {
	for _, c := range []struct {
		name, first string
		conns       int64
	}{
		{"whole answer", whole, 1},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"answer nobody asked for", whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", 2},
		{"connection to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, c.first, whole)
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

func TestBrokenAnswersAreErrorsAndNeverResent(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"cut before the answer", ""},
		{"short body", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 20\r\n\r\nshort"},
		{"broken chunk", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		{"not HTTP", "hello\r\n\r\nConnection: close"},
		{"flood of headers", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Flood: 0123456789\r\n", 1000) + "Connection: close\r\n\r\n"},
		{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nConnection: close"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, whole, c.answer)
			p := s.pool(t)
			if _, err := get(t, p); err != nil {
				t.Fatal(err)
			}
			got, err := get(t, p)
			if err == nil || errors.Is(err, ErrNotWritten) {
				t.Fatalf("got %q, %v; want an error that admits a run", got, err)
			}
			if s.requests.Load() != 2 {
				t.Fatalf("server saw %d requests, want 2", s.requests.Load())
			}
		})
	}
}

func TestNotWrittenIsCertain(t *testing.T) {
	s := newScript(t, whole)
	p := s.pool(t)
	s.listener.Close()
	if _, err := get(t, p); !errors.Is(err, ErrNotWritten) {
		t.Fatalf("refused connection: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	live := newScript(t, whole)
	if _, err := live.pool(t).Do(request(t, ctx, "GET", nil)); !errors.Is(err, ErrNotWritten) {
		t.Fatalf("cancelled before the start: %v", err)
	}
	if live.requests.Load() != 0 {
		t.Fatal("a request was written after it was said not to be")
	}
}

func TestCancelledWhileRunning(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan struct{})
	s := newScript(t)
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
		defer close(gone)
		in := bufio.NewReader(conn)
		_, _ = http.ReadRequest(in)
		close(arrived)
		_, _ = in.ReadByte()
		conn.Close()
	}()
	t.Cleanup(func() { l.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err = s.pool(t).Do(request(t, ctx, "GET", nil))
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotWritten) {
		t.Fatalf("got %v", err)
	}
	<-gone
}

func TestBrokenSourceEndsRequest(t *testing.T) {
	s := newScript(t, whole)
	p := s.pool(t)
	broken := errors.New("caller went away")
	req := request(t, context.Background(), "POST", io.MultiReader(strings.NewReader("part"), errorReader{broken}))
	req.ContentLength = 10
	resp, err := p.Do(req)
	if err != nil && !errors.Is(err, broken) {
		t.Fatalf("got %v", err)
	}
	if err == nil { // The script may answer before the body has broken off.
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if p.Idle() != 0 {
		t.Fatal("a connection with half a request was kept")
	}
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
