package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/mesh"
)

// Metrics holds the counters and histograms of requests. All labels have a fixed set of values.
type Metrics struct {
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	gateOutcomes *prometheus.CounterVec
	retries      prometheus.Counter
	healthChecks prometheus.Counter
	// targetCrashes counts the crashes of the local target that ended requests.
	targetCrashes prometheus.Counter
	// noticesDropped counts the notices that did not reach a process.
	noticesDropped prometheus.Counter
	// hop, queue and service split the time of an attempt: the network in both directions, the queue at the target's gate,
	// and the target.
	hop, queue, service stage
	regions             regionMetrics
	// abandoned is the time that calls remained in a stage after they were abandoned, by whether they are retryable.
	abandoned *prometheus.HistogramVec
	// linkWait is the time that large responses waited for the machine's outgoing link.
	linkWait prometheus.Histogram
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

// stageBuckets, in seconds, range from a hop on the same machine to the longest latency objectives.
var stageBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}

// latencyBuckets, in seconds, cover latency objectives from some tens of milliseconds to a few seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .25, .4, .6, 1, 1.5, 2.5, 5}

// NewMetrics returns the metrics and registers them with registerer, which may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_requests_total", Help: "Callers' requests by kind of route, status and reason.",
		}, []string{"kind", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilwell_request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		gateOutcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_gate_outcomes_total", Help: "Outcomes at the own target's gate by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_repeats_total", Help: "Attempts after one that reached a target.",
		}),
		healthChecks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_health_checks_total", Help: "Health checks of the own target.",
		}),
		targetCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_target_crashes_total", Help: "Crashes of the own target that ended requests.",
		}),
		noticesDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_notices_dropped_total", Help: "Notices about requests that crash targets that did not reach another process.",
		}),
	}
	m.regions = newRegionMetrics()
	m.hop = newStage("chervilwell_hop_seconds", "Time of an attempt on the way to the target's process and back.")
	m.queue = newStage("chervilwell_queue_seconds", "Time of an attempt at the target's gate before it ran or was refused.")
	m.service = newStage("chervilwell_service_seconds", "Time of an attempt at the target.")
	m.abandoned = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "chervilwell_abandoned_call_seconds", Help: "Time that a call remained in the queue, or ran at the target, after its caller had left.", Buckets: stageBuckets,
	}, []string{"stage", "retryable"})
	m.linkWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "chervilwell_response_link_wait_seconds", Help: "Time that a large response waited for the machine's outgoing link.", Buckets: stageBuckets,
	})
	if registerer != nil {
		registerer.MustRegister(m.linkWait, m.abandoned, m.requests, m.latency, m.gateOutcomes, m.retries, m.healthChecks, m.targetCrashes, m.noticesDropped, m.hop.vec, m.queue.vec, m.service.vec)
		registerer.MustRegister(m.regions.collectors()...)
	}
	return m
}

// attempt observes the parts of an attempt's time. It does nothing if the gate returned no load.
func (m *Metrics) attempt(kind mesh.Kind, o *outcome, took time.Duration) {
	if o.load == nil {
		return
	}
	m.hop.observe(kind, o.run, took-o.gatekeeperTime)
	m.queue.observe(kind, o.run, o.gatekeeperTime-o.took)
	if o.arrived {
		m.service.observe(kind, o.run, o.took)
	}
}

func (m *Metrics) countGateOutcome(o *outcome) {
	reason := o.reason
	if reason == "" {
		reason = reasonNone
	}
	m.gateOutcomes.WithLabelValues(reason).Inc()
}

func (m *Metrics) observeRequest(kind, status, reason string, took time.Duration) {
	m.requests.WithLabelValues(kind, status, reason).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// observeAbandoned observes how long an abandoned call remained in the queue and, if it arrived there, ran at the target.
func (m *Metrics) observeAbandoned(retryable, arrived bool, queued, ran time.Duration) {
	label := strconv.FormatBool(retryable)
	m.abandoned.WithLabelValues("queue", label).Observe(queued.Seconds())
	if arrived {
		m.abandoned.WithLabelValues("target", label).Observe(ran.Seconds())
	}
}
