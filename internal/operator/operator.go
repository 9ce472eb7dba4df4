// Package operator implements the read-only HTTP interface for operators: health, readiness, metrics, status, audit trail, known
// instances, and an explanation of which targets a call may use.
package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Process reports the state of the process.
type Process interface {
	// State returns a state of the chart charts.Process.
	State() chart.State
}

// Distributor reports the role and the connections of the process in the distribution of the configuration.
type Distributor interface {
	Status() distribution.Status
}

// Explainer returns the verdicts on all targets of a route at time now. Implementations must be safe for concurrent use; a
// pick.Chooser must be wrapped with the lock of its owner.
type Explainer interface {
	Explain(now time.Time, state *snapshot.State, route *snapshot.Route) []pick.Candidate
}

// Config holds the dependencies of a Handler. All fields are required unless stated otherwise.
type Config struct {
	Identity     Identity
	Holder       *snapshot.Holder
	Trail        *audit.Trail
	Process      Process
	Distribution Distributor
	// Explainer may be nil. The verdicts then depend on the snapshot only.
	Explainer Explainer
	// Budget counts the changes of organisations. It may be nil; the counts are then 0.
	Budget *Budget
	// Registerer registers the metrics of the handler. It may be nil.
	Registerer prometheus.Registerer
	// Gatherer provides the metrics served at PathMetrics.
	Gatherer prometheus.Gatherer
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// Handler serves the operator listener. It is safe for concurrent use.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// New returns a handler and registers its metrics.
func New(config Config) *Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	h := &Handler{config: config, mux: http.NewServeMux()}
	if config.Registerer != nil {
		config.Registerer.MustRegister(stateCollector{h})
	}
	h.mux.HandleFunc("GET "+PathHealth, h.serveHealth)
	h.mux.HandleFunc("GET "+PathReady, h.serveReady)
	h.mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(config.Gatherer, promhttp.HandlerOpts{}))
	h.mux.HandleFunc("GET "+PathStatus, h.json(nil, h.status))
	h.mux.HandleFunc("GET "+PathAudit, h.json([]string{"since"}, h.audit))
	h.mux.HandleFunc("GET "+PathInstances, h.json([]string{"service", "failureDomain"}, h.instances))
	h.mux.HandleFunc("GET "+PathExplain, h.json([]string{"service", "organisation", "region"}, h.explain))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// serveHealth returns status 200 as long as the process runs, regardless of the health of platform and target.
func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }

// serveReady returns status 200 if the process accepts callers' requests, otherwise 503. The body is the state of the process.
func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := h.config.Process.State()
	if state != charts.ProcessServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, state)
}

// requestError is the error of a refused request.
type requestError struct {
	status int // HTTP status code
	body   ErrorBody
}

// Error returns cause and remedy.
func (e *requestError) Error() string { return e.body.Error + "; " + e.body.Remedy }

// newRequestError returns a request error whose Error text is built from format and args.
func newRequestError(status int, remedy, format string, args ...any) *requestError {
	return &requestError{status: status, body: ErrorBody{Error: fmt.Sprintf(format, args...), Remedy: remedy}}
}

// json returns a handler that responds with the result of handle as JSON. It refuses query parameters that are not in params.
func (h *Handler) json(params []string, handle func(url.Values) (any, *requestError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		for name := range query {
			if !slices.Contains(params, name) {
				h.write(w, http.StatusBadRequest, ErrorBody{
					Error: fmt.Sprintf("query parameter %q is unknown", name), Remedy: fmt.Sprintf("use one of %q", params),
				})
				return
			}
		}
		response, reqErr := handle(query)
		if reqErr != nil {
			h.write(w, reqErr.status, reqErr.body)
			return
		}
		h.write(w, http.StatusOK, response)
	}
}

// write sends body as JSON with the given HTTP status.
func (h *Handler) write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.config.Log.Debug().Err(err).Msg("cannot write response to operator")
	}
}

// audit serves PathAudit.
func (h *Handler) audit(query url.Values) (any, *requestError) {
	since := uint64(0)
	if value := query.Get("since"); value != "" {
		var err error
		if since, err = strconv.ParseUint(value, 10, 64); err != nil {
			return nil, newRequestError(http.StatusBadRequest, "give the sequence number of the last record seen", "since is %q", value)
		}
	}
	records := h.config.Trail.Since(since)
	if records == nil {
		records = []audit.Record{}
	}
	return AuditList{Last: h.config.Trail.Last(), Records: records}, nil
}
