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

// Places in the relay tree of the first failure domain. The reader heads it, and the relay is its first child with four
// children of its own.
const (
	readerPlace    = 0
	relayPlace     = 1
	footprintPeers = 9
	// footprintReady bounds the start of the daemons.
	footprintReady = 15 * time.Second
	// nobody is an address of loopback on which nothing listens, for instances that are listed and do not run.
	nobody = "127.0.0.1:1"
)

// footprint is a large fleet of which two daemons run as processes and their neighbours within this one.
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

// startFootprint starts the fleet and waits until both daemons hold everything.
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
	if err := f.place(ctx, binary); err != nil {
		return f, err
	}
	return f, f.awaitBoth(ctx)
}

// place lists all instances, starts the neighbours within this process and the two daemons.
func (f *footprint) place(ctx context.Context, binary string) error {
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
			// The root of another failure domain of the same region.
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
			inst.PeerAddr, inst.RequestAddr = nobody, nobody
			byName[inst.Name] = inst
		}
	}
	for place, name := range domain {
		var err error
		switch place {
		case readerPlace:
			f.reader, err = f.newProcess(byName[name])
		case relayPlace:
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

// servePlatform serves the platform and the health of all targets on loopback.
func (f *footprint) servePlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "platform")
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

// startNeighbour runs an instance's agent within this process, over QUIC.
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

// stop ends the daemons and all else that was started.
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

// awaitBoth waits until both daemons hold all endpoints.
func (f *footprint) awaitBoth(ctx context.Context) error {
	start := time.Now()
	for _, p := range []*daemonProcess{f.reader, f.relay} {
		for {
			if err := ctx.Err(); err != nil || time.Since(start) > footprintReady {
				return errors.Errorf("%s did not become ready within %v", p.name, footprintReady)
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

// writeSettings writes a daemon's settings and certificate, and returns the file's path.
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
