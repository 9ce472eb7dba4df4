package pick

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

var epoch = time.Unix(1_700_000_000, 0)

func testCatalogue() *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Revision:      1,
		Organisations: []catalogue.Organisation{{Name: "haulier-a", Share: 0.5, LinkShare: 0.5}},
		Regions: []catalogue.Region{
			{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "obb-muc", State: catalogue.InService}, {Name: "obb-ro", State: catalogue.InService}}},
			{Name: "nbb", FailureDomains: []catalogue.FailureDomain{{Name: "nbb-la", State: catalogue.InService}}},
		},
		Services: []catalogue.Service{{
			Name: "lagerstand", Owner: "haulier-a", Class: catalogue.Interactive,
			Limits: catalogue.ServiceLimits{
				Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2,
				ColdPeriod: catalogue.Duration(20 * time.Second), Drain: catalogue.Duration(10 * time.Second),
			},
		}},
		Routes: []catalogue.Route{{
			Name: "stock", Owner: "haulier-a", Class: catalogue.Interactive, Service: "lagerstand",
			Match: catalogue.Match{PathPrefix: "/lagerstand/", Methods: []string{"GET"}}, Retry: catalogue.RetrySafe,
			Limits: catalogue.RouteLimits{Timeout: catalogue.Duration(time.Second), Concurrency: 100, BodyBytes: 1 << 20},
		}},
	}
}

type failer interface{ Fatal(args ...any) }

// state compiles a catalogue with perDomain instances in each failure domain.
func state(t failer, cat *catalogue.Catalogue, perDomain int, change func(*origin.Instance)) *snapshot.State {
	doc, err := catalogue.Encode(cat)
	if err != nil {
		t.Fatal(err)
	}
	config, err := snapshot.Compile(doc)
	if err != nil {
		t.Fatal(err)
	}
	var docs []*document.Document
	for _, r := range cat.Regions {
		for _, d := range r.FailureDomains {
			list := origin.InstanceList{FailureDomain: d.Name, Version: 1}
			for i := range perDomain {
				inst := origin.Instance{
					Name: fmt.Sprintf("%s-%d", d.Name, i), FailureDomain: d.Name, Service: "lagerstand", State: origin.Live,
				}
				if change != nil {
					change(&inst)
				}
				list.Instances = append(list.Instances, inst)
			}
			doc, err := snapshot.EncodeInstances(list)
			if err != nil {
				t.Fatal(err)
			}
			docs = append(docs, doc)
		}
	}
	endpoints, err := snapshot.CompileEndpoints(docs)
	if err != nil {
		t.Fatal(err)
	}
	return &snapshot.State{Config: config, Endpoints: endpoints}
}

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

func TestPicksLocalDomainFirst(t *testing.T) {
	st := state(t, testCatalogue(), 2, nil)
	c, r := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(1)
	for range 100 {
		choice, err := c.Pick(epoch, r, st, st.Config.Route("stock"), nil)
		if err != nil || choice.Tier != SameDomain {
			t.Fatalf("picked %+v, %v; want the local failure domain", choice, err)
		}
	}
}

func TestSpillsToNextTierBeforeOverload(t *testing.T) {
	st := state(t, testCatalogue(), 2, nil)
	c, r := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(1)
	for name, load := range map[string]int{"obb-muc-0": 17, "obb-muc-1": 17, "obb-ro-0": 2, "obb-ro-1": 2} {
		c.RequestStarted(epoch, name)
		c.RequestEnded(epoch, name, Answer{Result: OK, Load: &Load{InFlight: load, Limit: 20}})
	}
	counts := map[Tier]int{}
	for range 1000 {
		choice, err := c.Pick(epoch, r, st, st.Config.Route("stock"), nil)
		if err != nil {
			t.Fatal(err)
		}
		counts[choice.Tier]++
	}
	if counts[SameRegion] < 300 || counts[SameDomain] < 300 || counts[OtherRegion] > 0 {
		t.Fatalf("picked %v; want both failure domains of the region at 85 %% load, and no other region", counts)
	}
}

func TestVerdicts(t *testing.T) {
	cat := testCatalogue()
	cat.Regions[0].FailureDomains[1].State = catalogue.OutOfService
	cat.Instances = []catalogue.InstanceState{{Name: "obb-muc-1", State: catalogue.OutOfService}}
	cat.Routes[0].HomeRegions = []string{"obb"}
	st := state(t, cat, 4, func(i *origin.Instance) {
		if i.Name == "obb-muc-2" {
			i.State = origin.Leaving
		}
	})
	c := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"})
	c.SetLeaving(epoch, "obb-muc-3", true)
	want := map[string]Reason{
		"obb-muc-0": Usable, "obb-muc-1": InstanceOut, "obb-muc-2": ListedLeaving, "obb-muc-3": ReportedLeaving,
		"obb-ro-0": DomainOut, "nbb-la-0": RegionForbidden,
	}
	for _, cand := range c.Explain(epoch, st, st.Config.Route("stock")) {
		if w, ok := want[cand.Instance.Name]; ok && cand.Verdict != w {
			t.Errorf("%s: %s, want %s", cand.Instance.Name, cand.Verdict, w)
		}
	}
	_, err := c.Pick(epoch, rng(1), st, st.Config.Route("stock"), []string{"obb-muc-0"})
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != NoneUsable {
		t.Fatalf("got %v, want a refusal", err)
	}
}

func TestEjectionIsBoundedAndEnds(t *testing.T) {
	st := state(t, testCatalogue(), 4, nil)
	c, r := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(1)
	route := st.Config.Route("stock")
	if _, err := c.Pick(epoch, r, st, route, nil); err != nil {
		t.Fatal(err)
	}
	for range failuresToEject {
		for _, inst := range st.Endpoints.ForService("lagerstand") {
			c.RequestStarted(epoch, inst.Name)
			c.RequestEnded(epoch, inst.Name, Answer{Result: Failed})
		}
	}
	ejected := 0
	for _, cand := range c.Explain(epoch, st, route) {
		if cand.Verdict == Ejected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Fatalf("%d of 12 targets ejected, want 3", ejected)
	}
	later := epoch.Add(ejectBase)
	for _, cand := range c.Explain(later, st, route) {
		if cand.Verdict != Usable {
			t.Errorf("%s is %s after its ejection", cand.Instance.Name, cand.Verdict)
		}
	}
}

func TestUnreachableTargetIsProbedOnce(t *testing.T) {
	st := state(t, testCatalogue(), 1, nil)
	c, r := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(1)
	route := st.Config.Route("stock")
	c.RequestStarted(epoch, "obb-muc-0")
	c.RequestEnded(epoch, "obb-muc-0", Answer{Result: ConnectionFailed})
	if choice, _ := c.Pick(epoch, r, st, route, nil); choice.Instance.Name != "obb-ro-0" {
		t.Fatalf("picked %q, want the other failure domain", choice.Instance.Name)
	}
	now := epoch.Add(connectionEjectBase)
	choice, _ := c.Pick(now, r, st, route, nil)
	if choice.Instance.Name != "obb-muc-0" || !choice.Probe {
		t.Fatalf("picked %+v, want a probe of obb-muc-0", choice)
	}
	c.RequestStarted(now, "obb-muc-0")
	if choice, _ = c.Pick(now, r, st, route, nil); choice.Instance.Name == "obb-muc-0" {
		t.Fatal("picked a target while its probe runs")
	}
	c.RequestEnded(now, "obb-muc-0", Answer{Result: OK, Load: &Load{Limit: 2}})
	if choice, _ = c.Pick(now.Add(time.Second), r, st, route, nil); choice.Instance.Name != "obb-muc-0" || choice.Probe {
		t.Fatalf("picked %+v after a good probe", choice)
	}
}

// A picked target must be allowed by the snapshot and must not have reported that it is leaving, for any results of
// earlier requests.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cat := testCatalogue()
		for i := range cat.Regions {
			for j := range cat.Regions[i].FailureDomains {
				if rapid.IntRange(0, 3).Draw(t, "out") == 0 {
					cat.Regions[i].FailureDomains[j].State = catalogue.OutOfService
				}
			}
		}
		if rapid.Bool().Draw(t, "homes") {
			cat.Routes[0].HomeRegions = []string{"nbb"}
		}
		st := state(t, cat, 3, func(i *origin.Instance) {
			if rapid.IntRange(0, 5).Draw(t, "leaving") == 0 {
				i.State = origin.Leaving
			}
		})
		route := st.Config.Route("stock")
		c, r, now := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(rapid.Uint64().Draw(t, "seed")), epoch
		reportedLeaving := map[string]bool{}
		var running []string
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			choice, err := c.Pick(now, r, st, route, nil)
			if err == nil {
				inst := choice.Instance
				region := st.Config.RegionOf(inst.FailureDomain)
				if !route.Allows(region) || !st.Config.DomainInService(inst.FailureDomain) || inst.State == origin.Leaving || reportedLeaving[inst.Name] {
					t.Fatalf("picked %+v", choice)
				}
				c.RequestStarted(now, inst.Name)
				running = append(running, inst.Name)
			}
			for len(running) > 0 && rapid.Bool().Draw(t, "end") {
				name := running[0]
				running = running[1:]
				a := Answer{Result: rapid.SampledFrom([]Result{OK, Failed, ConnectionFailed, Cancelled}).Draw(t, "result")}
				if rapid.Bool().Draw(t, "load") {
					a.Load = &Load{InFlight: rapid.IntRange(0, 30).Draw(t, "inflight"), Limit: 20}
				}
				a.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				c.RequestEnded(now, name, a)
				switch {
				case a.Leaving:
					reportedLeaving[name] = true
				case a.Load != nil:
					delete(reportedLeaving, name)
				}
			}
			if now.Sub(epoch) > leavingTTL {
				break
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	st := state(b, testCatalogue(), 5, nil)
	c, r := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(1)
	route := st.Config.Route("stock")
	b.ReportAllocs()
	for b.Loop() {
		choice, err := c.Pick(epoch, r, st, route, nil)
		if err != nil {
			b.Fatal(err)
		}
		c.RequestStarted(epoch, choice.Instance.Name)
		c.RequestEnded(epoch, choice.Instance.Name, Answer{Result: OK, Load: &Load{InFlight: 3, Limit: 20}})
	}
}

func TestUnresponsiveTargetIsAvoidedUntilItAnswers(t *testing.T) {
	st := state(t, testCatalogue(), 1, nil)
	c, r := New(Self{Instance: "obb-muc-0", FailureDomain: "obb-muc"}), rng(1)
	route := st.Config.Route("stock")
	c.RequestStarted(epoch, "obb-muc-0")
	c.RequestEnded(epoch, "obb-muc-0", Answer{Result: OK, Load: &Load{Limit: 20}})
	for range unresponsiveInFlight {
		c.RequestStarted(epoch, "obb-muc-0")
	}
	now := epoch.Add(unresponsiveMin)
	if choice, _ := c.Pick(now, r, st, route, nil); choice.Instance.Name != "obb-muc-0" {
		t.Fatalf("picked %q; the local target is still within its bound", choice.Instance.Name)
	}
	now = now.Add(time.Millisecond)
	if choice, _ := c.Pick(now, r, st, route, nil); choice.Instance.Name != "obb-ro-0" {
		t.Fatalf("picked %q; the local target is unresponsive", choice.Instance.Name)
	}
	c.RequestEnded(now, "obb-muc-0", Answer{Result: OK, Load: &Load{InFlight: 1, Limit: 20}})
	if choice, _ := c.Pick(now, r, st, route, nil); choice.Instance.Name != "obb-muc-0" {
		t.Fatalf("picked %q after the local target answered", choice.Instance.Name)
	}
}
