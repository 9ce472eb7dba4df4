// Package operator answers the operators' listener: health, readiness, metrics, status, the audit trail, the instances known
// and which targets a call may take. It only reads.
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

// Process tells the state of the process on its chart (charts.Process).
type Process interface {
	State() chart.State
}

// Distributor tells the place of the process in the distribution.
type Distributor interface {
	Status() distribution.Status
}

// Explainer gives the verdict on every target of a route; pick.Chooser does so behind its owner's lock.
type Explainer interface {
	Explain(now time.Time, state *snapshot.State, route *snapshot.Route) []pick.Candidate
}

// Config says what the handler reads.
type Config struct {
	Identity     Identity
	Holder       *snapshot.Holder
	Trail        *audit.Trail
	Process      Process
	Distribution Distributor
	// Explainer may be nil: the verdicts are then those of the snapshot alone.
	Explainer Explainer
	// Budget counts changes; nil means that none are counted.
	Budget *Budget
	// Registerer takes the handler's own metrics; it may be nil.
	Registerer prometheus.Registerer
	// Gatherer gives the metrics.
	Gatherer prometheus.Gatherer
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// Handler is the handler of the operators' listener. It is safe for concurrent use.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// New returns a handler.
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

// ServeHTTP answers an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// serveHealth says that the process runs. It stays well while the platform or the target is not.
func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }

// serveReady says whether the process takes callers' requests, and if not, in which state it is.
func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := h.config.Process.State()
	if state != charts.ProcessServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, state)
}

// badRequest is a request that can't be answered.
type badRequest struct {
	status int
	body   ErrorBody
}

// Error returns cause and remedy.
func (b *badRequest) Error() string { return b.body.Error + "; " + b.body.Remedy }

func refuse(status int, remedy, format string, args ...any) *badRequest {
	return &badRequest{status: status, body: ErrorBody{Error: fmt.Sprintf(format, args...), Remedy: remedy}}
}

// json returns a handler that answers with what produce returns. Query parameters other than the named ones are refused.
func (h *Handler) json(params []string, produce func(url.Values) (any, *badRequest)) http.HandlerFunc {
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
		answer, bad := produce(query)
		if bad != nil {
			h.write(w, bad.status, bad.body)
			return
		}
		h.write(w, http.StatusOK, answer)
	}
}

func (h *Handler) write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.config.Log.Debug().Err(err).Msg("operator went away")
	}
}

func (h *Handler) audit(query url.Values) (any, *badRequest) {
	since := uint64(0)
	if text := query.Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, refuse(http.StatusBadRequest, "give the sequence number of the last record seen", "since is %q", text)
		}
	}
	records := h.config.Trail.Since(since)
	if records == nil {
		records = []audit.Record{}
	}
	return AuditList{Last: h.config.Trail.Last(), Records: records}, nil
}
