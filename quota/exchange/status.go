package exchange

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/quota"
)

// StatusPath is the path at which operators read the state of quotas.
const StatusPath = "/quotas"

// Status describes the quotas at one process.
type Status struct {
	// Collector is the process that replied last, empty if none has. AgeSeconds is the time since the report that it replied to; Fresh tells
	// whether the reply is still used.
	Collector  string  `json:"collector"`
	AgeSeconds float64 `json:"age_seconds"`
	Fresh      bool    `json:"fresh"`
	// Processes is the number of processes that share the quotas. Reporting is the number of those that report to this process, and Top
	// tells whether it decides for them itself.
	Processes     int                  `json:"processes"`
	Reporting     int                  `json:"reporting"`
	Top           bool                 `json:"top"`
	Organisations []OrganisationStatus `json:"organisations"`
}

// OrganisationStatus describes the quota of one organisation at one process.
type OrganisationStatus struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"per_second"`
	Burst        float64 `json:"burst"`
	// Offered, Admitted and Refunded are counted since the start of the process.
	Offered  uint64 `json:"offered"`
	Admitted uint64 `json:"admitted"`
	Refunded uint64 `json:"refunded"`
	// Fraction of requests is admitted, and Allowance of them before the next report; both are 0 without a collector.
	Fraction  float64 `json:"fraction"`
	Allowance float64 `json:"allowance"`
	// Demand is the rate of requests per second that is reported to this process, Level that of the token bucket if it is the top collector.
	Demand float64 `json:"demand"`
	Level  float64 `json:"level"`
}

// Status returns the state of all quotas.
func (e *Exchange) Status() Status {
	now := clock.Now()
	var s Status
	e.mu.Lock()
	s.Processes = e.processes
	if e.repliedBy.IsValid() {
		s.Collector = e.repliedBy.String()
	}
	e.mu.Unlock()
	var collected []quota.Collected
	s.Reporting, s.Top, collected = e.collector.Status(now)
	for _, o := range e.account.Status(now) {
		s.AgeSeconds, s.Fresh = o.Age.Seconds(), o.Fresh
		out := OrganisationStatus{
			Organisation: o.Organisation, PerSecond: o.Limit.PerSecond, Burst: o.Limit.Burst, Offered: o.Counts.Offered, Admitted: o.Counts.Admitted,
			Refunded: o.Counts.Refunded, Fraction: o.Fraction, Allowance: o.Allowance,
		}
		if i, ok := slices.BinarySearchFunc(collected, o.Organisation, func(c quota.Collected, name string) int { return cmp.Compare(c.Organisation, name) }); ok {
			out.Demand, out.Level = collected[i].Demand, collected[i].Level
		}
		s.Organisations = append(s.Organisations, out)
	}
	return s
}

// StatusHandler returns the handler of StatusPath. It responds with a JSON Status.
func (e *Exchange) StatusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.Status()) // the only error is that of a client that has left
	})
}

// Limits of the metrics.
const (
	// maxNamed is the maximum number of organisations with a label of their own, othersLabel the label of all others.
	maxNamed    = 20
	othersLabel = "other"
)

// Metrics are the counters of requests by organisation. The organisations that send most get a label of their own, one at each collection
// until there are maxNamed, and keep it, so that no counter decreases.
type Metrics struct {
	exchange          *Exchange
	requests, silence *prometheus.Desc

	mu sync.Mutex
	// named maps organisations with a label to their counts when they got it, which stay with the others.
	named map[string]quota.Counts
}

// NewMetrics returns the metrics of an exchange.
func NewMetrics(e *Exchange) *Metrics {
	return &Metrics{
		exchange: e, named: map[string]quota.Counts{},
		requests: prometheus.NewDesc("chervilwell_quota_requests_total", "Requests of organisations with a quota, by whether it admitted them.", []string{"organisation", "outcome"}, nil),
		silence:  prometheus.NewDesc("chervilwell_quota_reply_age_seconds", "Time since the last report of quotas that a collector replied to.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.requests
	out <- m.silence
}

// Collect implements prometheus.Collector. Without quotas there are no metrics.
func (m *Metrics) Collect(out chan<- prometheus.Metric) {
	status := m.exchange.Status()
	if len(status.Organisations) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nameLargest(status.Organisations)
	var others quota.Counts
	send := func(name string, c quota.Counts) {
		out <- prometheus.MustNewConstMetric(m.requests, prometheus.CounterValue, float64(c.Admitted), name, "admitted")
		out <- prometheus.MustNewConstMetric(m.requests, prometheus.CounterValue, float64(c.Offered-c.Admitted), name, "refused")
		out <- prometheus.MustNewConstMetric(m.requests, prometheus.CounterValue, float64(c.Refunded), name, "refunded")
	}
	for _, o := range status.Organisations {
		c := o.counts()
		before, ok := m.named[o.Organisation]
		if !ok {
			others = others.Plus(c)
			continue
		}
		others = others.Plus(before)
		send(o.Organisation, c.Minus(before))
	}
	send(othersLabel, others)
	out <- prometheus.MustNewConstMetric(m.silence, prometheus.GaugeValue, status.AgeSeconds)
}

func (o OrganisationStatus) counts() quota.Counts {
	return quota.Counts{Offered: o.Offered, Admitted: o.Admitted, Refunded: o.Refunded}
}

// nameLargest gives a label to the organisation without one that has sent most.
func (m *Metrics) nameLargest(organisations []OrganisationStatus) {
	var largest *OrganisationStatus
	for i, o := range organisations {
		if _, ok := m.named[o.Organisation]; !ok && (largest == nil || o.Offered > largest.Offered) {
			largest = &organisations[i]
		}
	}
	if largest != nil && largest.Offered > 0 && len(m.named) < maxNamed {
		m.named[largest.Organisation] = largest.counts()
	}
}
