package bench

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/standin"
)

// Parameters of the fairness experiment.
const (
	// fairServiceTime is the service time of the targets, long enough that a low rate of calls saturates them.
	fairServiceTime = 200 * time.Millisecond
	// heavyFactor is the load of the heavy organisation as a multiple of its share.
	heavyFactor = 10
	// lightFraction is the load of each light organisation as a fraction of its share.
	lightFraction = 0.8
	// saturationFactor is the load of every organisation, as a multiple of its share, while shares are measured.
	saturationFactor = 2
	// fairTargetService is the service whose targets the organisations share.
	fairTargetService = "lagerstand"
	fairPhaseDuration = 8 * time.Second
	// fairSettleTime is the time at the start of a phase, in which queues settle, that is excluded from the figures.
	fairSettleTime = 2 * time.Second
)

func init() {
	Register(Experiment{
		Name:             "fairness",
		Summary:          "one organisation offers ten times its share while the others stay inside theirs",
		DefaultInstances: 13,
		Targets: []Target{
			{Field: "light_p99_ratio", Relation: AtMost, Bound: 1.3},
			{Field: "share_error_max", Relation: AtMost, Bound: 0.05},
			{Field: "utilisation", Relation: AtLeast, Bound: 0.95},
			{Field: "light_p99_ratio", Relation: AtMostField, Other: "baseline_light_p99_ratio"},
		},
		Run: runFairness,
	})
}

// FairnessResult holds the figures of the fairness experiment.
type FairnessResult struct {
	// LightP99Ratio is the highest ratio, over the light organisations, of the p99 beside the heavy organisation to the p99
	// without it.
	LightP99Ratio float64 `json:"light_p99_ratio"`
	// ShareErrorMax is the largest relative deviation of an organisation's fraction of the targets' busy time from its share
	// while all organisations offer more than their shares.
	ShareErrorMax float64 `json:"share_error_max"`
	// Utilisation is the fraction of the targets' slot time in use in that phase.
	Utilisation           float64            `json:"utilisation"`
	LightP99Ms            map[string]float64 `json:"light_p99_ms"`
	LightAloneP99Ms       map[string]float64 `json:"light_alone_p99_ms"`
	LightSuccess          float64            `json:"light_success_fraction"`
	Shares                map[string]float64 `json:"shares"`
	BaselineLightP99Ratio float64            `json:"baseline_light_p99_ratio"`
	BaselineLightSuccess  float64            `json:"baseline_light_success_fraction"`
	BaselineShareErrorMax float64            `json:"baseline_share_error_max"`
	HeavyUtilisation      float64            `json:"heavy_utilisation"`
	BaselineShares        map[string]float64 `json:"baseline_shares"`
}

// fairnessRun holds the figures of one mesh. The maps are by organisation; alone and withHeavy are p99 in milliseconds.
type fairnessRun struct {
	p99Ratio         float64
	alone, withHeavy map[string]float64
	lightSuccess     float64
	shares           map[string]float64
	shareError       float64
	utilisation      float64
	heavyUtilisation float64
}

func runFairness(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances, Target: func(t *standin.TargetConfig) { t.Service = fairServiceTime }}
	meshes, err := NewMeshes(ctx, options, options)
	if err != nil {
		return nil, err
	}
	defer closeMeshes(meshes)
	// Both meshes run at the same time, so that both see the same state of the machine. In the baseline all calls are
	// accounted to one organisation, so that queues are first in, first out.
	runs := make([]*fairnessRun, len(meshes))
	errs := make([]error, len(meshes))
	var wg sync.WaitGroup
	for i, m := range meshes {
		wg.Go(func() { runs[i], errs[i] = measureFairness(ctx, m, cfg.Seed, i == 1) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	run, baseRun := runs[0], runs[1]
	return FairnessResult{
		LightP99Ratio: run.p99Ratio, ShareErrorMax: run.shareError, Utilisation: run.utilisation,
		LightP99Ms: run.withHeavy, LightAloneP99Ms: run.alone, LightSuccess: run.lightSuccess, Shares: run.shares,
		BaselineLightP99Ratio: baseRun.p99Ratio, BaselineLightSuccess: baseRun.lightSuccess, BaselineShareErrorMax: baseRun.shareError,
		HeavyUtilisation: run.heavyUtilisation, BaselineShares: baseRun.shares,
	}, nil
}

// lightOrganisations offer less than their shares.
var lightOrganisations = []string{"haulier-b", "haulier-c"}

// measureFairness runs the phases without the heavy organisation, with it and at saturation, and closes the mesh. With fifo,
// all calls are accounted to one organisation.
func measureFairness(ctx context.Context, m *Mesh, seed uint64, fifo bool) (*fairnessRun, error) {
	run := &fairnessRun{alone: map[string]float64{}, withHeavy: map[string]float64{}}
	lightFactors := map[string]float64{}
	for _, o := range lightOrganisations {
		lightFactors[o] = lightFraction
	}
	heavyFactors := map[string]float64{"haulier-a": heavyFactor}
	saturatedFactors := map[string]float64{"haulier-a": saturationFactor}
	for _, o := range lightOrganisations {
		heavyFactors[o] = lightFraction
		saturatedFactors[o] = saturationFactor
	}
	defer m.Close()
	NewLoad(m).WarmUp(ctx, m.fairStreams("warm", lightFactors, fifo), seed)
	alone, err := m.phase(ctx, "alone", lightFactors, seed, fifo)
	if err != nil {
		return nil, err
	}
	withHeavy, err := m.phase(ctx, "heavy", heavyFactors, seed, fifo)
	if err != nil {
		return nil, err
	}
	saturated, err := m.phase(ctx, "saturated", saturatedFactors, seed, fifo)
	if err != nil {
		return nil, err
	}
	calls, good := 0, 0
	for _, o := range lightOrganisations {
		run.alone[o] = alone.verdicts[o].Latency.Milliseconds(99)
		run.withHeavy[o] = withHeavy.verdicts[o].Latency.Milliseconds(99)
		run.p99Ratio = max(run.p99Ratio, run.withHeavy[o]/run.alone[o])
		calls += withHeavy.verdicts[o].Calls
		good += withHeavy.verdicts[o].Good
	}
	run.lightSuccess = float64(good) / float64(max(calls, 1))
	run.heavyUtilisation, run.utilisation, run.shares = withHeavy.utilisation, saturated.utilisation, saturated.shares
	for _, o := range m.catalogue.Organisations {
		run.shareError = max(run.shareError, math.Abs(saturated.shares[o.Name]/o.Share-1))
	}
	return run, nil
}

// phaseResult holds the figures of one phase. The maps are by organisation.
type phaseResult struct {
	verdicts    map[string]*Verdict
	shares      map[string]float64 // fractions of the targets' busy time
	utilisation float64            // fraction of the targets' slot time in use
}

// fairStreams returns a stream to fairTargetService for each organisation. Its rate is the organisation's share of the
// targets' capacity multiplied by its load factor; organisations without a factor have no stream.
func (m *Mesh) fairStreams(name string, loadFactors map[string]float64, fifo bool) []*Stream {
	mean := fairServiceTime.Seconds() * math.Exp(targetSpread*targetSpread/2)
	var out []*Stream
	for _, o := range m.catalogue.Organisations {
		if loadFactors[o.Name] == 0 {
			continue
		}
		s := &Stream{
			Name: fmt.Sprintf("%s-%s", name, o.Name), Organisation: o.Name, Method: http.MethodGet, Path: "/lagerstand/depot",
			Rate: loadFactors[o.Name] * o.Share * float64(m.slots(fairTargetService)) / mean,
		}
		if fifo {
			s.Account = m.catalogue.Organisations[0].Name
		}
		out = append(out, s)
	}
	return out
}

// slots returns the number of requests that all targets of a service, if warm, run at the same time.
func (m *Mesh) slots(service string) int {
	sum := 0
	for _, n := range m.Nodes {
		if n.Instance.Service == service {
			sum += m.limits[service].Slots
		}
	}
	return sum
}

// phase offers load for fairPhaseDuration. The first fairSettleTime, in which queues settle, is excluded from the figures.
func (m *Mesh) phase(ctx context.Context, name string, loadFactors map[string]float64, seed uint64, fifo bool) (*phaseResult, error) {
	load := NewLoad(m)
	loadCtx, stop := context.WithTimeout(ctx, fairPhaseDuration)
	defer stop()
	begin := time.Now().Add(fairSettleTime)
	var wg sync.WaitGroup
	for i, s := range m.fairStreams(name, loadFactors, fifo) {
		wg.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	wg.Wait()
	end := time.Now()
	calls := load.Calls()
	m.options.Log.Debug().Str("phase", name).Interface("ended_badly", EndingCounts(calls)).Msg("details")
	return m.evaluatePhase(calls, begin, end, m.slots(fairTargetService)), ctx.Err()
}

// evaluatePhase returns the figures of calls that start, and of runs that overlap, between begin and end.
func (m *Mesh) evaluatePhase(calls []Call, begin, end time.Time, slots int) *phaseResult {
	r := &phaseResult{verdicts: map[string]*Verdict{}, shares: map[string]float64{}}
	organisationOf := map[string]string{}
	for _, c := range calls {
		organisationOf[c.ID] = c.Stream.Organisation
		if c.Start.Before(begin) {
			continue
		}
		v := r.verdicts[c.Stream.Organisation]
		if v == nil {
			v = &Verdict{Endings: map[Ending]int{}, Latency: NewLatency()}
			r.verdicts[c.Stream.Organisation] = v
		}
		v.add(c, 0)
	}
	total := 0.0
	busyTime := map[string]float64{}
	for _, run := range m.Ledger.All() {
		busySeconds := overlap(run, begin, end).Seconds()
		if o := organisationOf[run.Request]; o != "" {
			busyTime[o] += busySeconds
			total += busySeconds
		}
	}
	for o, busySeconds := range busyTime {
		r.shares[o] = busySeconds / total
	}
	r.utilisation = total / (float64(slots) * end.Sub(begin).Seconds())
	return r
}

// overlap returns how much of a run lies between begin and end. A run that has not stopped counts until end.
func overlap(run standin.Run, begin, end time.Time) time.Duration {
	from, to := run.Start, run.Stop
	if from.Before(begin) {
		from = begin
	}
	if to.IsZero() || to.After(end) {
		to = end
	}
	return max(0, to.Sub(from))
}
