package proxy

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
)

// sums returns the sum in seconds of each histogram's samples, by histogram name and outcome.
func sums(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if m.GetHistogram().GetSampleCount() == 0 {
				continue
			}
			for _, l := range m.GetLabel() {
				if l.GetName() == "outcome" {
					out[family.GetName()+" "+l.GetValue()] += m.GetHistogram().GetSampleSum()
				}
			}
		}
	}
	return out
}

func TestAttemptTimeIsSplitByStage(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.attempt(mesh.Safe, &outcome{
		run: ran, arrived: true, load: &gate.Load{}, gatekeeperTime: 750 * time.Millisecond, took: 500 * time.Millisecond,
	}, time.Second)
	m.attempt(mesh.Once, &outcome{run: notRun, load: &gate.Load{}, gatekeeperTime: 125 * time.Millisecond}, 250*time.Millisecond)
	m.attempt(mesh.Once, &outcome{run: unknown}, time.Second) // no load from the gate: nothing to split
	want := map[string]float64{
		"chervilwell_hop_seconds ran": .25, "chervilwell_queue_seconds ran": .25, "chervilwell_service_seconds ran": .5,
		"chervilwell_hop_seconds not-run": .125, "chervilwell_queue_seconds not-run": .125,
	}
	got := sums(t, registry)
	for name, sum := range want {
		if got[name] != sum {
			t.Errorf("%s: %v, want %v", name, got[name], sum)
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %v", got)
	}
}
