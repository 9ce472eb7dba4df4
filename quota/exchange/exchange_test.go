package exchange

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quota"
)

// fleet is a number of exchanges on loopback addresses: two in region "a", in domains of their own, then two in region "b".
type fleet struct {
	exchanges []*Exchange
	servers   []*http.Server
	holder    *mesh.Holder
	config    *mesh.Config
}

var bounds = quota.Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}

func newConfig(t *testing.T, version uint64, organisations ...*mesh.Organisation) *mesh.Config {
	t.Helper()
	config, err := mesh.NewConfig(version, nil, nil, mesh.Limits{}, organisations...)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// newState returns the state of a mesh with instances in the given failure domains, whose first letter is their region.
func newState(config *mesh.Config, domains ...string) *mesh.State {
	replica := mesh.NewReplica()
	for i, domain := range domains {
		position := mesh.Position{Revision: uint64(i + 1)}
		replica.Apply(time.Now(), []mesh.Entry{{Key: domain + fmt.Sprint(i), Revision: position.Revision, Target: &mesh.Target{
			ID: fmt.Sprint(i), Service: "s", Addr: netip.AddrPortFrom(address(i), 80), FailureDomain: domain, Region: domain[:1], Slots: 1,
		}}}, position)
	}
	state := *replica.State()
	state.Config = config
	return &state
}

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}) }

func startFleet(t *testing.T, organisations ...*mesh.Organisation) *fleet {
	t.Helper()
	f := &fleet{holder: &mesh.Holder{}, config: newConfig(t, 1, organisations...)}
	f.holder.Store(newState(f.config, "a1", "a2", "b1", "b2"))
	var port uint16
	for i := range 4 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(address(i), port).String())
		if err != nil {
			t.Fatal(err)
		}
		port = uint16(l.Addr().(*net.TCPAddr).Port)
		domain := f.holder.Load().FailureDomainOf(address(i))
		e := New(Config{
			Holder: f.holder, Self: address(i), Port: port, FailureDomain: domain, Region: domain[:1], Bounds: bounds,
			Order: f.holder.Load().InstanceAddrs, Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { server.Close() })
		f.exchanges, f.servers = append(f.exchanges, e), append(f.servers, server)
		e.Update(f.holder.Load())
		go func() { _ = e.Serve(t.Context()) }()
	}
	return f
}

// send offers requests of an organisation at all processes in turn and returns the number admitted.
func (f *fleet) send(o *mesh.Organisation, perSecond int, d time.Duration) (admitted int) {
	for k, start := 0, time.Now(); time.Since(start) < d; k++ {
		if f.exchanges[k%len(f.exchanges)].Admit(f.config, o).OK() {
			admitted++
		}
		time.Sleep(time.Until(start.Add(time.Duration(k+1) * time.Second / time.Duration(perSecond))))
	}
	return admitted
}

// collectorOf returns the process that replied to process i last.
func (f *fleet) collectorOf(i int) string { return f.exchanges[i].Status().Collector }

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

func TestProcessesKeepQuotaTogether(t *testing.T) {
	hot := &mesh.Organisation{Name: "hot", Keys: []string{"k1"}, Quota: mesh.Quota{PerSecond: 40, Burst: 10}}
	open := &mesh.Organisation{Name: "open", Keys: []string{"k2"}}
	f := startFleet(t, hot, open)
	for i, want := range []string{"127.0.0.1", "127.0.0.1", "127.0.0.3", "127.0.0.3"} {
		waitFor(t, "collector of process "+fmt.Sprint(i), func() bool { return f.collectorOf(i) == want })
	}
	waitFor(t, "one top collector", func() bool {
		a, b := f.exchanges[0].Status(), f.exchanges[2].Status()
		return a.Top != b.Top && max(a.Reporting, b.Reporting) == 4
	})
	if !f.exchanges[0].Admit(f.config, open).OK() || !f.exchanges[0].Admit(f.config, nil).OK() {
		t.Error("a request without a quota was refused")
	}
	const seconds = 3
	got, allowed := f.send(hot, 400, seconds*time.Second), (40.0*seconds+10)*1.25+20
	if float64(got) > allowed || got < 40*seconds/2 {
		t.Errorf("admitted %d requests in %d s, want at most %.0f and at least half of the rate", got, seconds, allowed)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewMetrics(f.exchanges[0]))
	if families, err := registry.Gather(); err != nil || len(families) != 2 {
		t.Errorf("metrics: %v, %v", families, err)
	}
	f.servers[0].Close()
	waitFor(t, "successor of a failed collector", func() bool { return f.collectorOf(1) == "127.0.0.2" && f.exchanges[1].Status().Fresh })
}

func TestCandidatesForCollectors(t *testing.T) {
	state := newState(nil, "a1", "a1", "a2", "a3", "a3", "b1", "b1")
	text := func(addrs []netip.Addr) string {
		var out []string
		for _, addr := range addrs {
			out = append(out, strings.TrimPrefix(addr.String(), "127.0.0."))
		}
		return strings.Join(out, " ")
	}
	top := "a"
	if _, above := collectors(state, state.InstanceAddrs, address(5), "b", "b1"); len(above) == 0 {
		top = "b"
	}
	for _, test := range []struct {
		self                 int
		region, domain, want string
	}{
		{0, "a", "a1", "1 3"}, {1, "a", "a1", "1 3"}, {2, "a", "a2", "1 3"}, {4, "a", "a3", "1 3 4"}, {6, "b", "b1", "6 7"},
	} {
		if below, _ := collectors(state, state.InstanceAddrs, address(test.self), test.region, test.domain); text(below) != test.want {
			t.Errorf("process %d: got %s, want %s", test.self+1, text(below), test.want)
		}
	}
	leader, second := state.InstanceAddrs(top)[0], leaders(state, state.InstanceAddrs(top))[1]
	if _, above := collectors(state, state.InstanceAddrs, leader, top, ""); len(above) != 0 {
		t.Errorf("the first process has %v above it", above)
	}
	if _, above := collectors(state, state.InstanceAddrs, second, top, ""); !slices.Equal(above, []netip.Addr{leader}) {
		t.Errorf("the second process has %v above it, want %v", above, leader)
	}
}

func TestLargeRegionHasSeveralCollectors(t *testing.T) {
	domains := make([]string, 3*maxGroup)
	for i := range domains {
		domains[i] = "a" + fmt.Sprint(i%2)
	}
	state, reporters := newState(nil, domains...), map[netip.Addr]int{}
	for i, domain := range domains {
		below, _ := collectors(state, state.InstanceAddrs, address(i), "a", domain)
		reporters[below[0]]++
	}
	if len(reporters) != 3 || reporters[address(0)] != maxGroup {
		t.Errorf("got %v, want 3 collectors with %d processes each", reporters, maxGroup)
	}
}

func TestMalformedReportIsRefused(t *testing.T) {
	f := startFleet(t)
	for body, want := range map[string]int{"\xff": http.StatusBadRequest, strings.Repeat("x", 2*maxMessage): http.StatusBadRequest} {
		w := httptest.NewRecorder()
		f.exchanges[0].ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, Path, strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%.10q: got %d, want %d", body, w.Code, want)
		}
	}
}
