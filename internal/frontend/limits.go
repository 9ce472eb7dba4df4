package frontend

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// routeLimits counts the running requests of each route.
type routeLimits struct{ running sync.Map }

// acquire counts a request of a route, unless limit requests are running. A limit of 0 means unlimited.
func (l *routeLimits) acquire(route string, limit int) bool {
	counter := l.counter(route)
	if counter.Add(1) > int64(limit) && limit > 0 {
		counter.Add(-1)
		return false
	}
	return true
}

func (l *routeLimits) release(route string) { l.counter(route).Add(-1) }

func (l *routeLimits) counter(route string) *atomic.Int64 {
	if v, ok := l.running.Load(route); ok {
		return v.(*atomic.Int64)
	}
	v, _ := l.running.LoadOrStore(route, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// metrics holds the frontend's metrics.
type metrics struct {
	answers  prometheus.Counter
	aborted  prometheus.Counter
	refusals *prometheus.CounterVec
	latency  prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_frontend_answers_total", Help: "Requests answered whole by a target.",
		}),
		aborted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_frontend_aborted_total", Help: "Answers that broke off and whose connection was aborted.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_frontend_refusals_total", Help: "Requests refused, by kind and run state.",
		}, []string{"kind", "run"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chervilwell_frontend_answer_seconds", Help: "Time from accepting a request to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
	}
	if r != nil {
		r.MustRegister(m.answers, m.aborted, m.refusals, m.latency)
	}
	return m
}
