package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// Schedule of a departure.
const (
	takeOutDelay      = 1500 * time.Millisecond
	stopDelay         = 3 * time.Second // after the failure domain is taken out, until the operators stop its processes
	returnDelay       = 5 * time.Second // after the failure domain is taken out, until it is put back in service
	departureDuration = 14 * time.Second
)

// leavingDomain is the failure domain that is taken out. It runs a fifth of one service's targets and a quarter of the
// others', so that the remaining targets have the capacity for all calls at 60 % load.
const leavingDomain = "obb-ro"

// offeredLoad is the load of the calls as a fraction of the targets' capacity.
const offeredLoad = 0.6

func init() {
	Register(Experiment{
		Name:             "departure",
		Summary:          "a failure domain is taken out by the catalogue at 60 % load and returns with cold targets",
		DefaultInstances: 13,
		Targets: []Target{
			{Field: "new_work_stop_ms", Relation: AtMost, Bound: 3000},
			{Field: "cut_requests", Relation: AtMost, Bound: 0},
			{Field: "success_fraction", Relation: AtLeast, Bound: 0.999},
			{Field: "cold_overloads", Relation: AtMost, Bound: 0},
			{Field: "double_runs", Relation: AtMost, Bound: 0},
			{Field: "false_not_run", Relation: AtMost, Bound: 0},
			{Field: "success_fraction", Relation: AtLeastField, Other: "baseline_success_fraction"},
		},
		Run: runDeparture,
	})
}

// DepartureResult holds the figures of the departure experiment.
type DepartureResult struct {
	// NewWorkStopMs is the time from taking out the failure domain until its targets start the last request before its return.
	NewWorkStopMs   float64 `json:"new_work_stop_ms"`
	CutRequests     int     `json:"cut_requests"`
	SuccessFraction float64 `json:"success_fraction"`
	// ColdOverloads counts requests that a cold target received above its capacity, whether or not its cold start
	// was detectable.
	ColdOverloads           int64          `json:"cold_overloads"`
	P99Ms                   float64        `json:"p99_ms"`
	DoubleRuns              int            `json:"double_runs"`
	FalseNotRun             int            `json:"false_not_run"`
	Calls                   int            `json:"calls"`
	Endings                 map[Ending]int `json:"endings"`
	BaselineSuccessFraction float64        `json:"baseline_success_fraction"`
	BaselineColdOverloads   int64          `json:"baseline_cold_overloads"`
	BaselineCutRequests     int            `json:"baseline_cut_requests"`
	BaselineP99Ms           float64        `json:"baseline_p99_ms"`
	BaselineEndings         map[Ending]int `json:"baseline_endings"`

	curves []Series
}

// Plots implements Plotter.
func (r DepartureResult) Plots() []Plot {
	return []Plot{{
		Name: "success", Title: "Calls that ended well, by second", XLabel: "second of the run", YLabel: "part of calls", Lines: r.curves,
	}}
}

// departureRun is the state of one run of the experiment on a mesh.
type departureRun struct {
	calls        []Call
	verdict      Verdict
	counts       standin.TargetCounts
	startedAt    time.Time
	takenOutAt   time.Time // when the failure domain was taken out
	lastRunStart time.Time // start of the last request that ran in the failure domain before its return
}

func runDeparture(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances}
	baseline := options
	baseline.EditCatalogue = liftColdLimit
	meshes, err := NewMeshes(ctx, options, baseline)
	if err != nil {
		return nil, err
	}
	defer closeMeshes(meshes)
	cfg.Log.Info().Msg("departure with drain and cold-start limit")
	d, err := measureDeparture(ctx, meshes[0], cfg.Seed, false)
	if err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("baseline without drain and cold-start limit")
	baseRun, err := measureDeparture(ctx, meshes[1], cfg.Seed, true)
	if err != nil {
		return nil, err
	}
	return DepartureResult{
		NewWorkStopMs:           max(0, float64(d.lastRunStart.Sub(d.takenOutAt).Microseconds())/1000),
		CutRequests:             d.verdict.Cut,
		SuccessFraction:         d.verdict.Success(),
		ColdOverloads:           d.counts.ColdOverloads + d.counts.UndetectableOverloads,
		P99Ms:                   d.verdict.Latency.Milliseconds(99),
		DoubleRuns:              d.verdict.DoubleRuns,
		FalseNotRun:             d.verdict.FalseNotRun,
		Calls:                   d.verdict.Calls,
		Endings:                 d.verdict.Endings,
		BaselineSuccessFraction: baseRun.verdict.Success(),
		BaselineColdOverloads:   baseRun.counts.ColdOverloads + baseRun.counts.UndetectableOverloads,
		BaselineCutRequests:     baseRun.verdict.Cut,
		BaselineP99Ms:           baseRun.verdict.Latency.Milliseconds(99),
		BaselineEndings:         baseRun.verdict.Endings,
		curves: []Series{
			SuccessCurve("measured", d.calls, d.startedAt), SuccessCurve("baseline", baseRun.calls, baseRun.startedAt),
		},
	}, nil
}

// liftColdLimit removes the cold-start limit of every service from the catalogue. The capacity of cold targets stays the same.
func liftColdLimit(c *catalogue.Catalogue) {
	for i := range c.Services {
		limits := &c.Services[i].Limits
		limits.ColdSlots = limits.Slots
	}
}

// measureDeparture runs the schedule under load and closes the mesh. In a baseline run, processes are killed without a drain.
func measureDeparture(ctx context.Context, m *Mesh, seed uint64, baseline bool) (*departureRun, error) {
	defer m.Close()
	load := NewLoad(m)
	streams := m.streams(offeredLoad)
	load.WarmUp(ctx, streams, seed)
	d := &departureRun{startedAt: time.Now()}
	loadCtx, stopLoad := context.WithTimeout(ctx, departureDuration)
	defer stopLoad()
	var wg sync.WaitGroup
	for i, s := range streams {
		wg.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	returnedAt, err := d.schedule(ctx, m, baseline)
	if err != nil {
		return nil, err
	}
	wg.Wait()
	m.options.Log.Info().Msg("load ended")
	d.calls = load.Calls()
	d.verdict = NewVerdict(d.calls, m.Ledger)
	d.counts = m.Counts()
	m.options.Log.Debug().Interface("ended_badly", FailureDetails(d.calls, d.startedAt)).Msg("details")
	for _, run := range m.Ledger.All() {
		if m.domainOfTarget(run.Target) == leavingDomain && run.Start.Before(returnedAt) && run.Start.After(d.lastRunStart) {
			d.lastRunStart = run.Start
		}
	}
	return d, ctx.Err()
}

// schedule takes out the failure domain, stops and restarts its processes and targets, and puts it back in service. In a
// baseline run it kills the processes at once. It returns the time of the return.
func (d *departureRun) schedule(ctx context.Context, m *Mesh, baseline bool) (returnedAt time.Time, err error) {
	if err := periodic.Sleep(ctx, takeOutDelay); err != nil {
		return returnedAt, err
	}
	d.takenOutAt = time.Now()
	m.options.Log.Info().Msg("failure domain taken out")
	if err := m.SetDomainState(leavingDomain, catalogue.OutOfService); err != nil {
		return returnedAt, err
	}
	stop := (*Node).Stop
	if baseline {
		stop = func(n *Node, _ context.Context) error { n.Kill(); return nil }
	} else if err := periodic.Sleep(ctx, stopDelay); err != nil {
		return returnedAt, err
	}
	if err := m.each(leavingDomain, func(n *Node) error { return stop(n, ctx) }); err != nil {
		return returnedAt, err
	}
	for _, n := range m.NodesIn(leavingDomain) {
		n.Target.Crash()
	}
	m.options.Log.Info().Msg("processes of the failure domain stopped")
	if err := periodic.Sleep(ctx, time.Until(d.takenOutAt.Add(returnDelay-restartLead))); err != nil {
		return returnedAt, err
	}
	if err := m.each(leavingDomain, func(n *Node) error { return n.Start(ctx) }); err != nil {
		return returnedAt, err
	}
	if err := periodic.Sleep(ctx, time.Until(d.takenOutAt.Add(returnDelay))); err != nil {
		return returnedAt, err
	}
	for _, n := range m.NodesIn(leavingDomain) {
		n.Target.StartCold()
	}
	returnedAt = time.Now()
	m.options.Log.Info().Msg("failure domain back in service")
	return returnedAt, m.SetDomainState(leavingDomain, catalogue.InService)
}

// restartLead is how long before the return of the failure domain its processes are restarted.
const restartLead = time.Second

// streams returns streams that together offer the given fraction of the capacity of each service's targets.
func (m *Mesh) streams(fraction float64) []*Stream {
	capacity := map[string]float64{}
	for _, n := range m.Nodes {
		slots := float64(m.limits[n.Instance.Service].Slots)
		capacity[n.Instance.Service] += slots / meanService().Seconds()
	}
	const viewFraction = 0.7
	return []*Stream{
		{Name: "stock", Organisation: "haulier-a", Method: http.MethodGet, Path: "/lagerstand/depot", Rate: fraction * capacity["lagerstand"]},
		{Name: "view", Organisation: "haulier-b", Method: http.MethodGet, Path: "/disposition/orders", Rate: fraction * viewFraction * capacity["disposition"]},
		{Name: "book", Organisation: "haulier-b", Method: http.MethodPost, Path: "/disposition/orders", Rate: fraction * (1 - viewFraction) * capacity["disposition"], NoRetry: true, Body: 200},
		{Name: "ticket", Organisation: "haulier-c", Method: http.MethodPost, Path: "/wiegebeleg/tickets", Rate: fraction * capacity["wiegebeleg"], NoRetry: true, Body: 400},
	}
}
