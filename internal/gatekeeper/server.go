package gatekeeper

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/stream"
)

// Limits of the listener for other instances.
const (
	headerTimeout = 5 * time.Second
	idlePeer      = 5 * time.Minute
	maxHeader     = 128 << 10
	// answerTime is the time beyond the deadline that a frontend has to take a refusal.
	answerTime = 5 * time.Second
)

// ServeHTTP takes a request from the frontend of another instance.
func (g *Gatekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := certs.PeerIdentity(r.TLS)
	if err != nil {
		refusal.New(refusal.PeerRefused, "%v", err).Write(w)
		return
	}
	switch r.URL.Path {
	case askPath, helloPath, farewellPath:
		g.serveMessage(w, r, peer)
		return
	}
	if refused := g.checkOrigin(peer, r); refused != nil {
		stream.LeaveBody(w, r)
		g.refuse(w, refused)
		return
	}
	ctx, cancel := deadlineOf(r)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		stream.Bound(w, r, deadline.Add(answerTime))
	}
	call := &Call{Route: r.Header.Get(headers.Route), Organisation: r.Header.Get(headers.Organisation)}
	attempt := r.Header.Get(headers.Attempt)
	headers.StripInternal(r.Header)
	r.Header[headers.Attempt] = []string{attempt}
	call.Request = r.WithContext(ctx)
	resp, refused := g.Do(call)
	if refused != nil {
		if refused.Kind == refusal.WrongRegion {
			stream.LeaveBody(w, r)
		}
		g.refuse(w, refused)
		return
	}
	g.answer(w, resp)
}

// checkOrigin refuses a request that was already where it may not be.
func (g *Gatekeeper) checkOrigin(peer certs.Identity, r *http.Request) *refusal.Refusal {
	config := g.config.Holder.Load().Config
	if config == nil {
		return nil
	}
	route := config.Route(r.Header.Get(headers.Route))
	if route == nil || route.Allows(config.RegionOf(peer.FailureDomain)) {
		return nil
	}
	return refusal.New(refusal.WrongRegion, "route %q may not come from failure domain %q", route.Name, peer.FailureDomain)
}

func deadlineOf(r *http.Request) (context.Context, context.CancelFunc) {
	left, ok := headers.ParseTimeout(r.Header.Get(headers.Timeout))
	if !ok {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), left)
}

func (g *Gatekeeper) refuse(w http.ResponseWriter, refused *refusal.Refusal) {
	g.mark(w.Header())
	refused.Write(w)
}

// mark tells the state of the instance with an answer.
func (g *Gatekeeper) mark(h http.Header) {
	h[headers.Load] = []string{g.Load().String()}
	if g.Leaving() {
		h[headers.Leaving] = []string{"1"}
	}
}

func (g *Gatekeeper) answer(w http.ResponseWriter, resp *http.Response) {
	g.mark(w.Header())
	if attempt, ok := resp.Header[headers.Attempt]; ok {
		w.Header()[headers.Attempt] = attempt
	}
	stream.Answer(w, resp, func(err error) {
		g.config.Log.Debug().Err(err).Msg("answer aborted")
	})
}

// Drain refuses new work and waits until the running requests have ended or the context ends.
func (g *Gatekeeper) Drain(ctx context.Context) error {
	g.drainLock.Lock()
	g.draining.Store(true)
	g.drainLock.Unlock()
	g.turnstile.drain()
	g.sayFarewell(ctx)
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

// Server takes requests from the frontends of other instances.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer returns a server on the listener. The configuration comes from certs.Store.PeerServer.
func NewServer(listener net.Listener, config *tls.Config, g *Gatekeeper) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Server{listener: listener, http: &http.Server{
		Handler:           g,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idlePeer,
		MaxHeaderBytes:    maxHeader,
		Protocols:         protocols,
	}}
}

// Serve takes requests until the context ends, then closes all connections. Call Shutdown before for a graceful end.
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
