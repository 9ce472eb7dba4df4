package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Times of a target's server.
const (
	// rebindDelay is the time between two tries to listen again on the address of an earlier life.
	rebindDelay = 20 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
)

// loopback is the address of a free port.
const loopback = "127.0.0.1:0"

// Start makes the target listen on address and returns the address in use. An empty one stands for a free port of 127.0.0.1.
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

// serve runs one life's server. The caller holds the lock.
func (t *Target) serve(l net.Listener) {
	server := &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout}
	t.server = server
	t.connections = 0
	limited := &limitedListener{Listener: l, target: t, life: t.life}
	go func() { _ = server.Serve(limited) }() // ends with the life
}

// Address returns the address of the target.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Crash ends the target's life at once: its connections close without an answer. After DownTime it starts again, cold.
func (t *Target) Crash() {
	t.mu.Lock()
	server := t.endLife()
	if server != nil || !t.closed {
		time.AfterFunc(t.cfg.DownTime, t.restart)
	}
	t.mu.Unlock()
	if server != nil {
		_ = server.Close() // abrupt on purpose
	}
}

// endLife ends the present life and returns its server. The caller holds the lock.
func (t *Target) endLife() *http.Server {
	if t.down {
		return nil
	}
	server := t.server
	t.server = nil
	t.down = true
	t.counts.Crashes++
	t.life++
	t.inFlight = 0
	close(t.lifeOver)
	t.lifeOver = make(chan struct{})
	t.observe(time.Now())
	return server
}

// restart begins a new, cold life. While the address is taken it tries again.
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
	t.signalled = true
	t.collapsedUntil = time.Time{}
	t.observe(t.coldSince)
}

// Close stops the target for good.
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

// limitedListener closes connections above the target's limit as soon as they come.
type limitedListener struct {
	net.Listener
	target *Target
	life   int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.openConnection(l.life) {
			return &countedConn{Conn: conn, done: func() { l.target.closeConnection(l.life) }}, nil
		}
		_ = conn.Close()
	}
}

func (t *Target) openConnection(life int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.cfg.Limits.Connections
	if life != t.life || (limit > 0 && t.connections >= limit) {
		t.counts.ConnectionsRefused++
		return false
	}
	t.connections++
	return true
}

func (t *Target) closeConnection(life int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life == t.life {
		t.connections--
	}
}

// countedConn calls done once, when it is closed.
type countedConn struct {
	net.Conn
	once sync.Once
	done func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.done)
	return c.Conn.Close()
}
