package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/logging"
)

// Limits of the callers' listener.
const (
	headerTimeout = 5 * time.Second
	idleCaller    = 2 * time.Minute
	maxHeader     = 64 << 10
	// lameDuck is the time for which a closing server still accepts, so that callers move away without a cut connection.
	lameDuck = time.Second
	// maxStreams is the number of requests that one HTTP/2 connection of a caller runs at once.
	maxStreams = 100
)

// closing says that the server is about to stop.
type closing struct{ flag atomic.Bool }

func (c *closing) begun() bool { return c.flag.Load() }

// Server takes callers' requests on one listener.
type Server struct {
	listener net.Listener
	frontend *Frontend
	http     *http.Server
	secure   bool
}

// NewServer returns a server on the listener. The configuration comes from certs.Store.CallerServer; nil means plain HTTP.
func NewServer(listener net.Listener, config *tls.Config, f *Frontend) *Server {
	return &Server{listener: listener, frontend: f, secure: config != nil, http: &http.Server{
		Handler:           f,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleCaller,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          logging.Std(f.config.Log, "callers"),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}}
}

// Serve takes requests until the context ends, then closes all connections. Call Shutdown before for a graceful end.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	err := s.serve()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrap(err, "callers' listener")
}

func (s *Server) serve() error {
	if s.secure {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Shutdown asks callers to move away, then accepts nothing more and waits for the running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	s.frontend.closing.flag.Store(true)
	timer := time.NewTimer(lameDuck)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return errors.Wrap(s.http.Shutdown(ctx), "callers' requests still run; raise the drain limit")
}
