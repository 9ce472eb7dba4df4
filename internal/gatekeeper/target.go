package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the connections to the target.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 20 * time.Second
	targetHeaderMax = 64 << 10
)

// errSealed says that a connection was given up before the write.
var errSealed = errors.New("connection to the target was given up; its request ended")

// guardConn counts the writes of a connection to the target and can forbid further ones, so that "no byte of the request
// was written" can be said for certain.
type guardConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *guardConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *guardConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the number of those before.
func (c *guardConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// tracker follows one request over the connections that the transport gives it.
type tracker struct {
	mu      sync.Mutex
	conn    *guardConn
	before  uint64
	written bool
	once    bool
	trace   httptrace.ClientTrace
}

// track returns a context whose request is followed. With once, the request is kept from a second connection after a byte
// was written to the first: the transport resends some requests by itself.
func track(ctx context.Context, once bool) (context.Context, *tracker) {
	t := &tracker{once: once}
	t.trace.GotConn = t.gotConn
	return httptrace.WithClientTrace(ctx, &t.trace), t
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*guardConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	if t.written && t.once {
		conn.seal()
	}
	t.conn = conn
	t.before = conn.count()
}

// settle closes the account of the current connection. The caller holds the lock.
func (t *tracker) settle() {
	if t.conn != nil && t.conn.seal() != t.before {
		t.written = true
	}
	t.conn = nil
}

// giveUp ends a failed request and reports whether a byte of it may have been written. None is written afterwards.
func (t *tracker) giveUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	return t.written
}

// newTransport returns a transport to the target that opens at most the given number of connections.
func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &guardConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: targetHeaderMax,
	}
}
