package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/agent"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Figures of the deployment that the fleet stands for.
const (
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = 1500 * time.Microsecond
	crossRegionDelay = 12 * time.Millisecond
	linkBytesPerSec  = 30_000_000 / 8
	sourceDelay      = 3 * time.Millisecond
	listLag          = 500 * time.Millisecond
	// storeRegion is where the platform is.
	storeRegion = "obb"
	// relayServices is the number of services of the catalogue; each has a route.
	relayServices = 40
	// readsPerInstance is the platform's read budget in proportion to the fleet: 2,000/s for 20,000 instances.
	readsPerInstance = 0.1
)

// httpOverhead is what a read of the platform adds to the value on the wire: headers of both directions and packets.
const httpOverhead = 400

var relayDomains = []string{"obb-muc", "obb-ro", "nbb-la", "nbb-pa"}

func relayRegion(failureDomain string) string { return failureDomain[:3] }

// relayFleet runs the distribution of a whole fleet in one process, over a network with the delays and bandwidth of a
// deployment.
type relayFleet struct {
	log      zerolog.Logger
	rng      *rand.Rand
	platform *standin.Platform
	network  *peer.Network
	members  []*relayMember
	seeds    []string
	fleet    int
	services []catalogue.Service

	mu        sync.Mutex
	catalogue *document.Document
	storeCut  map[string]bool
}

// relayMember is one instance with the life that it has now.
type relayMember struct {
	fleet *relayFleet
	inst  origin.Instance

	mu   sync.Mutex
	life *relayProcess
	// carried is the sum of bytes of earlier lives.
	carried int64
}

// relayProcess is one life of an instance.
type relayProcess struct {
	agent  *agent.Agent
	holder *snapshot.Holder
	port   *peer.Port
	began  time.Time
	cancel context.CancelFunc
	done   chan struct{}
}

// newRelayFleet builds a fleet that is not started, with revision 1 published.
func newRelayFleet(cfg Config) (*relayFleet, error) {
	m := &relayFleet{
		log: cfg.Log, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), fleet: cfg.Instances, storeCut: map[string]bool{},
		platform: standin.NewPlatform(standin.PlatformConfig{
			ReadsPerSecond: readsPerInstance * float64(cfg.Instances), Delay: sourceDelay, InstanceLag: listLag,
		}),
	}
	m.network = peer.NewNetwork(relayPath)
	for _, link := range relayLinks {
		m.network.SetLink(link, linkBytesPerSec)
	}
	for i := range relayServices {
		m.services = append(m.services, relayService(i))
	}
	for i := range cfg.Instances {
		fd := relayDomains[i%len(relayDomains)]
		name := fmt.Sprintf("%s-%d", fd, i/len(relayDomains))
		member := &relayMember{fleet: m, inst: origin.Instance{
			Name: name, FailureDomain: fd, Service: m.services[i%relayServices].Name,
			PeerAddr: name + ":7000", RequestAddr: name + ":8000", State: origin.Live,
		}}
		m.members = append(m.members, member)
		if i < 2*len(relayDomains) {
			m.seeds = append(m.seeds, member.inst.PeerAddr)
		}
	}
	m.list()
	return m, m.publish(1)
}

// relayLinks are the two directions of the link between the regions.
var relayLinks = []string{"obb>nbb", "nbb>obb"}

func relayPath(from, to origin.Instance) peer.Path {
	a, b := relayRegion(from.FailureDomain), relayRegion(to.FailureDomain)
	switch {
	case a != b:
		return peer.Path{Delay: crossRegionDelay, Link: a + ">" + b}
	case from.FailureDomain != to.FailureDomain:
		return peer.Path{Delay: crossDomainDelay}
	}
	return peer.Path{Delay: sameDomainDelay}
}

func relayService(i int) catalogue.Service {
	return catalogue.Service{
		Name: fmt.Sprintf("lagerstand-%02d", i), Owner: "haulier-a", Class: catalogue.Interactive,
		Limits: catalogue.ServiceLimits{
			Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2,
			ColdPeriod: catalogue.Duration(20 * time.Second), Drain: catalogue.Duration(10 * time.Second),
		},
	}
}

// list puts all instances on the platform's list.
func (m *relayFleet) list() {
	all := make([]origin.Instance, len(m.members))
	for i, member := range m.members {
		all[i] = member.inst
	}
	m.platform.PutInstance(all...)
}

// publish publishes a catalogue in which one service's limits differ from the revision before.
func (m *relayFleet) publish(revision uint64) error {
	changed := &m.services[int(revision)%relayServices]
	changed.Limits.Queue = 40 + int(revision)
	c := catalogue.Catalogue{
		Revision:      revision,
		Organisations: []catalogue.Organisation{{Name: "haulier-a", Share: 0.5, LinkShare: 0.5}},
		Services:      m.services,
	}
	for _, region := range []string{"obb", "nbb"} {
		r := catalogue.Region{Name: region}
		for _, fd := range relayDomains {
			if relayRegion(fd) == region {
				r.FailureDomains = append(r.FailureDomains, catalogue.FailureDomain{Name: fd, State: catalogue.InService})
			}
		}
		c.Regions = append(c.Regions, r)
	}
	for _, s := range m.services {
		c.Routes = append(c.Routes, catalogue.Route{
			Name: "stock-view-" + s.Name, Owner: s.Owner, Class: s.Class, Service: s.Name,
			Match: catalogue.Match{PathPrefix: "/" + s.Name + "/"}, Retry: catalogue.RetrySafe,
			Limits: catalogue.RouteLimits{Timeout: catalogue.Duration(800 * time.Millisecond), Concurrency: 200, BodyBytes: 1 << 20},
		})
	}
	doc, err := catalogue.Encode(&c)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.catalogue = doc
	m.mu.Unlock()
	return m.platform.PublishDocument(doc)
}

func (m *relayFleet) published() *document.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalogue
}

// churn moves one endpoint to another port, as the end of one target and the start of another would.
func (m *relayFleet) churn(n int) {
	member := m.members[m.rng.IntN(len(m.members))]
	inst := member.inst
	inst.RequestAddr = fmt.Sprintf("%s:%d", inst.Name, 8001+n%1000)
	m.platform.PutInstance(inst)
}

// start begins a new life of an instance.
func (b *relayMember) start() {
	ctx, cancel := context.WithCancel(context.Background())
	life := &relayProcess{
		holder: snapshot.NewHolder(), port: b.fleet.network.Attach(b.inst), began: time.Now(), cancel: cancel, done: make(chan struct{}),
	}
	life.agent = agent.New(agent.Config{
		Self: b.inst, Region: relayRegion(b.inst.FailureDomain), StoreRegions: []string{storeRegion}, Seeds: b.fleet.seeds,
		Source:    &placedSource{fleet: b.fleet, failureDomain: b.inst.FailureDomain, next: b.fleet.platform},
		Transport: life.port, Holder: life.holder, Audit: audit.New(64, zerolog.Nop()), Log: zerolog.Nop(), FleetSize: b.fleet.fleet,
	})
	go func() {
		defer close(life.done)
		_ = life.agent.Serve(ctx)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life = life
}

// stop ends the life of an instance without notice. It does nothing if the instance is stopped.
func (b *relayMember) stop() {
	b.mu.Lock()
	life := b.life
	b.life = nil
	b.mu.Unlock()
	if life == nil {
		return
	}
	life.port.Close()
	life.cancel()
	<-life.done
	b.mu.Lock()
	b.carried += life.port.Bytes()
	b.mu.Unlock()
}

// process returns the life of the instance, or nil while it is stopped.
func (b *relayMember) process() *relayProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life
}

// bytes returns the bytes sent and received over all lives.
func (b *relayMember) bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life == nil {
		return b.carried
	}
	return b.carried + b.life.port.Bytes()
}

// each calls f for all members at once and waits.
func (m *relayFleet) each(f func(*relayMember)) {
	var wait sync.WaitGroup
	for _, b := range m.members {
		wait.Go(func() { f(b) })
	}
	wait.Wait()
}

// cutRegions cuts or heals the link between the regions, for the platform too.
func (m *relayFleet) cutRegions(cut bool) {
	for _, a := range relayDomains {
		for _, b := range relayDomains {
			if relayRegion(a) != relayRegion(b) {
				m.network.SetPartitioned(a, b, cut)
			}
		}
		m.mu.Lock()
		m.storeCut[a] = cut && relayRegion(a) != storeRegion
		m.mu.Unlock()
	}
}

// linkBytes returns the bytes that crossed the link between the regions in both directions.
func (m *relayFleet) linkBytes() int64 {
	return m.network.LinkBytes(relayLinks[0]) + m.network.LinkBytes(relayLinks[1])
}

// placedSource is the platform as seen from a failure domain: across the link it is slower and takes up room, and it can
// be cut off.
type placedSource struct {
	fleet         *relayFleet
	failureDomain string
	next          origin.Source
}

func (s *placedSource) away() bool { return relayRegion(s.failureDomain) != storeRegion }

func (s *placedSource) reachable() error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.storeCut[s.failureDomain] {
		return origin.ErrUnavailable
	}
	return nil
}

// cross accounts for an answer of the given size and waits for its way.
func (s *placedSource) cross(ctx context.Context, bytes int) error {
	if !s.away() {
		return s.reachable()
	}
	done := s.fleet.network.AddTraffic(storeRegion+">"+relayRegion(s.failureDomain), bytes+httpOverhead)
	select {
	case <-time.After(time.Until(done) + 2*crossRegionDelay):
		return s.reachable()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements origin.Source.
func (s *placedSource) Read(ctx context.Context, key string) (origin.Value, error) {
	return s.Watch(ctx, key, "")
}

// Watch implements origin.Source.
func (s *placedSource) Watch(ctx context.Context, key, after string) (origin.Value, error) {
	if err := s.reachable(); err != nil {
		return origin.Value{}, err
	}
	v, err := s.next.Watch(ctx, key, after)
	if err != nil {
		return v, err
	}
	return v, s.cross(ctx, len(v.Data))
}

// Instances implements origin.Source.
func (s *placedSource) Instances(ctx context.Context, failureDomain string, after uint64) (origin.InstanceList, error) {
	if err := s.reachable(); err != nil {
		return origin.InstanceList{}, err
	}
	l, err := s.next.Instances(ctx, failureDomain, after)
	if err != nil {
		return l, err
	}
	return l, s.cross(ctx, listBytes(l))
}

// listBytes estimates the size of a list as JSON.
func listBytes(l origin.InstanceList) int {
	n := 0
	for _, i := range l.Instances {
		n += len(i.Name) + len(i.FailureDomain) + len(i.Service) + len(i.PeerAddr) + len(i.RequestAddr) + len(i.State) +
			len(strings.Repeat(`"name":"",`, 6))
	}
	return n
}
