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

// Shipment is one attempt on its way to a target's instance.
type Shipment struct {
	Target       origin.Instance
	Route        string
	Organisation string
	// Request carries the deadline in its context. The carrier may change its headers.
	Request *http.Request
	// Answer takes what the instance says of itself; its Load stays nil if the instance could not be reached.
	Answer pick.Answer
}

// Carrier brings requests to targets' instances. Exactly one of the results is set.
type Carrier interface {
	Do(s *Shipment) (*http.Response, *refusal.Refusal)
}

// Limits of the connections to other instances.
const (
	// dialTimeout bounds TCP and TLS set-up, three round trips over the slowest link; another instance is tried after it.
	dialTimeout   = 400 * time.Millisecond
	idleTimeout   = 90 * time.Second
	maxAnswerHead = 128 << 10
	// maxConns bounds the connections to one instance, maxIdle those kept open between requests.
	maxConns = 64
	maxIdle  = 64
	// maxPools is the number of instances above which those without connections are forgotten.
	maxPools    = 256
	maxSessions = 512
	maxMessage  = 1 << 20
)

// LocalCarrier brings requests for the own instance to its gatekeeper without a network hop, and all others on.
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

// HTTPCarrier brings requests to other instances over HTTP/1.1 with mutual TLS, one request at a time on a connection: so a
// large body never holds up a small one, and a failed request is known not to have left if nothing was written.
type HTTPCarrier struct {
	store    *certs.Store
	sessions tls.ClientSessionCache
	mu       sync.RWMutex
	pools    map[peer]*httppool.Pool
}

// peer is an instance at an address. Both count: any instance may get any address.
type peer struct{ name, addr string }

// NewHTTPCarrier returns a carrier that shows the certificates of the store.
func NewHTTPCarrier(store *certs.Store) *HTTPCarrier {
	return &HTTPCarrier{store: store, sessions: tls.NewLRUClientSessionCache(maxSessions), pools: map[peer]*httppool.Pool{}}
}

// pool returns the connections to a peer.
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
		c.forget()
		pool = httppool.New(httppool.Config{
			Dial:           func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, to) },
			MaxConns:       maxConns,
			MaxIdle:        maxIdle,
			IdleTimeout:    idleTimeout,
			MaxHeaderBytes: maxAnswerHead,
		})
		c.pools[to] = pool
	}
	return pool
}

// forget drops the pools without connections once there are many, since instances come and go.
func (c *HTTPCarrier) forget() {
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
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// Do implements Carrier.
func (c *HTTPCarrier) Do(s *Shipment) (*http.Response, *refusal.Refusal) {
	resp, err := c.pool(peer{s.Target.Name, s.Target.RequestAddr}).Do(s.prepare())
	if err != nil {
		return nil, s.failure(err)
	}
	s.readLoad(resp.Header)
	if refused := refusal.FromResponse(resp); refused != nil {
		return nil, s.ownReason(refused)
	}
	return resp, nil
}

// ownReason replaces a peer's answer that its caller went away by the reason for which this process, the caller, gave up. Such an
// answer can still arrive, since closing a TLS connection tells the peer before the reading side ends.
func (s *Shipment) ownReason(refused *refusal.Refusal) *refusal.Refusal {
	gaveUp := s.Request.Context().Err()
	if refused.Kind != refusal.Cancelled || gaveUp == nil {
		return refused
	}
	own := s.failure(gaveUp)
	own.Run = refused.Run
	return own
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

// failure says what became of a request that the instance gave no answer to.
func (s *Shipment) failure(err error) *refusal.Refusal {
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

// Post implements gatekeeper.Peers.
func (c *HTTPCarrier) Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.RequestAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "message")
	}
	resp, err := c.pool(peer{to.Name, to.RequestAddr}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance %q refused the message with status %d; see its log", to.Name, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	return data, errors.Wrap(err, "answer to a message")
}
