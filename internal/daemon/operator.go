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

// operatorHeaderTimeout bounds reading the header of a request on the operator listener.
const operatorHeaderTimeout = 5 * time.Second

// operatorServer is the supervised task that serves health, metrics and status on the operator listener.
type operatorServer struct {
	listener net.Listener
	handler  http.Handler
	errorLog *log.Logger
}

// String returns the name of the task in supervisor events.
func (o *operatorServer) String() string { return "operator" }

// Serve serves until ctx is done.
func (o *operatorServer) Serve(ctx context.Context) error {
	server := &http.Server{Handler: o.handler, ReadHeaderTimeout: operatorHeaderTimeout, ErrorLog: o.errorLog}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(o.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return ctx.Err()
}

// buildOperator builds the operator server and the counter of changes per organisation.
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

// State returns the current state of the process chart.
func (d *Daemon) State() chart.State { return d.process.State() }
