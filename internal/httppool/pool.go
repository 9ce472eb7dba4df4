// Package httppool maintains HTTP/1.1 connections to one server and runs requests on them in the caller's goroutine. Unlike
// http.Transport, it never retries a request, and it reports reliably whether any byte of a failed request may have been sent.
//
// Invariants: a connection carries one request at a time. It is reused only after the whole request was written and the whole
// response was read, with no further bytes received. Hence a response is never returned for another request.
package httppool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Config configures a Pool.
type Config struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)
	// MaxConns limits the connections in use; further requests wait for one.
	MaxConns int
	// Exhausted, if not nil, is called when a request has to wait for a connection; stop is called when the wait is over.
	Exhausted func() (stop func())
	// MaxIdle limits the idle connections kept open for reuse.
	MaxIdle int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the header of a response, in bytes.
	MaxHeaderBytes int64
	// MatchesRequest reports whether a response belongs to the request; nil accepts all. Other responses are read and discarded: a
	// server may have sent a second response to an earlier request.
	MatchesRequest func(*http.Request, *http.Response) bool
	// Identifiable reports whether MatchesRequest can tell the response to a request from those to others; nil means always. Other
	// requests run on a new connection, on which no earlier request can have a response.
	Identifiable func(*http.Request) bool
}

// Errors returned by Pool.Do.
var (
	// ErrNotWritten means that no byte of the request was written and that none will be. The request can be retried safely at
	// another server.
	ErrNotWritten = errors.New("no byte of the request was written; another target may be tried")
	// ErrUpgrade is returned if the server switches protocols, which no request asks for.
	ErrUpgrade = errors.New("server switched protocols unasked; check the server")
)

// Pool runs requests on connections to one server. It is safe for concurrent use.
type Pool struct {
	config Config
	// inUse limits the connections in use to Config.MaxConns.
	inUse *semaphore.Weighted

	mu sync.Mutex
	// idle is ordered by the time of last use, oldest first.
	idle   []*conn
	closed bool
	// idleTimer runs closeExpired; it is nil if no connection is idle.
	idleTimer *time.Timer
}

// New returns a pool without connections. They are opened on demand.
func New(config Config) *Pool {
	return &Pool{config: config, inUse: semaphore.NewWeighted(int64(config.MaxConns))}
}

// Do runs a request and returns once the header of the response has been read. The caller must close the response body.
// If the context of the request ends, the request is aborted, even while the body is being read. If no byte of the request was
// written, errors.Is(err, ErrNotWritten) holds; after any other error the request may have run.
func (p *Pool) Do(req *http.Request) (*http.Response, error) {
	return p.DoConnected(req.Context(), req)
}

// DoConnected is like Do, but waits for a connection only until connect ends. From then on, only the context of the request can
// abort it.
func (p *Pool) DoConnected(connect context.Context, req *http.Request) (*http.Response, error) {
	c, err := p.acquire(connect, p.config.Identifiable == nil || p.config.Identifiable(req))
	if err != nil {
		closeBody(req)
		return nil, &notWrittenError{cause: err}
	}
	if err := connect.Err(); err != nil {
		closeBody(req)
		p.release(c, true)
		return nil, &notWrittenError{cause: err}
	}
	return c.do(req)
}

// notWrittenError is a failure before the first byte of a request was written. It matches ErrNotWritten.
type notWrittenError struct{ cause error }

// Error implements error.
func (e *notWrittenError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *notWrittenError) Unwrap() error { return e.cause }

// Is reports whether target is ErrNotWritten.
func (e *notWrittenError) Is(target error) bool { return target == ErrNotWritten }

func closeBody(req *http.Request) {
	if req.Body != nil {
		req.Body.Close()
	}
}

// acquire returns an idle connection that is still open, if reuse is set, or a new one. It waits while MaxConns connections are in
// use.
func (p *Pool) acquire(ctx context.Context, reuse bool) (*conn, error) {
	if !p.inUse.TryAcquire(1) {
		if p.config.Exhausted != nil {
			defer p.config.Exhausted()()
		}
		if err := p.inUse.Acquire(ctx, 1); err != nil {
			return nil, err
		}
	}
	for reuse {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.net.Close()
	}
	return p.dial(ctx)
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	nc, err := p.config.Dial(ctx)
	if err != nil {
		p.inUse.Release(1)
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(p, nc), nil
}

// release ends the use of a connection by a request. It keeps the connection for reuse or closes it.
func (p *Pool) release(c *conn, reusable bool) {
	if !reusable || !p.pushIdle(c) {
		c.net.Close()
	}
	p.inUse.Release(1)
}

// pushIdle adds an idle connection. It returns false if the pool is closed or has MaxIdle idle connections.
func (p *Pool) pushIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.config.MaxIdle {
		return false
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(p.config.IdleTimeout, p.closeExpired)
	}
	return true
}

// closeExpired closes the connections idle for IdleTimeout or longer and reschedules itself for the next one to expire.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimer = nil
	now := time.Now()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].lastUsed) >= p.config.IdleTimeout {
		p.idle[n].net.Close()
		n++
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
	if len(p.idle) > 0 {
		p.idleTimer = time.AfterFunc(p.idle[0].lastUsed.Add(p.config.IdleTimeout).Sub(now), p.closeExpired)
	}
}

// CloseStale closes the idle connections that can no longer be used, for example since the server has closed them. It returns
// their number and the number of idle connections left.
func (p *Pool) CloseStale() (dead, alive int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if c.usable() {
			remaining = append(remaining, c)
			continue
		}
		c.net.Close()
		dead++
	}
	p.idle = remaining
	return dead, len(remaining)
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Close closes the idle connections. Connections in use are closed at the end of their requests.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.net.Close()
	}
	p.idle = nil
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
}
