package pick_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/snapshot"
)

func exampleState() *snapshot.State {
	cat := &catalogue.Catalogue{
		Revision:      1,
		Organisations: []catalogue.Organisation{{Name: "haulier-a", Share: 1}},
		Regions: []catalogue.Region{{Name: "obb", FailureDomains: []catalogue.FailureDomain{
			{Name: "obb-muc", State: catalogue.InService}, {Name: "obb-ro", State: catalogue.InService},
		}}},
		Services: []catalogue.Service{{Name: "lagerstand", Owner: "haulier-a", Class: catalogue.Interactive, Limits: catalogue.ServiceLimits{
			Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2,
			ColdPeriod: catalogue.Duration(20 * time.Second), Drain: catalogue.Duration(10 * time.Second),
		}}},
		Routes: []catalogue.Route{{
			Name: "stock", Owner: "haulier-a", Class: catalogue.Interactive, Service: "lagerstand",
			Match: catalogue.Match{PathPrefix: "/"}, Retry: catalogue.RetrySafe,
			Limits: catalogue.RouteLimits{Timeout: catalogue.Duration(time.Second), Concurrency: 100, BodyBytes: 1 << 20},
		}},
	}
	doc, _ := catalogue.Encode(cat)
	config, err := snapshot.Compile(doc)
	if err != nil {
		panic(err)
	}
	var docs []*document.Document
	for _, domain := range []string{"obb-muc", "obb-ro"} {
		list, _ := snapshot.EncodeInstances(origin.InstanceList{FailureDomain: domain, Version: 1, Instances: []origin.Instance{
			{Name: domain + "-1", FailureDomain: domain, Service: "lagerstand", State: origin.Live},
		}})
		docs = append(docs, list)
	}
	endpoints, _ := snapshot.CompileEndpoints(docs)
	return &snapshot.State{Config: config, Endpoints: endpoints}
}

func Example() {
	now := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	state := exampleState()
	route := state.Config.Match("GET", "/stock")
	chooser := pick.New(pick.Self{Instance: "obb-muc-1", FailureDomain: "obb-muc"})

	first, _ := chooser.Pick(now, rng, state, route, nil)
	fmt.Println(first.Instance.Name, first.Tier)

	chooser.RequestStarted(now, "obb-muc-1")
	chooser.RequestEnded(now, "obb-muc-1", pick.Answer{Result: pick.ConnectionFailed})
	second, _ := chooser.Pick(now, rng, state, route, nil)
	fmt.Println(second.Instance.Name, second.Tier)
	// Output:
	// obb-muc-1 own-failure-domain
	// obb-ro-1 own-region
}
