package agent

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	sent, received, reads prometheus.Counter
	revision              prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chervilwell", Subsystem: "distribution", Name: name, Help: help})
	}
	m := &metrics{
		sent:     counter("messages_sent_total", "Messages sent to peers."),
		received: counter("messages_received_total", "Messages received from peers."),
		reads:    counter("platform_reads_total", "Reads of the platform, standing ones included."),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "chervilwell", Subsystem: "distribution", Name: "catalogue_revision", Help: "Revision of the catalogue in force.",
		}),
	}
	if r != nil {
		r.MustRegister(m.sent, m.received, m.reads, m.revision)
	}
	return m
}
