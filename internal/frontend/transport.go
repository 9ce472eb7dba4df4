package frontend

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/pick"
)

// Attempt is one attempt to send a request to a target's instance.
type Attempt struct {
	Target       origin.Instance
	Route        string
	Organisation string
	// Request is the request to send; its context has the deadline. The transport may change its headers.
	Request *http.Request
	// Outcome receives the load and state that the instance reports; its Load stays nil if the instance could not be reached.
	Outcome pick.Answer
}

// Transport sends requests to targets' instances. Exactly one of the results of Do is non-nil.
type Transport interface {
	Do(a *Attempt) (*http.Response, *refusal.Refusal)
}

// Limits of the connections to other instances.
const (
	// dialTimeout bounds TCP and TLS set-up, three round trips over the slowest link; another instance is tried after it.
	dialTimeout            = 400 * time.Millisecond
	idleTimeout            = 90 * time.Second
	maxResponseHeaderBytes = 128 << 10
	// maxConnsPerInstance bounds the connections to one instance, maxIdlePerInstance the idle ones among them.
	maxConnsPerInstance = 64
	maxIdlePerInstance  = 64
	// maxPools is the number of connection pools at which those without idle connections are closed.
	maxPools        = 256
	maxTLSSessions  = 512
	maxMessageBytes = 1 << 20
)

// LocalTransport passes requests for the local instance to its gatekeeper without a network hop, and all others to Remote.
type LocalTransport struct {
	Instance   string
	Gatekeeper *gatekeeper.Gatekeeper
	Remote     Transport
}

// Do implements Transport.
func (t *LocalTransport) Do(a *Attempt) (*http.Response, *refusal.Refusal) {
	if a.Target.Name != t.Instance || t.Gatekeeper == nil {
		return t.Remote.Do(a)
	}
	resp, refused := t.Gatekeeper.Do(&gatekeeper.Call{Route: a.Route, Organisation: a.Organisation, Request: a.Request})
	load := t.Gatekeeper.Load()
	a.Outcome.Load = &pick.Load{InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued}
	a.Outcome.Leaving = t.Gatekeeper.Leaving()
	return resp, refused
}

// HTTPTransport sends requests to other instances over HTTP/1.1 with mutual TLS, one request at a time on a connection. So a
// large body never delays a small one, and a request of which nothing was written is known not to have run.
type HTTPTransport struct {
	store    *certs.Store
	sessions tls.ClientSessionCache
	mu       sync.RWMutex
	pools    map[peer]*httppool.Pool
}

// peer is an instance at an address. Both are part of the key, since an address may be reassigned to another instance.
type peer struct{ name, addr string }

// NewHTTPTransport returns a transport that authenticates with the certificates of the store.
func NewHTTPTransport(store *certs.Store) *HTTPTransport {
	return &HTTPTransport{store: store, sessions: tls.NewLRUClientSessionCache(maxTLSSessions), pools: map[peer]*httppool.Pool{}}
}

// pool returns the connection pool of a peer, creating it if needed.
func (t *HTTPTransport) pool(to peer) *httppool.Pool {
	t.mu.RLock()
	pool := t.pools[to]
	t.mu.RUnlock()
	if pool != nil {
		return pool
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if pool = t.pools[to]; pool == nil {
		t.closeUnusedPools()
		pool = httppool.New(httppool.Config{
			Dial:           func(ctx context.Context) (net.Conn, error) { return t.dial(ctx, to) },
			MaxConns:       maxConnsPerInstance,
			MaxIdle:        maxIdlePerInstance,
			IdleTimeout:    idleTimeout,
			MaxHeaderBytes: maxResponseHeaderBytes,
		})
		t.pools[to] = pool
	}
	return pool
}

// closeUnusedPools closes the pools without idle connections once there are maxPools pools, since instances change over time.
// It must be called with t.mu held.
func (t *HTTPTransport) closeUnusedPools() {
	if len(t.pools) < maxPools {
		return
	}
	for to, pool := range t.pools {
		if pool.Idle() == 0 {
			pool.Close()
			delete(t.pools, to)
		}
	}
}

func (t *HTTPTransport) dial(ctx context.Context, to peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		return nil, err
	}
	config := t.store.PeerClient(to.name, "http/1.1")
	config.ClientSessionCache = t.sessions
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// Do implements Transport.
func (t *HTTPTransport) Do(a *Attempt) (*http.Response, *refusal.Refusal) {
	resp, err := t.pool(peer{a.Target.Name, a.Target.RequestAddr}).Do(a.prepare())
	if err != nil {
		return nil, a.refusalFor(err)
	}
	a.readLoad(resp.Header)
	if refused := refusal.FromResponse(resp); refused != nil {
		return nil, a.localReason(refused)
	}
	return resp, nil
}

// localReason replaces a peer's refusal Cancelled by the local reason for which this process cancelled the request. Such a
// refusal can still arrive, since closing a TLS connection notifies the peer before reading ends locally.
func (a *Attempt) localReason(refused *refusal.Refusal) *refusal.Refusal {
	cause := a.Request.Context().Err()
	if refused.Kind != refusal.Cancelled || cause == nil {
		return refused
	}
	local := a.refusalFor(cause)
	local.RunState = refused.RunState
	return local
}

func (a *Attempt) prepare() *http.Request {
	out := a.Request
	target, _ := httppool.OriginForm(out) // a request without a path has no route
	httppool.SetTarget(out, a.Target.RequestAddr, target)
	out.RequestURI = ""
	out.Header[headers.Route] = []string{a.Route}
	out.Header[headers.Organisation] = []string{a.Organisation}
	delete(out.Header, "Expect")
	stream.SuppressDefaultUserAgent(out.Header)
	return out
}

func (a *Attempt) readLoad(h http.Header) {
	a.Outcome.Leaving = h.Get(headers.Leaving) == "1"
	load, err := headers.ParseLoad(h.Get(headers.GateLoad))
	if err == nil {
		a.Outcome.Load = &pick.Load{InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued}
	}
}

// refusalFor returns the refusal for a request to which the instance sent no response.
func (a *Attempt) refusalFor(err error) *refusal.Refusal {
	ctx := a.Request.Context()
	kind := refusal.Unreachable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		kind = refusal.BodyTooLarge
	case errors.Is(err, linkbudget.ErrShareExhausted):
		kind = refusal.LinkBusy
	case stream.DeadlinePassed(ctx):
		kind = refusal.Timeout
	case ctx.Err() != nil:
		kind = refusal.Cancelled
	}
	refused := refusal.New(kind, "instance %q: %v", a.Target.Name, err)
	if !errors.Is(err, httppool.ErrNotWritten) {
		refused.RunState = headers.Unknown
	}
	return refused
}

// Post implements gatekeeper.Peers. It sends a message to another instance and returns the body of the response, at most
// maxMessageBytes of it.
func (t *HTTPTransport) Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.RequestAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "message request")
	}
	resp, err := t.pool(peer{to.Name, to.RequestAddr}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance %q refused the message with status %d; see its log", to.Name, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return data, errors.Wrap(err, "reading the response to a message")
}
