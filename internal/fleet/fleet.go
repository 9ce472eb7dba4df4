// Package fleet runs a complete deployment on the loopback interface for demonstrations and end-to-end tests: daemons with
// their targets, and a stand-in for the platform.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/daemon"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/settings"
)

const (
	// freePort is the listen address for a port assigned by the operating system.
	freePort = "127.0.0.1:0"
	// targetServiceTime is the median service time of the stand-in targets.
	targetServiceTime = 4 * time.Millisecond
	// platformDelay is the delay of each call to the stand-in platform.
	platformDelay = 3 * time.Millisecond
	// instanceLag is the time until a change of the instances appears in the lists of the stand-in platform.
	instanceLag = 500 * time.Millisecond
	// platformReadsPerSecond is the read budget of the stand-in platform over all readers.
	platformReadsPerSecond = 2000
	// maxSeeds is the maximum number of seed peers in the settings of a daemon.
	maxSeeds = 4
	// readHeaderTimeout bounds reading the header of a request to the stand-in platform.
	readHeaderTimeout = 5 * time.Second
)

// Placement is a number of instances of a service in a failure domain.
type Placement struct {
	Service       string
	FailureDomain string
	Instances     int
}

// Fleet is a running deployment.
type Fleet struct {
	// Platform is the stand-in platform, on which the catalogue is published.
	Platform *standin.Platform
	// Ledger records the runs of all targets.
	Ledger *standin.Ledger
	// Nodes holds the instances in order of their start.
	Nodes []*Node

	catalogue *catalogue.Catalogue
	authority *certs.Authority
	server    *http.Server
	url       string // URL of the platform
	dir       string // directory of the certificates
	log       zerolog.Logger
	drain     time.Duration // drain limit of the daemons
}

// Node is one instance: a target and the daemon beside it.
type Node struct {
	Instance origin.Instance
	// Callers and Operator are the listen addresses (host:port) of the daemon.
	Callers, Operator string
	Target            *standin.Target

	cancel context.CancelFunc
	done   chan error
}

// Start publishes the catalogue and starts the instances of the given placements. It writes the certificates to dir, which
// the caller removes after Stop.
func Start(cat *catalogue.Catalogue, placements []Placement, dir string, log zerolog.Logger) (*Fleet, error) {
	authority, err := certs.NewAuthority("demonstration authority")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform: standin.NewPlatform(standin.PlatformConfig{
			ReadsPerSecond: platformReadsPerSecond, Delay: platformDelay, InstanceLag: instanceLag,
		}),
		Ledger: standin.NewLedger(), catalogue: cat, authority: authority, dir: dir, log: log, drain: 10 * time.Second,
	}
	if err := f.servePlatform(); err != nil {
		return nil, err
	}
	if err := f.Publish(cat); err != nil {
		return nil, err
	}
	for _, p := range placements {
		for range p.Instances {
			if err := f.Add(p.Service, p.FailureDomain); err != nil {
				_ = f.Stop()
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) servePlatform() error {
	listener, err := net.Listen("tcp", freePort)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	f.url = "http://" + listener.Addr().String()
	f.server = &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = f.server.Serve(listener) }()
	return nil
}

// Publish publishes a catalogue on the stand-in platform and makes it the one that Catalogue returns.
func (f *Fleet) Publish(cat *catalogue.Catalogue) error {
	f.catalogue = cat
	_, err := f.Platform.PublishCatalogue(cat)
	return err
}

// Catalogue returns the last published catalogue.
func (f *Fleet) Catalogue() *catalogue.Catalogue { return f.catalogue }

// Add starts another instance of a service in a failure domain and appends it to Nodes.
func (f *Fleet) Add(service, failureDomain string) error {
	name := fmt.Sprintf("%s-%d", failureDomain, len(f.Nodes)+1)
	node := &Node{done: make(chan error, 1)}
	node.Target = standin.NewTarget(standin.TargetConfig{
		Name: name, Limits: f.limits(service), Service: targetServiceTime, Spread: 0.3, Ledger: f.Ledger,
	})
	address, err := node.Target.Start("")
	if err != nil {
		return errors.Wrapf(err, "target of %s", name)
	}
	s, err := f.settings(name, service, failureDomain, address)
	if err != nil {
		return err
	}
	return f.startDaemon(node, s)
}

// limits returns the limits of a service in the catalogue, or zero limits if there is no such service.
func (f *Fleet) limits(service string) catalogue.ServiceLimits {
	for _, s := range f.catalogue.Services {
		if s.Name == service {
			return s.Limits
		}
	}
	return catalogue.ServiceLimits{}
}

// settings writes the certificate of an instance and returns the settings of its daemon.
func (f *Fleet) settings(name, service, failureDomain, target string) (*settings.Settings, error) {
	pair, err := f.authority.IssueInstance(certs.Identity{Instance: name, FailureDomain: failureDomain})
	if err != nil {
		return nil, err
	}
	files, err := f.authority.WriteFiles(f.dir, name, pair)
	if err != nil {
		return nil, err
	}
	s := settings.Default()
	s.Instance, s.Service, s.FailureDomain = name, service, failureDomain
	s.Listen = settings.Listen{Callers: freePort, Requests: freePort, Peers: freePort, Operator: freePort}
	s.Target.Addr, s.Target.HealthPath = target, standin.HealthPath
	s.Platform.URL = f.url
	s.Platform.StoreRegions = []string{f.catalogue.Regions[0].Name}
	s.Peers.FleetSize = len(f.Nodes) + 1
	s.TLS.Cert, s.TLS.Key, s.TLS.CA = files.Cert, files.Key, files.CA
	s.TrustOrganisationHeader = true
	s.DrainLimit = catalogue.Duration(f.drain)
	for _, n := range f.Nodes {
		if len(s.Peers.Seeds) < maxSeeds {
			s.Peers.Seeds = append(s.Peers.Seeds, n.Instance.PeerAddr)
		}
	}
	return s, nil
}

// startDaemon starts the daemon of a node and adds the instance to the platform.
func (f *Fleet) startDaemon(node *Node, s *settings.Settings) error {
	d, err := daemon.New(s, f.log.With().Str("instance", s.Instance).Logger())
	if err != nil {
		return errors.Wrapf(err, "daemon of %s", s.Instance)
	}
	a := d.Addresses()
	node.Callers, node.Operator = a.Callers, a.Operator
	node.Instance = origin.Instance{
		Name: s.Instance, FailureDomain: s.FailureDomain, Service: s.Service,
		PeerAddr: a.Peers, RequestAddr: a.Requests, State: origin.Live,
	}
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go func() { node.done <- d.Run(ctx) }()
	f.Nodes = append(f.Nodes, node)
	f.Platform.PutInstance(node.Instance)
	return nil
}

// WaitReady waits until all instances are ready to accept requests. It returns an error if ctx is done first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		if err := n.waitReady(ctx); err != nil {
			return errors.Wrapf(err, "instance %s is not ready", n.Instance.Name)
		}
	}
	return nil
}

func (n *Node) waitReady(ctx context.Context) error {
	const interval = 50 * time.Millisecond
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Operator+"/readyz", nil)
		if err != nil {
			return errors.WithStack(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// Stop drains all daemons concurrently, then stops the targets and the platform. It returns the first drain error.
func (f *Fleet) Stop() error {
	for _, n := range f.Nodes {
		n.cancel()
	}
	var first error
	for _, n := range f.Nodes {
		if err := <-n.done; err != nil && first == nil {
			first = errors.Wrapf(err, "instance %s", n.Instance.Name)
		}
		n.Target.Close()
	}
	_ = f.server.Close()
	return first
}

// TempDir creates a temporary directory for the certificates of a fleet, and returns its path and a function that removes it.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "chervilwell-")
	if err != nil {
		return "", nil, errors.WithStack(err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
