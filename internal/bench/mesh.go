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

// The network of the gritting-salt deployment.
const (
	domainDelay        = 1500 * time.Microsecond
	regionDelay        = 12 * time.Millisecond
	clientDelay        = 3 * time.Millisecond
	linkBytesPerSecond = 30e6 / 8
)

// The targets of the deployment.
const (
	targetService   = 100 * time.Millisecond
	targetSpread    = 0.3
	targetDownTime  = time.Second
	targetHealthLag = 5 * time.Second
	targetAnswer    = 512
)

// The platform of the deployment.
const (
	platformReads = 2000
	platformDelay = 3 * time.Millisecond
	instanceLag   = time.Second
)

// placement is where an instance lies and what it runs.
type placement struct {
	domain, service string
	count           int
}

// streusalz lists the thirteen instances of the deployment.
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

// homeRegion is the region of the platform.
const homeRegion = "obb"

// MeshOptions vary a mesh from the deployment.
type MeshOptions struct {
	Seed uint64
	Log  zerolog.Logger
	// EditCatalogue edits the catalogue before it is published for the first time. The targets bear what they did before.
	EditCatalogue func(*catalogue.Catalogue)
	// Target edits the configuration of each target.
	Target func(*standin.TargetConfig)
	// Carrier replaces the way to other instances and the own one; nil keeps it. It takes the daemon's carrier.
	Carrier func(inner frontend.Transport) frontend.Transport
	// Instances is the number of instances; beyond the deployment's thirteen, placements repeat.
	Instances int
}

// Mesh is a whole deployment in one process: the real parts of every instance over stand-ins for the platform, the targets
// and the network.
type Mesh struct {
	Nodes    []*Node
	Platform *standin.Platform
	Links    *standin.Links
	Ledger   *standin.Ledger

	options   MeshOptions
	log       zerolog.Logger // of the processes
	authority *certs.Authority
	catalogue *catalogue.Catalogue
	regions   map[string]string
	limits    map[string]catalogue.ServiceLimits // what the targets of each service bear

	mu    sync.Mutex
	peers map[string]string // failure domain of each peer address
}

// NewMesh starts a mesh whose targets are warm and waits until every instance serves.
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
		Platform:  standin.NewPlatform(standin.PlatformConfig{ReadsPerSecond: platformReads, Delay: platformDelay, InstanceLag: instanceLag}),
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

// NewMeshes starts several meshes side by side.
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

// setLinks joins the failure domains as in the deployment.
func (m *Mesh) setLinks() {
	for _, r := range m.catalogue.Regions {
		for _, d := range r.FailureDomains {
			m.regions[d.Name] = r.Name
		}
	}
	between := standin.NewCapacity(linkBytesPerSecond)
	for a, regionA := range m.regions {
		for b, regionB := range m.regions {
			switch {
			case a >= b:
			case regionA == regionB:
				m.Links.Set(a, b, standin.Link{Delay: domainDelay})
			default:
				m.Links.Set(a, b, standin.Link{Delay: regionDelay, Capacity: between.Directed(regionA < regionB)})
			}
		}
	}
}

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

// placements returns one placement for each instance, with count as its number within the failure domain and service.
func (m *Mesh) placements() []placement {
	var out []placement
	wanted := m.options.Instances
	for round := 0; len(out) < max(wanted, 1); round++ {
		for _, p := range streusalz {
			for k := range p.count {
				out = append(out, placement{p.domain, p.service, round*p.count + k + 1})
			}
		}
	}
	if wanted > 0 {
		out = out[:wanted]
	}
	return out
}

// joinLimit is the longest time that a mesh may take until every instance serves.
const joinLimit = 15 * time.Second

// await waits until every instance has joined and knows all instances.
func (m *Mesh) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	for {
		late := slices.IndexFunc(m.Nodes, func(n *Node) bool { return !n.knows(len(m.Nodes)) })
		if late < 0 {
			return nil
		}
		if err := periodic.Sleep(ctx, 20*time.Millisecond); err != nil {
			return errors.Wrapf(err, "instance %q has not joined", m.Nodes[late].Instance.Name)
		}
	}
}

// Publish publishes the catalogue under the next revision after an edit.
func (m *Mesh) Publish(edit func(*catalogue.Catalogue)) error {
	edit(m.catalogue)
	m.catalogue.Revision++
	_, err := m.Platform.PublishCatalogue(m.catalogue)
	return err
}

// SetDomainState takes a failure domain out of service or back in by the catalogue.
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

// Isolate cuts a failure domain off from all others and the platform, or joins it again.
func (m *Mesh) Isolate(domain string, cut bool) {
	for other := range m.regions {
		if other != domain {
			m.Links.SetCut(domain, other, cut)
		}
	}
	m.Links.SetCut(domain, platformDomain, cut)
}

// Limits returns what the targets of a service bear.
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

// each runs f for all nodes of a failure domain at once and returns the first error.
func (m *Mesh) each(domain string, f func(*Node) error) error {
	var group errgroup.Group
	for _, n := range m.NodesIn(domain) {
		group.Go(func() error { return f(n) })
	}
	return group.Wait()
}

// domainOfTarget returns the failure domain of a target.
func (m *Mesh) domainOfTarget(name string) string {
	for _, n := range m.Nodes {
		if n.Instance.Name == name {
			return n.Instance.FailureDomain
		}
	}
	return ""
}

// meanService is the mean service time of a warm target.
func meanService() time.Duration {
	return time.Duration(float64(targetService) * math.Exp(targetSpread*targetSpread/2))
}

// Counts returns the sum of what the targets have counted.
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

// Close ends all processes and targets abruptly.
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

// instanceOf returns the entry of a placement on the platform's list, without its addresses.
func instanceOf(p placement) origin.Instance {
	return origin.Instance{
		Name:          fmt.Sprintf("%s-%s-%d", p.domain, p.service, p.count),
		FailureDomain: p.domain,
		Service:       p.service,
		State:         origin.Live,
	}
}
