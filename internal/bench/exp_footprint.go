package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/pkg/errors"
)

// Load and durations of the footprint experiment.
const (
	// footprintChangeRate is the number of catalogue changes per second.
	footprintChangeRate = 0.87
	// footprintChurnRate is the number of changes of the lists of instances per second.
	footprintChurnRate = 2.0
	// footprintDuration is the duration of the measurement.
	footprintDuration = 20 * time.Second
	// footprintSettleTime is the time under load before the measurement.
	footprintSettleTime = 5 * time.Second
)

func init() {
	Register(Experiment{
		Name:             "footprint",
		Summary:          "memory, processor time and bytes of a daemon as a process of its own, as relay and as reader of the platform",
		DefaultInstances: designEndpoints,
		Targets: []Target{
			{Field: "rss_mb", Relation: AtMost, Bound: 64},
			{Field: "reader_rss_mb", Relation: AtMost, Bound: 64},
			{Field: "control_cpu_percent", Relation: AtMost, Bound: 4.1},
			{Field: "reader_cpu_percent", Relation: AtMost, Bound: 4.1},
			{Field: "control_bytes_per_second", Relation: AtMost, Bound: 24_000},
		},
		Run: runFootprint,
	})
}

// footprintResult holds the figures of two daemons: a relay with a parent and children, and the reader of a failure domain.
// RSS is the maximum during the measurement. Bytes are those exchanged with other daemons, without the reader's reads of the
// platform.
type footprintResult struct {
	Services       int     `json:"services"`
	Endpoints      int     `json:"endpoints"`
	ChangesPerSec  float64 `json:"changes_per_second"`
	ChurnPerSec    float64 `json:"churn_per_second"`
	RSS            float64 `json:"rss_mb"`
	CPU            float64 `json:"control_cpu_percent"`
	Bytes          float64 `json:"control_bytes_per_second"`
	Revision       uint64  `json:"revision"`
	ReaderRSS      float64 `json:"reader_rss_mb"`
	ReaderCPU      float64 `json:"reader_cpu_percent"`
	ReaderBytes    float64 `json:"reader_bytes_per_second"`
	ReaderRevision uint64  `json:"reader_revision"`
}

func runFootprint(ctx context.Context, cfg Config) (any, error) {
	dir, err := os.MkdirTemp("", "footprint")
	if err != nil {
		return nil, errors.Wrap(err, "create a directory for certificates")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := startFootprint(ctx, cfg, dir)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	changeCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- f.publishChanges(changeCtx, rand.New(rand.NewPCG(cfg.Seed, 17))) }()
	if err := periodic.Sleep(ctx, footprintSettleTime); err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("measuring")
	relay, reader := f.relay.measure(ctx), f.reader.measure(ctx)
	relayUsage, readerUsage := <-relay, <-reader
	stop()
	if err := errors.Wrap(<-done, "publish changes"); err != nil {
		return nil, err
	}
	if relayUsage.err != nil || readerUsage.err != nil {
		return nil, errors.Errorf("measure the daemons: relay: %v; reader: %v", relayUsage.err, readerUsage.err)
	}
	return footprintResult{
		Services: len(f.catalogue.Services), Endpoints: cfg.Instances, ChangesPerSec: footprintChangeRate, ChurnPerSec: footprintChurnRate,
		RSS: relayUsage.rss, CPU: relayUsage.cpu, Bytes: relayUsage.bytes, Revision: relayUsage.revision,
		ReaderRSS: readerUsage.rss, ReaderCPU: readerUsage.cpu, ReaderBytes: readerUsage.bytes, ReaderRevision: readerUsage.revision,
	}, nil
}

// publishChanges publishes changes of the catalogue and of the lists of instances until ctx is done.
func (f *footprint) publishChanges(ctx context.Context, rng *rand.Rand) error {
	rate := func(perSecond float64) time.Duration { return time.Duration(float64(time.Second) / perSecond) }
	changes, churn := time.NewTicker(rate(footprintChangeRate)), time.NewTicker(rate(footprintChurnRate))
	defer changes.Stop()
	defer churn.Stop()
	for {
		select {
		case <-changes.C:
			f.catalogue.Revision++
			service := &f.catalogue.Services[rng.IntN(len(f.catalogue.Services))]
			service.Limits.Queue = 40 + int(f.catalogue.Revision%100)
			if _, err := f.platform.PublishCatalogue(f.catalogue); err != nil {
				return err
			}
		case <-churn.C:
			inst := f.listedInstances[rng.IntN(len(f.listedInstances))]
			inst.RequestAddr = fmt.Sprintf("127.0.0.1:%d", 2+rng.IntN(50))
			f.platform.PutInstance(inst)
		case <-ctx.Done():
			return nil
		}
	}
}
