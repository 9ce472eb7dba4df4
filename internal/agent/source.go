package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Time limits of reads of the platform.
const (
	readTimeout  = 5 * time.Second
	watchTimeout = 60 * time.Second
)

// watches holds the cancel functions of running watches by their number.
type watches map[uint64]context.CancelFunc

// read performs the reads that the state machine asks for. Each runs in a goroutine of its own; the state machine
// bounds their number by its budget.
func (a *Agent) read(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := watches{}
	for {
		action, err := a.reads.Get(ctx)
		if err != nil {
			_ = group.Wait()
			return err
		}
		switch act := action.(type) {
		case distribution.WatchManifest:
			a.watch(ctx, group, running, act.ID, func(ctx context.Context) { a.watchManifest(ctx, act) })
		case distribution.WatchList:
			a.watch(ctx, group, running, act.ID, func(ctx context.Context) { a.watchList(ctx, act) })
		case distribution.ReadChunk:
			group.Go(func() error { a.readChunk(ctx, act); return nil })
		case distribution.StopManifest:
			running.stop(act.ID)
		case distribution.StopList:
			running.stop(act.ID)
		}
	}
}

func (w watches) stop(id uint64) {
	if cancel := w[id]; cancel != nil {
		cancel()
		delete(w, id)
	}
}

// watch starts one standing read with a time limit, so that a connection that hangs is noticed.
func (a *Agent) watch(ctx context.Context, group *errgroup.Group, running watches, id uint64, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	running[id] = cancel
	for other := range running {
		// A watch whose number lies far back ended long ago; its cancel function only needs to be released.
		if other+readsCapacity < id {
			running.stop(other)
		}
	}
	group.Go(func() error {
		defer cancel()
		run(ctx)
		return nil
	})
}

// noChange replaces the end of a watch's time limit by distribution.ErrNoChange.
func noChange(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return distribution.ErrNoChange
	}
	return err
}

func (a *Agent) watchManifest(ctx context.Context, act distribution.WatchManifest) {
	a.metrics.reads.Inc()
	result := distribution.ManifestRead{ID: act.ID}
	value, err := a.cfg.Source.Watch(ctx, origin.ManifestKey, act.After)
	if err == nil {
		result.Tag = value.Tag
		result.Manifest, err = parseManifest(value.Data)
	}
	result.Err = noChange(err)
	a.step(result)
}

func parseManifest(data []byte) (catalogue.Manifest, error) {
	var m catalogue.Manifest
	err := json.Unmarshal(data, &m)
	return m, errors.Wrap(err, "manifest on the platform is not valid; publish it with chervilwellctl render")
}

func (a *Agent) watchList(ctx context.Context, act distribution.WatchList) {
	a.metrics.reads.Inc()
	result := distribution.ListRead{ID: act.ID, FailureDomain: act.FailureDomain}
	list, err := a.cfg.Source.Instances(ctx, act.FailureDomain, act.After)
	if err == nil {
		list.FailureDomain = act.FailureDomain
		result.Document, err = snapshot.EncodeInstances(list)
	}
	result.Err = noChange(err)
	a.step(result)
}

func (a *Agent) readChunk(ctx context.Context, act distribution.ReadChunk) {
	a.metrics.reads.Inc()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result := distribution.ChunkRead{Digest: act.Digest}
	value, err := a.cfg.Source.Read(ctx, origin.ChunkPrefix+act.Digest.String())
	if err == nil {
		err = document.Unpack(value.Data, &result.Entries)
	}
	result.Err = err
	a.step(result)
}
