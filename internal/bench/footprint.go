package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/agent"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/rank"
	"github.com/chervilwell/chervilwell/settings"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Positions in the relay tree of the first failure domain. The reader is the root, and the relay is its first child and has
// four children.
const (
	readerPosition = 0
	relayPosition  = 1
	footprintPeers = 9
	// footprintStartTimeout is the time within which both daemons must become ready.
	footprintStartTimeout = 15 * time.Second
	// unusedAddr is a loopback address without a listener. It is used for instances that are listed but not started.
	unusedAddr = "127.0.0.1:1"
)

// footprint is a large fleet in which two daemons run as separate processes and their neighbours run within this process. All
// other instances are only listed.
type footprint struct {
	dir             string
	log             zerolog.Logger
	authority       *certs.Authority
	catalogue       *catalogue.Catalogue
	platform        *standin.Platform
	url             string
	size            fleetSize
	listedInstances []origin.Instance
	seeds           []string
	stops           []func()

	relay, reader *daemonProcess
}

// startFootprint starts the fleet and waits until both daemons are ready. On an error it may also return a footprint, which the
// caller must stop.
func startFootprint(ctx context.Context, cfg Config, dir string) (*footprint, error) {
	authority, err := certs.NewAuthority("bench authority")
	if err != nil {
		return nil, err
	}
	f := &footprint{
		dir: dir, log: cfg.Log, authority: authority, size: scaledSize(cfg.Instances, designServices),
		platform: standin.NewPlatform(standin.PlatformConfig{Delay: sourceDelay}),
	}
	f.catalogue = largeCatalogue(f.size)
	if _, err := f.platform.PublishCatalogue(f.catalogue); err != nil {
		return f, err
	}
	if err := f.servePlatform(); err != nil {
		return f, err
	}
	binary := filepath.Join(dir, "chervilwelld")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/chervilwell/chervilwell/cmd/chervilwelld")
	if out, err := build.CombinedOutput(); err != nil {
		return f, errors.Wrapf(err, "build the daemon: %s", out)
	}
	if err := f.startInstances(ctx, binary); err != nil {
		return f, err
	}
	return f, f.awaitReady(ctx)
}

// startInstances publishes the list of all instances and starts the neighbours within this process and the two daemons.
func (f *footprint) startInstances(ctx context.Context, binary string) error {
	lists := largeInstances(f.size)
	live := map[string]bool{}
	var domain []string
	for i := range lists {
		names := instanceNames(lists[i])
		order := rank.Sort(lists[i].FailureDomain, names)
		switch {
		case i == 0:
			domain = order[:footprintPeers]
		case i%f.size.regions == 0:
			// The relay root of another failure domain in the same region.
			domain = append(domain, order[0])
		}
	}
	for _, name := range domain {
		live[name] = true
	}
	byName := map[string]*origin.Instance{}
	var all []origin.Instance
	for i := range lists {
		for n := range lists[i].Instances {
			inst := &lists[i].Instances[n]
			inst.PeerAddr, inst.RequestAddr = unusedAddr, unusedAddr
			byName[inst.Name] = inst
		}
	}
	for position, name := range domain {
		var err error
		switch position {
		case readerPosition:
			f.reader, err = f.newProcess(byName[name])
		case relayPosition:
			f.relay, err = f.newProcess(byName[name])
		default:
			err = f.startNeighbour(byName[name])
		}
		if err != nil {
			return err
		}
	}
	for i := range lists {
		for _, inst := range lists[i].Instances {
			all = append(all, inst)
			if !live[inst.Name] {
				f.listedInstances = append(f.listedInstances, inst)
			}
		}
	}
	f.platform.PutInstance(all...)
	for _, p := range []*daemonProcess{f.reader, f.relay} {
		if err := p.start(ctx, binary, f); err != nil {
			return err
		}
	}
	return nil
}

func instanceNames(l origin.InstanceList) []string {
	out := make([]string, len(l.Instances))
	for i, inst := range l.Instances {
		out[i] = inst.Name
	}
	return out
}

// servePlatform serves the platform and the health check of all targets on one loopback address.
func (f *footprint) servePlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	f.url = "http://" + listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(standin.HealthPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("/", f.platform.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	f.stops = append(f.stops, func() { _ = server.Close() })
	return nil
}

// startNeighbour runs the agent of an instance within this process, with a QUIC transport on loopback.
func (f *footprint) startNeighbour(inst *origin.Instance) error {
	pair, err := f.authority.IssueInstance(certs.Identity{Instance: inst.Name, FailureDomain: inst.FailureDomain})
	if err != nil {
		return err
	}
	cert, err := pair.TLS()
	if err != nil {
		return err
	}
	transport, err := peer.Listen(peer.Config{Addr: "127.0.0.1:0", Certs: certs.NewStatic(cert, f.authority.Pool()), Log: zerolog.Nop()})
	if err != nil {
		return err
	}
	inst.PeerAddr = transport.Addr()
	f.seeds = append(f.seeds, inst.PeerAddr)
	a := agent.New(agent.Config{
		Self: *inst, Region: f.catalogue.Regions[0].Name, StoreRegions: f.storeRegions(), Seeds: f.seeds, Source: f.platform,
		Transport: transport, Holder: snapshot.NewHolder(), Log: zerolog.Nop(), FleetSize: f.size.endpoints,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx)
	}()
	f.stops = append(f.stops, func() {
		cancel()
		<-done
		_ = transport.Close()
	})
	return nil
}

func (f *footprint) storeRegions() []string { return []string{f.catalogue.Regions[0].Name} }

// stop terminates the daemons and then the neighbours and the platform.
func (f *footprint) stop() {
	for _, p := range []*daemonProcess{f.relay, f.reader} {
		if p != nil {
			p.stop()
		}
	}
	for _, stop := range f.stops {
		stop()
	}
}

// awaitReady waits until both daemons report that they are ready. It returns an error after footprintStartTimeout.
func (f *footprint) awaitReady(ctx context.Context) error {
	start := time.Now()
	for _, p := range []*daemonProcess{f.reader, f.relay} {
		for {
			if err := ctx.Err(); err != nil || time.Since(start) > footprintStartTimeout {
				return errors.Errorf("%s did not become ready within %v", p.name, footprintStartTimeout)
			}
			if response, err := http.Get("http://" + p.operator + "/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// writeSettings writes the settings and the certificate of a daemon, and returns the path of the settings file.
func (f *footprint) writeSettings(p *daemonProcess) (string, error) {
	id := certs.Identity{Instance: p.name, FailureDomain: p.inst.FailureDomain}
	pair, err := f.authority.IssueInstance(id)
	if err != nil {
		return "", err
	}
	files, err := f.authority.WriteFiles(f.dir, p.name, pair)
	if err != nil {
		return "", err
	}
	s := settings.Default()
	s.Instance, s.Service, s.FailureDomain, s.Region = p.name, p.inst.Service, p.inst.FailureDomain, f.catalogue.Regions[0].Name
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Requests: p.inst.RequestAddr, Peers: p.inst.PeerAddr, Operator: p.operator}
	s.Target.Addr, s.Target.HealthPath = strings.TrimPrefix(f.url, "http://"), standin.HealthPath
	s.Platform.URL, s.Platform.StoreRegions = f.url, f.storeRegions()
	s.Peers.Seeds, s.Peers.FleetSize = f.seeds[:min(len(f.seeds), 4)], f.size.endpoints
	s.TLS.Cert, s.TLS.Key, s.TLS.CA = files.Cert, files.Key, files.CA
	s.LogLevel, s.TrustOrganisationHeader = "error", true
	data, err := json.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "settings")
	}
	file := filepath.Join(f.dir, fmt.Sprintf("%s.json", p.name))
	return file, errors.Wrap(os.WriteFile(file, data, 0o600), "settings")
}
