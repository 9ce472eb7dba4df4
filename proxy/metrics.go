package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/mesh"
)

// Metrics are the counters and histograms of requests. Labels are bounded: kinds, outcomes and reasons are fixed sets.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	gates    *prometheus.CounterVec
	repeats  prometheus.Counter
	probes   prometheus.Counter
	// hop, queue and service split the time of an attempt: on the way there and back, waiting at the target's gate, and at the target.
	hop, queue, service stage
}

// stage is the histogram of one part of an attempt's time, by kind of route and outcome.
type stage struct {
	vec       *prometheus.HistogramVec
	observers [len(kindNames)][len(runNames)]prometheus.Observer
}

func newStage(name, help string) stage {
	s := stage{vec: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: stageBuckets}, []string{"kind", "outcome"})}
	for kind, kindName := range kindNames {
		for r, runName := range runNames {
			s.observers[kind][r] = s.vec.WithLabelValues(kindName, runName)
		}
	}
	return s
}

func (s *stage) observe(kind mesh.Kind, r run, took time.Duration) {
	s.observers[kind][r].Observe(max(took, 0).Seconds())
}

// stageBuckets reach from a hop on the same machine to the longest objectives.
var stageBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}

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
	m.hop = newStage("chervilwell_hop_seconds", "Time of an attempt on the way to the target's process and back.")
	m.queue = newStage("chervilwell_queue_seconds", "Time of an attempt at the target's gate before it ran or was refused.")
	m.service = newStage("chervilwell_service_seconds", "Time of an attempt at the target.")
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.gates, m.repeats, m.probes, m.hop.vec, m.queue.vec, m.service.vec)
	}
	return m
}

// attempt splits the time of an attempt whose gate answered.
func (m *Metrics) attempt(kind mesh.Kind, o *outcome, took time.Duration) {
	if o.load == nil {
		return
	}
	m.hop.observe(kind, o.run, took-o.held)
	m.queue.observe(kind, o.run, o.held-o.took)
	if o.arrived {
		m.service.observe(kind, o.run, o.took)
	}
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
