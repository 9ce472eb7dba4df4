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

// freePort is a listen address on loopback for which the system assigns a free port.
const freePort = "127.0.0.1:0"

// drainTimeout is the timeout of a graceful stop, and of a wait for an address that is still in use.
const drainTimeout = 10 * time.Second

// Node is one instance: its target and the process of the daemon that serves it.
type Node struct {
	Instance origin.Instance
	Target   *standin.Target

	mesh    *Mesh
	store   *certs.Store
	callers string                    // address of the callers' listener, kept across restarts
	relays  map[string]*standin.Relay // by failure domain of the sender

	mu      sync.Mutex
	process *process // nil while it does not run
}

// process is one incarnation of the daemon's components.
type process struct {
	holder     *snapshot.Holder
	agent      *agent.Agent
	transport  *peer.QUIC
	gatekeeper *gatekeeper.Gatekeeper
	link       *linkbudget.Budget
	requests   *gatekeeper.Server
	frontend   *frontend.Server
	stop       context.CancelFunc
	tasks      sync.WaitGroup
}

// newNode returns node number i with its target started and its process not started.
func (m *Mesh) newNode(i int, p placement) (*Node, error) {
	n := &Node{Instance: listEntry(p), mesh: m, callers: freePort, relays: map[string]*standin.Relay{}}
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
		Name: n.Instance.Name, Limits: m.limits[p.service], Service: targetServiceTime, Spread: targetSpread, Warm: true,
		DownTime: targetDownTime, HealthLag: targetHealthLag, ResponseBytes: targetResponseBytes, Seed: m.options.Seed + uint64(i), Ledger: m.Ledger,
	}
	if m.options.Target != nil {
		m.options.Target(&cfg)
	}
	n.Target = standin.NewTarget(cfg)
	_, err = n.Target.Start("")
	return n, err
}

// Start starts a new incarnation of the process, at the same addresses as the first one. It returns an error if the process
// already runs.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return errors.Errorf("process of %q is already running", n.Instance.Name)
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

// rebind listens on an address. It retries for up to drainTimeout while the earlier incarnation may still hold the address.
func rebind(ctx context.Context, address string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || periodic.Sleep(ctx, 10*time.Millisecond) != nil {
			return l, errors.Wrap(err, "listen")
		}
	}
}

// build assembles the components of a process.
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
		Source: &linkedSource{Source: n.mesh.Platform, links: n.mesh.Links, domain: domain}, Transport: n.linked(p.transport),
		Holder: p.holder, Log: n.mesh.log, FleetSize: len(n.mesh.placements()),
	})
	remote := &linkTransport{mesh: n.mesh, from: domain, transport: frontend.NewHTTPTransport(n.store)}
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
	var transport frontend.Transport = &frontend.LocalTransport{Instance: n.Instance.Name, Gatekeeper: p.gatekeeper, Remote: remote}
	if n.mesh.options.Transport != nil {
		transport = n.mesh.options.Transport(transport)
	}
	front := frontend.New(frontend.Config{
		Instance: n.Instance.Name, FailureDomain: domain, Holder: p.holder, Picker: picker, Transport: transport, LinkBudget: p.link,
		TrustOrganisationHeader: true, Log: n.mesh.log,
	})
	p.frontend = frontend.NewServer(callers, nil, front)
	return p, nil
}

// run starts the components of the process in the background.
func (p *process) run() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	for _, serve := range []func(context.Context) error{p.agent.Serve, p.gatekeeper.Serve, p.link.Serve, p.requests.Serve, p.frontend.Serve} {
		p.tasks.Go(func() { _ = serve(ctx) }) // returns when ctx ends
	}
}

// Kill ends the process at once: its connections close without a response and its peers are not notified. It does nothing if the
// process does not run.
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
	p.tasks.Wait()
}

// Stop stops the process gracefully, as an operator does: it notifies its peers, completes the running requests and then ends. It
// returns an error if that takes longer than drainTimeout. It does nothing if the process does not run.
func (n *Node) Stop(ctx context.Context) error {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
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

// Running reports whether the process runs.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil
}

// Revision returns the catalogue revision in force at the process, or 0 if there is none or the process does not run.
func (n *Node) Revision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.agent.Revision()
}

// hasJoined reports whether the process has joined and has the endpoints of at least the given number of instances.
func (n *Node) hasJoined(instances int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && n.process.agent.Joined() && n.process.holder.Load().Endpoints.Len() >= instances
}

// linkTransport sends shipments over the simulated links between failure domains.
type linkTransport struct {
	mesh      *Mesh
	from      string
	transport *frontend.HTTPTransport
}

// Post implements gatekeeper.Peers.
func (c *linkTransport) Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error) {
	address, err := c.mesh.relay(c.from, to)
	if err != nil {
		return nil, err
	}
	to.RequestAddr = address
	return c.transport.Post(ctx, to, path, body)
}

// Do implements frontend.Transport.
func (c *linkTransport) Do(s *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	address, err := c.mesh.relay(c.from, s.Target)
	if err != nil {
		return nil, refusal.New(refusal.Unreachable, "%v", err)
	}
	s.Target.RequestAddr = address
	return c.transport.Do(s)
}
