package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// The poison experiment.
const (
	poisonRequests = 6
	poisonEvery    = 1500 * time.Millisecond
	poisonResends  = 6
	poisonDelay    = 300 * time.Millisecond
	poisonLoad     = 0.4
)

func init() {
	Register(Experiment{
		Name:             "poison",
		Summary:          "one request in many crashes its target and its caller resends it",
		DefaultInstances: 13,
		Targets: []Target{
			{Field: "crashes_per_poison_max", Relation: AtMost, Bound: 2},
			{Field: "crashes_per_poison_max", Relation: AtMostField, Other: "baseline_crashes_per_poison_max"},
		},
		Run: runPoison,
	})
}

// PoisonResult holds the figures of the poison experiment.
type PoisonResult struct {
	CrashesPerPoisonMax         int            `json:"crashes_per_poison_max"`
	SuccessFractionOthers       float64        `json:"success_fraction_others"`
	BaselineCrashesPerPoisonMax int            `json:"baseline_crashes_per_poison_max"`
	BaselineSuccessOthers       float64        `json:"baseline_success_fraction_others"`
	Crashes                     int            `json:"crashes"`
	Sends                       int            `json:"poison_sends"`
	InnocentsQuarantined        int            `json:"innocents_quarantined"`
	Endings                     map[Ending]int `json:"endings_others"`
	BaselineCrashes             int            `json:"baseline_crashes"`
}

// poisonRun is what one mesh gave.
type poisonRun struct {
	sends   int
	worst   int
	crashes int
	verdict Verdict
	wronged int
}

func runPoison(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances}
	meshes, err := NewMeshes(ctx, options, options)
	if err != nil {
		return nil, err
	}
	defer closeAll(meshes)
	run, err := poison(ctx, meshes[0], cfg.Seed, false)
	if err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("baseline: each resend differs, so that no quarantine can know it again")
	base, err := poison(ctx, meshes[1], cfg.Seed, true)
	if err != nil {
		return nil, err
	}
	return PoisonResult{
		CrashesPerPoisonMax: run.worst, SuccessFractionOthers: run.verdict.Success(), Crashes: run.crashes, Sends: run.sends,
		InnocentsQuarantined: run.wronged, Endings: run.verdict.Endings,
		BaselineCrashesPerPoisonMax: base.worst, BaselineSuccessOthers: base.verdict.Success(), BaselineCrashes: base.crashes,
	}, nil
}

func poison(ctx context.Context, m *Mesh, seed uint64, differ bool) (*poisonRun, error) {
	defer m.Close()
	load := NewLoad(m)
	streams := m.streams(poisonLoad)
	load.WarmUp(ctx, streams, seed)
	loadCtx, stop := context.WithTimeout(ctx, (poisonRequests+1)*poisonEvery)
	defer stop()
	var wait sync.WaitGroup
	for i, s := range streams {
		wait.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	run := &poisonRun{}
	var mu sync.Mutex
	for i := range poisonRequests {
		if err := duty.Sleep(ctx, poisonEvery); err != nil {
			return nil, err
		}
		wait.Go(func() {
			sends := load.sendPoison(ctx, i, differ)
			mu.Lock()
			defer mu.Unlock()
			run.sends += sends
		})
	}
	wait.Wait()
	calls := load.Calls()
	run.verdict = Judge(calls, m.Ledger)
	for _, c := range calls {
		if c.Kind == refusal.Quarantined {
			run.wronged++
		}
	}
	m.options.Log.Debug().Interface("ended", Summary(calls)).Msg("details")
	for i := range poisonRequests {
		runs := len(m.Ledger.Runs(poisonID(i)))
		run.worst = max(run.worst, runs)
		run.crashes += runs
	}
	return run, ctx.Err()
}

func poisonID(i int) string { return fmt.Sprintf("poison-%d", i) }

// sendPoison sends one crashing request and resends it until it is refused for good. It returns the number of sends.
func (l *Load) sendPoison(ctx context.Context, i int, differ bool) int {
	s := &Stream{
		Name: "poison", Organisation: "haulier-a", Method: http.MethodGet, Path: fmt.Sprintf("/lagerstand/bad?n=%d", i),
		Header: http.Header{standin.CrashHeader: {"1"}},
	}
	if i%2 == 1 {
		s.Method, s.Path, s.Organisation, s.Never, s.Body = http.MethodPost, fmt.Sprintf("/disposition/bad?n=%d", i), "haulier-b", true, 300
	}
	path := s.Path
	for attempt := range poisonResends {
		if differ {
			s.Path = fmt.Sprintf("%s&resend=%d", path, attempt)
		}
		if c := l.Do(ctx, s, poisonID(i), i*poisonResends+attempt); c.Kind == refusal.Quarantined || duty.Sleep(ctx, poisonDelay) != nil {
			return attempt + 1
		}
	}
	return poisonResends
}
