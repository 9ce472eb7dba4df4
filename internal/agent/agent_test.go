package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// TestMain initialises the shared codec outside of a synctest bubble, since it creates its channels on first use.
func TestMain(m *testing.M) {
	if _, err := document.Pack("warm"); err != nil {
		panic(err)
	}
	m.Run()
}

// testAgent is a running agent with its dependencies.
type testAgent struct {
	*Agent
	inst   origin.Instance
	holder *snapshot.Holder
	trail  *audit.Trail
	port   *peer.Port
	stop   func()
}

// startAgents starts agents in one failure domain that share a network and a platform.
func startAgents(t *testing.T, store *standin.Platform, count int) []*testAgent {
	network := peer.NewNetwork(func(origin.Instance, origin.Instance) peer.Path { return peer.Path{Delay: time.Millisecond} })
	var agents []*testAgent
	for i := range count {
		name := fmt.Sprintf("muc-%d", i)
		r := &testAgent{
			inst: origin.Instance{
				Name: name, FailureDomain: "muc", Service: "lagerstand", PeerAddr: name, RequestAddr: name, State: origin.Live,
			},
			holder: snapshot.NewHolder(), trail: audit.New(16, zerolog.Nop()),
		}
		store.PutInstance(r.inst)
		r.port = network.Attach(r.inst)
		r.Agent = New(Config{
			Self: r.inst, Seeds: []string{"muc-0"}, Source: store, Transport: r.port, Holder: r.holder, Audit: r.trail,
			Log: zerolog.Nop(), FleetSize: count, Seed: uint64(i + 1), Incarnation: 1,
		})
		agents = append(agents, r)
	}
	for _, r := range agents {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = r.Serve(ctx)
		}()
		r.stop = func() { cancel(); <-done }
	}
	return agents
}

func testCatalogue(revision uint64) *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Revision:      revision,
		Organisations: []catalogue.Organisation{{Name: "haulier-a", Share: 0.5}},
		Regions:       []catalogue.Region{{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "muc", State: catalogue.InService}}}},
		Services: []catalogue.Service{{Name: "lagerstand", Owner: "haulier-a", Class: catalogue.Interactive, Limits: catalogue.ServiceLimits{
			Slots: 20, Connections: 120, Queue: int(40 + revision), ColdSlots: 2, ColdPeriod: catalogue.Duration(time.Second), Drain: catalogue.Duration(time.Second),
		}}},
		Routes: []catalogue.Route{{
			Name: "stock-view", Owner: "haulier-a", Class: catalogue.Interactive, Service: "lagerstand", Retry: catalogue.RetrySafe,
			Match:  catalogue.Match{PathPrefix: "/lagerstand/"},
			Limits: catalogue.RouteLimits{Timeout: catalogue.Duration(time.Second), Concurrency: 10, BodyBytes: 1000},
		}},
	}
}

func publish(t *testing.T, store *standin.Platform, revision uint64) {
	t.Helper()
	if _, err := store.PublishCatalogue(testCatalogue(revision)); err != nil {
		t.Fatal(err)
	}
}

// requireRevision checks that all agents have joined with the given revision and number of endpoints.
func requireRevision(t *testing.T, agents []*testAgent, revision uint64, endpoints int) {
	t.Helper()
	for _, r := range agents {
		if got := r.Revision(); got != revision || !r.Joined() || r.holder.Load().Endpoints.Len() != endpoints {
			t.Errorf("%s: revision %d, joined %v, %d endpoints; want %d and %d endpoints: %+v",
				r.inst.Name, got, r.Joined(), r.holder.Load().Endpoints.Len(), revision, endpoints, r.Status())
		}
	}
}

func TestAgentsFollowThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{Delay: time.Millisecond})
		publish(t, store, 1)
		agents := startAgents(t, store, 6)
		time.Sleep(5 * time.Second)
		requireRevision(t, agents, 1, 6)
		publish(t, store, 2)
		store.PutInstance(origin.Instance{Name: "muc-9", FailureDomain: "muc", Service: "lagerstand", PeerAddr: "muc-9", State: origin.Live})
		time.Sleep(time.Second)
		requireRevision(t, agents, 2, 7)
		if n := len(agents[0].Members("muc")); n != 7 {
			t.Errorf("%d members, want 7", n)
		}
		var applied []uint64
		for _, record := range agents[3].trail.Since(0) {
			if record.Kind == audit.Applied {
				applied = append(applied, record.Revision)
			}
		}
		if fmt.Sprint(applied) != "[1 2]" {
			t.Errorf("audit trail has applied revisions %v", applied)
		}
		for _, r := range agents {
			r.stop()
		}
	})
}

func TestNoticesAreDeliveredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		publish(t, store, 1)
		agents := startAgents(t, store, 5)
		got := make(chan string, 64)
		for _, r := range agents {
			r.SubscribeNotice("quarantine", func(n distribution.Notice) { got <- r.inst.Name + " " + n.Subject + " " + string(n.Body) })
		}
		time.Sleep(5 * time.Second)
		agents[2].PublishNotice("quarantine", "fingerprint", []byte("x"), time.Minute)
		agents[2].PublishNotice("other", "ignored", nil, time.Minute)
		time.Sleep(time.Second)
		if len(got) != len(agents)-1 {
			t.Errorf("%d deliveries, want one for each other agent", len(got))
		}
		for range len(got) {
			if s := <-got; s[len("muc-0"):] != " fingerprint x" {
				t.Errorf("delivered %q", s)
			}
		}
		for _, r := range agents {
			r.stop()
		}
	})
}

func TestPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		publish(t, store, 1)
		agents := startAgents(t, store, 3)
		time.Sleep(5 * time.Second)
		before := store.Reads().Total
		store.SetOutage(true)
		time.Sleep(60 * time.Second)
		requireRevision(t, agents, 1, 3)
		if reads := store.Reads().Total - before; reads > 60 {
			t.Errorf("%d reads in a minute of outage, want at most 60: reader does not back off", reads)
		}
		store.SetOutage(false)
		publish(t, store, 2)
		time.Sleep(15 * time.Second)
		requireRevision(t, agents, 2, 3)
		failures := 0
		for _, r := range agents {
			for _, record := range r.trail.Since(0) {
				if record.Kind == audit.Source && record.Remedy != "" {
					failures++
				}
			}
			r.stop()
		}
		if failures == 0 {
			t.Error("the outage is not in any audit trail")
		}
	})
}
