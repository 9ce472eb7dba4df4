package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/internal/peer"
)

// trafficCounter is implemented by transports that count bytes.
type trafficCounter interface{ Traffic() peer.Traffic }

type metrics struct {
	sent, received, reads prometheus.Counter
	revision              prometheus.Gauge
}

func newMetrics(r prometheus.Registerer, transport peer.Transport) *metrics {
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
	if counter, ok := transport.(trafficCounter); ok && r != nil {
		r.MustRegister(
			trafficMetric("sent", func() float64 { return float64(counter.Traffic().Sent) }),
			trafficMetric("received", func() float64 { return float64(counter.Traffic().Received) }),
		)
	}
	return m
}

// trafficMetric returns a counter of bytes in one direction that calls value when collected.
func trafficMetric(direction string, value func() float64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "chervilwell", Subsystem: "distribution", Name: "bytes_total",
		Help: "Bytes of packets between processes.", ConstLabels: prometheus.Labels{"direction": direction},
	}, value)
}
