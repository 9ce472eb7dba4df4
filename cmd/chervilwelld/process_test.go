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

// runMain is the environment variable that makes the test binary run main, so that the tests use real daemon processes.
const runMain = "CHERVILWELLD_TEST_RUN_MAIN"

// waitTimeout bounds each wait for a condition. Reaching it fails the test; no assertion depends on the length of a wait.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// deployment consists of daemon processes, and of stand-ins for the platform and the targets in the test process.
type deployment struct {
	t         *testing.T
	dir       string
	platform  *standin.Platform
	url       string
	authority *certs.Authority
	catalogue *catalogue.Catalogue
	ledger    *standin.Ledger
	seeds     []string
}

// proc is a daemon process and its target.
type proc struct {
	deployment *deployment
	name       string
	domain     string
	target     *standin.Target
	cmd        *exec.Cmd
	addr       map[string]string
	log        *syncBuffer
	exited     chan struct{}
}

// syncBuffer collects log lines. It is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (b *syncBuffer) writeLine(s string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.WriteString(s + "\n")
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newDeployment(t *testing.T) *deployment {
	cat, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	check(t, err)
	authority, err := certs.NewAuthority("test authority")
	check(t, err)
	d := &deployment{
		t: t, dir: t.TempDir(), authority: authority, catalogue: cat, ledger: standin.NewLedger(), seeds: []string{},
		platform: standin.NewPlatform(standin.PlatformConfig{Delay: time.Millisecond}),
	}
	server := httptest.NewServer(d.platform.Handler())
	t.Cleanup(server.CloseClientConnections)
	d.url = server.URL
	_, err = d.platform.PublishCatalogue(cat)
	check(t, err)
	return d
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// start starts a target and a daemon process of the service lagerstand, and adds the instance to the platform.
func (d *deployment) start(name, domain string) *proc {
	p := &proc{deployment: d, name: name, domain: domain, log: &syncBuffer{}}
	p.target = standin.NewTarget(standin.TargetConfig{
		Name: name, Limits: d.catalogue.Services[0].Limits, Service: 5 * time.Millisecond, Ledger: d.ledger,
	})
	_, err := p.target.Start("")
	check(d.t, err)
	d.t.Cleanup(p.target.Close)
	p.launch()
	d.seeds = append(d.seeds, p.addr["peers"])
	return p
}

// launch starts the process, waits until it listens and adds the instance to the platform.
func (p *proc) launch() {
	t := p.deployment.t
	p.cmd = exec.Command(os.Args[0], "run", "-settings", p.settings())
	p.cmd.Env = append(os.Environ(), runMain+"=1")
	out, err := p.cmd.StderrPipe()
	check(t, err)
	check(t, p.cmd.Start())
	cmd := p.cmd
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	p.exited = make(chan struct{})
	listening := make(chan map[string]string, 1)
	go p.readLog(out, listening, p.exited)
	select {
	case p.addr = <-listening:
	case <-p.exited:
		t.Fatalf("%s exited:\n%s", p.name, p.log)
	case <-time.After(waitTimeout):
		t.Fatalf("%s does not listen:\n%s", p.name, p.log)
	}
	p.deployment.platform.PutInstance(origin.Instance{
		Name: p.name, FailureDomain: p.domain, Service: "lagerstand",
		PeerAddr: p.addr["peers"], RequestAddr: p.addr["requests"], State: origin.Live,
	})
}

// addressPair matches a listen address in the log line with msg=listening.
var addressPair = regexp.MustCompile(`(callers|requests|peers|operator)=(\S+)`)

// readLog reads the log of the process to its end. It sends the listen addresses to listening and then closes exited.
func (p *proc) readLog(r io.Reader, listening chan<- map[string]string, exited chan<- struct{}) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.log.writeLine(lines.Text())
		if strings.Contains(lines.Text(), "msg=listening") {
			found := map[string]string{}
			for _, m := range addressPair.FindAllStringSubmatch(lines.Text(), -1) {
				found[m[1]] = m[2]
			}
			listening <- found
		}
	}
	close(exited)
}

// settings writes the certificate and the settings file of the process, and returns the path of the file.
func (p *proc) settings() string {
	d := p.deployment
	pair, err := d.authority.IssueInstance(certs.Identity{Instance: p.name, FailureDomain: p.domain})
	check(d.t, err)
	files, err := d.authority.WriteFiles(d.dir, p.name, pair)
	check(d.t, err)
	data, err := json.Marshal(map[string]any{
		"instance": p.name, "failureDomain": p.domain, "service": "lagerstand",
		"listen":                  map[string]string{"callers": "127.0.0.1:0", "requests": "127.0.0.1:0", "peers": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"target":                  map[string]string{"addr": p.target.Address(), "healthPath": standin.HealthPath},
		"platform":                map[string]any{"url": d.url, "storeRegions": []string{"obb"}},
		"peers":                   map[string]any{"seeds": d.seeds, "fleetSize": 4},
		"tls":                     map[string]string{"cert": files.Cert, "key": files.Key, "ca": files.CA},
		"trustOrganisationHeader": true, "drainLimit": "20s",
	})
	check(d.t, err)
	file := filepath.Join(d.dir, p.name+".jsonc")
	check(d.t, os.WriteFile(file, data, 0o600))
	return file
}

// revision returns the catalogue revision from the metrics of the process, or 0 if it can't be read.
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

// waitFor waits until condition returns true. It fails the test after waitTimeout.
func (p *proc) waitFor(what string, condition func() bool) {
	p.deployment.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			p.deployment.t.Fatalf("%s: timed out waiting until it is %s:\n%s", p.name, what, p.log)
		}
	}
}

// ready reports whether the readiness endpoint responds with 200.
func (p *proc) ready() bool {
	resp, err := http.Get("http://" + p.addr["operator"] + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a request to the frontend of the process. It returns an error unless the response is complete, has status 200
// and contains the ID.
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

// TestProcessesServeAfterKillAndRestart kills two of four daemon processes and restarts them while the platform is down. It
// checks that the restarted processes get the current revision from their peers and that all processes serve again.
func TestProcessesServeAfterKillAndRestart(t *testing.T) {
	d := newDeployment(t)
	procs := []*proc{d.start("obb-muc-1", "obb-muc"), d.start("obb-ro-1", "obb-ro"), d.start("nbb-la-1", "nbb-la"), d.start("nbb-pa-1", "nbb-pa")}
	for _, p := range procs {
		p.waitFor("ready", p.ready)
	}
	next, err := d.catalogue.WithDomainState("obb-ro", catalogue.OutOfService)
	check(t, err)
	_, err = d.platform.PublishCatalogue(next)
	check(t, err)
	for _, p := range procs {
		p.waitFor("at revision 2", func() bool { return p.revision() == 2 })
		check(t, p.call(t.Context(), p.name+"-before"))
	}
	d.platform.SetOutage(true)
	for _, p := range procs[:2] {
		check(t, p.cmd.Process.Kill())
		_ = p.cmd.Wait()
	}
	d.seeds = []string{procs[2].addr["peers"], procs[3].addr["peers"]}
	for _, p := range procs[:2] {
		p.launch()
	}
	for _, p := range procs {
		p.waitFor("ready again", p.ready)
		if got := p.revision(); got != 2 {
			t.Errorf("%s serves revision %d after its restart, want 2", p.name, got)
		}
		check(t, p.call(t.Context(), p.name+"-after"))
	}
	for _, r := range d.ledger.All() {
		if r.Target == "obb-ro-1" {
			t.Errorf("request %s ran in a failure domain that is out of service", r.Request)
		}
	}
}

// TestSIGTERMCompletesRequests stops one of three processes with SIGTERM under load. It checks that no request fails and that
// the process exits with 0.
func TestSIGTERMCompletesRequests(t *testing.T) {
	d := newDeployment(t)
	procs := []*proc{d.start("obb-muc-1", "obb-muc"), d.start("obb-muc-2", "obb-muc"), d.start("obb-ro-1", "obb-ro")}
	for _, p := range procs {
		p.waitFor("ready", p.ready)
	}
	leaving, rest := procs[0], procs[1:]
	leaving.waitFor("known to the others", func() bool { return rest[0].call(t.Context(), "probe") == nil })
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
					t.Errorf("request %s failed: %v", id, err)
				}
			}
		})
	}
	leaving.waitFor("under load", func() bool { return len(d.ledger.All()) > 200 })
	check(t, leaving.cmd.Process.Signal(syscall.SIGTERM))
	<-leaving.exited
	err := leaving.cmd.Wait()
	before := len(d.ledger.All())
	rest[0].waitFor("still serving", func() bool { return len(d.ledger.All()) > before+100 })
	close(stop)
	wg.Wait()
	if err != nil {
		t.Fatalf("exit after SIGTERM: %v\n%s", err, leaving.log)
	}
}

// TestResumedProcessIgnoresOldConfiguration pauses the process of a failure domain that is then taken out of service,
// and calls its frontend from the moment it resumes. It checks that no request runs there according to the configuration from
// before the pause.
func TestResumedProcessIgnoresOldConfiguration(t *testing.T) {
	d := newDeployment(t)
	paused, other := d.start("obb-ro-1", "obb-ro"), d.start("obb-muc-1", "obb-muc")
	for _, p := range []*proc{paused, other} {
		p.waitFor("ready", p.ready)
	}
	paused.waitFor("serving through its local target", func() bool {
		_ = paused.call(t.Context(), "before")
		return len(d.ledger.Runs("before")) > 0
	})
	check(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	next, err := d.catalogue.WithDomainState("obb-ro", catalogue.OutOfService)
	check(t, err)
	_, err = d.platform.PublishCatalogue(next)
	check(t, err)
	other.waitFor("at revision 2", func() bool { return other.revision() == 2 })
	time.Sleep(3 * time.Second) // longer than the daemon's threshold for detecting a pause
	before := len(d.ledger.All())
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { _ = paused.call(t.Context(), fmt.Sprintf("woken-%d", i)) })
	}
	time.Sleep(100 * time.Millisecond) // until the calls are queued in the sockets of the paused process
	check(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	wg.Wait()
	paused.waitFor("at revision 2", func() bool { return paused.revision() == 2 })
	paused.waitFor("ready", paused.ready)
	check(t, paused.call(t.Context(), "after"))
	for _, r := range d.ledger.All()[before:] {
		if r.Target == "obb-ro-1" {
			t.Errorf("request %s ran in a failure domain that was taken out of service during the pause", r.Request)
		}
	}
}
