package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/bench"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/once"
)

// stopLimit is the stated time after which a failure domain or target taken out gets no new work.
const stopLimit = 3 * time.Second

// leaving is the failure domain that is taken out.
const leaving = "obb-ro"

// The calls of the runs.
var (
	stock  = bench.Stream{Name: "stock", Organisation: "haulier-a", Method: http.MethodGet, Path: "/lagerstand/depot", Rate: 40}
	bound  = bench.Stream{Name: "bound", Organisation: "haulier-a", Method: http.MethodGet, Path: "/bound/depot", Rate: 30}
	ticket = bench.Stream{Name: "ticket", Organisation: "haulier-c", Method: http.MethodPost, Path: "/wiegebeleg/tickets", Rate: 30, Never: true, Body: 300}
	booked = bench.Stream{Name: "booked", Organisation: "haulier-b", Method: http.MethodPost, Path: "/disposition/orders", Rate: 30, Never: true, Body: 100}
)

// generous is a time limit of routes that a slow machine keeps.
const generous = 4 * time.Second

// prepare adds a route that is bound to the region obb and gives all routes time.
func prepare(c *catalogue.Catalogue) {
	for i := range c.Routes {
		c.Routes[i].Limits.Timeout = catalogue.Duration(generous)
	}
	route := c.Routes[0]
	route.Name, route.HomeRegions, route.Match.PathPrefix = "bound", []string{"obb"}, "/bound/"
	c.Routes = append(c.Routes, route)
}

// mesh runs the real parts and records what callers were told.
type mesh struct {
	*bench.Mesh
	load *bench.Load

	mu    sync.Mutex
	calls []bench.Call
	wait  sync.WaitGroup
}

func newMesh(t *testing.T, options bench.MeshOptions) *mesh {
	t.Helper()
	options.Log, options.Instances, options.Change = zerolog.Nop(), 13, prepare
	m, err := bench.NewMesh(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return &mesh{Mesh: m, load: bench.NewLoad(m)}
}

// seatsMature is the time after which the seats of a new service record keys, with a margin.
const seatsMature = once.MatureAfter + 3*time.Second

// keep adds calls to the record.
func (m *mesh) keep(calls ...bench.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, calls...)
}

// run sends calls of the streams, those of booked with keys and resends, while f runs.
func (m *mesh) run(seed uint64, name string, f func()) {
	ctx, stop := context.WithCancel(context.Background())
	load := bench.NewLoad(m.Mesh)
	for i, s := range []bench.Stream{stock, bound, ticket} {
		s.Name = name + "-" + s.Name
		m.wait.Go(func() { load.Run(ctx, &s, seed+uint64(i)) })
	}
	m.wait.Go(func() { m.book(ctx, seed, name) })
	f()
	stop()
	m.wait.Wait()
	m.keep(load.Calls()...)
}

// book sends requests with keys at a steady rate and resends each until it has its answer.
func (m *mesh) book(ctx context.Context, seed uint64, name string) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for i := 0; ctx.Err() == nil; i++ {
		key, first := uuid.Must(uuid.NewV7()), rng.IntN(len(m.Nodes))
		m.wait.Go(func() { m.settle(fmt.Sprintf("%s-booked-%d", name, i), key.String(), first) })
		time.Sleep(time.Duration(float64(time.Second) / booked.Rate))
	}
}

// maxSends bounds the sends of one request with a key.
const maxSends = 20

func (m *mesh) settle(id, key string, first int) {
	for attempt := range maxSends {
		s := booked
		s.Header = http.Header{headers.IdempotencyKey: {key}, standin.AttemptHeader: {strconv.Itoa(attempt)}}
		c := m.load.Do(context.Background(), &s, id, first+attempt)
		m.keep(c)
		if c.Ending == bench.Good {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (m *mesh) regionOf(target string) string {
	region, _, _ := strings.Cut(target, "-")
	return region
}

// homes returns the regions to which a request is bound, by its name.
func homes(request string) []string {
	if strings.Contains(request, "bound-") {
		return []string{"obb"}
	}
	return nil
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// depart takes the failure domain out, stops its processes as given, brings them back and returns it with cold targets.
func (m *mesh) depart(t *testing.T, stop func(*bench.Node)) (out Window, cold time.Time) {
	t.Helper()
	out.From = time.Now()
	must(t, m.SetDomain(leaving, catalogue.Out))
	time.Sleep(time.Second)
	var wait sync.WaitGroup
	for _, n := range m.In(leaving) {
		wait.Go(func() { stop(n) })
	}
	wait.Wait()
	time.Sleep(stopLimit)
	for _, n := range m.In(leaving) {
		must(t, n.Start(t.Context()))
		n.Target.Chill()
	}
	cold = time.Now()
	out.Until = time.Now()
	must(t, m.SetDomain(leaving, catalogue.In))
	time.Sleep(2 * time.Second)
	return out, cold
}

// windows returns the windows of a target in the failure domain that leaves.
func windows(out Window) func(string) []Window {
	return func(target string) []Window {
		if strings.HasPrefix(target, leaving) {
			return []Window{out}
		}
		return nil
	}
}

// report fails the test for each promise whose check found a violation.
func report(t *testing.T, results map[string]error) {
	t.Helper()
	for promise, err := range results {
		if err != nil {
			t.Errorf("%s: %v", promise, err)
		}
	}
}

func (m *mesh) always() map[string]error {
	runs := m.Ledger.All()
	return map[string]error{
		"whole answers":   Answers(m.calls),
		"true not-run":    NotRun(m.calls, runs),
		"at most once":    AtMostOnce(m.calls, runs),
		"home regions":    HomeRegions(runs, m.regionOf, homes),
		"cold overloads":  coldOverloads(m.Counts()),
		"something ended": someGood(m.calls),
	}
}

func coldOverloads(c standin.TargetCounts) error {
	if c.ColdOverloads > 0 {
		return fmt.Errorf("cold targets were given %d requests more than they bear", c.ColdOverloads)
	}
	return nil
}

// someGood guards against runs in which nothing happened.
func someGood(calls []bench.Call) error {
	for _, c := range calls {
		if c.Ending == bench.Good {
			return nil
		}
	}
	return fmt.Errorf("none of %d calls ended well", len(calls))
}

func TestPlannedDeparturePromises(t *testing.T) {
	m := newMesh(t, bench.MeshOptions{Seed: 1})
	var out Window
	var cold time.Time
	time.Sleep(seatsMature)
	m.run(1, "planned", func() {
		time.Sleep(time.Second)
		out, cold = m.depart(t, func(n *bench.Node) { _ = n.Stop(t.Context()) })
	})
	runs := m.Ledger.All()
	results := m.always()
	results["no new work"] = NoNewWork(runs, windows(out), stopLimit)
	results["graceful stop"] = GracefulStop(m.calls)
	for _, n := range m.In(leaving) {
		results["cold "+n.Instance.Name] = ColdBearing(runs, n.Target.Name(), cold, m.Limits(n.Instance.Service))
	}
	report(t, results)
}

func TestUnplannedFaultPromises(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newMesh(t, bench.MeshOptions{Seed: seed})
			m.run(seed, "faults", func() {
				ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()
				m.RandomFaults(ctx, seed)
			})
			report(t, m.always())
		})
	}
}
