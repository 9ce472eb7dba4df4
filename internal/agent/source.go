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

// Timeouts of platform reads.
const (
	readTimeout  = 5 * time.Second
	watchTimeout = 60 * time.Second
)

// watches maps the IDs of watches to their cancel functions.
type watches map[uint64]context.CancelFunc

// readPlatform performs the reads requested by the state machine until ctx is done. Each read runs in its own goroutine; the
// state machine limits their number.
func (a *Agent) readPlatform(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	active := watches{}
	for {
		action, err := a.reads.Get(ctx)
		if err != nil {
			_ = group.Wait()
			return err
		}
		switch act := action.(type) {
		case distribution.WatchManifest:
			a.startWatch(ctx, group, active, act.ID, func(ctx context.Context) { a.watchManifest(ctx, act) })
		case distribution.WatchList:
			a.startWatch(ctx, group, active, act.ID, func(ctx context.Context) { a.watchList(ctx, act) })
		case distribution.ReadChunk:
			group.Go(func() error { a.readChunk(ctx, act); return nil })
		case distribution.StopManifest:
			active.stop(act.ID)
		case distribution.StopList:
			active.stop(act.ID)
		}
	}
}

// stop cancels a watch, if it is still listed.
func (w watches) stop(id uint64) {
	if cancel := w[id]; cancel != nil {
		cancel()
		delete(w, id)
	}
}

// startWatch starts a watch. It is limited to watchTimeout, so that a connection that no longer responds is detected.
func (a *Agent) startWatch(ctx context.Context, group *errgroup.Group, active watches, id uint64, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	active[id] = cancel
	for other := range active {
		// IDs ascend, so a watch with a much lower ID has ended; only its cancel function remains to be released.
		if other+readsCapacity < id {
			active.stop(other)
		}
	}
	group.Go(func() error {
		defer cancel()
		run(ctx)
		return nil
	})
}

// mapTimeout returns distribution.ErrNoChange if a watch was cancelled or timed out, and err otherwise.
func mapTimeout(err error) error {
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
	result.Err = mapTimeout(err)
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
	result.Err = mapTimeout(err)
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
