package frontend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// member is one instance on the loopback interface: its target, gatekeeper and frontend.
type member struct {
	instance   origin.Instance
	holder     *snapshot.Holder
	target     *httptest.Server
	gatekeeper *gatekeeper.Gatekeeper
	frontend   *Frontend
	store      *certs.Store
	url        string
	server     *Server
}

// fleet is a set of instances of the service "lagerstand" that list one another.
type fleet struct {
	t         *testing.T
	authority *certs.Authority
	members   []*member
	catalogue catalogue.Catalogue
	// clockOffset is added to the real time by the gatekeepers' clocks, as a time.Duration.
	clockOffset atomic.Int64
}

func baseCatalogue() catalogue.Catalogue {
	route := func(name, prefix string, policy catalogue.RetryPolicy, regions ...string) catalogue.Route {
		return catalogue.Route{
			Name: name, Owner: "haulier-a", Class: catalogue.Interactive, Service: "lagerstand", HomeRegions: regions,
			Match: catalogue.Match{PathPrefix: prefix}, Retry: policy,
			Limits: catalogue.RouteLimits{Timeout: catalogue.Duration(5 * time.Second), Concurrency: 50, BodyBytes: 1 << 20},
		}
	}
	return catalogue.Catalogue{
		Revision:      1,
		Organisations: []catalogue.Organisation{{Name: "haulier-a", Share: 0.5}, {Name: "haulier-b", Share: 0.5}},
		Regions: []catalogue.Region{
			{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "obb-muc", State: catalogue.InService}}},
			{Name: "nbb", FailureDomains: []catalogue.FailureDomain{{Name: "nbb-la", State: catalogue.InService}}},
		},
		Services: []catalogue.Service{{
			Name: "lagerstand", Owner: "haulier-a", Class: catalogue.Interactive,
			Limits: catalogue.ServiceLimits{
				Slots: 20, Connections: 40, Queue: 10, ColdSlots: 20,
				ColdPeriod: catalogue.Duration(time.Second), Drain: catalogue.Duration(5 * time.Second),
			},
		}},
		Routes: []catalogue.Route{
			route("stock", "/stock/", catalogue.RetrySafe),
			route("order", "/order/", catalogue.RetryNever),
			route("home", "/home/", catalogue.RetrySafe, "obb"),
		},
	}
}

// newFleet starts one instance for each of the failure domains; handler(i) is the target of the i-th.
func newFleet(t *testing.T, handler func(i int) http.Handler, domains ...string) *fleet {
	t.Helper()
	authority, err := certs.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, authority: authority, catalogue: baseCatalogue()}
	for i, domain := range domains {
		f.members = append(f.members, f.start(i, domain, handler(i)))
	}
	f.publish()
	return f
}

func (f *fleet) start(i int, domain string, target http.Handler) *member {
	name := domain + "-" + string(rune('1'+i))
	m := &member{holder: snapshot.NewHolder(), target: httptest.NewServer(target)}
	f.t.Cleanup(m.target.Close)
	m.store = f.certStore(certs.Identity{Instance: name, FailureDomain: domain})
	peers := f.listen()
	m.instance = origin.Instance{
		Name: name, FailureDomain: domain, Service: "lagerstand", RequestAddr: peers.Addr().String(), State: origin.Live,
	}
	remote := NewHTTPTransport(m.store)
	m.gatekeeper = gatekeeper.New(gatekeeper.Config{
		Instance: name, FailureDomain: domain, Service: "lagerstand",
		TargetAddr: strings.TrimPrefix(m.target.URL, "http://"), Holder: m.holder, Peers: remote,
		Now: func() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) },
	})
	f.serve(m.gatekeeper)
	transport := &LocalTransport{Instance: name, Gatekeeper: m.gatekeeper, Remote: remote}
	m.frontend = New(Config{
		Instance: name, FailureDomain: domain, Holder: m.holder, Picker: NewPicker(name, domain), Transport: transport,
		TrustOrganisationHeader: true,
	})
	callers := f.listen()
	m.url = "http://" + callers.Addr().String()
	m.server = NewServer(callers, nil, m.frontend)
	f.serve(gatekeeper.NewServer(peers, m.store.PeerServer("http/1.1"), m.gatekeeper))
	f.serve(m.server)
	return m
}

func (f *fleet) serve(s interface{ Serve(context.Context) error }) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (f *fleet) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return listener
}

func (f *fleet) certStore(id certs.Identity) *certs.Store {
	pair, err := f.authority.IssueInstance(id)
	if err != nil {
		f.t.Fatal(err)
	}
	cert, err := pair.TLS()
	if err != nil {
		f.t.Fatal(err)
	}
	return certs.NewStatic(cert, f.authority.Pool())
}

// publish applies the fleet's catalogue and lists of instances at every member.
func (f *fleet) publish() {
	f.t.Helper()
	doc, err := catalogue.Encode(&f.catalogue)
	if err != nil {
		f.t.Fatal(err)
	}
	var lists []*document.Document
	for _, m := range f.members {
		list, err := snapshot.EncodeInstances(origin.InstanceList{
			FailureDomain: m.instance.FailureDomain, Version: f.catalogue.Revision, Instances: []origin.Instance{m.instance},
		})
		if err != nil {
			f.t.Fatal(err)
		}
		lists = append(lists, list)
	}
	endpoints, err := snapshot.CompileEndpoints(lists)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, m := range f.members {
		m.holder.SetEndpoints(endpoints)
		if err := m.holder.Accept(doc); err != nil {
			f.t.Fatal(err)
		}
	}
}
