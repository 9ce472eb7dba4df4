// Package httppool keeps HTTP/1.1 connections to one server and runs requests on them in the caller's goroutine. Unlike a
// general transport it never resends a request, and it says for certain whether a byte of a failed one may have left.
//
// Invariants: a connection carries one request at a time. It is used again only after the whole request was written and the
// whole answer was read, with nothing further received; so no answer can reach another's caller.
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

// Config sets up a Pool.
type Config struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)
	// MaxConns bounds the open connections; a request waits for one.
	MaxConns int
	// MaxIdle bounds the connections kept open for further requests.
	MaxIdle int
	// IdleTimeout is the longest time that a connection waits for its next request.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int64
	// Belongs reports whether an answer is the request's own; nil means always. Others are read and dropped: a server may
	// have sent a second answer to an earlier request.
	Belongs func(*http.Request, *http.Response) bool
}

// Typed errors of Pool.Do.
var (
	// ErrNotWritten says that no byte of the request was written, and that none will be. Another server may be tried.
	ErrNotWritten = errors.New("no byte of the request was written; another target may be tried")
	// ErrUpgrade says that the server switched protocols, which no request asks for.
	ErrUpgrade = errors.New("server switched protocols unasked; check the server")
)

// Pool runs requests on connections to one server. It is safe for concurrent use.
type Pool struct {
	config Config
	open   *semaphore.Weighted
	mu     sync.Mutex
	// idle is ordered by the time of last use, oldest first.
	idle   []*conn
	closed bool
	sweep  *time.Timer
}

// New returns a pool without connections.
func New(config Config) *Pool {
	return &Pool{config: config, open: semaphore.NewWeighted(int64(config.MaxConns))}
}

// Do runs a request and returns the head of its answer; the body streams and must be closed. The request ends with its
// context, also while the body is read. An error that wraps ErrNotWritten says that no byte was written; after any other
// error the request may have run.
func (p *Pool) Do(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	c, err := p.take(ctx)
	if err != nil {
		closeBody(req)
		return nil, &notWrittenError{cause: err}
	}
	return c.do(req)
}

// notWrittenError is a failure before the first byte.
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

// take returns a live connection for one request.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	if err := p.open.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if c.alive() {
			return c, nil
		}
		c.net.Close()
	}
}

// pop removes the idle connection used last, or returns nil.
func (p *Pool) pop() *conn {
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
		p.open.Release(1)
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(p, nc), nil
}

// put keeps a connection for the next request, or closes it. Either way its request has ended.
func (p *Pool) put(c *conn, reusable bool) {
	if !reusable || !p.keep(c) {
		c.net.Close()
	}
	p.open.Release(1)
}

func (p *Pool) keep(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.config.MaxIdle {
		return false
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.config.IdleTimeout, p.expire)
	}
	return true
}

// expire closes the connections that have waited too long and comes back when the next one will have.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	now := time.Now()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].lastUsed) >= p.config.IdleTimeout {
		p.idle[n].net.Close()
		n++
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
	if len(p.idle) > 0 {
		p.sweep = time.AfterFunc(p.idle[0].lastUsed.Add(p.config.IdleTimeout).Sub(now), p.expire)
	}
}

// Check closes the idle connections that the server has closed and returns their number and that of the others.
func (p *Pool) Check() (dead, alive int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.alive() {
			kept = append(kept, c)
			continue
		}
		c.net.Close()
		dead++
	}
	p.idle = kept
	return dead, len(kept)
}

// Idle returns the number of connections that wait for a request.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Close closes the idle connections and each other one at the end of its request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.net.Close()
	}
	p.idle = nil
	if p.sweep != nil {
		p.sweep.Stop()
	}
}
