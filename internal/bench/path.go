package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// pathMember is one instance of a path: a frontend, a gatekeeper and a target, on loopback.
type pathMember struct {
	instance   origin.Instance
	targetAddr string
	callerAddr string
	gatekeeper *gatekeeper.Gatekeeper
	frontend   *frontend.Frontend
}

// path is a set of instances in this process that forward requests to one another.
type path struct {
	ctx       context.Context
	authority *certs.Authority
	holder    *snapshot.Holder
	members   []*pathMember
	stops     []func()
}

// pathInstance describes the location, service and target of an instance.
type pathInstance struct {
	name          string
	failureDomain string
	region        string
	service       string
	target        http.Handler
	// transport wraps the transport to other instances; nil leaves it unchanged.
	transport func(frontend.Transport) frontend.Transport
	// link returns the address at which other instances reach the one listening on addr; nil stands for addr itself.
	link func(addr string) (string, error)
}

// newPath returns an empty path, which ends with ctx or when it is closed.
func newPath(ctx context.Context) (*path, error) {
	authority, err := certs.NewAuthority("bench")
	if err != nil {
		return nil, err
	}
	return &path{ctx: ctx, authority: authority, holder: snapshot.NewHolder()}, nil
}

// close stops everything that was started, in reverse order.
func (p *path) close() {
	for i := len(p.stops) - 1; i >= 0; i-- {
		p.stops[i]()
	}
}

// run calls serve in the background. Its context ends when the path is closed.
func (p *path) run(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(p.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx)
	}()
	p.stops = append(p.stops, func() {
		cancel()
		<-done
	})
}

func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "loopback listener")
}

// serveHTTP serves a handler over plain HTTP on loopback and returns the address.
func (p *path) serveHTTP(h http.Handler) (string, error) {
	l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	p.run(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { server.Close() })()
		return server.Serve(l)
	})
	return l.Addr().String(), nil
}

// store returns a store with a new certificate for an instance.
func (p *path) store(place pathInstance) (*certs.Store, error) {
	pair, err := p.authority.IssueInstance(certs.Identity{Instance: place.name, FailureDomain: place.failureDomain})
	if err != nil {
		return nil, err
	}
	cert, err := pair.TLS()
	if err != nil {
		return nil, err
	}
	return certs.NewStatic(cert, p.authority.Pool()), nil
}

// add starts an instance.
func (p *path) add(place pathInstance) error {
	store, err := p.store(place)
	if err != nil {
		return err
	}
	m := &pathMember{}
	if m.targetAddr, err = p.serveHTTP(place.target); err != nil {
		return err
	}
	peers, err := listenLoopback()
	if err != nil {
		return err
	}
	m.instance = origin.Instance{
		Name: place.name, FailureDomain: place.failureDomain, Service: place.service,
		RequestAddr: peers.Addr().String(), State: origin.Live,
	}
	if place.link != nil {
		if m.instance.RequestAddr, err = place.link(m.instance.RequestAddr); err != nil {
			return err
		}
	}
	remote := frontend.NewHTTPTransport(store)
	m.gatekeeper = gatekeeper.New(gatekeeper.Config{
		Instance: place.name, FailureDomain: place.failureDomain, Service: place.service,
		TargetAddr: m.targetAddr, Holder: p.holder, Peers: remote,
	})
	p.run(m.gatekeeper.Serve)
	p.run(gatekeeper.NewServer(peers, store.PeerServer("http/1.1"), m.gatekeeper).Serve)
	return p.addFrontend(m, place, remote)
}

// addFrontend starts the frontend of an instance and adds the instance to the members.
func (p *path) addFrontend(m *pathMember, place pathInstance, remote *frontend.HTTPTransport) error {
	var transport frontend.Transport = remote
	if place.transport != nil {
		transport = place.transport(transport)
	}
	m.frontend = frontend.New(frontend.Config{
		Instance: place.name, FailureDomain: place.failureDomain, Holder: p.holder,
		Picker:                  frontend.NewPicker(place.name, place.failureDomain),
		Transport:               &frontend.LocalTransport{Instance: place.name, Gatekeeper: m.gatekeeper, Remote: transport},
		TrustOrganisationHeader: true,
	})
	callers, err := listenLoopback()
	if err != nil {
		return err
	}
	m.callerAddr = callers.Addr().String()
	p.run(frontend.NewServer(callers, nil, m.frontend).Serve)
	p.members = append(p.members, m)
	return nil
}

// publish puts a catalogue and the list of all instances in force.
func (p *path) publish(cat *catalogue.Catalogue) error {
	byDomain := map[string][]origin.Instance{}
	for _, m := range p.members {
		byDomain[m.instance.FailureDomain] = append(byDomain[m.instance.FailureDomain], m.instance)
	}
	var docs []*document.Document
	for domain, list := range byDomain {
		doc, err := snapshot.EncodeInstances(origin.InstanceList{FailureDomain: domain, Version: cat.Revision, Instances: list})
		if err != nil {
			return err
		}
		docs = append(docs, doc)
	}
	endpoints, err := snapshot.CompileEndpoints(docs)
	if err != nil {
		return err
	}
	p.holder.SetEndpoints(endpoints)
	doc, err := catalogue.Encode(cat)
	if err != nil {
		return err
	}
	return p.holder.Accept(doc)
}

// pathCatalogue returns a catalogue with one organisation "streusalz", the given regions, and for each name a service with the
// route "/NAME/".
func pathCatalogue(regions []catalogue.Region, services ...string) *catalogue.Catalogue {
	cat := &catalogue.Catalogue{
		Revision:      1,
		Organisations: []catalogue.Organisation{{Name: "streusalz", Share: 1, LinkShare: 1}},
		Regions:       regions,
	}
	for _, name := range services {
		cat.Services = append(cat.Services, catalogue.Service{
			Name: name, Owner: "streusalz", Class: catalogue.Interactive,
			Limits: catalogue.ServiceLimits{
				Slots: 20, Connections: 120, Queue: 40, ColdSlots: 20,
				ColdPeriod: catalogue.Duration(time.Second), Drain: catalogue.Duration(10 * time.Second),
			},
		})
		cat.Routes = append(cat.Routes, catalogue.Route{
			Name: name, Owner: "streusalz", Class: catalogue.Interactive, Service: name, Retry: catalogue.RetrySafe,
			Match: catalogue.Match{PathPrefix: fmt.Sprintf("/%s/", name)},
			Limits: catalogue.RouteLimits{
				Timeout: catalogue.Duration(5 * time.Second), Concurrency: 1000, BodyBytes: 16 << 20,
			},
		})
	}
	return cat
}
