package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// The lengths of the failure experiment.
const (
	failureEnd     = 15 * time.Second
	recoverWindow  = 250 * time.Millisecond
	recoverSuccess = 0.99
	stallTime      = 2 * time.Second
)

func init() {
	Register(Experiment{
		Name:             "failure",
		Summary:          "failure domains are killed and cut off without notice, targets turn cold, stalled processes wake",
		DefaultInstances: 13,
		Targets: []Target{
			{Field: "success_fraction", Relation: AtLeast, Bound: 0.99},
			{Field: "double_runs", Relation: AtMost, Bound: 0},
			{Field: "false_not_run", Relation: AtMost, Bound: 0},
			{Field: "cold_overloads", Relation: AtMost, Bound: 0},
			{Field: "success_fraction", Relation: AtLeastField, Other: "baseline_success_fraction"},
		},
		Run: runFailure,
	})
}

// FailureResult holds the figures of the failure experiment.
type FailureResult struct {
	SuccessFraction float64 `json:"success_fraction"`
	// RecoverMs is the longest time after a fault until at least 99 % of calls end well in every window that follows.
	RecoverMs   float64 `json:"recover_ms"`
	DoubleRuns  int     `json:"double_runs"`
	FalseNotRun int     `json:"false_not_run"`
	// ColdOverloads counts requests given to a cold target above what it bears, after a sign of its cold start.
	ColdOverloads int64 `json:"cold_overloads"`
	// ColdOverloadsUnsignalled counts those before any sign.
	ColdOverloadsUnsignalled int64              `json:"cold_overloads_unsignalled"`
	P99Ms                    float64            `json:"p99_ms"`
	Calls                    int                `json:"calls"`
	Endings                  map[Ending]int     `json:"endings"`
	RecoverMsByFault         map[string]float64 `json:"recover_ms_by_fault"`
	BaselineSuccessFraction  float64            `json:"baseline_success_fraction"`
	BaselineRecoverMs        float64            `json:"baseline_recover_ms"`
	BaselineColdOverloads    int64              `json:"baseline_cold_overloads"`
	BaselineEndings          map[Ending]int     `json:"baseline_endings"`

	curves []Series
}

// Plots implements Plotter.
func (r FailureResult) Plots() []Plot {
	return []Plot{{
		Name: "success", Title: "Calls that ended well, by second", XLabel: "second of the run", YLabel: "part of calls", Lines: r.curves,
	}}
}

// fault is one fault of the schedule.
type fault struct {
	name   string
	at     time.Duration
	inject func(ctx context.Context, m *Mesh) error
}

// faults are injected one after the other; each ends before the next begins.
var faults = []fault{
	{"domain killed", time.Second, func(ctx context.Context, m *Mesh) error {
		for _, n := range m.In(leavingDomain) {
			n.Target.Crash()
		}
		return m.each(leavingDomain, func(n *Node) error { n.Kill(); return nil })
	}},
	{"domain returns", 3500 * time.Millisecond, func(ctx context.Context, m *Mesh) error {
		return m.each(leavingDomain, func(n *Node) error { return n.Start(ctx) })
	}},
	{"domain cut off", 6 * time.Second, func(_ context.Context, m *Mesh) error {
		m.Isolate("nbb-pa", true)
		return nil
	}},
	{"domain joined", 8 * time.Second, func(_ context.Context, m *Mesh) error {
		m.Isolate("nbb-pa", false)
		return nil
	}},
	{"target cold unannounced", 9 * time.Second, func(_ context.Context, m *Mesh) error {
		m.In("nbb-la")[0].Target.TurnCold()
		return nil
	}},
	{"process stalled", 10500 * time.Millisecond, func(_ context.Context, m *Mesh) error {
		name := m.In("obb-muc")[0].Instance.Name
		m.Links.Stall(name, true)
		time.AfterFunc(stallTime, func() { m.Links.Stall(name, false) })
		return nil
	}},
	{"process replaced", 13 * time.Second, func(ctx context.Context, m *Mesh) error {
		n := m.In("nbb-la")[1]
		n.Kill()
		return n.Start(ctx)
	}},
}

func runFailure(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances}
	baseline := options
	baseline.Change = unlimitedCold
	meshes, err := NewMeshes(ctx, options, baseline)
	if err != nil {
		return nil, err
	}
	defer closeAll(meshes)
	run, err := fail(ctx, meshes[0], cfg.Seed)
	if err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("baseline without a cold-start limit")
	base, err := fail(ctx, meshes[1], cfg.Seed)
	if err != nil {
		return nil, err
	}
	recovered, byFault := run.recovery()
	baseRecovered, _ := base.recovery()
	return FailureResult{
		SuccessFraction:          run.verdict.Success(),
		RecoverMs:                recovered,
		DoubleRuns:               run.verdict.DoubleRuns,
		FalseNotRun:              run.verdict.FalseNotRun,
		ColdOverloads:            run.counts.ColdOverloads,
		ColdOverloadsUnsignalled: run.counts.UnsignalledOverloads,
		P99Ms:                    run.verdict.Latency.Milliseconds(99),
		Calls:                    run.verdict.Calls,
		Endings:                  run.verdict.Endings,
		RecoverMsByFault:         byFault,
		BaselineSuccessFraction:  base.verdict.Success(),
		BaselineRecoverMs:        baseRecovered,
		BaselineColdOverloads:    base.counts.ColdOverloads,
		BaselineEndings:          base.verdict.Endings,
		curves: []Series{
			SuccessCurve("measured", run.calls, run.started), SuccessCurve("baseline", base.calls, base.started),
		},
	}, nil
}

// failureRun is one run of the experiment.
type failureRun struct {
	started time.Time
	calls   []Call
	verdict Verdict
	counts  standin.TargetCounts
}

func fail(ctx context.Context, m *Mesh, seed uint64) (*failureRun, error) {
	defer m.Close()
	load := NewLoad(m)
	streams := m.streams(offeredLoad)
	load.WarmUp(ctx, streams, seed)
	run := &failureRun{started: time.Now()}
	loadCtx, stopLoad := context.WithTimeout(ctx, failureEnd)
	defer stopLoad()
	var wait sync.WaitGroup
	for i, s := range streams {
		wait.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	for _, f := range faults {
		if err := duty.Sleep(ctx, time.Until(run.started.Add(f.at))); err != nil {
			return nil, err
		}
		m.options.Log.Info().Str("fault", f.name).Msg("injected")
		if err := f.inject(ctx, m); err != nil {
			return nil, err
		}
	}
	wait.Wait()
	run.calls = load.Calls()
	run.verdict = Judge(run.calls, m.Ledger)
	run.counts = m.Counts()
	m.options.Log.Debug().Interface("ended_badly", Details(run.calls, run.started)).Msg("details")
	return run, ctx.Err()
}

// recovery returns the longest time to recover in milliseconds, and the time for each fault.
func (r *failureRun) recovery() (worst float64, byFault map[string]float64) {
	byFault = map[string]float64{}
	bad := r.badWindows()
	for i, f := range faults {
		end := failureEnd
		if i+1 < len(faults) {
			end = faults[i+1].at
		}
		last := f.at
		for _, w := range bad {
			if w >= f.at && w < end {
				last = max(last, w+recoverWindow)
			}
		}
		ms := float64((last - f.at).Milliseconds())
		byFault[f.name] = ms
		worst = max(worst, ms)
	}
	return worst, byFault
}

// badWindows returns the starts of the windows in which too few calls ended well.
func (r *failureRun) badWindows() []time.Duration {
	type tally struct{ all, good int }
	windows := map[time.Duration]*tally{}
	for _, c := range r.calls {
		// The end counts: a call that a fault breaks off began before it.
		w := c.Start.Add(c.Latency).Sub(r.started).Truncate(recoverWindow)
		if windows[w] == nil {
			windows[w] = &tally{}
		}
		windows[w].all++
		if c.Ending == Good {
			windows[w].good++
		}
	}
	var bad []time.Duration
	for w, t := range windows {
		if float64(t.good) < recoverSuccess*float64(t.all) {
			bad = append(bad, w)
		}
	}
	slices.Sort(bad)
	return bad
}
