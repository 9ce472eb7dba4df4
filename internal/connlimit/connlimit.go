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
	"github.com/chervilwell/chervilwell/internal/socket"
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

const (
	// UnreadPause is the time for which a client must have read nothing of a response that waits for it before its connection is closed in
	// favour of others. It covers two lost packets in a row.
	UnreadPause = 2 * time.Second
	// obstructingAfter is the time after which a connection that has never carried a request, or whose request has been answered while the
	// rest of its body is missing, is closed before connections that are idle between requests.
	obstructingAfter = time.Second
	// crowdedShare is the fraction of MaxConns, as a divisor of it, that has to be free for the clients not to be observed.
	crowdedShare = 4
	// observeInterval is the least time between two observations of all clients.
	observeInterval = 100 * time.Millisecond
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
// a request in progress, or else the one whose client has not read its response for longest. It is safe for concurrent use. The server must
// use ConnState and ConnContext.
type Listener struct {
	net.Listener
	config Config

	mu         sync.Mutex
	conns      map[*conn]struct{}
	headMemory int64
	closed     Closed
	// observedAt is when the clients were last observed.
	observedAt time.Time
}

// Closed counts connections that were closed by their cause.
type Closed struct {
	// Displaced were closed for new ones, Refused since all others were in use. LongHead had a head beyond the limit, HeadMemory one
	// for which there was no memory. Unread had a response of which the client read nothing.
	Displaced, Refused, LongHead, HeadMemory, Unread uint64
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
	if len(l.conns) >= l.config.MaxConns-l.config.MaxConns/crowdedShare {
		l.observeClients(c.since)
	}
	if len(l.conns) >= l.config.MaxConns && !l.makeRoom(c.since) {
		l.closed.Refused++
		return nil
	}
	l.conns[c] = struct{}{}
	c.setDeadline(l.config.Limits().SilentTimeout)
	return c
}

// makeRoom closes a connection, or ends a request, in favour of a new connection, and reports whether there was any to close. Connections
// that keep ordinary clients waiting go first, those on which a request or response would be lost last. It must be called with l.mu held.
func (l *Listener) makeRoom(now time.Time) bool {
	obstructs := func(c *conn) bool { return (!c.used || c.answered) && now.Sub(c.since) >= obstructingAfter }
	if l.displace(nil, obstructs) || l.displace(nil, anyHead) || l.displaceUnread(now) {
		return true
	}
	return len(l.conns) < l.config.MaxConns+l.config.MaxConns/overflowShare && l.config.EndRequest()
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

// displaceUnread closes the connection whose client has read nothing for longest of a response that waits for it, if that is at least
// UnreadPause, and reports whether there was one. It must be called with l.mu held.
func (l *Listener) displaceUnread(now time.Time) bool {
	var longest *conn
	most := UnreadPause
	for c := range l.conns {
		if unread := c.UnreadFor(now); unread >= most {
			longest, most = c, unread
		}
	}
	if longest == nil {
		return false
	}
	l.closed.Unread++
	longest.Disconnect()
	l.remove(longest)
	return true
}

// observeClients records what the clients have read, unless it was recorded shortly before. It must be called with l.mu held.
func (l *Listener) observeClients(now time.Time) {
	if now.Sub(l.observedAt) < observeInterval {
		return
	}
	l.observedAt = now
	for c := range l.conns {
		c.UnreadFor(now)
	}
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
		c.used = true
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
	// used is set once the connection has carried a request.
	used bool
	// answered is set while the rest of the body of a request that has been answered is received.
	answered bool
	// displaced is set once the connection was closed in favour of another.
	displaced bool
	// headBytes is the length of the head so far, headCost the memory that it takes, charged the part of it that counts towards
	// Config.HeadMemory.
	headBytes, headCost, charged int64

	client clientState
}

// clientState is what is known of the reading of a client.
type clientState struct {
	// writing is set during a write, and writes counts them.
	writing atomic.Bool
	writes  atomic.Uint64

	mu sync.Mutex
	// observed is what was last observed during a write, since when it was first observed; the latter is zero if there was no write.
	observed struct{ writes, acked uint64 }
	since    time.Time
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

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.client.writes.Add(1)
	c.client.writing.Store(true)
	defer c.client.writing.Store(false)
	return c.Conn.Write(p)
}

// Client is the client of a connection.
type Client interface {
	// UnreadFor returns the time for which the client is known to have read nothing of a response that waits for it. What it did before the
	// first call is not known.
	UnreadFor(now time.Time) time.Duration
	// Disconnect resets the connection.
	Disconnect()
}

// UnreadFor implements Client.
func (c *conn) UnreadFor(now time.Time) time.Duration {
	s := &c.client
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writing.Load() {
		s.since = time.Time{}
		return 0
	}
	observed := s.observed
	observed.writes = s.writes.Load()
	acked, ok := socket.AckedBytes(c.Conn)
	if !ok {
		return 0
	}
	if observed.acked = acked; s.since.IsZero() || observed != s.observed {
		s.observed, s.since = observed, now
	}
	return now.Sub(s.since)
}

// Disconnect implements Client.
func (c *conn) Disconnect() {
	socket.ResetOnClose(c.Conn) // a response that is not read would stay in the memory of the kernel
	c.Conn.Close()
}

type contextKey struct{}

// ConnContext makes the connection known to ClientOf and Answered. It is a value for http.Server.ConnContext.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// ClientOf returns the client of a request with the given context, or nil if it is not known.
func ClientOf(ctx context.Context) Client {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		return c
	}
	return nil
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
