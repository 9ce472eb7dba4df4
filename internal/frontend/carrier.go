package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/platform"
)

// Shipment is one attempt on its way to a target's instance.
type Shipment struct {
	Target       platform.Instance
	Route        string
	Organisation string
	// Request carries the deadline in its context. The carrier may change its headers.
	Request *http.Request
	// Result takes what the instance says of its load.
	Result *Result
}

// Carrier brings requests to targets' instances. Exactly one of the results is set.
type Carrier interface {
	Do(s *Shipment) (*http.Response, *refusal.Refusal)
}

// Limits of the connections to other instances.
const (
	dialTimeout   = 2 * time.Second
	idleTimeout   = 90 * time.Second
	pingAfter     = 5 * time.Second
	pingTimeout   = 2 * time.Second
	maxAnswerHead = 128 << 10
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
	s.Result.Load, s.Result.HasLoad = c.Gatekeeper.Load(), true
	s.Result.Leaving = c.Gatekeeper.Leaving()
	return resp, refused
}

// HTTPCarrier brings requests to other instances over HTTP/2 with mutual TLS.
type HTTPCarrier struct{ transport http.RoundTripper }

// NewHTTPCarrier returns a carrier that shows the certificates of the store.
func NewHTTPCarrier(store *certs.Store) *HTTPCarrier {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &HTTPCarrier{transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dialInstance(ctx, dialer, store, "h2", addr)
		},
		Protocols:              protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
	}}
}

// targetKey is the key of the called instance's name in a context.
type targetKey struct{}

func dialInstance(ctx context.Context, dialer *net.Dialer, store *certs.Store, protocol, addr string) (net.Conn, error) {
	name, _ := ctx.Value(targetKey{}).(string)
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, store.PeerClient(name, protocol))
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// Do implements Carrier.
func (c *HTTPCarrier) Do(s *Shipment) (*http.Response, *refusal.Refusal) {
	// A request on a shared connection may have been written as soon as it has got the connection.
	var given atomic.Bool
	ctx := context.WithValue(s.Request.Context(), targetKey{}, s.Target.Name)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { given.Store(true) }})
	resp, err := c.transport.RoundTrip(s.prepare(ctx))
	if err != nil {
		return nil, s.failure(err, given.Load())
	}
	s.readLoad(resp.Header)
	if refused := refusal.FromResponse(resp); refused != nil {
		return nil, refused
	}
	return resp, nil
}

func (s *Shipment) prepare(ctx context.Context) *http.Request {
	out := s.Request.WithContext(ctx)
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
	s.Result.Leaving = h.Get(headers.Leaving) == "1"
	load, err := headers.ParseLoad(h.Get(headers.Load))
	if err == nil {
		s.Result.Load, s.Result.HasLoad = load, true
	}
}

// failure says what became of a request that the instance gave no answer to.
func (s *Shipment) failure(err error, given bool) *refusal.Refusal {
	ctx := s.Request.Context()
	kind := refusal.Unreachable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		kind = refusal.BodyTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = refusal.Timeout
	case ctx.Err() != nil:
		kind = refusal.Cancelled
	}
	refused := refusal.New(kind, "instance %q: %v", s.Target.Name, err)
	if given {
		refused.Run = headers.Unknown
	}
	return refused
}
