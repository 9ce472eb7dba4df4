package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/internal/agent"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/ring"
	"github.com/chervilwell/chervilwell/snapshot"
)

// network delivers messages between agents with random delays, which reorder them, and with loss, duplication and partitions.
type network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	inbox       map[string]*ring.Ring[peer.Inbound]
	domain      map[string]string
	partitioned map[string]bool // failure domains cut off from all others
}

// endpoint is the transport of one agent on the network.
type endpoint struct {
	net   *network
	self  origin.Instance
	inbox *ring.Ring[peer.Inbound]
}

func (e *endpoint) Receive() *ring.Ring[peer.Inbound] { return e.inbox }

func (e *endpoint) Send(to distribution.Address, m distribution.Message) {
	n := e.net
	n.mu.Lock()
	defer n.mu.Unlock()
	fromDomain, toDomain := e.self.FailureDomain, n.domain[to.Addr]
	if fromDomain != toDomain && (n.partitioned[fromDomain] || n.partitioned[toDomain]) {
		return
	}
	copies := 1
	switch n.rng.IntN(20) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	data, err := distribution.Encode(m)
	if err != nil {
		return
	}
	in := peer.Inbound{From: distribution.Address{Name: e.self.Name, Addr: e.self.PeerAddr}, FailureDomain: fromDomain}
	for range copies {
		time.AfterFunc(time.Duration(1+n.rng.IntN(40))*time.Millisecond, func() { n.deliver(to.Addr, in, data) })
	}
}

func (n *network) deliver(addr string, in peer.Inbound, data []byte) {
	var err error
	if in.Message, err = distribution.Decode(data); err != nil {
		return
	}
	n.mu.Lock()
	inbox := n.inbox[addr]
	n.mu.Unlock()
	if inbox != nil {
		inbox.Put(in)
	}
}

func (n *network) setPartitioned(domain string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[domain] = partitioned
}

// process is run by the fleet at each instance: the real agent or a faulty one.
type process interface {
	Serve(ctx context.Context) error
	// InForce returns the configuration in force, or nil before there is one.
	InForce() Config
}

// agentProcess runs the real agent.
type agentProcess struct {
	*agent.Agent
	holder *snapshot.Holder
}

func (p *agentProcess) InForce() Config {
	if !p.Joined() {
		return nil
	}
	return p.holder.Load().Config
}

// fleet runs one process at each instance in virtual time and records the configurations in force.
type fleet struct {
	platform   *standin.Platform
	network    *network
	catalogue  *catalogue.Catalogue
	configs    *ConfigLog
	instances  []origin.Instance
	newProcess func(f *fleet, inst origin.Instance) process

	mu    sync.Mutex
	stops map[string]func()
	procs map[string]process
	// incarnations is the number of processes started at each instance.
	incarnations map[string]int
	// impaired marks instances that cannot receive updates; healedAt is the time from which they can again.
	impaired map[string]bool
	healedAt map[string]time.Time
}

func newFleet(t *testing.T, seed uint64, newProcess func(*fleet, origin.Instance) process) *fleet {
	t.Helper()
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		platform:  standin.NewPlatform(standin.PlatformConfig{ReadsPerSecond: 2000, Delay: 3 * time.Millisecond, InstanceLag: time.Second}),
		network:   &network{rng: rand.New(rand.NewPCG(seed, 1)), inbox: map[string]*ring.Ring[peer.Inbound]{}, domain: map[string]string{}, partitioned: map[string]bool{}},
		catalogue: cat, configs: &ConfigLog{}, newProcess: newProcess,
		stops: map[string]func(){}, procs: map[string]process{}, incarnations: map[string]int{}, impaired: map[string]bool{}, healedAt: map[string]time.Time{},
	}
	for _, domain := range []string{"obb-muc", "obb-ro", "nbb-la", "nbb-pa"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			f.instances = append(f.instances, origin.Instance{
				Name: name, FailureDomain: domain, Service: "lagerstand", PeerAddr: name + ":1", RequestAddr: name + ":2", State: origin.Live,
			})
			f.network.domain[name+":1"] = domain
		}
	}
	return f
}

// newAgent returns a process with a real agent on the fleet's network.
func newAgent(f *fleet, inst origin.Instance) process {
	holder := snapshot.NewHolder()
	seeds := make([]string, 0, len(f.instances))
	for _, other := range f.instances {
		seeds = append(seeds, other.PeerAddr)
	}
	inbox := ring.New[peer.Inbound](peer.InboundQueue, ring.DropOldest)
	f.network.mu.Lock()
	f.network.inbox[inst.PeerAddr] = inbox
	f.network.mu.Unlock()
	return &agentProcess{holder: holder, Agent: agent.New(agent.Config{
		Self: inst, Region: "obb", Seeds: seeds, Source: f.platform, Transport: &endpoint{net: f.network, self: inst, inbox: inbox},
		Holder: holder, Log: zerolog.Nop(), FleetSize: len(f.instances),
	})}
}

// publish edits the catalogue and publishes it with the next revision.
func (f *fleet) publish(t *testing.T, edit func(*catalogue.Catalogue)) {
	t.Helper()
	edit(f.catalogue)
	f.catalogue.Revision++
	doc, err := catalogue.Encode(f.catalogue)
	if err != nil {
		t.Fatal(err)
	}
	f.publishDocument(t, doc)
}

func (f *fleet) publishDocument(t *testing.T, doc *document.Document) {
	t.Helper()
	f.configs.RecordPublication(doc, time.Now())
	if err := f.platform.PublishDocument(doc); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) start(inst origin.Instance) {
	p := f.newProcess(f, inst)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Serve(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs[inst.Name] = p
	f.incarnations[inst.Name]++
	f.stops[inst.Name] = func() { cancel(); <-done }
}

func (f *fleet) kill(name string) {
	f.mu.Lock()
	stop := f.stops[name]
	delete(f.procs, name)
	delete(f.stops, name)
	f.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// recordConfigs records the configuration in force at every instance each 20 ms until ctx is done.
func (f *fleet) recordConfigs(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for ctx.Err() == nil {
		f.mu.Lock()
		now := time.Now()
		for _, inst := range f.instances {
			if p := f.procs[inst.Name]; p != nil {
				if config := p.InForce(); config != nil {
					f.configs.Record(inst.Name, f.incarnations[inst.Name], now, config)
				}
			}
		}
		f.mu.Unlock()
		time.Sleep(interval)
	}
}
