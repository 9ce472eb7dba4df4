package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
)

// runMain makes the test binary behave as the daemon, so that the tests drive real processes.
const runMain = "CHERVILWELLD_TEST_RUN_MAIN"

// giveUp bounds waits for a condition; reaching it fails the test, and no assertion depends on how long a wait took.
const giveUp = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// site is a deployment of daemon processes with stand-ins in the test's process.
type site struct {
	t         *testing.T
	dir       string
	platform  *standin.Platform
	url       string
	authority *certs.Authority
	catalogue *catalogue.Catalogue
	ledger    *standin.Ledger
	seeds     []string
}

// proc is one daemon process.
type proc struct {
	site   *site
	name   string
	domain string
	target *standin.Target
	cmd    *exec.Cmd
	addr   map[string]string
	log    *lockedBuffer
	ended  chan struct{}
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (b *lockedBuffer) line(s string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.WriteString(s + "\n")
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newSite(t *testing.T) *site {
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	check(t, err)
	authority, err := certs.NewAuthority("test authority")
	check(t, err)
	s := &site{
		t: t, dir: t.TempDir(), authority: authority, catalogue: cat, ledger: standin.NewLedger(), seeds: []string{},
		platform: standin.NewPlatform(standin.PlatformConfig{Delay: time.Millisecond}),
	}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.CloseClientConnections)
	s.url = server.URL
	_, err = s.platform.PublishCatalogue(cat)
	check(t, err)
	return s
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// start runs a daemon process for service lagerstand and lists it on the platform.
func (s *site) start(name, domain string) *proc {
	p := &proc{site: s, name: name, domain: domain, log: &lockedBuffer{}}
	p.target = standin.NewTarget(standin.TargetConfig{
		Name: name, Limits: s.catalogue.Services[0].Limits, Service: 5 * time.Millisecond, Ledger: s.ledger,
	})
	_, err := p.target.Start("")
	check(s.t, err)
	s.t.Cleanup(p.target.Close)
	p.exec()
	s.seeds = append(s.seeds, p.addr["peers"])
	return p
}

// exec starts the process and waits until it listens.
func (p *proc) exec() {
	t := p.site.t
	p.cmd = exec.Command(os.Args[0], "run", "-settings", p.settings())
	p.cmd.Env = append(os.Environ(), runMain+"=1")
	out, err := p.cmd.StderrPipe()
	check(t, err)
	check(t, p.cmd.Start())
	cmd := p.cmd
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	p.ended = make(chan struct{})
	listening := make(chan map[string]string, 1)
	go p.follow(out, listening, p.ended)
	select {
	case p.addr = <-listening:
	case <-p.ended:
		t.Fatalf("%s ended:\n%s", p.name, p.log)
	case <-time.After(giveUp):
		t.Fatalf("%s does not listen:\n%s", p.name, p.log)
	}
	p.site.platform.PutInstance(origin.Instance{
		Name: p.name, FailureDomain: p.domain, Service: "lagerstand",
		PeerAddr: p.addr["peers"], RequestAddr: p.addr["requests"], State: origin.Live,
	})
}

var addressPair = regexp.MustCompile(`(callers|requests|peers|operator)=(\S+)`)

// follow reads the log of the process to its end.
func (p *proc) follow(r io.Reader, listening chan<- map[string]string, ended chan<- struct{}) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.log.line(lines.Text())
		if strings.Contains(lines.Text(), "msg=listening") {
			found := map[string]string{}
			for _, m := range addressPair.FindAllStringSubmatch(lines.Text(), -1) {
				found[m[1]] = m[2]
			}
			listening <- found
		}
	}
	close(ended)
}

func (p *proc) settings() string {
	s := p.site
	pair, err := s.authority.Instance(certs.Identity{Instance: p.name, FailureDomain: p.domain})
	check(s.t, err)
	files, err := s.authority.Write(s.dir, p.name, pair)
	check(s.t, err)
	data, err := json.Marshal(map[string]any{
		"instance": p.name, "failureDomain": p.domain, "service": "lagerstand",
		"listen":                  map[string]string{"callers": "127.0.0.1:0", "requests": "127.0.0.1:0", "peers": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"target":                  map[string]string{"addr": p.target.Address(), "healthPath": standin.HealthPath},
		"platform":                map[string]any{"url": s.url, "storeRegions": []string{"obb"}},
		"peers":                   map[string]any{"seeds": s.seeds, "fleetSize": 4},
		"tls":                     map[string]string{"cert": files.Cert, "key": files.Key, "ca": files.CA},
		"trustOrganisationHeader": true, "drainLimit": "20s",
	})
	check(s.t, err)
	file := filepath.Join(s.dir, p.name+".jsonc")
	check(s.t, os.WriteFile(file, data, 0o600))
	return file
}

// status is the part of the operators' status that the tests read.
func (p *proc) revision() uint64 {
	resp, err := http.Get("http://" + p.addr["operator"] + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	m := regexp.MustCompile(`(?m)^chervilwell_\w*revision(?:\{[^}]*\})? (\S+)$`).FindSubmatch(data)
	if m == nil {
		return 0
	}
	var v float64
	_, _ = fmt.Sscan(string(m[1]), &v)
	return uint64(v)
}

// await waits until a condition holds.
func (p *proc) await(what string, condition func() bool) {
	p.site.t.Helper()
	for end := time.Now().Add(giveUp); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			p.site.t.Fatalf("%s: never %s:\n%s", p.name, what, p.log)
		}
	}
}

func (p *proc) ready() bool {
	resp, err := http.Get("http://" + p.addr["operator"] + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a request to the process's frontend and returns whether it was served in whole.
func (p *proc) call(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr["callers"]+"/lagerstand/depot/"+id, nil)
	if err != nil {
		return err
	}
	req.Header.Set(headers.Organisation, "haulier-a")
	req.Header.Set(standin.RequestHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(data), id) {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return nil
}

// TestProcessesServeThroughKillsAndReplacement runs four daemon processes, kills half of them at once, replaces them while
// the platform is down, and checks that revisions never fall and that every process serves again.
func TestProcessesServeThroughKillsAndReplacement(t *testing.T) {
	s := newSite(t)
	procs := []*proc{s.start("obb-muc-1", "obb-muc"), s.start("obb-ro-1", "obb-ro"), s.start("nbb-la-1", "nbb-la"), s.start("nbb-pa-1", "nbb-pa")}
	for _, p := range procs {
		p.await("ready", p.ready)
	}
	next, err := s.catalogue.WithDomain("obb-ro", catalogue.Out)
	check(t, err)
	_, err = s.platform.PublishCatalogue(next)
	check(t, err)
	for _, p := range procs {
		p.await("at revision 2", func() bool { return p.revision() == 2 })
		check(t, p.call(t.Context(), p.name+"-before"))
	}
	s.platform.SetOutage(true)
	for _, p := range procs[:2] {
		check(t, p.cmd.Process.Kill())
		_ = p.cmd.Wait()
	}
	s.seeds = []string{procs[2].addr["peers"], procs[3].addr["peers"]}
	for _, p := range procs[:2] {
		p.exec()
	}
	for _, p := range procs {
		p.await("ready again", p.ready)
		if got := p.revision(); got != 2 {
			t.Errorf("%s serves revision %d after its replacement, want 2", p.name, got)
		}
		check(t, p.call(t.Context(), p.name+"-after"))
	}
	for _, r := range s.ledger.All() {
		if r.Target == "obb-ro-1" {
			t.Errorf("request %s ran in a failure domain that is out of service", r.Request)
		}
	}
}

// TestTerminationCutsNoRequest stops a process by SIGTERM while callers use all of them.
func TestTerminationCutsNoRequest(t *testing.T) {
	s := newSite(t)
	procs := []*proc{s.start("obb-muc-1", "obb-muc"), s.start("obb-muc-2", "obb-muc"), s.start("obb-ro-1", "obb-ro")}
	for _, p := range procs {
		p.await("ready", p.ready)
	}
	leaving, rest := procs[0], procs[1:]
	leaving.await("known to the others", func() bool { return rest[0].call(t.Context(), "probe") == nil })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("load-%d-%d", w, i)
				if err := rest[w%len(rest)].call(t.Context(), id); err != nil {
					t.Errorf("request %s was cut: %v", id, err)
				}
			}
		})
	}
	leaving.await("under load", func() bool { return len(s.ledger.All()) > 200 })
	check(t, leaving.cmd.Process.Signal(syscall.SIGTERM))
	<-leaving.ended
	err := leaving.cmd.Wait()
	before := len(s.ledger.All())
	rest[0].await("serving on", func() bool { return len(s.ledger.All()) > before+100 })
	close(stop)
	wg.Wait()
	if err != nil {
		t.Fatalf("exit after SIGTERM: %v\n%s", err, leaving.log)
	}
}

// TestPausedProcessDecidesNothingByOldConfiguration pauses the process of a failure domain that is then taken out of service,
// cuts it from the platform, and calls its own frontend from the moment it wakes.
func TestPausedProcessDecidesNothingByOldConfiguration(t *testing.T) {
	s := newSite(t)
	paused, other := s.start("obb-ro-1", "obb-ro"), s.start("obb-muc-1", "obb-muc")
	for _, p := range []*proc{paused, other} {
		p.await("ready", p.ready)
	}
	paused.await("serving by its own target", func() bool {
		_ = paused.call(t.Context(), "before")
		return len(s.ledger.Runs("before")) > 0
	})
	check(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	next, err := s.catalogue.WithDomain("obb-ro", catalogue.Out)
	check(t, err)
	_, err = s.platform.PublishCatalogue(next)
	check(t, err)
	other.await("at revision 2", func() bool { return other.revision() == 2 })
	time.Sleep(3 * time.Second) // longer than the gap that counts as a pause
	before := len(s.ledger.All())
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { _ = paused.call(t.Context(), fmt.Sprintf("woken-%d", i)) })
	}
	time.Sleep(100 * time.Millisecond) // the calls lie in the paused process's sockets
	check(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	wg.Wait()
	paused.await("at revision 2", func() bool { return paused.revision() == 2 })
	paused.await("ready", paused.ready)
	check(t, paused.call(t.Context(), "after"))
	for _, r := range s.ledger.All()[before:] {
		if r.Target == "obb-ro-1" {
			t.Errorf("request %s ran in a failure domain that was taken out of service during the pause", r.Request)
		}
	}
}
