package bench

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/agent"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// freePort asks for a free port of 127.0.0.1.
const freePort = "127.0.0.1:0"

// drainLimit bounds a graceful stop of a process.
const drainLimit = 10 * time.Second

// Node is one instance: its target and the process beside it.
type Node struct {
	Instance origin.Instance
	Target   *standin.Target

	mesh    *Mesh
	store   *certs.Store
	callers string // address of the callers' listener, kept over restarts
	relays  map[string]*standin.Relay

	mu      sync.Mutex
	process *process
}

// process is one life of the daemon's parts.
type process struct {
	holder     *snapshot.Holder
	agent      *agent.Agent
	transport  *peer.QUIC
	gatekeeper *gatekeeper.Gatekeeper
	link       *linkbudget.Budget
	requests   *gatekeeper.Server
	frontend   *frontend.Server
	stop       context.CancelFunc
	duties     sync.WaitGroup
}

func (m *Mesh) newNode(i int, p placement) (*Node, error) {
	n := &Node{Instance: instanceOf(p), mesh: m, callers: freePort, relays: map[string]*standin.Relay{}}
	n.Instance.PeerAddr, n.Instance.RequestAddr = freePort, freePort
	pair, err := m.authority.IssueInstance(certs.Identity{Instance: n.Instance.Name, FailureDomain: p.domain})
	if err != nil {
		return nil, err
	}
	cert, err := pair.TLS()
	if err != nil {
		return nil, err
	}
	n.store = certs.NewStatic(cert, m.authority.Pool())
	cfg := standin.TargetConfig{
		Name: n.Instance.Name, Limits: m.limits[p.service], Service: targetService, Spread: targetSpread, Warm: true,
		DownTime: targetDownTime, HealthLag: targetHealthLag, ResponseBytes: targetAnswer, Seed: m.options.Seed + uint64(i), Ledger: m.Ledger,
	}
	if m.options.Target != nil {
		m.options.Target(&cfg)
	}
	n.Target = standin.NewTarget(cfg)
	_, err = n.Target.Start("")
	return n, err
}

// Start starts a new life of the process, at the addresses of the first one.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return errors.Errorf("process of %q runs already", n.Instance.Name)
	}
	requests, err := rebind(ctx, n.Instance.RequestAddr)
	if err != nil {
		return err
	}
	callers, err := rebind(ctx, n.callers)
	if err != nil {
		return err
	}
	if n.callers == freePort {
		n.Instance.RequestAddr = requests.Addr().String()
		n.callers = callers.Addr().String()
	}
	p, err := n.build(requests, callers)
	if err != nil {
		return err
	}
	n.process = p
	p.run()
	return nil
}

// rebind listens on an address, which an earlier life may hold for a moment.
func rebind(ctx context.Context, address string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || periodic.Sleep(ctx, 10*time.Millisecond) != nil {
			return l, errors.Wrap(err, "listen")
		}
	}
}

func (n *Node) build(requests, callers net.Listener) (*process, error) {
	p := &process{holder: snapshot.NewHolder()}
	var err error
	p.transport, err = peer.Listen(peer.Config{Addr: n.Instance.PeerAddr, Certs: n.store, Log: n.mesh.log})
	if err != nil {
		return nil, err
	}
	if n.Instance.PeerAddr == freePort {
		n.Instance.PeerAddr = p.transport.Addr()
	}
	domain := n.Instance.FailureDomain
	n.mesh.addPeer(n.Instance.PeerAddr, domain)
	p.agent = agent.New(agent.Config{
		Self: n.Instance, Region: n.mesh.regions[domain], StoreRegions: []string{homeRegion}, Seeds: n.mesh.seeds(n),
		Source: &cutSource{Source: n.mesh.Platform, links: n.mesh.Links, domain: domain}, Transport: n.linked(p.transport),
		Holder: p.holder, Log: n.mesh.log, FleetSize: len(n.mesh.placements()),
	})
	remote := &linkCarrier{mesh: n.mesh, from: domain, carrier: frontend.NewHTTPTransport(n.store)}
	p.link = linkbudget.New(linkbudget.Config{Instance: n.Instance.Name, FailureDomain: domain, Holder: p.holder, Peers: remote})
	p.gatekeeper = gatekeeper.New(gatekeeper.Config{
		Instance: n.Instance.Name, FailureDomain: domain, Service: n.Instance.Service,
		TargetAddr: n.Target.Address(), Holder: p.holder, Peers: remote, Link: p.link, Log: n.mesh.log,
	})
	p.requests = gatekeeper.NewServer(requests, n.store.PeerServer("http/1.1"), p.gatekeeper)
	picker := frontend.NewPicker(n.Instance.Name, domain)
	p.agent.SubscribeNotice(distribution.LeavingKind, func(notice distribution.Notice) {
		if notice.Origin == notice.Subject {
			picker.SetLeaving(notice.Subject, true)
		}
	})
	var carrier frontend.Transport = &frontend.LocalTransport{Instance: n.Instance.Name, Gatekeeper: p.gatekeeper, Remote: remote}
	if n.mesh.options.Carrier != nil {
		carrier = n.mesh.options.Carrier(carrier)
	}
	front := frontend.New(frontend.Config{
		Instance: n.Instance.Name, FailureDomain: domain, Holder: p.holder, Picker: picker, Transport: carrier, LinkBudget: p.link,
		TrustOrganisationHeader: true, Log: n.mesh.log,
	})
	p.frontend = frontend.NewServer(callers, nil, front)
	return p, nil
}

func (p *process) run() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	for _, duty := range []func(context.Context) error{p.agent.Serve, p.gatekeeper.Serve, p.link.Serve, p.requests.Serve, p.frontend.Serve} {
		p.duties.Go(func() { _ = duty(ctx) }) // ends with the life
	}
}

// Kill ends the process at once: its connections close without an answer, its peers hear nothing.
func (n *Node) Kill() {
	n.mu.Lock()
	p := n.process
	n.process = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	_ = p.transport.Close()
	p.duties.Wait()
}

// Stop ends the process as an operator does: it tells its peers, finishes what runs and then ends.
func (n *Node) Stop(ctx context.Context) error {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	p.agent.AnnounceLeaving(ctx)
	var wait sync.WaitGroup
	errs := make([]error, 2)
	wait.Go(func() { errs[0] = p.gatekeeper.Drain(ctx) })
	wait.Go(func() { errs[1] = p.frontend.Shutdown(ctx) })
	wait.Wait()
	err := p.requests.Shutdown(ctx)
	n.Kill()
	for _, e := range errs {
		if e != nil {
			return e
		}
	}
	return err
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil
}

// Revision returns the revision in force at the process, or 0.
func (n *Node) Revision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.agent.Revision()
}

// knows reports whether the process has joined and knows a number of instances.
func (n *Node) knows(instances int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && n.process.agent.Joined() && n.process.holder.Load().Endpoints.Len() >= instances
}

// linkCarrier sends shipments over the links between failure domains.
type linkCarrier struct {
	mesh    *Mesh
	from    string
	carrier *frontend.HTTPTransport
}

// Post implements gatekeeper.Peers.
func (c *linkCarrier) Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error) {
	address, err := c.mesh.relay(c.from, to)
	if err != nil {
		return nil, err
	}
	to.RequestAddr = address
	return c.carrier.Post(ctx, to, path, body)
}

// Do implements frontend.Carrier.
func (c *linkCarrier) Do(s *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	address, err := c.mesh.relay(c.from, s.Target)
	if err != nil {
		return nil, refusal.New(refusal.Unreachable, "%v", err)
	}
	s.Target.RequestAddr = address
	return c.carrier.Do(s)
}
