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

// Delays, bandwidth and limits of the deployment that the fleet represents.
const (
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = 1500 * time.Microsecond
	crossRegionDelay = 12 * time.Millisecond
	linkBytesPerSec  = 30_000_000 / 8
	sourceDelay      = 3 * time.Millisecond
	listLag          = 500 * time.Millisecond
	// storeRegion is the region in which the platform runs. Reads from the other region cross the link between the regions.
	storeRegion = "obb"
	// relayServices is the number of services in the catalogue; each has one route.
	relayServices = 40
	// readsPerInstance is the platform's read budget in reads per second for each instance: 2,000/s for 20,000 instances.
	readsPerInstance = 0.1
)

// httpOverheadBytes is the size that a read of the platform adds to the value on the wire: HTTP headers in both directions and packet
// headers.
const httpOverheadBytes = 400

var relayDomains = []string{"obb-muc", "obb-ro", "nbb-la", "nbb-pa"}

// relayRegion returns the region of a failure domain, which is the first three characters of its name.
func relayRegion(failureDomain string) string { return failureDomain[:3] }

// relayFleet runs the configuration distribution of a whole fleet in one process, over a simulated network with the delays and
// bandwidth of a deployment.
type relayFleet struct {
	log      zerolog.Logger
	rng      *rand.Rand
	platform *standin.Platform
	network  *peer.Network
	members  []*relayMember
	seeds    []string
	fleet    int // number of instances
	services []catalogue.Service

	mu        sync.Mutex
	catalogue *document.Document
	storeCut  map[string]bool // by failure domain: whether the platform is unreachable
}

// relayMember is one instance and its current incarnation.
type relayMember struct {
	fleet *relayFleet
	inst  origin.Instance

	mu      sync.Mutex
	running *relayProcess // nil while the instance is stopped
	// earlierBytes is the number of bytes sent and received by earlier incarnations.
	earlierBytes int64
}

// relayProcess is one incarnation of an instance.
type relayProcess struct {
	agent  *agent.Agent
	holder *snapshot.Holder
	port   *peer.Port
	began  time.Time
	cancel context.CancelFunc
	done   chan struct{}
}

// newRelayFleet returns a fleet that is not started, with revision 1 of the catalogue published.
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

// relayLinks names the two directions of the link between the regions.
var relayLinks = []string{"obb>nbb", "nbb>obb"}

// relayPath returns the delay between two instances, and the link between them if they are in different regions.
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

// relayService returns service number i of the catalogue.
func relayService(i int) catalogue.Service {
	return catalogue.Service{
		Name: fmt.Sprintf("lagerstand-%02d", i), Owner: "haulier-a", Class: catalogue.Interactive,
		Limits: catalogue.ServiceLimits{
			Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2,
			ColdPeriod: catalogue.Duration(20 * time.Second), Drain: catalogue.Duration(10 * time.Second),
		},
	}
}

// list publishes all instances on the platform's list.
func (m *relayFleet) list() {
	all := make([]origin.Instance, len(m.members))
	for i, member := range m.members {
		all[i] = member.inst
	}
	m.platform.PutInstance(all...)
}

// publish publishes a revision of the catalogue in which the limits of one service differ from the previous revision.
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

// published returns the catalogue that was published last.
func (m *relayFleet) published() *document.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalogue
}

// churn moves one random endpoint to another port, chosen by n, as if one target ended and another started.
func (m *relayFleet) churn(n int) {
	member := m.members[m.rng.IntN(len(m.members))]
	inst := member.inst
	inst.RequestAddr = fmt.Sprintf("%s:%d", inst.Name, 8001+n%1000)
	m.platform.PutInstance(inst)
}

// start starts a new incarnation of the instance.
func (b *relayMember) start() {
	ctx, cancel := context.WithCancel(context.Background())
	incarnation := &relayProcess{
		holder: snapshot.NewHolder(), port: b.fleet.network.Attach(b.inst), began: time.Now(), cancel: cancel, done: make(chan struct{}),
	}
	incarnation.agent = agent.New(agent.Config{
		Self: b.inst, Region: relayRegion(b.inst.FailureDomain), StoreRegions: []string{storeRegion}, Seeds: b.fleet.seeds,
		Source:    &domainSource{fleet: b.fleet, failureDomain: b.inst.FailureDomain, inner: b.fleet.platform},
		Transport: incarnation.port, Holder: incarnation.holder, Audit: audit.New(64, zerolog.Nop()), Log: zerolog.Nop(), FleetSize: b.fleet.fleet,
	})
	go func() {
		defer close(incarnation.done)
		_ = incarnation.agent.Serve(ctx)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = incarnation
}

// stop ends the current incarnation without notifying its peers. It does nothing if the instance is stopped.
func (b *relayMember) stop() {
	b.mu.Lock()
	incarnation := b.running
	b.running = nil
	b.mu.Unlock()
	if incarnation == nil {
		return
	}
	incarnation.port.Close()
	incarnation.cancel()
	<-incarnation.done
	b.mu.Lock()
	b.earlierBytes += incarnation.port.Bytes()
	b.mu.Unlock()
}

// process returns the current incarnation, or nil while the instance is stopped.
func (b *relayMember) process() *relayProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// bytes returns the number of bytes sent and received by all incarnations.
func (b *relayMember) bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running == nil {
		return b.earlierBytes
	}
	return b.earlierBytes + b.running.port.Bytes()
}

// each calls f concurrently for all members and waits for all calls.
func (m *relayFleet) each(f func(*relayMember)) {
	var wait sync.WaitGroup
	for _, b := range m.members {
		wait.Go(func() { f(b) })
	}
	wait.Wait()
}

// cutRegions cuts the link between the regions, or restores it if cut is false. This also applies to reads of the platform.
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

// linkBytes returns the number of bytes sent over the link between the regions, in both directions together.
func (m *relayFleet) linkBytes() int64 {
	return m.network.LinkBytes(relayLinks[0]) + m.network.LinkBytes(relayLinks[1])
}

// domainSource is the platform as reached from a failure domain. From the other region, reads are delayed, use bandwidth of the
// link and fail while the link is cut.
type domainSource struct {
	fleet         *relayFleet
	failureDomain string
	inner         origin.Source
}

// remote reports whether the failure domain is in another region than the platform.
func (s *domainSource) remote() bool { return relayRegion(s.failureDomain) != storeRegion }

// reachable returns origin.ErrUnavailable if the failure domain is cut off from the platform.
func (s *domainSource) reachable() error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.storeCut[s.failureDomain] {
		return origin.ErrUnavailable
	}
	return nil
}

// transfer waits for the transfer of a response of the given size in bytes, if it crosses the link. It then returns the error of
// reachable, or that of ctx.
func (s *domainSource) transfer(ctx context.Context, bytes int) error {
	if !s.remote() {
		return s.reachable()
	}
	done := s.fleet.network.AddTraffic(storeRegion+">"+relayRegion(s.failureDomain), bytes+httpOverheadBytes)
	select {
	case <-time.After(time.Until(done) + 2*crossRegionDelay):
		return s.reachable()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements origin.Source.
func (s *domainSource) Read(ctx context.Context, key string) (origin.Value, error) {
	return s.Watch(ctx, key, "")
}

// Watch implements origin.Source.
func (s *domainSource) Watch(ctx context.Context, key, after string) (origin.Value, error) {
	if err := s.reachable(); err != nil {
		return origin.Value{}, err
	}
	v, err := s.inner.Watch(ctx, key, after)
	if err != nil {
		return v, err
	}
	return v, s.transfer(ctx, len(v.Data))
}

// Instances implements origin.Source.
func (s *domainSource) Instances(ctx context.Context, failureDomain string, after uint64) (origin.InstanceList, error) {
	if err := s.reachable(); err != nil {
		return origin.InstanceList{}, err
	}
	l, err := s.inner.Instances(ctx, failureDomain, after)
	if err != nil {
		return l, err
	}
	return l, s.transfer(ctx, listBytes(l))
}

// listBytes estimates the size of a list encoded as JSON, in bytes.
func listBytes(l origin.InstanceList) int {
	n := 0
	for _, i := range l.Instances {
		n += len(i.Name) + len(i.FailureDomain) + len(i.Service) + len(i.PeerAddr) + len(i.RequestAddr) + len(i.State) +
			len(strings.Repeat(`"name":"",`, 6))
	}
	return n
}
