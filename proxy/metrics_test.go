package proxy

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/internal/events"
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

func TestAbandonedCallIsSplitByStage(t *testing.T) {
	registry := prometheus.NewRegistry()
	k := NewGatekeeper(GatekeeperConfig{Names: names, Log: zerolog.Nop(), LogBudget: events.NewBudget(1), Metrics: NewMetrics(registry)})
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	call := &call{}
	ranToEnd := &outcome{run: ran, arrived: true, gatekeeperTime: 1000 * time.Millisecond, took: 500 * time.Millisecond}
	k.recordAbandoned(call, ranToEnd, start, at(250))
	k.recordAbandoned(call, ranToEnd, start, at(750))
	k.recordAbandoned(call, &outcome{run: notRun, gatekeeperTime: 250 * time.Millisecond}, start, at(125))
	want := map[string]float64{"queue": .25 + 0 + .125, "target": .5 + .25}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "chervilwell_abandoned_call_seconds" {
			continue
		}
		for _, m := range family.GetMetric() {
			for _, l := range m.GetLabel() {
				if sum, ok := want[l.GetValue()]; ok && m.GetHistogram().GetSampleSum() == sum {
					delete(want, l.GetValue())
				}
			}
		}
	}
	if len(want) > 0 {
		t.Errorf("stages without the expected time: %v", want)
	}
}
