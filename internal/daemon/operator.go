package daemon

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/internal/logging"
	"github.com/chervilwell/chervilwell/internal/operator"
)

const operatorHeaderTimeout = 5 * time.Second

// operatorServer serves health, metrics and status on the operators' listener.
type operatorServer struct {
	listener net.Listener
	handler  http.Handler
	errorLog *log.Logger
}

// String names the duty in the supervisor's events.
func (o *operatorServer) String() string { return "operator" }

// Serve serves until the context ends.
func (o *operatorServer) Serve(ctx context.Context) error {
	server := &http.Server{Handler: o.handler, ReadHeaderTimeout: operatorHeaderTimeout, ErrorLog: o.errorLog}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(o.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return ctx.Err()
}

// buildOperator builds the operators' listener and the count of organisations' changes.
func (d *Daemon) buildOperator() error {
	d.budget = operator.NewBudget(d.holder, d.trail, d.registry)
	handler := operator.New(operator.Config{
		Identity: operator.Identity{
			Instance: d.settings.Instance, FailureDomain: d.settings.FailureDomain,
			Region: d.settings.Region, Service: d.settings.Service,
		},
		Holder: d.holder, Trail: d.trail, Process: d, Distribution: d.agent, Explainer: d.picker, Budget: d.budget,
		Registerer: d.registry, Gatherer: d.registry, Log: d.log,
	})
	d.operator = &operatorServer{listener: d.listeners.operator, handler: handler, errorLog: logging.Std(d.log, "operator")}
	return nil
}

// State returns the state of the process on its chart.
func (d *Daemon) State() chart.State { return d.life.State() }
