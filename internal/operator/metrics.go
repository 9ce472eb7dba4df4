package operator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/chart/charts"
)

var (
	readyDesc = prometheus.NewDesc("chervilwell_ready", "1 while the process takes callers' requests, 0 otherwise.", nil, nil)
	stateDesc = prometheus.NewDesc("chervilwell_process_state", "1 for the state that the process is in.", []string{"state"}, nil)
	// sourceDesc is 0 in processes that do not read the platform.
	sourceDesc = prometheus.NewDesc("chervilwell_platform_failing", "1 if the last read of the platform by this process failed.", nil, nil)
	alertsDesc = prometheus.NewDesc("chervilwell_open_alerts", "Open alerts of an organisation.", []string{"organisation"}, nil)
	knownDesc  = prometheus.NewDesc("chervilwell_instances_known", "Instances that the process knows.", nil, nil)
)

// stateCollector collects the metrics of the state of the process.
type stateCollector struct{ handler *Handler }

// Describe implements prometheus.Collector.
func (c stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{readyDesc, stateDesc, sourceDesc, alertsDesc, knownDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c stateCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	config := c.handler.config
	state, now := config.Holder.Load(), config.Process.State()
	gauge(readyDesc, boolValue(now == charts.ProcessServing))
	gauge(stateDesc, 1, string(now))
	gauge(sourceDesc, boolValue(config.Distribution.Status().SourceFailing))
	gauge(knownDesc, float64(state.Endpoints.Len()))
	if state.Config == nil {
		return
	}
	alertCounts := map[string]int{}
	for _, a := range openAlerts(state) {
		alertCounts[a.Organisation]++
	}
	for name := range state.Config.Organisations() {
		gauge(alertsDesc, float64(alertCounts[name]), name)
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
