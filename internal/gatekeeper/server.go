package gatekeeper

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/disconnect"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/logging"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
)

// Limits of the listener for other instances.
const (
	headerTimeout   = 5 * time.Second
	peerIdleTimeout = 5 * time.Minute
	maxHeaderBytes  = 128 << 10
	// refusalWriteTime is the time after the deadline within which a frontend can still read a refusal.
	refusalWriteTime = 5 * time.Second
)

// ServeHTTP handles requests and messages from other instances.
func (g *Gatekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := certs.PeerIdentity(r.TLS)
	if err != nil {
		refusal.New(refusal.PeerRefused, "%v", err).Write(w)
		return
	}
	switch r.URL.Path {
	case voteRequestPath, announcementPath, departurePath, noticePath, linkbudget.Path:
		g.serveMessage(w, r, peer)
		return
	}
	body := stream.TrackBody(r)
	defer body.Abandon(w)
	r.Body = body
	resp, refused := g.handleRequest(w, r, peer)
	body.AnnounceClose(w)
	if refused != nil {
		g.writeRefusal(w, refused)
		return
	}
	g.writeResponse(w, r, resp)
}

// handleRequest runs a request from another instance's frontend.
func (g *Gatekeeper) handleRequest(w http.ResponseWriter, r *http.Request, peer certs.Identity) (*http.Response, *refusal.Refusal) {
	if refused := g.checkOrigin(peer, r); refused != nil {
		return nil, refused
	}
	call := &Call{Route: r.Header.Get(headers.Route), Organisation: r.Header.Get(headers.Organisation)}
	call.Request = r
	if remaining, ok := headers.ParseTimeout(r.Header.Get(headers.Timeout)); ok {
		deadline := time.Now().Add(remaining)
		stream.SetDeadlines(w, r, deadline, deadline.Add(refusalWriteTime))
		ctx, cancel := context.WithDeadline(r.Context(), deadline)
		context.AfterFunc(r.Context(), cancel)
		call.Request = r.WithContext(ctx)
	}
	attempt := r.Header.Get(headers.Attempt)
	headers.StripInternal(r.Header)
	r.Header[headers.Attempt] = []string{attempt}
	resp, refused := g.Do(call)
	if refused == nil {
		g.pace(call, resp, peer)
	}
	return resp, refused
}

// pace limits a response to another region to the organisation's share of the link.
func (g *Gatekeeper) pace(call *Call, resp *http.Response, peer certs.Identity) {
	config := g.config.Holder.Load().Config
	if g.config.Link == nil || config == nil || config.RegionOf(peer.FailureDomain) == config.RegionOf(g.config.FailureDomain) {
		return
	}
	resp.Body = &linkbudget.Body{
		ReadCloser: resp.Body, Budget: g.config.Link, Context: call.Request.Context(),
		To: config.RegionOf(peer.FailureDomain), Organisation: call.Organisation,
	}
}

// checkOrigin refuses a request from a region in which its route is not allowed.
func (g *Gatekeeper) checkOrigin(peer certs.Identity, r *http.Request) *refusal.Refusal {
	config := g.config.Holder.Load().Config
	if config == nil {
		return nil
	}
	route := config.ForCaller(config.Route(r.Header.Get(headers.Route)), r.Header.Get(headers.Organisation))
	if route == nil || route.Allows(config.RegionOf(peer.FailureDomain)) {
		return nil
	}
	return refusal.New(refusal.WrongRegion, "route %q may not come from failure domain %q", route.Name, peer.FailureDomain)
}

func (g *Gatekeeper) writeRefusal(w http.ResponseWriter, refused *refusal.Refusal) {
	g.setStateHeaders(w.Header())
	refused.Write(w)
}

// setStateHeaders adds the headers with the load and the leaving state of the instance.
func (g *Gatekeeper) setStateHeaders(h http.Header) {
	h[headers.GateLoad] = []string{g.Load().String()}
	if g.Leaving() {
		h[headers.Leaving] = []string{"1"}
	}
}

func (g *Gatekeeper) writeResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	g.setStateHeaders(w.Header())
	if attempt, ok := resp.Header[headers.Attempt]; ok {
		w.Header()[headers.Attempt] = attempt
	}
	stream.CopyResponse(w, r, resp, func(err error) {
		g.config.Log.Debug().Err(err).Msg("response aborted")
	})
}

// Drain refuses new requests and waits until the running ones have ended. It returns an error if the context ends before.
func (g *Gatekeeper) Drain(ctx context.Context) error {
	g.drainMu.Lock()
	g.draining.Store(true)
	g.drainMu.Unlock()
	g.admitter.drain()
	g.announceDeparture(ctx)
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests still run at the end of the drain; raise the service's drain limit")
	}
}

// Server serves requests from other instances.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer returns a server for the listener. The configuration is that of certs.Store.PeerServer.
func NewServer(listener net.Listener, config *tls.Config, g *Gatekeeper) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	monitor := disconnect.NewMonitor(func(err error) { g.config.Log.Error().Err(err).Msg("frontends that leave are noticed late") })
	return &Server{listener: listener, http: &http.Server{
		Handler:           monitor.Handler(g),
		ConnContext:       disconnect.ConnContext,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.Std(g.config.Log, "requests"),
		Protocols:         protocols,
	}}
}

// Serve serves requests until the context ends, then closes all connections. For a graceful stop call Shutdown first.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	err := s.http.ServeTLS(s.listener, "", "")
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrap(err, "requests listener")
}

// Shutdown accepts no more connections and waits for the running requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
