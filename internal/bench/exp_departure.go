package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// The schedule of a departure.
const (
	departAfter  = 1500 * time.Millisecond
	stopAfter    = 3 * time.Second // after the departure: the operators stop the processes
	returnAfter  = 5 * time.Second // after the departure
	departureEnd = 14 * time.Second
)

// leavingDomain is the failure domain that leaves. It holds a fifth of one service and a quarter of the others, so that
// the rest can carry all calls at 60 % load.
const leavingDomain = "obb-ro"

// offeredLoad is the part of the targets' capacity that is offered.
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
	NewWorkStopMs           float64        `json:"new_work_stop_ms"`
	CutRequests             int            `json:"cut_requests"`
	SuccessFraction         float64        `json:"success_fraction"`
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

// departure is one run of the experiment.
type departure struct {
	calls   []Call
	verdict Verdict
	counts  standin.TargetCounts
	started time.Time
	left    time.Time
	lastRun time.Time // start of the last run in the failure domain between its departure and its return
}

func runDeparture(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances}
	baseline := options
	baseline.Change = unlimitedCold
	meshes, err := NewMeshes(ctx, options, baseline)
	if err != nil {
		return nil, err
	}
	defer closeAll(meshes)
	cfg.Log.Info().Msg("departure with drain and cold-start limit")
	d, err := depart(ctx, meshes[0], cfg.Seed, false)
	if err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("baseline without them")
	base, err := depart(ctx, meshes[1], cfg.Seed, true)
	if err != nil {
		return nil, err
	}
	return DepartureResult{
		NewWorkStopMs:           max(0, float64(d.lastRun.Sub(d.left).Microseconds())/1000),
		CutRequests:             d.verdict.Cut,
		SuccessFraction:         d.verdict.Success(),
		ColdOverloads:           d.counts.ColdOverloads + d.counts.UnsignalledOverloads,
		P99Ms:                   d.verdict.Latency.Milliseconds(99),
		DoubleRuns:              d.verdict.DoubleRuns,
		FalseNotRun:             d.verdict.FalseNotRun,
		Calls:                   d.verdict.Calls,
		Endings:                 d.verdict.Endings,
		BaselineSuccessFraction: base.verdict.Success(),
		BaselineColdOverloads:   base.counts.ColdOverloads + base.counts.UnsignalledOverloads,
		BaselineCutRequests:     base.verdict.Cut,
		BaselineP99Ms:           base.verdict.Latency.Milliseconds(99),
		BaselineEndings:         base.verdict.Endings,
		curves: []Series{
			SuccessCurve("measured", d.calls, d.started), SuccessCurve("baseline", base.calls, base.started),
		},
	}, nil
}

// unlimitedCold lifts the cold-start limit of every service in the catalogue; the targets bear no more than before.
func unlimitedCold(c *catalogue.Catalogue) {
	for i := range c.Services {
		limits := &c.Services[i].Limits
		limits.ColdSlots = limits.Slots
	}
}

func depart(ctx context.Context, m *Mesh, seed uint64, baseline bool) (*departure, error) {
	defer m.Close()
	load := NewLoad(m)
	streams := m.streams(offeredLoad)
	load.WarmUp(ctx, streams, seed)
	d := &departure{started: time.Now()}
	loadCtx, stopLoad := context.WithTimeout(ctx, departureEnd)
	defer stopLoad()
	var wait sync.WaitGroup
	for i, s := range streams {
		wait.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	returned, err := d.schedule(ctx, m, baseline)
	if err != nil {
		return nil, err
	}
	wait.Wait()
	m.options.Log.Info().Msg("load ends")
	d.calls = load.Calls()
	d.verdict = Judge(d.calls, m.Ledger)
	d.counts = m.Counts()
	m.options.Log.Debug().Interface("ended_badly", Details(d.calls, d.started)).Msg("details")
	for _, run := range m.Ledger.All() {
		if m.domainOfTarget(run.Target) == leavingDomain && run.Start.Before(returned) && run.Start.After(d.lastRun) {
			d.lastRun = run.Start
		}
	}
	return d, ctx.Err()
}

// schedule takes the failure domain out, stops and restarts its processes and targets and takes it back in.
func (d *departure) schedule(ctx context.Context, m *Mesh, baseline bool) (returned time.Time, err error) {
	if err := duty.Sleep(ctx, departAfter); err != nil {
		return returned, err
	}
	d.left = time.Now()
	m.options.Log.Info().Msg("failure domain is taken out")
	if err := m.SetDomain(leavingDomain, catalogue.Out); err != nil {
		return returned, err
	}
	stop := (*Node).Stop
	if baseline {
		stop = func(n *Node, _ context.Context) error { n.Kill(); return nil }
	} else if err := duty.Sleep(ctx, stopAfter); err != nil {
		return returned, err
	}
	if err := m.each(leavingDomain, func(n *Node) error { return stop(n, ctx) }); err != nil {
		return returned, err
	}
	for _, n := range m.In(leavingDomain) {
		n.Target.Crash()
	}
	m.options.Log.Info().Msg("its processes have stopped")
	if err := duty.Sleep(ctx, time.Until(d.left.Add(returnAfter-joinLead))); err != nil {
		return returned, err
	}
	if err := m.each(leavingDomain, func(n *Node) error { return n.Start(ctx) }); err != nil {
		return returned, err
	}
	if err := duty.Sleep(ctx, time.Until(d.left.Add(returnAfter))); err != nil {
		return returned, err
	}
	for _, n := range m.In(leavingDomain) {
		n.Target.Chill()
	}
	returned = time.Now()
	m.options.Log.Info().Msg("failure domain returns")
	return returned, m.SetDomain(leavingDomain, catalogue.In)
}

// joinLead is the time before the return at which the processes start again.
const joinLead = time.Second

// streams returns calls that offer a part of the targets' capacity, in proportion to the targets of each service.
func (m *Mesh) streams(part float64) []*Stream {
	capacity := map[string]float64{}
	for _, n := range m.Nodes {
		slots := float64(m.limits[n.Instance.Service].Slots)
		capacity[n.Instance.Service] += slots / meanService().Seconds()
	}
	const viewPart = 0.7
	return []*Stream{
		{Name: "stock", Organisation: "haulier-a", Method: http.MethodGet, Path: "/lagerstand/depot", Rate: part * capacity["lagerstand"]},
		{Name: "view", Organisation: "haulier-b", Method: http.MethodGet, Path: "/disposition/orders", Rate: part * viewPart * capacity["disposition"]},
		{Name: "book", Organisation: "haulier-b", Method: http.MethodPost, Path: "/disposition/orders", Rate: part * (1 - viewPart) * capacity["disposition"], Never: true, Body: 200},
		{Name: "ticket", Organisation: "haulier-c", Method: http.MethodPost, Path: "/wiegebeleg/tickets", Rate: part * capacity["wiegebeleg"], Never: true, Body: 400},
	}
}
