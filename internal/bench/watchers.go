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

// watchers is the baseline of the distribution: each instance watches the platform itself, with the same budget, delays
// and link.
type watchers struct {
	fleet   *relayFleet
	latency *Latency
	wait    sync.WaitGroup

	mu        sync.Mutex
	published map[uint64]time.Time
	reached   map[uint64]int
}

// newWatchers returns the baseline for a fleet like m, with a platform and a network of its own.
func newWatchers(m *relayFleet) *watchers {
	own := &relayFleet{
		log: m.log, rng: rand.New(rand.NewPCG(uint64(m.fleet), 12)), fleet: m.fleet, members: m.members,
		services: append([]catalogue.Service(nil), m.services...), storeCut: map[string]bool{}, network: peer.NewNetwork(relayPath),
		platform: standin.NewPlatform(standin.PlatformConfig{
			ReadsPerSecond: readsPerInstance * float64(m.fleet), Delay: sourceDelay, InstanceLag: listLag,
		}),
	}
	for _, link := range relayLinks {
		own.network.SetLink(link, linkBytesPerSec)
	}
	own.list()
	return &watchers{fleet: own, latency: NewLatency(), published: map[uint64]time.Time{}, reached: map[uint64]int{}}
}

func (w *watchers) publish(revision uint64) error {
	w.mu.Lock()
	w.published[revision] = time.Now()
	w.mu.Unlock()
	return w.fleet.publish(revision)
}

// run starts all watchers; they end with ctx. The budget of the platform counts once their first watches stand, since
// they could not begin within it.
func (w *watchers) run(ctx context.Context) {
	w.fleet.platform.SetBudget(0)
	for i, b := range w.fleet.members {
		source := &placedSource{fleet: w.fleet, failureDomain: b.inst.FailureDomain, next: w.fleet.platform}
		rng := rand.New(rand.NewPCG(uint64(i), 13))
		w.wait.Go(func() { w.follow(ctx, source, rng) })
		for _, fd := range relayDomains {
			own := rand.New(rand.NewPCG(uint64(i), xxDomain(fd)))
			w.wait.Go(func() { w.followList(ctx, source, fd, own) })
		}
	}
}

func xxDomain(fd string) uint64 { return uint64(len(fd)) + uint64(fd[len(fd)-1]) }

// follow keeps one instance's catalogue up to date.
func (w *watchers) follow(ctx context.Context, source origin.Source, rng *rand.Rand) {
	held := map[document.Digest]bool{}
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
			for !held[d] && ctx.Err() == nil {
				if _, err := source.Read(ctx, origin.ChunkPrefix+d.String()); err != nil {
					backoff(ctx, rng)
					continue
				}
				held[d] = true
			}
		}
		if ctx.Err() != nil {
			return
		}
		tag = v.Tag
		w.note(revision, m.Revision)
		revision = m.Revision
	}
}

// limitReads puts the budget of the platform in force.
func (w *watchers) limitReads() { w.fleet.platform.SetBudget(w.fleet.steadyBudget()) }

// note records the revisions after from up to to as in force at one more instance.
func (w *watchers) note(from, to uint64) {
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

func (w *watchers) followList(ctx context.Context, source origin.Source, fd string, rng *rand.Rand) {
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

// backoff waits for a backoff with jitter.
func backoff(ctx context.Context, rng *rand.Rand) {
	select {
	case <-time.After(200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))):
	case <-ctx.Done():
	}
}

// await waits until a revision has reached all instances.
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

// finish records the age of each revision at the instances that it did not reach, as the least that it can come to.
func (w *watchers) finish() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, at := range w.published {
		for range len(w.fleet.members) - w.reached[r] {
			w.latency.Record(now.Sub(at))
		}
	}
}
