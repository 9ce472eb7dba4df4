package proxy

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/internal/events"
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
	// announced counts the bodies announced because targets of the region refuse requests, left the requests that left a full region to
	// those that are bound to it.
	announced, left prometheus.Counter
}

func newRegionMetrics() regionMetrics {
	return regionMetrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_region_bytes_total",
			Help: "Bytes of requests and their responses between regions, by kind, whether the request is bound to the other region, and whether it was tried before.",
		}, []string{"kind", "bound", "retry"}),
		announced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_region_announced_bodies_total", Help: "Request bodies that were announced to another region before they were sent.",
		}),
		left: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_region_left_total", Help: "Requests that left a full region to those that are bound to it.",
		}),
	}
}

func (m *regionMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.bytes, m.announced, m.left}
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
	count(bytesOfResponses, len(o.body))
	switch {
	case o.run != notRun:
		count(bytesOfBodies, len(req.body))
	case !choice.ExpectContinue:
		count(bytesOfRefusedBodies, len(req.body))
	}
	if choice.ExpectContinue {
		m.announced.Inc()
	}
	if choice.LeavesRoom {
		m.left.Inc()
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

// logRoom logs a change in what leaves a region. change may be nil.
func (f *Frontend) logRoom(change *balance.RoomChange) {
	if change == nil || !f.isBound(change) || !f.cfg.LogBudget.Allow() {
		return
	}
	if change.Leaving {
		f.cfg.Log.Info().Str("service", change.Service).Str("region", change.Region).Float64("fill", change.Fill).Msg(events.RegionFull)
		return
	}
	f.cfg.Log.Info().Str("service", change.Service).Str("region", change.Region).Float64("fill", change.Fill).Msg(events.RegionRoomy)
}

// isBound reports whether requests are bound to the region of a change.
func (f *Frontend) isBound(change *balance.RoomChange) bool {
	config := f.cfg.Holder.Load().Config
	return config != nil && slices.Contains(config.BoundRegions(change.Service), change.Region)
}
