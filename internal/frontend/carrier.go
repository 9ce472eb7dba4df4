package frontend

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
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

// Shipment is one attempt to send a request to a target's instance.
type Shipment struct {
	Target       origin.Instance
	Route        string
	Organisation string
	// Request is the request to send; its context has the deadline. The carrier may change its headers.
	Request *http.Request
	// Answer receives the load and state that the instance reports; its Load stays nil if the instance could not be reached.
	Answer pick.Answer
}

// Carrier sends requests to targets' instances. Exactly one of the results of Do is non-nil.
type Carrier interface {
	Do(s *Shipment) (*http.Response, *refusal.Refusal)
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

// LocalCarrier passes requests for the local instance to its gatekeeper without a network hop, and all others to Remote.
type LocalCarrier struct {
	Instance   string
	Gatekeeper *gatekeeper.Gatekeeper
	Remote     Carrier
}

// Do implements Carrier.
func (c *LocalCarrier) Do(s *Shipment) (*http.Response, *refusal.Refusal) {
	if s.Target.Name != c.Instance || c.Gatekeeper == nil {
		return c.Remote.Do(s)
	}
	resp, refused := c.Gatekeeper.Do(&gatekeeper.Call{Route: s.Route, Organisation: s.Organisation, Request: s.Request})
	load := c.Gatekeeper.Load()
	s.Answer.Load = &pick.Load{InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued}
	s.Answer.Leaving = c.Gatekeeper.Leaving()
	return resp, refused
}

// HTTPCarrier sends requests to other instances over HTTP/1.1 with mutual TLS, one request at a time on a connection. So a
// large body never delays a small one, and a request of which nothing was written is known not to have run.
type HTTPCarrier struct {
	store    *certs.Store
	sessions tls.ClientSessionCache
	mu       sync.RWMutex
	pools    map[peer]*httppool.Pool
}

// peer is an instance at an address. Both are part of the key, since an address may be reassigned to another instance.
type peer struct{ name, addr string }

// NewHTTPCarrier returns a carrier that authenticates with the certificates of the store.
func NewHTTPCarrier(store *certs.Store) *HTTPCarrier {
	return &HTTPCarrier{store: store, sessions: tls.NewLRUClientSessionCache(maxTLSSessions), pools: map[peer]*httppool.Pool{}}
}

// pool returns the connection pool of a peer, creating it if needed.
func (c *HTTPCarrier) pool(to peer) *httppool.Pool {
	c.mu.RLock()
	pool := c.pools[to]
	c.mu.RUnlock()
	if pool != nil {
		return pool
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool = c.pools[to]; pool == nil {
		c.closeUnusedPools()
		pool = httppool.New(httppool.Config{
			Dial:           func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, to) },
			MaxConns:       maxConnsPerInstance,
			MaxIdle:        maxIdlePerInstance,
			IdleTimeout:    idleTimeout,
			MaxHeaderBytes: maxResponseHeaderBytes,
		})
		c.pools[to] = pool
	}
	return pool
}

// closeUnusedPools closes the pools without idle connections once there are maxPools pools, since instances change over time.
// It must be called with c.mu held.
func (c *HTTPCarrier) closeUnusedPools() {
	if len(c.pools) < maxPools {
		return
	}
	for to, pool := range c.pools {
		if pool.Idle() == 0 {
			pool.Close()
			delete(c.pools, to)
		}
	}
}

func (c *HTTPCarrier) dial(ctx context.Context, to peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		return nil, err
	}
	config := c.store.PeerClient(to.name, "http/1.1")
	config.ClientSessionCache = c.sessions
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// Do implements Carrier.
func (c *HTTPCarrier) Do(s *Shipment) (*http.Response, *refusal.Refusal) {
	resp, err := c.pool(peer{s.Target.Name, s.Target.RequestAddr}).Do(s.prepare())
	if err != nil {
		return nil, s.refusalFor(err)
	}
	s.readLoad(resp.Header)
	if refused := refusal.FromResponse(resp); refused != nil {
		return nil, s.localReason(refused)
	}
	return resp, nil
}

// localReason replaces a peer's refusal Cancelled by the local reason for which this process cancelled the request. Such a
// refusal can still arrive, since closing a TLS connection notifies the peer before reading ends locally.
func (s *Shipment) localReason(refused *refusal.Refusal) *refusal.Refusal {
	cause := s.Request.Context().Err()
	if refused.Kind != refusal.Cancelled || cause == nil {
		return refused
	}
	local := s.refusalFor(cause)
	local.Run = refused.Run
	return local
}

func (s *Shipment) prepare() *http.Request {
	out := s.Request
	out.URL = &url.URL{
		Scheme:   "https",
		Host:     s.Target.RequestAddr,
		Path:     s.Request.URL.Path,
		RawPath:  s.Request.URL.RawPath,
		RawQuery: s.Request.URL.RawQuery,
	}
	out.RequestURI = ""
	out.Header[headers.Route] = []string{s.Route}
	out.Header[headers.Organisation] = []string{s.Organisation}
	delete(out.Header, "Expect")
	stream.KeepUserAgent(out.Header)
	return out
}

func (s *Shipment) readLoad(h http.Header) {
	s.Answer.Leaving = h.Get(headers.Leaving) == "1"
	load, err := headers.ParseLoad(h.Get(headers.Load))
	if err == nil {
		s.Answer.Load = &pick.Load{InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued}
	}
}

// refusalFor returns the refusal for a request to which the instance sent no response.
func (s *Shipment) refusalFor(err error) *refusal.Refusal {
	ctx := s.Request.Context()
	kind := refusal.Unreachable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		kind = refusal.BodyTooLarge
	case errors.Is(err, linkbudget.ErrShareExhausted):
		kind = refusal.LinkBusy
	case stream.Expired(ctx):
		kind = refusal.Timeout
	case ctx.Err() != nil:
		kind = refusal.Cancelled
	}
	refused := refusal.New(kind, "instance %q: %v", s.Target.Name, err)
	if !errors.Is(err, httppool.ErrNotWritten) {
		refused.Run = headers.Unknown
	}
	return refused
}

// Post implements gatekeeper.Peers. It sends a message to another instance and returns the body of the response, at most
// maxMessageBytes of it.
func (c *HTTPCarrier) Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.RequestAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "message request")
	}
	resp, err := c.pool(peer{to.Name, to.RequestAddr}).Do(req)
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
