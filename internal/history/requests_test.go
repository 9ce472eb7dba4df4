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

// stopLimit is the guaranteed maximum time until a failure domain or target taken out of service gets no new requests.
const stopLimit = 3 * time.Second

// drainedDomain is the failure domain that the tests take out of service.
const drainedDomain = "obb-ro"

// Streams of calls sent during the runs.
var (
	stock  = bench.Stream{Name: "stock", Organisation: "haulier-a", Method: http.MethodGet, Path: "/lagerstand/depot", Rate: 40}
	bound  = bench.Stream{Name: "bound", Organisation: "haulier-a", Method: http.MethodGet, Path: "/bound/depot", Rate: 30}
	ticket = bench.Stream{Name: "ticket", Organisation: "haulier-c", Method: http.MethodPost, Path: "/wiegebeleg/tickets", Rate: 30, NoRetry: true, Body: 300}
	booked = bench.Stream{Name: "booked", Organisation: "haulier-b", Method: http.MethodPost, Path: "/disposition/orders", Rate: 30, NoRetry: true, Body: 100}
)

// routeTimeout is the timeout of all routes. It is long enough for a slow machine.
const routeTimeout = 4 * time.Second

// editCatalogue sets the timeout of all routes to routeTimeout and adds a route bound to region obb.
func editCatalogue(c *catalogue.Catalogue) {
	for i := range c.Routes {
		c.Routes[i].Limits.Timeout = catalogue.Duration(routeTimeout)
	}
	route := c.Routes[0]
	route.Name, route.HomeRegions, route.Match.PathPrefix = "bound", []string{"obb"}, "/bound/"
	c.Routes = append(c.Routes, route)
}

// mesh runs the real components and records the calls with their results.
type mesh struct {
	*bench.Mesh
	load *bench.Load

	mu    sync.Mutex
	calls []bench.Call
	wg    sync.WaitGroup
}

func newMesh(t *testing.T, options bench.MeshOptions) *mesh {
	t.Helper()
	options.Log, options.Instances, options.EditCatalogue = zerolog.Nop(), 13, editCatalogue
	m, err := bench.NewMesh(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return &mesh{Mesh: m, load: bench.NewLoad(m)}
}

// votersMature is the time from the start of a service until its voters record keys, plus a margin of 3 s.
const votersMature = once.MatureAfter + 3*time.Second

// addCalls records calls.
func (m *mesh) addCalls(calls ...bench.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, calls...)
}

// run sends calls of all streams while f runs and waits for them. Those of booked carry idempotency keys and are retried.
func (m *mesh) run(seed uint64, name string, f func()) {
	ctx, stop := context.WithCancel(context.Background())
	load := bench.NewLoad(m.Mesh)
	for i, s := range []bench.Stream{stock, bound, ticket} {
		s.Name = name + "-" + s.Name
		m.wg.Go(func() { load.Run(ctx, &s, seed+uint64(i)) })
	}
	m.wg.Go(func() { m.sendBookings(ctx, seed, name) })
	f()
	stop()
	m.wg.Wait()
	m.addCalls(load.Calls()...)
}

// sendBookings sends requests with idempotency keys at the rate of booked until ctx is done and retries each until answered.
func (m *mesh) sendBookings(ctx context.Context, seed uint64, name string) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for i := 0; ctx.Err() == nil; i++ {
		key, first := uuid.Must(uuid.NewV7()), rng.IntN(len(m.Nodes))
		m.wg.Go(func() { m.sendUntilAnswered(fmt.Sprintf("%s-booked-%d", name, i), key.String(), first) })
		time.Sleep(time.Duration(float64(time.Second) / booked.Rate))
	}
}

// maxAttempts limits the attempts of one request with an idempotency key.
const maxAttempts = 20

func (m *mesh) sendUntilAnswered(id, key string, first int) {
	for attempt := range maxAttempts {
		s := booked
		s.Header = http.Header{headers.IdempotencyKey: {key}, standin.AttemptHeader: {strconv.Itoa(attempt)}}
		c := m.load.Do(context.Background(), &s, id, first+attempt)
		m.addCalls(c)
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

// homeRegions returns the regions to which a request is bound, or nil. It decides by the name of the request.
func homeRegions(request string) []string {
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

// drainAndRestore takes drainedDomain out of service, stops its processes with stop, restarts them with cold targets and puts
// the domain into service again. It returns the interval out of service and the time of the cold start.
func (m *mesh) drainAndRestore(t *testing.T, stop func(*bench.Node)) (outOfService Window, coldStart time.Time) {
	t.Helper()
	outOfService.From = time.Now()
	must(t, m.SetDomainState(drainedDomain, catalogue.OutOfService))
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for _, n := range m.NodesIn(drainedDomain) {
		wg.Go(func() { stop(n) })
	}
	wg.Wait()
	time.Sleep(stopLimit)
	for _, n := range m.NodesIn(drainedDomain) {
		must(t, n.Start(t.Context()))
		n.Target.StartCold()
	}
	coldStart = time.Now()
	outOfService.Until = time.Now()
	must(t, m.SetDomainState(drainedDomain, catalogue.InService))
	time.Sleep(2 * time.Second)
	return outOfService, coldStart
}

// windows returns a function that maps targets in drainedDomain to the given window, and other targets to nil.
func windows(outOfService Window) func(string) []Window {
	return func(target string) []Window {
		if strings.HasPrefix(target, drainedDomain) {
			return []Window{outOfService}
		}
		return nil
	}
}

// reportViolations fails the test for each guarantee whose check found a violation.
func reportViolations(t *testing.T, results map[string]error) {
	t.Helper()
	for guarantee, err := range results {
		if err != nil {
			t.Errorf("%s: %v", guarantee, err)
		}
	}
}

func (m *mesh) commonChecks() map[string]error {
	runs := m.Ledger.All()
	return map[string]error{
		"whole answers":   CheckAnswers(m.calls),
		"true not-run":    CheckNotRun(m.calls, runs),
		"at most once":    CheckAtMostOnce(m.calls, runs),
		"home regions":    CheckHomeRegions(runs, m.regionOf, homeRegions),
		"cold overloads":  checkColdOverloads(m.Counts()),
		"some calls good": checkSomeGood(m.calls),
	}
}

func checkColdOverloads(c standin.TargetCounts) error {
	if c.ColdOverloads > 0 {
		return fmt.Errorf("cold targets received %d requests beyond their capacity", c.ColdOverloads)
	}
	return nil
}

// checkSomeGood guards against runs in which no call succeeds and the other checks pass vacuously.
func checkSomeGood(calls []bench.Call) error {
	for _, c := range calls {
		if c.Ending == bench.Good {
			return nil
		}
	}
	return fmt.Errorf("none of %d calls succeeded", len(calls))
}

func TestPlannedDeparturePromises(t *testing.T) {
	m := newMesh(t, bench.MeshOptions{Seed: 1})
	var outOfService Window
	var coldStart time.Time
	time.Sleep(votersMature)
	m.run(1, "planned", func() {
		time.Sleep(time.Second)
		outOfService, coldStart = m.drainAndRestore(t, func(n *bench.Node) { _ = n.Stop(t.Context()) })
	})
	runs := m.Ledger.All()
	results := m.commonChecks()
	results["no new work"] = CheckNoNewWork(runs, windows(outOfService), stopLimit)
	results["graceful stop"] = CheckGracefulStop(m.calls)
	for _, n := range m.NodesIn(drainedDomain) {
		results["cold "+n.Instance.Name] = CheckColdStart(runs, n.Target.Name(), coldStart, m.Limits(n.Instance.Service))
	}
	reportViolations(t, results)
}

func TestUnplannedFaultPromises(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newMesh(t, bench.MeshOptions{Seed: seed})
			m.run(seed, "faults", func() {
				ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()
				m.InjectRandomFaults(ctx, seed)
			})
			reportViolations(t, m.commonChecks())
		})
	}
}
