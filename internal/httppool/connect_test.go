package httppool

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a request that is sent although its caller has left while it waited for a connection.
func TestRequestIsNotSentAfterConnectEnds(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1); r.URL.Path == "/slow" {
			time.Sleep(100 * time.Millisecond)
		}
	}))
	defer server.Close()
	connect, leave := context.WithCancel(t.Context())
	p := New(Config{
		Dial: func(context.Context) (net.Conn, error) {
			leave() // while the connection is being opened
			return net.Dial("tcp", server.Listener.Addr().String())
		},
		MaxConns: 1, MaxIdle: 1, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
	})
	defer p.Close()
	request := func() *http.Request { return newRequest(t, t.Context(), http.MethodGet, nil) }
	if _, err := p.DoConnected(connect, request()); !errors.Is(err, ErrNotWritten) || !errors.Is(err, context.Canceled) {
		t.Errorf("left while connecting: got %v", err)
	}
	if n := arrived.Load(); n != 0 {
		t.Errorf("%d requests were sent", n)
	}

	running, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	slow := request()
	slow.URL.Path = "/slow"
	resp, err := p.DoConnected(running, slow)
	if err != nil {
		t.Fatalf("left after the request was sent: %v", err)
	}
	resp.Body.Close()
}

func TestRequestThatIsNotIdentifiableUsesNewConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	dials := 0
	p := New(Config{
		Dial: func(context.Context) (net.Conn, error) {
			dials++
			return net.Dial("tcp", server.Listener.Addr().String())
		},
		MaxConns: 1, MaxIdle: 4, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		Identifiable: func(req *http.Request) bool { return req.Header.Get("X-Id") != "" },
	})
	defer p.Close()
	for i, test := range []struct {
		id    string
		dials int
	}{{"1", 1}, {"2", 1}, {"", 2}, {"3", 2}, {"", 3}} {
		req := newRequest(t, t.Context(), http.MethodGet, nil)
		req.Header.Set("X-Id", test.id)
		resp, err := p.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if dials != test.dials {
			t.Errorf("request %d: %d connections were opened, want %d", i, dials, test.dials)
		}
	}
}
