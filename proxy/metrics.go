package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters and histograms of requests. Labels are bounded: kinds, outcomes and reasons are fixed sets.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	gates    *prometheus.CounterVec
	repeats  prometheus.Counter
	probes   prometheus.Counter
}

// latencyBuckets lie around the objectives of some tens of milliseconds to a few seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .25, .4, .6, 1, 1.5, 2.5, 5}

// NewMetrics registers the metrics; registerer may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_requests_total", Help: "Callers' requests by kind of route, status and reason.",
		}, []string{"kind", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilwell_request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		gates: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_gate_outcomes_total", Help: "Outcomes at the own target's gate by reason.",
		}, []string{"reason"}),
		repeats: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_repeats_total", Help: "Attempts after one that reached a target.",
		}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_health_checks_total", Help: "Health checks of the own target.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.gates, m.repeats, m.probes)
	}
	return m
}

func (m *Metrics) gate(o *outcome) {
	reason := o.reason
	if reason == "" {
		reason = reasonNone
	}
	m.gates.WithLabelValues(reason).Inc()
}

func (m *Metrics) answered(kind, status, reason string, took time.Duration) {
	m.requests.WithLabelValues(kind, status, reason).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}
