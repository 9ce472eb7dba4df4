package bench

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
)

// watchers is the baseline that the distribution is compared with: each instance watches the platform directly, with the same read
// budget, delays and link bandwidth.
type watchers struct {
	fleet   *relayFleet
	latency *Latency
	wait    sync.WaitGroup

	mu        sync.Mutex
	published map[uint64]time.Time // by revision: time of publication
	reached   map[uint64]int       // by revision: number of instances that have it
}

// newWatchers returns the baseline for the members and services of m, with a separate platform and network.
func newWatchers(m *relayFleet) *watchers {
	baseline := &relayFleet{
		log: m.log, rng: rand.New(rand.NewPCG(uint64(m.fleet), 12)), fleet: m.fleet, members: m.members,
		services: append([]catalogue.Service(nil), m.services...), storeCut: map[string]bool{}, network: peer.NewNetwork(relayPath),
		platform: standin.NewPlatform(standin.PlatformConfig{
			ReadsPerSecond: readsPerInstance * float64(m.fleet), Delay: sourceDelay, InstanceLag: listLag,
		}),
	}
	for _, link := range relayLinks {
		baseline.network.SetLink(link, linkBytesPerSec)
	}
	baseline.list()
	return &watchers{fleet: baseline, latency: NewLatency(), published: map[uint64]time.Time{}, reached: map[uint64]int{}}
}

// publish publishes a revision and records the time.
func (w *watchers) publish(revision uint64) error {
	w.mu.Lock()
	w.published[revision] = time.Now()
	w.mu.Unlock()
	return w.fleet.publish(revision)
}

// run starts all watchers, which end with ctx. The read budget of the platform is lifted until limitReads is called, since the first
// reads of all watchers together exceed it.
func (w *watchers) run(ctx context.Context) {
	w.fleet.platform.SetBudget(0)
	for i, b := range w.fleet.members {
		source := &domainSource{fleet: w.fleet, failureDomain: b.inst.FailureDomain, inner: w.fleet.platform}
		rng := rand.New(rand.NewPCG(uint64(i), 13))
		w.wait.Go(func() { w.watchCatalogue(ctx, source, rng) })
		for _, fd := range relayDomains {
			listRNG := rand.New(rand.NewPCG(uint64(i), domainSeed(fd)))
			w.wait.Go(func() { w.watchInstances(ctx, source, fd, listRNG) })
		}
	}
}

// domainSeed returns a seed for a failure domain.
func domainSeed(fd string) uint64 { return uint64(len(fd)) + uint64(fd[len(fd)-1]) }

// watchCatalogue watches the catalogue for one instance until ctx ends, and reads the chunks that the instance does not have.
func (w *watchers) watchCatalogue(ctx context.Context, source origin.Source, rng *rand.Rand) {
	fetched := map[document.Digest]bool{}
	tag := ""
	var revision uint64
	for ctx.Err() == nil {
		v, err := source.Watch(ctx, origin.ManifestKey, tag)
		var m catalogue.Manifest
		if err != nil || json.Unmarshal(v.Data, &m) != nil {
			backoff(ctx, rng)
			continue
		}
		for _, d := range m.Chunks {
			for !fetched[d] && ctx.Err() == nil {
				if _, err := source.Read(ctx, origin.ChunkPrefix+d.String()); err != nil {
					backoff(ctx, rng)
					continue
				}
				fetched[d] = true
			}
		}
		if ctx.Err() != nil {
			return
		}
		tag = v.Tag
		w.recordReached(revision, m.Revision)
		revision = m.Revision
	}
}

// limitReads sets the read budget of the platform.
func (w *watchers) limitReads() { w.fleet.platform.SetBudget(w.fleet.steadyBudget()) }

// recordReached records that one more instance has the revisions after from, up to and including to.
func (w *watchers) recordReached(from, to uint64) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := from + 1; r <= to; r++ {
		w.reached[r]++
		if at, ok := w.published[r]; ok {
			w.latency.Record(now.Sub(at))
		}
	}
}

// watchInstances watches the instance list of a failure domain for one instance until ctx ends.
func (w *watchers) watchInstances(ctx context.Context, source origin.Source, fd string, rng *rand.Rand) {
	version := uint64(0)
	for ctx.Err() == nil {
		l, err := source.Instances(ctx, fd, version)
		if err != nil {
			backoff(ctx, rng)
			continue
		}
		version = l.Version
	}
}

// backoff waits for 200 ms plus a jitter of up to 1 s, or until ctx ends.
func backoff(ctx context.Context, rng *rand.Rand) {
	select {
	case <-time.After(200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))):
	case <-ctx.Done():
	}
}

// await waits until a revision has reached all instances or ctx ends.
func (w *watchers) await(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		w.mu.Lock()
		done := w.reached[revision] == len(w.fleet.members)
		w.mu.Unlock()
		if done {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// recordUnreached records the age of each revision, as a lower bound of its latency, for every instance that it has not reached.
func (w *watchers) recordUnreached() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, at := range w.published {
		for range len(w.fleet.members) - w.reached[r] {
			w.latency.Record(now.Sub(at))
		}
	}
}
