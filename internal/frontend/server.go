package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/disconnect"
	"github.com/chervilwell/chervilwell/internal/logging"
)

// Limits of the callers' listener.
const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// lameDuckPeriod is the time for which a server that shuts down still accepts requests, so that callers move to another
	// instance without a broken connection.
	lameDuckPeriod = time.Second
	// maxStreamsPerConn bounds the concurrent requests on one HTTP/2 connection of a caller.
	maxStreamsPerConn = 100
)

// shutdownFlag is set when the server begins to shut down.
type shutdownFlag struct{ flag atomic.Bool }

func (c *shutdownFlag) isSet() bool { return c.flag.Load() }

// Server serves callers' requests on one listener.
type Server struct {
	listener net.Listener
	frontend *Frontend
	http     *http.Server
	secure   bool
}

// NewServer returns a server on the listener. config comes from certs.Store.CallerServer; nil means plain HTTP.
func NewServer(listener net.Listener, config *tls.Config, f *Frontend) *Server {
	monitor := disconnect.NewMonitor(func(err error) { f.config.Log.Error().Err(err).Msg("clients that leave are noticed late") })
	return &Server{listener: listener, frontend: f, secure: config != nil, http: &http.Server{
		Handler:           monitor.Handler(f),
		ConnContext:       disconnect.ConnContext,
		TLSConfig:         config,
		ReadHeaderTimeout: readHeaderTimeout,
		// By default the server would answer "OPTIONS *" with a success that is no target's.
		DisableGeneralOptionsHandler: true,
		IdleTimeout:                  callerIdleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     logging.Std(f.config.Log, "callers"),
		HTTP2:                        &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
	}}
}

// Serve handles requests until the context ends, then closes all connections and returns the context's error. Call Shutdown
// first for a graceful shutdown.
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

// Shutdown asks callers to use other connections for lameDuckPeriod, then stops accepting requests and waits for the running
// ones. It returns an error if the context ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.frontend.shutdownFlag.flag.Store(true)
	timer := time.NewTimer(lameDuckPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return errors.Wrap(s.http.Shutdown(ctx), "callers' requests still run; raise the drain limit")
}
