package bench

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Parameters of the storm experiment.
const (
	stormCount = 2
	// stormSpread is the interval over which the starts of the replaced processes are randomly distributed.
	stormSpread = 500 * time.Millisecond
	// stormTimeout is the longest wait until all processes have rejoined.
	stormTimeout = 10 * time.Second
	// stormBaselineTimeout is the longest wait until all instances of the baseline have the catalogue.
	stormBaselineTimeout = 6 * time.Second
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

// stormResult holds the figures of the storm experiment. Reads are reads of the platform from the first replacement of a storm
// until the fleet has settled; Reads is their total over all storms.
type stormResult struct {
	Reads    int64 `json:"source_reads_total"`
	ReadsMax int64 `json:"source_reads_per_storm_max"`
	// FleetTenth is a tenth of the number of instances.
	FleetTenth    float64 `json:"fleet_tenth"`
	PeakReads     int64   `json:"source_reads_peak_per_second"`
	ReadCap       float64 `json:"source_cap_per_second"`
	RejoinP50     float64 `json:"rejoin_p50_ms"`
	RejoinP99     float64 `json:"rejoin_p99_ms"`
	RejoinMax     float64 `json:"rejoin_max_ms"`
	NotRejoined   int     `json:"not_rejoined"`
	Reversions    int     `json:"reversions"`
	Dangling      int     `json:"dangling_routes"`
	BaselineReads int64   `json:"baseline_source_reads_total"`
	// BaselineRejoined is the fraction of the baseline's instances that had the catalogue within stormBaselineTimeout.
	BaselineRejoined float64 `json:"baseline_rejoined_fraction"`
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
		return nil, errors.Wrap(err, "start the fleet")
	}
	if err := m.awaitSettled(ctx); err != nil {
		return nil, err
	}
	result := &stormResult{FleetTenth: float64(cfg.Instances) / 10, ReadCap: readsPerInstance * float64(cfg.Instances)}
	rejoin := NewLatency()
	for range stormCount {
		if err := m.storm(ctx, result, rejoin); err != nil {
			return nil, err
		}
	}
	result.RejoinP50, result.RejoinP99, result.RejoinMax = rejoin.Milliseconds(50), rejoin.Milliseconds(99), rejoin.MaxMilliseconds()
	result.Reversions, result.Dangling = o.reversions, o.danglingRoutes
	return result, m.stormBaseline(ctx, result)
}

// storm replaces every process, waits until all have rejoined and the roles have settled, and adds the reads and join times to
// the figures.
func (m *relayFleet) storm(ctx context.Context, result *stormResult, rejoin *Latency) error {
	readsBefore := m.platform.Reads().Total
	limitedCtx, cancel := context.WithTimeout(ctx, stormTimeout)
	defer cancel()
	delays := make([]time.Duration, len(m.members))
	for i := range delays {
		delays[i] = time.Duration(m.rng.Int64N(int64(stormSpread)))
	}
	peakReads := m.measurePeakReads(limitedCtx)
	m.each((*relayMember).stop)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i, b := range m.members {
		wait.Go(func() {
			time.Sleep(delays[i])
			b.start()
			if joinTime, ok := b.awaitJoin(limitedCtx); ok {
				rejoin.Record(joinTime)
				return
			}
			mu.Lock()
			result.NotRejoined++
			mu.Unlock()
		})
	}
	wait.Wait()
	if err := m.awaitSettled(ctx); err != nil {
		return err
	}
	cancel()
	reads := m.platform.Reads().Total - readsBefore
	result.Reads += reads
	result.ReadsMax = max(result.ReadsMax, reads)
	result.PeakReads = max(result.PeakReads, <-peakReads)
	return nil
}

// awaitJoin waits until the instance has joined and has a configuration and endpoints, and returns the time since its start. It
// reports false if ctx is done before.
func (b *relayMember) awaitJoin(ctx context.Context) (time.Duration, bool) {
	proc := b.process()
	for ctx.Err() == nil {
		state := proc.holder.Load()
		if proc.agent.Joined() && state.Config != nil && state.Endpoints.Len() > 0 {
			return time.Since(proc.began), true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return 0, false
}

// measurePeakReads returns a channel that receives, after ctx is done, the largest number of reads of the platform within any
// second, sampled every 100 ms.
func (m *relayFleet) measurePeakReads(ctx context.Context) <-chan int64 {
	const steps = 10
	out := make(chan int64, 1)
	go func() {
		var totals []int64
		var largest int64
		ticker := time.NewTicker(time.Second / steps)
		defer ticker.Stop()
		for {
			totals = append(totals, m.platform.Reads().Total)
			last := len(totals) - 1
			largest = max(largest, totals[last]-totals[max(0, last-steps)])
			select {
			case <-ticker.C:
			case <-ctx.Done():
				out <- largest
				return
			}
		}
	}()
	return out
}

// stormBaseline starts a fleet in which each instance reads the platform, once per storm, and adds its reads to the figures.
func (m *relayFleet) stormBaseline(ctx context.Context, result *stormResult) error {
	rejoined := 0
	for range stormCount {
		w := newWatchers(m)
		if err := w.publish(1); err != nil {
			return err
		}
		limitedCtx, cancel := context.WithTimeout(ctx, stormBaselineTimeout)
		w.run(limitedCtx)
		w.limitReads()
		w.await(limitedCtx, 1)
		cancel()
		w.wait.Wait()
		result.BaselineReads += w.fleet.platform.Reads().Total
		rejoined += w.reached[1]
	}
	result.BaselineRejoined = float64(rejoined) / float64(stormCount*len(m.members))
	return nil
}
