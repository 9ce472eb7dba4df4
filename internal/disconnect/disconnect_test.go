package disconnect

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// startServer returns the address of a server whose requests are watched.
func startServer(t *testing.T, h http.HandlerFunc) (*Monitor, string) {
	t.Helper()
	m := NewMonitor(func(err error) { t.Error(err) })
	server := httptest.NewUnstartedServer(m.Handler(h))
	server.Config.ConnContext = ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return m, server.Listener.Addr().String()
}

func dialAndSend(t *testing.T, addr, text string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func TestClientThatLeavesEndsContext(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
	for name, test := range map[string]struct {
		request string
		leave   func(*net.TCPConn)
	}{
		"close without a body":           {head + "0\r\n\r\n", func(c *net.TCPConn) { c.Close() }},
		"close with unread body":         {head + "3\r\n\r\nabc", func(c *net.TCPConn) { c.Close() }},
		"close within the body":          {head + "30\r\n\r\nabc", func(c *net.TCPConn) { c.Close() }},
		"close after next request":       {head + "0\r\n\r\n" + head, func(c *net.TCPConn) { c.Close() }},
		"close of the sending direction": {head + "3\r\n\r\nabc", func(c *net.TCPConn) { _ = c.CloseWrite() }},
		"reset":                          {head + "3\r\n\r\nabc", func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, ended := make(chan struct{}), make(chan struct{})
			_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				close(arrived)
				<-r.Context().Done()
				close(ended)
			})
			conn := dialAndSend(t, addr, test.request)
			<-arrived
			test.leave(conn)
			select {
			case <-ended:
			case <-time.After(3 * pollInterval):
				t.Error("the context has not ended")
				conn.Close()
				<-ended
			}
		})
	}
}

func TestClientThatStaysIsServed(t *testing.T) {
	const requests = 3
	m, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * pollInterval):
		}
		if err := r.Context().Err(); err != nil {
			t.Error(err)
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	conn := dialAndSend(t, addr, "")
	in := bufio.NewReader(conn)
	for range requests {
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "abc" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.active) > 0 {
		t.Errorf("%d requests are still watched", len(m.active))
	}
}

func TestManyConnectionsArePolled(t *testing.T) {
	const clients = pollBatch + 10
	arrived, ended := make(chan struct{}, clients), make(chan struct{}, clients)
	_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	var conns []*net.TCPConn
	for range clients {
		conns = append(conns, dialAndSend(t, addr, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	}
	for range clients {
		<-arrived
	}
	for _, conn := range conns {
		conn.Close()
	}
	for n := range clients {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d contexts have ended", n, clients)
		}
	}
}
