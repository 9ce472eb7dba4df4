package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// rebindDelay is the interval between attempts to listen on the previous address after a crash.
	rebindDelay = 20 * time.Millisecond
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 5 * time.Second
)

// loopback is the listen address for a free port of the loopback interface.
const loopback = "127.0.0.1:0"

// Start starts the server of the target on address and returns the address in use. An empty address means a free port of
// 127.0.0.1. It returns an error if the target can't listen.
func (t *Target) Start(address string) (string, error) {
	if address == "" {
		address = loopback
	}
	l, err := t.cfg.Listen(address)
	if err != nil {
		return "", errors.Wrapf(err, "target %q can't listen; choose a free address", t.cfg.Name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = l.Addr().String()
	t.serve(l)
	return t.address, nil
}

// serve starts the server of the current incarnation. Must be called with mu held.
func (t *Target) serve(l net.Listener) {
	server := &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout}
	t.server = server
	t.connections = 0
	limited := &limitedListener{Listener: l, target: t, incarnation: t.incarnation}
	go func() { _ = server.Serve(limited) }() // returns when the incarnation ends
}

// Address returns the listen address of the target, or "" before Start.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Crash ends the current incarnation immediately: all connections are closed without a response. After DownTime the target
// restarts cold.
func (t *Target) Crash() {
	t.mu.Lock()
	server := t.terminate()
	if server != nil || !t.closed {
		time.AfterFunc(t.cfg.DownTime, t.restart)
	}
	t.mu.Unlock()
	if server != nil {
		_ = server.Close() // closes connections without waiting for running requests, as a crash does
	}
}

// terminate ends the current incarnation and returns its server, or nil if the target is down or not started.
// Must be called with mu held.
func (t *Target) terminate() *http.Server {
	if t.down {
		return nil
	}
	server := t.server
	t.server = nil
	t.down = true
	t.counts.Crashes++
	t.incarnation++
	t.inFlight = 0
	close(t.terminated)
	t.terminated = make(chan struct{})
	t.recordSample(time.Now())
	return server
}

// restart starts a new, cold incarnation. It retries every rebindDelay while the address can't be bound.
func (t *Target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !t.down {
		return
	}
	if t.address != "" {
		l, err := t.cfg.Listen(t.address)
		if err != nil {
			time.AfterFunc(rebindDelay, t.restart)
			return
		}
		t.serve(l)
	}
	t.down = false
	t.coldSince = time.Now()
	t.detectable = true
	t.collapsedUntil = time.Time{}
	t.recordSample(t.coldSince)
}

// Close stops the target permanently.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	server := t.server
	t.server = nil
	t.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// limitedListener closes accepted connections above the connection limit of the target immediately.
type limitedListener struct {
	net.Listener
	target      *Target
	incarnation int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.openConnection(l.incarnation) {
			return &countedConn{Conn: conn, done: func() { l.target.closeConnection(l.incarnation) }}, nil
		}
		_ = conn.Close()
	}
}

// openConnection counts a connection and returns true, or returns false if the limit is reached or the incarnation has ended.
func (t *Target) openConnection(incarnation int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.cfg.Limits.Connections
	if incarnation != t.incarnation || (limit > 0 && t.connections >= limit) {
		t.counts.ConnectionsRefused++
		return false
	}
	t.connections++
	return true
}

func (t *Target) closeConnection(incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation == t.incarnation {
		t.connections--
	}
}

// countedConn calls done on the first Close.
type countedConn struct {
	net.Conn
	once sync.Once
	done func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.done)
	return c.Conn.Close()
}
