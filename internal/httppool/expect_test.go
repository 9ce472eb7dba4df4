package httppool

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingConn counts the bytes that are written to it.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// newCountingPool returns a pool for a server with the given handler, and the number of bytes sent to it.
func newCountingPool(t *testing.T, h http.HandlerFunc) (*Pool, *atomic.Int64) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	sent := new(atomic.Int64)
	p := New(Config{
		Dial: func(ctx context.Context) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", server.Listener.Addr().String())
			return countingConn{conn, sent}, err
		},
		MaxConns: 4, MaxIdle: 4, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
	})
	t.Cleanup(p.Close)
	return p, sent
}

const bodyBytes = 200_000

func newContinueRequest(t *testing.T) *http.Request {
	t.Helper()
	req := newRequest(t, context.Background(), "POST", strings.NewReader(strings.Repeat("x", bodyBytes)))
	req.Header.Set("Expect", ExpectContinue)
	return req
}

func TestBodyIsSentAfterContinue(t *testing.T) {
	var sentBefore atomic.Int64
	var sent *atomic.Int64
	var p *Pool
	p, sent = newCountingPool(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		sentBefore.Store(sent.Load())
		data, err := io.ReadAll(r.Body)
		if err != nil || len(data) != bodyBytes {
			t.Errorf("the server read %d bytes: %v", len(data), err)
		}
		_, _ = io.WriteString(w, "ok")
	})
	for range 3 {
		sent.Store(0)
		resp, err := p.Do(newContinueRequest(t))
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		if err != nil || string(data) != "ok" {
			t.Fatalf("%q %v", data, err)
		}
		if n := sentBefore.Load(); n > 2000 {
			t.Errorf("%d bytes were sent before the server asked", n)
		}
	}
	if p.Idle() != 1 {
		t.Errorf("%d idle connections, want the one that carried all requests", p.Idle())
	}
}

func TestBodyIsNotSentWithoutContinue(t *testing.T) {
	p, sent := newCountingPool(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for range 3 {
		resp, err := p.Do(newContinueRequest(t))
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("status %d", resp.StatusCode)
		}
		resp.Body.Close()
	}
	if n := sent.Load(); n > 3*2000 {
		t.Errorf("%d bytes were sent", n)
	}
	if p.Idle() != 0 {
		t.Errorf("a connection with an unsent body was kept")
	}
}

func TestContextEndsWaitForContinue(t *testing.T) {
	answer := make(chan struct{})
	p, _ := newCountingPool(t, func(http.ResponseWriter, *http.Request) { <-answer })
	defer close(answer)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.Do(newContinueRequest(t).WithContext(ctx)); err == nil {
		t.Fatal("a request without an answer succeeded")
	}
}
