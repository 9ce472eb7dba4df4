// Package connlimit bounds what the connections of an HTTP/1 server take, however its clients behave: their number, the length of a
// request's head, the time for it, and the memory for all heads together.
package connlimit

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
)

// Errors of reads from a connection, which the server then closes.
var (
	// ErrHeadTooLong is returned if a request's head is longer than the limit.
	ErrHeadTooLong = errors.New("head of the request is longer than the limit; send less")
	// ErrHeadMemory is returned if there is no memory for a request's head.
	ErrHeadMemory = errors.New("no memory for the head of the request; retry later")
)

// Costs of heads.
const (
	// ReadAheadBytes is the number of bytes beyond a head that the server may read with it.
	ReadAheadBytes = 8 << 10
	// fieldBytes is the memory in bytes that a field of a head takes beside its text.
	fieldBytes = 256
	// freeHeadBytes is the memory in bytes for a head that every connection may take.
	freeHeadBytes = 8 << 10
	// ConnBytes is the memory in bytes that a connection may take beside bodies and the heads above freeHeadBytes.
	ConnBytes = 24<<10 + freeHeadBytes
	// overflowShare is the fraction of MaxConns by which the connections may exceed it while requests are ended in favour of new ones.
	overflowShare = 8
)

// Limits are the limits that may change while connections are open. A value of 0 means no limit.
type Limits struct {
	// HeadBytes is the longest head of a request, in bytes.
	HeadBytes int64
	// HeadTimeout is the time between the first byte of a head and its last one.
	HeadTimeout time.Duration
	// SilentTimeout is the time for which a new connection may be silent.
	SilentTimeout time.Duration
	// IdleTimeout is the time for which a connection may be idle between requests.
	IdleTimeout time.Duration
}

// Config configures a Listener.
type Config struct {
	// MaxConns is the largest number of connections.
	MaxConns int
	// HeadMemory is the memory in bytes for the heads of all requests, above what every connection may take.
	HeadMemory int64
	// Limits returns the limits in force.
	Limits func() Limits
	// EndRequest ends a request whose client has paused, and reports whether there was one. It must not call the Listener.
	EndRequest func() bool
}

// Listener accepts connections within the limits. At the largest number of connections it closes the one that has waited longest without
// a request in progress. It is safe for concurrent use. The server must use ConnState and ConnContext.
type Listener struct {
	net.Listener
	config Config

	mu         sync.Mutex
	conns      map[*conn]struct{}
	headMemory int64
	closed     Closed
}

// Closed counts connections that were closed by their cause.
type Closed struct {
	// Displaced were closed for new ones, Refused since all others were in use. LongHead had a head beyond the limit, HeadMemory one
	// for which there was no memory.
	Displaced, Refused, LongHead, HeadMemory uint64
}

// New returns a listener that accepts the connections of inner.
func New(inner net.Listener, config Config) *Listener {
	return &Listener{Listener: inner, config: config, conns: map[*conn]struct{}{}}
}

// Usage returns the number of open connections, the memory for heads in use in bytes, and what was closed so far.
func (l *Listener) Usage() (conns int, headMemory int64, closed Closed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.headMemory, l.closed
}

// MaxConns returns the largest number of connections.
func (l *Listener) MaxConns() int { return l.config.MaxConns }

// HeadMemory returns the memory in bytes for the heads of all requests.
func (l *Listener) HeadMemory() int64 { return l.config.HeadMemory }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// add returns the connection for nc, or nil if there is no room for it.
func (l *Listener) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, listener: l, since: clock.Now()}
	c.waiting.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.config.MaxConns && !l.displace(nil, anyHead) {
		if len(l.conns) >= l.config.MaxConns+l.config.MaxConns/overflowShare || !l.config.EndRequest() {
			l.closed.Refused++
			return nil
		}
	}
	l.conns[c] = struct{}{}
	c.setDeadline(l.config.Limits().SilentTimeout)
	return c
}

func anyHead(*conn) bool       { return true }
func chargedHead(c *conn) bool { return c.charged > 0 }

// displace closes the connection of a kind that has waited longest without a request in progress, other than except, and reports whether
// there was one. It must be called with l.mu held.
func (l *Listener) displace(except *conn, kind func(*conn) bool) bool {
	var oldest *conn
	for c := range l.conns {
		if (c.waiting.Load() || c.answered) && c != except && kind(c) && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	l.closed.Displaced++
	oldest.displaced = true
	oldest.Conn.Close()
	l.remove(oldest)
	return true
}

// remove forgets a connection. It must be called with l.mu held.
func (l *Listener) remove(c *conn) {
	delete(l.conns, c)
	l.headMemory -= c.charged
	c.charged = 0
}

// ConnState records the state of a connection. It is a value for http.Server.ConnState. It panics with http.ErrAbortHandler for a
// connection that was closed before its request was complete, so that the request does not run.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		if c.displaced {
			panic(http.ErrAbortHandler)
		}
		c.waiting.Store(false)
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	case http.StateIdle:
		l.headMemory -= c.charged
		c.since, c.headBytes, c.headCost, c.charged = clock.Now(), 0, 0, 0
		c.answered = false
		c.waiting.Store(true)
		c.setDeadline(l.config.Limits().IdleTimeout)
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	case http.StateNew:
	}
}

// conn is a connection.
type conn struct {
	net.Conn
	listener *Listener
	// waiting is set while no request is in progress. It is changed with listener.mu held.
	waiting atomic.Bool

	// The fields below are guarded by listener.mu. since is when waiting or answered was set.
	since time.Time
	// answered is set while the rest of the body of a request that has been answered is received.
	answered bool
	// displaced is set once the connection was closed in favour of another.
	displaced bool
	// headBytes is the length of the head so far, headCost the memory that it takes, charged the part of it that counts towards
	// Config.HeadMemory.
	headBytes, headCost, charged int64
}

// NetConn returns the connection of the system.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader. It returns an error if a request's head exceeds a limit.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.waiting.Load() {
		return n, err
	}
	if limitErr := c.count(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// count counts bytes that may belong to a head.
func (c *conn) count(data []byte) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.config.Limits()
	if c.headBytes == 0 {
		c.setDeadline(limits.HeadTimeout)
	}
	c.headBytes += int64(len(data))
	if limits.HeadBytes > 0 && c.headBytes > limits.HeadBytes+ReadAheadBytes {
		l.closed.LongHead++
		return ErrHeadTooLong
	}
	c.headCost += int64(len(data)) + fieldBytes*int64(bytes.Count(data, []byte{'\n'}))
	more := max(c.headCost-freeHeadBytes, 0) - c.charged
	for l.headMemory+more > l.config.HeadMemory && more > 0 {
		if !l.displace(c, chargedHead) {
			l.config.EndRequest()
			l.closed.HeadMemory++
			return ErrHeadMemory
		}
	}
	c.charged += more
	l.headMemory += more
	return nil
}

// setDeadline sets the deadline of reads. It must be called with listener.mu held.
func (c *conn) setDeadline(timeout time.Duration) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn. Without a request in progress, the limits decide.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.waiting.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

type contextKey struct{}

// ConnContext makes the connection known to Answered. It is a value for http.Server.ConnContext.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// Answered records that the request with the given context has been answered while a part of its body is missing. Its connection may be
// closed in favour of others from then on.
func Answered(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.answered, c.since = true, clock.Now()
}
