package proxy

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/balance"
)

// Kinds of bytes between regions.
const (
	bytesOfBodies        = "body"
	bytesOfRefusedBodies = "refused-body"
	bytesOfResponses     = "response"
	bytesOfHeads         = "head"
)

// regionMetrics counts what the frontend sends to targets in other regions, and what it receives from there.
type regionMetrics struct {
	bytes *prometheus.CounterVec
	// announced counts the bodies that were announced before they were sent.
	announced prometheus.Counter
}

func newRegionMetrics() regionMetrics {
	return regionMetrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_region_bytes_total",
			Help: "Bytes of requests and responses between regions, by kind, whether bound to the other region, and whether tried before.",
		}, []string{"kind", "bound", "retry"}),
		announced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_region_announced_bodies_total", Help: "Request bodies that were announced to another region before they were sent.",
		}),
	}
}

func (m *regionMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.bytes, m.announced}
}

// observeRegion counts an attempt at a target in another region.
func (f *Frontend) observeRegion(req *request, choice balance.Choice, c *call, o *outcome) {
	if choice.Distance != balance.OtherRegion || o.reason == reasonUnreachable {
		return
	}
	m := &f.cfg.Metrics.regions
	bound, retry := strconv.FormatBool(!req.allows(f.cfg.Region)), strconv.FormatBool(f.isRetry(req, choice))
	count := func(kind string, bytes int) {
		if bytes > 0 {
			m.bytes.WithLabelValues(kind, bound, retry).Add(float64(bytes))
		}
	}
	count(bytesOfHeads, len(c.method)+len(c.uri)+headerBytes(c.header)+headerBytes(o.header))
	count(bytesOfResponses, int(o.length)) // below 0 for a streamed response without a length
	switch {
	case o.run != notRun:
		count(bytesOfBodies, len(req.body))
	case !choice.ExpectContinue:
		count(bytesOfRefusedBodies, len(req.body))
	}
	if choice.ExpectContinue {
		m.announced.Inc()
	}
}

// headerBytes returns the size in bytes of a header as sent.
func headerBytes(h http.Header) int {
	bytes := 0
	for name, values := range h {
		for _, value := range values {
			bytes += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return bytes
}

// isRetry reports whether a choice is not the first of its request.
func (f *Frontend) isRetry(req *request, choice balance.Choice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Index(req.tried, choice.Target.ID) > 0
}
