package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// Parameters of the poison experiment.
const (
	poisonRequests     = 6
	poisonInterval     = 1500 * time.Millisecond
	poisonResends      = 6
	poisonResendDelay  = 300 * time.Millisecond
	poisonLoadFraction = 0.4
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

// PoisonResult holds the figures of the poison experiment. A poison is a request that crashes its target; others are the
// calls of the normal load.
type PoisonResult struct {
	CrashesPerPoisonMax         int     `json:"crashes_per_poison_max"`
	SuccessFractionOthers       float64 `json:"success_fraction_others"`
	BaselineCrashesPerPoisonMax int     `json:"baseline_crashes_per_poison_max"`
	BaselineSuccessOthers       float64 `json:"baseline_success_fraction_others"`
	Crashes                     int     `json:"crashes"`
	Sends                       int     `json:"poison_sends"`
	// WronglyQuarantined counts other calls that were refused because of quarantine.
	WronglyQuarantined int            `json:"innocents_quarantined"`
	Endings            map[Ending]int `json:"endings_others"`
	BaselineCrashes    int            `json:"baseline_crashes"`
}

// poisonRun holds the figures of one mesh.
type poisonRun struct {
	sends              int
	maxCrashes         int // largest number caused by one poison
	crashes            int
	verdict            Verdict
	wronglyQuarantined int
}

func runPoison(ctx context.Context, cfg Config) (any, error) {
	options := MeshOptions{Seed: cfg.Seed, Log: cfg.Log, Instances: cfg.Instances}
	meshes, err := NewMeshes(ctx, options, options)
	if err != nil {
		return nil, err
	}
	defer closeMeshes(meshes)
	run, err := measurePoison(ctx, meshes[0], cfg.Seed, false)
	if err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("baseline: each resend differs, so that quarantine does not match it")
	baseRun, err := measurePoison(ctx, meshes[1], cfg.Seed, true)
	if err != nil {
		return nil, err
	}
	return PoisonResult{
		CrashesPerPoisonMax: run.maxCrashes, SuccessFractionOthers: run.verdict.Success(), Crashes: run.crashes, Sends: run.sends,
		WronglyQuarantined: run.wronglyQuarantined, Endings: run.verdict.Endings,
		BaselineCrashesPerPoisonMax: baseRun.maxCrashes, BaselineSuccessOthers: baseRun.verdict.Success(), BaselineCrashes: baseRun.crashes,
	}, nil
}

// measurePoison sends poisons under load and closes the mesh. With varyResends, each resend differs from the send before.
func measurePoison(ctx context.Context, m *Mesh, seed uint64, varyResends bool) (*poisonRun, error) {
	defer m.Close()
	load := NewLoad(m)
	streams := m.streams(poisonLoadFraction)
	load.WarmUp(ctx, streams, seed)
	loadCtx, stop := context.WithTimeout(ctx, (poisonRequests+1)*poisonInterval)
	defer stop()
	var wg sync.WaitGroup
	for i, s := range streams {
		wg.Go(func() { load.Run(loadCtx, s, seed+uint64(i)) })
	}
	run := &poisonRun{}
	var mu sync.Mutex
	for i := range poisonRequests {
		if err := periodic.Sleep(ctx, poisonInterval); err != nil {
			return nil, err
		}
		wg.Go(func() {
			sends := load.sendPoison(ctx, i, varyResends)
			mu.Lock()
			defer mu.Unlock()
			run.sends += sends
		})
	}
	wg.Wait()
	calls := load.Calls()
	run.verdict = NewVerdict(calls, m.Ledger)
	for _, c := range calls {
		if c.Kind == refusal.Quarantined {
			run.wronglyQuarantined++
		}
	}
	m.options.Log.Debug().Interface("ended", EndingCounts(calls)).Msg("details")
	for i := range poisonRequests {
		runs := len(m.Ledger.Runs(poisonID(i)))
		run.maxCrashes = max(run.maxCrashes, runs)
		run.crashes += runs
	}
	return run, ctx.Err()
}

func poisonID(i int) string { return fmt.Sprintf("poison-%d", i) }

// sendPoison sends one poison at most poisonResends times, until it is refused because of quarantine. It returns the number of
// sends.
func (l *Load) sendPoison(ctx context.Context, i int, varyResends bool) int {
	s := &Stream{
		Name: "poison", Organisation: "haulier-a", Method: http.MethodGet, Path: fmt.Sprintf("/lagerstand/bad?n=%d", i),
		Header: http.Header{standin.CrashHeader: {"1"}},
	}
	if i%2 == 1 {
		s.Method, s.Path, s.Organisation, s.NoRetry, s.Body = http.MethodPost, fmt.Sprintf("/disposition/bad?n=%d", i), "haulier-b", true, 300
	}
	path := s.Path
	for attempt := range poisonResends {
		if varyResends {
			s.Path = fmt.Sprintf("%s&resend=%d", path, attempt)
		}
		if c := l.Do(ctx, s, poisonID(i), i*poisonResends+attempt); c.Kind == refusal.Quarantined || periodic.Sleep(ctx, poisonResendDelay) != nil {
			return attempt + 1
		}
	}
	return poisonResends
}
