package bench

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Shape of a storm.
const (
	storms = 2
	// stormSpread is the time over which the replaced processes start.
	stormSpread = 500 * time.Millisecond
	// stormLimit bounds the wait for the fleet to be back.
	stormLimit = 10 * time.Second
	// baselineLimit bounds the same for the baseline.
	baselineLimit = 6 * time.Second
)

func init() {
	Register(Experiment{
		Name:             "storm",
		Summary:          "every process is replaced at once, twice, beside a fleet in which each instance reads the platform",
		DefaultInstances: 200,
		Targets: []Target{
			{Field: "source_reads_per_storm_max", Relation: AtMostField, Other: "fleet_tenth"},
			{Field: "source_reads_peak_per_second", Relation: AtMostField, Other: "source_cap_per_second"},
			{Field: "rejoin_p99_ms", Relation: AtMost, Bound: 5000},
			{Field: "not_rejoined", Relation: AtMost, Bound: 0},
			{Field: "reversions", Relation: AtMost, Bound: 0},
			{Field: "source_reads_total", Relation: AtMostField, Other: "baseline_source_reads_total"},
		},
		Run: runStorm,
	})
}

// stormResult counts the reads of the platform from the first replacement until the fleet has settled, for both storms.
type stormResult struct {
	Reads        int64   `json:"source_reads_total"`
	ReadsMax     int64   `json:"source_reads_per_storm_max"`
	FleetTenth   float64 `json:"fleet_tenth"`
	Peak         int64   `json:"source_reads_peak_per_second"`
	Cap          float64 `json:"source_cap_per_second"`
	RejoinP50    float64 `json:"rejoin_p50_ms"`
	RejoinP99    float64 `json:"rejoin_p99_ms"`
	RejoinMax    float64 `json:"rejoin_max_ms"`
	NotRejoined  int     `json:"not_rejoined"`
	Reversions   int     `json:"reversions"`
	Dangling     int     `json:"dangling_routes"`
	BaselineRead int64   `json:"baseline_source_reads_total"`
	// BaselineBack is the part of the baseline's instances that had the catalogue within the time given to them.
	BaselineBack float64 `json:"baseline_rejoined_fraction"`
}

func runStorm(ctx context.Context, cfg Config) (any, error) {
	m, err := newRelayFleet(cfg)
	if err != nil {
		return nil, err
	}
	o := newObserver(m)
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		m.each((*relayMember).stop)
	}()
	go o.run(ctx)
	m.each((*relayMember).start)
	if err := m.awaitAll(ctx); err != nil {
		return nil, errors.Wrap(err, "the fleet did not start")
	}
	if err := m.settle(ctx); err != nil {
		return nil, err
	}
	result := &stormResult{FleetTenth: float64(cfg.Instances) / 10, Cap: readsPerInstance * float64(cfg.Instances)}
	rejoin := NewLatency()
	for range storms {
		if err := m.storm(ctx, result, rejoin); err != nil {
			return nil, err
		}
	}
	result.RejoinP50, result.RejoinP99, result.RejoinMax = rejoin.Milliseconds(50), rejoin.Milliseconds(99), rejoin.MaxMilliseconds()
	result.Reversions, result.Dangling = o.reverted, o.dangling
	return result, m.stormBaseline(ctx, result)
}

// storm replaces every process, waits until all are back and the roles have settled, and adds what it cost.
func (m *relayFleet) storm(ctx context.Context, result *stormResult, rejoin *Latency) error {
	before := m.platform.Reads().Total
	limited, cancel := context.WithTimeout(ctx, stormLimit)
	defer cancel()
	delays := make([]time.Duration, len(m.members))
	for i := range delays {
		delays[i] = time.Duration(m.rng.Int64N(int64(stormSpread)))
	}
	peaks := m.watchPeak(limited)
	m.each((*relayMember).stop)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i, b := range m.members {
		wait.Go(func() {
			time.Sleep(delays[i])
			b.start()
			if took, ok := b.awaitJoin(limited); ok {
				rejoin.Record(took)
				return
			}
			mu.Lock()
			result.NotRejoined++
			mu.Unlock()
		})
	}
	wait.Wait()
	if err := m.settle(ctx); err != nil {
		return err
	}
	cancel()
	reads := m.platform.Reads().Total - before
	result.Reads += reads
	result.ReadsMax = max(result.ReadsMax, reads)
	result.Peak = max(result.Peak, <-peaks)
	return nil
}

// awaitJoin waits until the instance serves, and returns the time since it was started.
func (b *relayMember) awaitJoin(ctx context.Context) (time.Duration, bool) {
	life := b.current()
	for ctx.Err() == nil {
		state := life.holder.Load()
		if life.agent.Joined() && state.Config != nil && state.Endpoints.Len() > 0 {
			return time.Since(life.began), true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return 0, false
}

// watchPeak returns the largest number of reads within any second until ctx ends, in steps of a tenth.
func (m *relayFleet) watchPeak(ctx context.Context) <-chan int64 {
	const steps = 10
	out := make(chan int64, 1)
	go func() {
		var totals []int64
		var peak int64
		ticker := time.NewTicker(time.Second / steps)
		defer ticker.Stop()
		for {
			totals = append(totals, m.platform.Reads().Total)
			last := len(totals) - 1
			peak = max(peak, totals[last]-totals[max(0, last-steps)])
			select {
			case <-ticker.C:
			case <-ctx.Done():
				out <- peak
				return
			}
		}
	}()
	return out
}

// stormBaseline starts a fleet in which each instance reads the platform, as often as there were storms.
func (m *relayFleet) stormBaseline(ctx context.Context, result *stormResult) error {
	back := 0
	for range storms {
		w := newWatchers(m)
		if err := w.publish(1); err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, baselineLimit)
		w.run(limited)
		w.limit()
		w.await(limited, 1)
		cancel()
		w.wait.Wait()
		result.BaselineRead += w.fleet.platform.Reads().Total
		back += w.reached[1]
	}
	result.BaselineBack = float64(back) / float64(storms*len(m.members))
	return nil
}
