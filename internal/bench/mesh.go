package bench

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
)

// Network of the gritting-salt deployment: one-way delays between failure domains of a region, between regions, and between
// callers and instances, and bandwidth of the link between the regions.
const (
	domainDelay        = 1500 * time.Microsecond
	regionDelay        = 12 * time.Millisecond
	clientDelay        = 3 * time.Millisecond
	linkBytesPerSecond = 30e6 / 8
)

// Targets of the deployment: median of the service time and standard deviation of its logarithm, down time after a crash, age of
// the state reported by the health endpoint, and size of a response body in bytes.
const (
	targetServiceTime   = 100 * time.Millisecond
	targetSpread        = 0.3
	targetDownTime      = time.Second
	targetHealthLag     = 5 * time.Second
	targetResponseBytes = 512
)

// Platform of the deployment: its read budget in reads per second, the delay of a read, and the lag of its list of instances.
const (
	platformReadsPerSecond = 2000
	platformDelay          = 3 * time.Millisecond
	instanceLag            = time.Second
)

// placement is the failure domain, the service and the number of some instances.
type placement struct {
	domain, service string
	count           int
}

// streusalz holds the placements of the thirteen instances of the deployment.
var streusalz = []placement{
	{"obb-muc", "lagerstand", 2},
	{"obb-muc", "disposition", 1},
	{"obb-muc", "wiegebeleg", 1},
	{"obb-ro", "lagerstand", 1},
	{"obb-ro", "disposition", 1},
	{"obb-ro", "wiegebeleg", 1},
	{"nbb-la", "lagerstand", 1},
	{"nbb-la", "disposition", 1},
	{"nbb-la", "wiegebeleg", 1},
	{"nbb-pa", "lagerstand", 1},
	{"nbb-pa", "disposition", 1},
	{"nbb-pa", "wiegebeleg", 1},
}

// homeRegion is the region in which the platform runs.
const homeRegion = "obb"

// MeshOptions configure a mesh. The zero value gives the deployment as it is.
type MeshOptions struct {
	Seed uint64
	Log  zerolog.Logger
	// EditCatalogue edits the catalogue before it is first published. The limits of the targets themselves stay as they were before the
	// edit.
	EditCatalogue func(*catalogue.Catalogue)
	// Target edits the configuration of each target.
	Target func(*standin.TargetConfig)
	// Transport wraps the daemon's transport, which forwards requests to the local and to other instances. Nil leaves it unchanged.
	Transport func(inner frontend.Transport) frontend.Transport
	// Instances is the number of instances; 0 stands for the deployment's thirteen. Beyond thirteen, the placements repeat.
	Instances int
}

// Mesh is a complete deployment in one process: the real components of every instance, with stand-ins for the platform, the
// targets and the network.
type Mesh struct {
	Nodes    []*Node
	Platform *standin.Platform
	Links    *standin.Links
	Ledger   *standin.Ledger

	options   MeshOptions
	log       zerolog.Logger // for the processes of the nodes
	authority *certs.Authority
	catalogue *catalogue.Catalogue
	regions   map[string]string
	limits    map[string]catalogue.ServiceLimits // by service: limits of the targets themselves

	mu    sync.Mutex
	peers map[string]string // by peer address: failure domain
}

// NewMesh starts a mesh whose targets are warm and waits until every instance serves. The caller must close it.
func NewMesh(ctx context.Context, options MeshOptions) (*Mesh, error) {
	authority, err := certs.NewAuthority("bench")
	if err != nil {
		return nil, err
	}
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		Platform:  standin.NewPlatform(standin.PlatformConfig{ReadsPerSecond: platformReadsPerSecond, Delay: platformDelay, InstanceLag: instanceLag}),
		Links:     standin.NewLinks(),
		Ledger:    standin.NewLedger(),
		options:   options,
		log:       options.Log.Level(zerolog.ErrorLevel),
		authority: authority,
		catalogue: cat,
		regions:   map[string]string{},
		limits:    map[string]catalogue.ServiceLimits{},
		peers:     map[string]string{},
	}
	m.setLinks()
	for _, service := range cat.Services {
		m.limits[service.Name] = service.Limits
	}
	if options.EditCatalogue != nil {
		options.EditCatalogue(cat)
	}
	if err := m.start(ctx); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

// NewMeshes starts several meshes concurrently. On an error it closes those that started.
func NewMeshes(ctx context.Context, options ...MeshOptions) ([]*Mesh, error) {
	meshes := make([]*Mesh, len(options))
	var group errgroup.Group
	for i, o := range options {
		group.Go(func() (err error) {
			meshes[i], err = NewMesh(ctx, o)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		closeMeshes(meshes)
		return nil, err
	}
	return meshes, nil
}

func closeMeshes(meshes []*Mesh) {
	for _, m := range meshes {
		if m != nil {
			m.Close()
		}
	}
}

// setLinks sets the links between the failure domains. All links between the regions share one capacity for each direction.
func (m *Mesh) setLinks() {
	for _, r := range m.catalogue.Regions {
		for _, d := range r.FailureDomains {
			m.regions[d.Name] = r.Name
		}
	}
	interRegion := standin.NewCapacity(linkBytesPerSecond)
	for a, regionA := range m.regions {
		for b, regionB := range m.regions {
			switch {
			case a >= b:
			case regionA == regionB:
				m.Links.Set(a, b, standin.Link{Delay: domainDelay})
			default:
				m.Links.Set(a, b, standin.Link{Delay: regionDelay, Capacity: interRegion.Directed(regionA < regionB)})
			}
		}
	}
}

// start publishes the catalogue, starts all nodes and waits until they serve.
func (m *Mesh) start(ctx context.Context) error {
	if _, err := m.Platform.PublishCatalogue(m.catalogue); err != nil {
		return err
	}
	for i, p := range m.placements() {
		node, err := m.newNode(i, p)
		if err != nil {
			return err
		}
		m.Nodes = append(m.Nodes, node)
	}
	for _, n := range m.Nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
		m.Platform.PutInstance(n.Instance)
	}
	return m.await(ctx)
}

// placements returns one placement for each instance. Their count is the number of the instance within its failure domain and
// service, from 1.
func (m *Mesh) placements() []placement {
	var out []placement
	total := m.options.Instances
	for round := 0; len(out) < max(total, 1); round++ {
		for _, p := range streusalz {
			for k := range p.count {
				out = append(out, placement{p.domain, p.service, round*p.count + k + 1})
			}
		}
	}
	if total > 0 {
		out = out[:total]
	}
	return out
}

// joinTimeout is the time within which every instance of a new mesh must serve.
const joinTimeout = 15 * time.Second

// await waits until every instance has joined and has the endpoints of all instances. It returns an error after joinTimeout.
func (m *Mesh) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		pending := slices.IndexFunc(m.Nodes, func(n *Node) bool { return !n.hasJoined(len(m.Nodes)) })
		if pending < 0 {
			return nil
		}
		if err := periodic.Sleep(ctx, 20*time.Millisecond); err != nil {
			return errors.Wrapf(err, "instance %q has not joined", m.Nodes[pending].Instance.Name)
		}
	}
}

// Publish edits the catalogue and publishes it as the next revision.
func (m *Mesh) Publish(edit func(*catalogue.Catalogue)) error {
	edit(m.catalogue)
	m.catalogue.Revision++
	_, err := m.Platform.PublishCatalogue(m.catalogue)
	return err
}

// SetDomainState publishes a catalogue revision that takes a failure domain out of service or puts it back in service.
func (m *Mesh) SetDomainState(name string, state catalogue.State) error {
	return m.Publish(func(c *catalogue.Catalogue) {
		for i := range c.Regions {
			for j := range c.Regions[i].FailureDomains {
				if d := &c.Regions[i].FailureDomains[j]; d.Name == name {
					d.State = state
				}
			}
		}
	})
}

// Isolate cuts the links from a failure domain to all others and to the platform, or restores them if cut is false.
func (m *Mesh) Isolate(domain string, cut bool) {
	for other := range m.regions {
		if other != domain {
			m.Links.SetCut(domain, other, cut)
		}
	}
	m.Links.SetCut(domain, platformDomain, cut)
}

// Limits returns the limits of the targets of a service, which options.Change does not affect.
func (m *Mesh) Limits(service string) catalogue.ServiceLimits { return m.limits[service] }

// NodesIn returns the nodes of a failure domain.
func (m *Mesh) NodesIn(domain string) []*Node {
	var out []*Node
	for _, n := range m.Nodes {
		if n.Instance.FailureDomain == domain {
			out = append(out, n)
		}
	}
	return out
}

// each calls f concurrently for all nodes of a failure domain, waits for all calls and returns the first error.
func (m *Mesh) each(domain string, f func(*Node) error) error {
	var group errgroup.Group
	for _, n := range m.NodesIn(domain) {
		group.Go(func() error { return f(n) })
	}
	return group.Wait()
}

// domainOfTarget returns the failure domain of a target, or "" if the target is unknown.
func (m *Mesh) domainOfTarget(name string) string {
	for _, n := range m.Nodes {
		if n.Instance.Name == name {
			return n.Instance.FailureDomain
		}
	}
	return ""
}

// meanService returns the mean service time of a warm target, whose service time has a log-normal distribution.
func meanService() time.Duration {
	return time.Duration(float64(targetServiceTime) * math.Exp(targetSpread*targetSpread/2))
}

// Counts returns the sums of the counters of all targets.
func (m *Mesh) Counts() standin.TargetCounts {
	var sum standin.TargetCounts
	for _, n := range m.Nodes {
		c := n.Target.Counts()
		sum.Runs += c.Runs
		sum.Shed += c.Shed
		sum.ColdOverloads += c.ColdOverloads
		sum.UndetectableOverloads += c.UndetectableOverloads
		sum.ConnectionsRefused += c.ConnectionsRefused
		sum.Crashes += c.Crashes
		sum.PoisonRuns += c.PoisonRuns
	}
	return sum
}

// Close kills all processes and targets, without a drain, and waits for their end.
func (m *Mesh) Close() {
	var wait sync.WaitGroup
	for _, n := range m.Nodes {
		wait.Go(func() {
			n.closeRelays()
			n.Kill()
			n.Target.Close()
		})
	}
	wait.Wait()
}

// listEntry returns the platform's list entry of a placement, without its addresses.
func listEntry(p placement) origin.Instance {
	return origin.Instance{
		Name:          fmt.Sprintf("%s-%s-%d", p.domain, p.service, p.count),
		FailureDomain: p.domain,
		Service:       p.service,
		State:         origin.Live,
	}
}
