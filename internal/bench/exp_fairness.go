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

// The fairness experiment.
const (
	// fairService makes fewer calls fill the targets.
	fairService = 200 * time.Millisecond
	// heavyFactor is what the heavy organisation offers, as a multiple of its share.
	heavyFactor = 10
	// lightPart is what the light ones offer, as a part of their shares.
	lightPart = 0.8
	// saturating is what every organisation offers of its share when shares are measured.
	saturating = 2
	// fairTargets is the service whose targets are shared.
	fairTargets = "lagerstand"
	fairPhase   = 8 * time.Second
	fairSettle  = 2 * time.Second
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
	// LightP99Ratio is the worst p99 of a light organisation against that of its calls alone.
	LightP99Ratio float64 `json:"light_p99_ratio"`
	// ShareErrorMax is the worst relative distance from its share, of targets' time, while all organisations offer more.
	ShareErrorMax float64 `json:"share_error_max"`
	// Utilisation is the part of the targets' slot-time in use in that phase.
	Utilisation            float64            `json:"utilisation"`
	LightP99Ms             map[string]float64 `json:"light_p99_ms"`
	LightAloneP99Ms        map[string]float64 `json:"light_alone_p99_ms"`
	LightSuccess           float64            `json:"light_success_fraction"`
	Shares                 map[string]float64 `json:"shares"`
	BaselineLightP99Ratio  float64            `json:"baseline_light_p99_ratio"`
	BaselineLightSuccess   float64            `json:"baseline_light_success_fraction"`
	BaselineShareErrorMax  float64            `json:"baseline_share_error_max"`
	HeavyUtilisation       float64            `json:"heavy_utilisation"`
	BaselineSharesMeasured map[string]float64 `json:"baseline_shares"`
}

// fairRun holds the figures of one mesh.
type fairRun struct {
	ratio       float64
	alone, with map[string]float64
	success     float64
	shares      map[string]float64
	shareError  float64
	used        float64
	heavyUsed   float64
}

func runFairness(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances, Target: func(t *standin.TargetConfig) { t.Service = fairService }}
	meshes, err := NewMeshes(ctx, options, options)
	if err != nil {
		return nil, err
	}
	defer closeAll(meshes)
	// Both meshes run at once, so that the machine's state is the same for both. In the baseline all calls are accounted to
	// one organisation: the queues are in order of arrival.
	runs := make([]*fairRun, len(meshes))
	errs := make([]error, len(meshes))
	var wait sync.WaitGroup
	for i, m := range meshes {
		wait.Go(func() { runs[i], errs[i] = share(ctx, m, cfg.Seed, i == 1) })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	run, base := runs[0], runs[1]
	return FairnessResult{
		LightP99Ratio: run.ratio, ShareErrorMax: run.shareError, Utilisation: run.used,
		LightP99Ms: run.with, LightAloneP99Ms: run.alone, LightSuccess: run.success, Shares: run.shares,
		BaselineLightP99Ratio: base.ratio, BaselineLightSuccess: base.success, BaselineShareErrorMax: base.shareError,
		HeavyUtilisation: run.heavyUsed, BaselineSharesMeasured: base.shares,
	}, nil
}

// lightOrganisations stay inside their shares.
var lightOrganisations = []string{"haulier-b", "haulier-c"}

func share(ctx context.Context, m *Mesh, seed uint64, inOrder bool) (*fairRun, error) {
	run := &fairRun{alone: map[string]float64{}, with: map[string]float64{}}
	light := map[string]float64{}
	for _, o := range lightOrganisations {
		light[o] = lightPart
	}
	all := map[string]float64{"haulier-a": heavyFactor}
	saturated := map[string]float64{"haulier-a": saturating}
	for _, o := range lightOrganisations {
		all[o] = lightPart
		saturated[o] = saturating
	}
	defer m.Close()
	NewLoad(m).WarmUp(ctx, m.fairStreams("warm", light, inOrder), seed)
	alone, err := m.phase(ctx, "alone", light, seed, inOrder)
	if err != nil {
		return nil, err
	}
	with, err := m.phase(ctx, "heavy", all, seed, inOrder)
	if err != nil {
		return nil, err
	}
	full, err := m.phase(ctx, "saturated", saturated, seed, inOrder)
	if err != nil {
		return nil, err
	}
	calls, good := 0, 0
	for _, o := range lightOrganisations {
		run.alone[o] = alone.verdicts[o].Latency.Milliseconds(99)
		run.with[o] = with.verdicts[o].Latency.Milliseconds(99)
		run.ratio = max(run.ratio, run.with[o]/run.alone[o])
		calls += with.verdicts[o].Calls
		good += with.verdicts[o].Good
	}
	run.success = float64(good) / float64(max(calls, 1))
	run.heavyUsed, run.used, run.shares = with.used, full.used, full.shares
	for _, o := range m.catalogue.Organisations {
		run.shareError = max(run.shareError, math.Abs(full.shares[o.Name]/o.Share-1))
	}
	return run, nil
}

// phaseResult holds what one phase gave for each organisation.
type phaseResult struct {
	verdicts map[string]*Verdict
	shares   map[string]float64
	used     float64
}

// fairStreams returns calls of one service: for each organisation a multiple of its share of the targets' capacity.
func (m *Mesh) fairStreams(name string, offer map[string]float64, inOrder bool) []*Stream {
	mean := fairService.Seconds() * math.Exp(targetSpread*targetSpread/2)
	var out []*Stream
	for _, o := range m.catalogue.Organisations {
		if offer[o.Name] == 0 {
			continue
		}
		s := &Stream{
			Name: fmt.Sprintf("%s-%s", name, o.Name), Organisation: o.Name, Method: http.MethodGet, Path: "/lagerstand/depot",
			Rate: offer[o.Name] * o.Share * float64(m.slots(fairTargets)) / mean,
		}
		if inOrder {
			s.Account = m.catalogue.Organisations[0].Name
		}
		out = append(out, s)
	}
	return out
}

// slots returns the number of requests that all warm targets of a service run at once.
func (m *Mesh) slots(service string) int {
	sum := 0
	for _, n := range m.Nodes {
		if n.Instance.Service == service {
			sum += m.limits[service].Slots
		}
	}
	return sum
}

// phase offers calls for a while. The first seconds, in which queues settle, are not judged.
func (m *Mesh) phase(ctx context.Context, name string, offer map[string]float64, seed uint64, inOrder bool) (*phaseResult, error) {
	load := NewLoad(m)
	loadCtx, stop := context.WithTimeout(ctx, fairPhase)
	defer stop()
	begin := time.Now().Add(fairSettle)
	var wait sync.WaitGroup
	for i, s := range m.fairStreams(name, offer, inOrder) {
		wait.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	wait.Wait()
	end := time.Now()
	calls := load.Calls()
	m.options.Log.Debug().Str("phase", name).Interface("ended_badly", Summary(calls)).Msg("details")
	return m.judgePhase(calls, begin, end, m.slots(fairTargets)), ctx.Err()
}

func (m *Mesh) judgePhase(calls []Call, begin, end time.Time, slots int) *phaseResult {
	r := &phaseResult{verdicts: map[string]*Verdict{}, shares: map[string]float64{}}
	byCall := map[string]string{}
	for _, c := range calls {
		byCall[c.ID] = c.Stream.Organisation
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
	used := map[string]float64{}
	for _, run := range m.Ledger.All() {
		seconds := overlap(run, begin, end).Seconds()
		if o := byCall[run.Request]; o != "" {
			used[o] += seconds
			total += seconds
		}
	}
	for o, seconds := range used {
		r.shares[o] = seconds / total
	}
	r.used = total / (float64(slots) * end.Sub(begin).Seconds())
	return r
}

// overlap returns the part of a run that lies between two times.
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
