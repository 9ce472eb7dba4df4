package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// Durations and thresholds of the failure experiment.
const (
	failureDuration = 15 * time.Second
	// recoveryWindow is the length of the windows over which the success fraction is computed.
	recoveryWindow = 250 * time.Millisecond
	// recoverySuccess is the lowest success fraction of a window that counts as recovered.
	recoverySuccess = 0.99
	stallDuration   = 2 * time.Second
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
	// RecoverMs is the longest time from a fault until every window before the next fault has at least 99 % good calls.
	RecoverMs   float64 `json:"recover_ms"`
	DoubleRuns  int     `json:"double_runs"`
	FalseNotRun int     `json:"false_not_run"`
	// ColdOverloads counts requests that a cold target received above its capacity once its cold start was detectable.
	ColdOverloads int64 `json:"cold_overloads"`
	// ColdOverloadsUndetectable counts requests above capacity before the cold start was detectable.
	ColdOverloadsUndetectable int64              `json:"cold_overloads_unsignalled"`
	P99Ms                     float64            `json:"p99_ms"`
	Calls                     int                `json:"calls"`
	Endings                   map[Ending]int     `json:"endings"`
	RecoverMsByFault          map[string]float64 `json:"recover_ms_by_fault"`
	BaselineSuccessFraction   float64            `json:"baseline_success_fraction"`
	BaselineRecoverMs         float64            `json:"baseline_recover_ms"`
	BaselineColdOverloads     int64              `json:"baseline_cold_overloads"`
	BaselineEndings           map[Ending]int     `json:"baseline_endings"`

	curves []Series
}

// Plots implements Plotter.
func (r FailureResult) Plots() []Plot {
	return []Plot{{
		Name: "success", Title: "Calls that ended well, by second", XLabel: "second of the run", YLabel: "part of calls", Lines: r.curves,
	}}
}

// fault is one fault of the schedule, injected at an offset from the start of the run.
type fault struct {
	name   string
	offset time.Duration
	inject func(ctx context.Context, m *Mesh) error
}

// faults is the schedule, sorted by offset. Each fault ends before the next begins; the end of some is an entry of its own. The
// names are keys of recover_ms_by_fault.
var faults = []fault{
	{"domain killed", time.Second, func(ctx context.Context, m *Mesh) error {
		for _, n := range m.NodesIn(leavingDomain) {
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
		m.NodesIn("nbb-la")[0].Target.TurnCold()
		return nil
	}},
	{"process stalled", 10500 * time.Millisecond, func(_ context.Context, m *Mesh) error {
		name := m.NodesIn("obb-muc")[0].Instance.Name
		m.Links.Stall(name, true)
		time.AfterFunc(stallDuration, func() { m.Links.Stall(name, false) })
		return nil
	}},
	{"process replaced", 13 * time.Second, func(ctx context.Context, m *Mesh) error {
		n := m.NodesIn("nbb-la")[1]
		n.Kill()
		return n.Start(ctx)
	}},
}

func runFailure(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances}
	baseline := options
	baseline.EditCatalogue = liftColdLimit
	meshes, err := NewMeshes(ctx, options, baseline)
	if err != nil {
		return nil, err
	}
	defer closeMeshes(meshes)
	run, err := measureFailure(ctx, meshes[0], cfg.Seed)
	if err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("baseline without a cold-start limit")
	baseRun, err := measureFailure(ctx, meshes[1], cfg.Seed)
	if err != nil {
		return nil, err
	}
	recoverMs, byFault := run.recoveryTimes()
	baseRecoverMs, _ := baseRun.recoveryTimes()
	return FailureResult{
		SuccessFraction:           run.verdict.Success(),
		RecoverMs:                 recoverMs,
		DoubleRuns:                run.verdict.DoubleRuns,
		FalseNotRun:               run.verdict.FalseNotRun,
		ColdOverloads:             run.counts.ColdOverloads,
		ColdOverloadsUndetectable: run.counts.UndetectableOverloads,
		P99Ms:                     run.verdict.Latency.Milliseconds(99),
		Calls:                     run.verdict.Calls,
		Endings:                   run.verdict.Endings,
		RecoverMsByFault:          byFault,
		BaselineSuccessFraction:   baseRun.verdict.Success(),
		BaselineRecoverMs:         baseRecoverMs,
		BaselineColdOverloads:     baseRun.counts.ColdOverloads,
		BaselineEndings:           baseRun.verdict.Endings,
		curves: []Series{
			SuccessCurve("measured", run.calls, run.startedAt), SuccessCurve("baseline", baseRun.calls, baseRun.startedAt),
		},
	}, nil
}

// failureRun is the state of one run of the experiment on a mesh.
type failureRun struct {
	startedAt time.Time
	calls     []Call
	verdict   Verdict
	counts    standin.TargetCounts
}

// measureFailure injects all faults under load and closes the mesh.
func measureFailure(ctx context.Context, m *Mesh, seed uint64) (*failureRun, error) {
	defer m.Close()
	load := NewLoad(m)
	streams := m.streams(offeredLoad)
	load.WarmUp(ctx, streams, seed)
	run := &failureRun{startedAt: time.Now()}
	loadCtx, stopLoad := context.WithTimeout(ctx, failureDuration)
	defer stopLoad()
	var wg sync.WaitGroup
	for i, s := range streams {
		wg.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	for _, f := range faults {
		if err := periodic.Sleep(ctx, time.Until(run.startedAt.Add(f.offset))); err != nil {
			return nil, err
		}
		m.options.Log.Info().Str("fault", f.name).Msg("fault injected")
		if err := f.inject(ctx, m); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	run.calls = load.Calls()
	run.verdict = NewVerdict(run.calls, m.Ledger)
	run.counts = m.Counts()
	m.options.Log.Debug().Interface("ended_badly", FailureDetails(run.calls, run.startedAt)).Msg("details")
	return run, ctx.Err()
}

// recoveryTimes returns the longest recovery time and the recovery time after each fault, in milliseconds.
func (r *failureRun) recoveryTimes() (longest float64, byFault map[string]float64) {
	byFault = map[string]float64{}
	failing := r.failingWindows()
	for i, f := range faults {
		end := failureDuration
		if i+1 < len(faults) {
			end = faults[i+1].offset
		}
		last := f.offset
		for _, window := range failing {
			if window >= f.offset && window < end {
				last = max(last, window+recoveryWindow)
			}
		}
		ms := float64((last - f.offset).Milliseconds())
		byFault[f.name] = ms
		longest = max(longest, ms)
	}
	return longest, byFault
}

// failingWindows returns the windows whose fraction of good calls is below recoverySuccess, as sorted offsets from the start
// of the run.
func (r *failureRun) failingWindows() []time.Duration {
	type windowCount struct{ total, good int }
	windows := map[time.Duration]*windowCount{}
	for _, c := range r.calls {
		// A call belongs to the window in which it ends, since a call that a fault interrupts began before the fault.
		window := c.Start.Add(c.Latency).Sub(r.startedAt).Truncate(recoveryWindow)
		if windows[window] == nil {
			windows[window] = &windowCount{}
		}
		windows[window].total++
		if c.Ending == Good {
			windows[window].good++
		}
	}
	var failing []time.Duration
	for window, count := range windows {
		if float64(count.good) < recoverySuccess*float64(count.total) {
			failing = append(failing, window)
		}
	}
	slices.Sort(failing)
	return failing
}
