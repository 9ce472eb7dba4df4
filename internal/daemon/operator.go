package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const operatorHeaderTimeout = 5 * time.Second

// operatorServer serves health, metrics and status on the operators' listener.
type operatorServer struct {
	listener net.Listener
	handler  http.Handler
}

// String names the duty in the supervisor's events.
func (o *operatorServer) String() string { return "operator" }

// Serve serves until the context ends.
func (o *operatorServer) Serve(ctx context.Context) error {
	server := &http.Server{Handler: o.handler, ReadHeaderTimeout: operatorHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(o.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return ctx.Err()
}

func (d *Daemon) buildOperator() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /v1/status", d.serveStatus)
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	d.operator = &operatorServer{listener: d.listeners.operator, handler: mux}
	return nil
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.life.Serving() {
		http.Error(w, string(d.life.State()), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.agent.Status())
}
