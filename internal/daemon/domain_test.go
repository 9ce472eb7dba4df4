package daemon

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/snapshot"
)

// fakeGate is an admissionControl with a load set by the test. It counts calls of MarkCold.
type fakeGate struct {
	load          headers.LoadState
	markColdCalls int
}

func (g *fakeGate) Load() headers.LoadState { return g.load }
func (g *fakeGate) MarkCold()               { g.markColdCalls++ }

func TestFailureDomainLeavesAndReturns(t *testing.T) {
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		t.Fatal(err)
	}
	gate := &fakeGate{load: headers.LoadState{InFlight: 3, Limit: 20}}
	trail := audit.New(64, zerolog.Nop())
	watch, err := newDomainWatch("obb-ro", "lagerstand", gate, trail)
	if err != nil {
		t.Fatal(err)
	}
	holder := snapshot.NewHolder()
	now := time.Unix(0, 0)
	step := func(c *catalogue.Catalogue, load headers.LoadState, want chart.State) {
		t.Helper()
		doc, err := catalogue.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := holder.Accept(doc); err != nil {
			t.Fatal(err)
		}
		gate.load = load
		watch.observe(now, holder.Load().Config)
		if got := watch.machine.State(); got != want {
			t.Fatalf("revision %d load %+v: state %s, want %s", c.Revision, load, got, want)
		}
	}
	out, _ := cat.WithDomainState("obb-ro", catalogue.OutOfService)
	returned, _ := out.WithDomainState("obb-ro", catalogue.InService)
	step(cat, headers.LoadState{InFlight: 3, Limit: 20}, charts.DomainIn)
	step(out, headers.LoadState{InFlight: 3, Limit: 20}, charts.DomainLeaving)
	step(out, headers.LoadState{InFlight: 0, Limit: 20}, charts.DomainOut)
	step(returned, headers.LoadState{InFlight: 0, Limit: 2}, charts.DomainReturning)
	step(returned, headers.LoadState{InFlight: 0, Limit: 20}, charts.DomainIn)
	if gate.markColdCalls != 1 {
		t.Errorf("target turned cold %d times, want once, on return", gate.markColdCalls)
	}
	kinds := map[audit.Kind]int{}
	for _, r := range trail.Since(0) {
		kinds[r.Kind]++
	}
	if kinds[audit.OutOfService] != 1 || kinds[audit.InService] != 1 {
		t.Errorf("audited %v, want one record out and one in", kinds)
	}
}

func TestInitialConfigurationWithLocalDomainOut(t *testing.T) {
	cat, _ := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	out, _ := cat.WithDomainState("obb-ro", catalogue.OutOfService)
	doc, err := catalogue.Encode(out)
	if err != nil {
		t.Fatal(err)
	}
	watch, err := newDomainWatch("obb-ro", "lagerstand", &fakeGate{}, audit.New(64, zerolog.Nop()))
	if err != nil {
		t.Fatal(err)
	}
	holder := snapshot.NewHolder()
	if err := holder.Accept(doc); err != nil {
		t.Fatal(err)
	}
	watch.observe(time.Unix(0, 0), holder.Load().Config)
	if got := watch.machine.State(); got != charts.DomainOut {
		t.Fatalf("state %s, want %s", got, charts.DomainOut)
	}
}
