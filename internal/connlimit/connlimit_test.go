package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// start serves with the limits and returns the listener.
func start(t *testing.T, config Config) *Listener {
	t.Helper()
	return startHandler(t, config, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
}

// startHandler is start with a handler.
func startHandler(t *testing.T, config Config, handler http.HandlerFunc) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if config.EndRequest == nil {
		config.EndRequest = func() bool { return false }
	}
	l := New(inner, config)
	server := &http.Server{Handler: handler, ConnState: l.ConnState, ConnContext: ConnContext}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// get sends a request on conn and returns its status, or 0 if the connection was closed.
func get(conn net.Conn, header string) int {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// closed reports whether the other side closes conn within a time.
func closed(conn net.Conn, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && (!ok || !timeout.Timeout())
}

// Guards against silent connections that lock out others.
func TestOldestWaitingConnectionIsDisplaced(t *testing.T) {
	l := start(t, Config{MaxConns: 2, HeadMemory: 1 << 20, Limits: func() Limits { return Limits{} }})
	silent, idle := dial(t, l), dial(t, l)
	for get(idle, "") != http.StatusOK {
		t.Fatal("not served")
	}
	if get(dial(t, l), "") != http.StatusOK {
		t.Fatal("a new connection is locked out")
	}
	if !closed(silent, time.Second) || get(idle, "") != http.StatusOK {
		t.Error("the silent connection had to be closed, and the other one kept")
	}
	if conns, _, causes := l.Usage(); conns != 2 || causes.Displaced != 1 {
		t.Errorf("%d connections, %+v", conns, causes)
	}
}

func TestHeadsAreBounded(t *testing.T) {
	fields := func(count int) string {
		var b strings.Builder
		for i := range count {
			fmt.Fprintf(&b, "A%d: x\r\n", i)
		}
		return b.String()
	}
	l := start(t, Config{MaxConns: 10, HeadMemory: 100 << 10, Limits: func() Limits { return Limits{HeadBytes: 4 << 10} }})
	if got := get(dial(t, l), fields(200)); got != http.StatusOK {
		t.Errorf("head inside the limits: status %d", got)
	}
	if got := get(dial(t, l), fields(5000)); got == http.StatusOK {
		t.Error("head beyond the limit is served")
	}
	held := dial(t, l)
	_, _ = io.WriteString(held, "GET / HTTP/1.1\r\n"+fields(300))
	for _, memory, _ := l.Usage(); memory == 0; _, memory, _ = l.Usage() {
		time.Sleep(time.Millisecond)
	}
	if got := get(dial(t, l), fields(300)); got != http.StatusOK {
		t.Errorf("head beside one that does not end: status %d", got)
	}
	if !closed(held, time.Second) {
		t.Error("the head that does not end is kept")
	}
	for _, memory, _ := l.Usage(); memory != 0; _, memory, _ = l.Usage() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a deadline of a head that outlives it.
func TestTimeouts(t *testing.T) {
	const timeout = 100 * time.Millisecond
	l := start(t, Config{MaxConns: 10, HeadMemory: 1 << 20, Limits: func() Limits { return Limits{HeadTimeout: timeout, SilentTimeout: timeout, IdleTimeout: time.Hour} }})
	conn := dial(t, l)
	for range 2 {
		if got := get(conn, ""); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		time.Sleep(2 * timeout)
	}
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	time.Sleep(2 * timeout)
	_, _ = io.WriteString(conn, "y")
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("slow body: %v", err)
	}
	unfinished := dial(t, l)
	_, _ = io.WriteString(unfinished, "GET / HTTP/1.1\r\n")
	if !closed(unfinished, 20*timeout) || !closed(dial(t, l), 20*timeout) {
		t.Error("an unfinished head or a silent connection is kept")
	}
}

// Guards against a crowd of silent connections that displaces the idle ones of ordinary clients.
func TestSilentConnectionGoesBeforeIdleOne(t *testing.T) {
	l := start(t, Config{MaxConns: 2, HeadMemory: 1 << 20, Limits: func() Limits { return Limits{} }})
	idle := dial(t, l)
	if get(idle, "") != http.StatusOK {
		t.Fatal("not served")
	}
	silent := dial(t, l)
	for conns, _, _ := l.Usage(); conns < 2; conns, _, _ = l.Usage() {
		time.Sleep(time.Millisecond)
	}
	l.mu.Lock()
	for c := range l.conns {
		if c.since = c.since.Add(-obstructingAfter); c.used {
			c.since = c.since.Add(-obstructingAfter) // idle for longer than the other one is silent
		}
	}
	l.mu.Unlock()
	if get(dial(t, l), "") != http.StatusOK {
		t.Fatal("a new connection is locked out")
	}
	if !closed(silent, time.Second) || get(idle, "") != http.StatusOK {
		t.Error("the silent connection had to be closed, and the idle one kept")
	}
}

// Guards against requests that have been answered and keep their connections with the rest of a body.
func TestAnsweredConnectionIsDisplaced(t *testing.T) {
	l := startHandler(t, Config{MaxConns: 1, HeadMemory: 1 << 20, Limits: func() Limits { return Limits{} }}, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.Header().Set("Content-Length", "0")
		_ = control.Flush()
		Answered(r.Context())
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	paused := dial(t, l)
	_, _ = io.WriteString(paused, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	if resp, err := http.ReadResponse(bufio.NewReader(paused), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("not answered: %v", err)
	}
	if get(dial(t, l), "") != http.StatusOK {
		t.Fatal("a new connection is locked out")
	}
	if !closed(paused, time.Second) {
		t.Error("the answered connection is kept")
	}
}

// Guards against clients that do not read their responses and keep the connections, and against ending those that are only slow.
func TestClientThatReadsNothingIsDisplaced(t *testing.T) {
	l := startHandler(t, Config{MaxConns: 1, HeadMemory: 1 << 20, Limits: func() Limits { return Limits{} }}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<20))
	})
	client := dial(t, l)
	_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	var c *conn
	now := time.Now()
	stalled := func() bool { // the kernel accepts no more
		if c == nil || !c.client.writing.Load() {
			return false
		}
		c.UnreadFor(now)
		time.Sleep(50 * time.Millisecond)
		return c.UnreadFor(now.Add(1)) == 1
	}
	for !stalled() {
		time.Sleep(time.Millisecond)
		l.mu.Lock()
		for c = range l.conns {
		}
		l.mu.Unlock()
	}
	displaced := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.makeRoom(now)
	}
	if now = now.Add(UnreadPause - 1); displaced() {
		t.Fatal("a client that has paused for a short time is disconnected")
	}
	if _, err := io.CopyN(io.Discard, client, 16<<20); err != nil {
		t.Fatal(err)
	}
	if now = now.Add(time.Hour); displaced() {
		t.Fatal("a client that reads slowly is disconnected")
	}
	for now = now.Add(UnreadPause); !displaced(); now = now.Add(UnreadPause) {
		time.Sleep(10 * time.Millisecond) // what the client has read may still be acknowledged
	}
	if _, _, causes := l.Usage(); causes.Unread != 1 {
		t.Errorf("%+v", causes)
	}
	if _, err := io.Copy(io.Discard, client); err == nil {
		t.Error("a part of the response looks complete")
	}
}
