package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/pkg/errors"
)

// Load of the footprint experiment.
const (
	// footprintChanges is the rate of catalogue changes per second, and footprintChurn that of changes of the lists.
	footprintChanges = 0.87
	footprintChurn   = 2.0
	footprintTime    = 20 * time.Second
	footprintSettle  = 5 * time.Second
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

// footprintResult describes two daemons: a relay with a parent and children, and the reader of a failure domain. RSS is the
// largest seen during the measurement; bytes are those between processes, without the reader's reads of the platform.
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
		return nil, errors.Wrap(err, "directory for certificates")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := startFootprint(ctx, cfg, dir)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	changing, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- f.change(changing, rand.New(rand.NewPCG(cfg.Seed, 17))) }()
	if err := duty.Sleep(ctx, footprintSettle); err != nil {
		return nil, err
	}
	cfg.Log.Info().Msg("measuring")
	relay, reader := f.relay.measure(ctx), f.reader.measure(ctx)
	a, b := <-relay, <-reader
	stop()
	if err := errors.Wrap(<-done, "change the catalogue"); err != nil {
		return nil, err
	}
	if a.err != nil || b.err != nil {
		return nil, errors.Errorf("measure: %v, %v", a.err, b.err)
	}
	return footprintResult{
		Services: len(f.catalogue.Services), Endpoints: cfg.Instances, ChangesPerSec: footprintChanges, ChurnPerSec: footprintChurn,
		RSS: a.rss, CPU: a.cpu, Bytes: a.bytes, Revision: a.revision,
		ReaderRSS: b.rss, ReaderCPU: b.cpu, ReaderBytes: b.bytes, ReaderRevision: b.revision,
	}, nil
}

// change publishes catalogue changes and list churn until ctx ends.
func (f *footprint) change(ctx context.Context, rng *rand.Rand) error {
	rate := func(perSecond float64) time.Duration { return time.Duration(float64(time.Second) / perSecond) }
	changes, churn := time.NewTicker(rate(footprintChanges)), time.NewTicker(rate(footprintChurn))
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
			inst := f.ghosts[rng.IntN(len(f.ghosts))]
			inst.RequestAddr = fmt.Sprintf("127.0.0.1:%d", 2+rng.IntN(50))
			f.platform.PutInstance(inst)
		case <-ctx.Done():
			return nil
		}
	}
}
