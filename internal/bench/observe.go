package bench

import (
	"context"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/snapshot"
)

// observeInterval is the time between two looks at all instances.
const observeInterval = time.Millisecond

// observer watches which revision each instance has in force.
type observer struct {
	fleet *relayFleet

	mu sync.Mutex
	// published holds when each revision was published, and latency the time from there to each instance.
	published map[uint64]time.Time
	latency   *Latency
	// seen and served are the highest revisions of each instance over all lives: seen in force, and while it served.
	seen           []uint64
	served         []uint64
	pending        map[uint64]int // instances that a published revision has still to reach
	reversions     int
	danglingRoutes int
	last           []*snapshot.Config
}

func newObserver(m *relayFleet) *observer {
	return &observer{
		fleet: m, published: map[uint64]time.Time{}, latency: NewLatency(), seen: make([]uint64, len(m.members)),
		served: make([]uint64, len(m.members)), pending: map[uint64]int{}, last: make([]*snapshot.Config, len(m.members)),
	}
}

// publish publishes a revision and starts its clock.
func (o *observer) publish(revision uint64) error {
	o.mu.Lock()
	o.published[revision] = time.Now()
	o.pending[revision] = len(o.fleet.members)
	o.mu.Unlock()
	return o.fleet.publish(revision)
}

// run looks until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		o.look(time.Now())
	}
}

func (o *observer) look(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, b := range o.fleet.members {
		life := b.process()
		if life == nil {
			continue
		}
		config := life.holder.Load().Config
		if config == nil || config == o.last[i] {
			continue
		}
		if !life.agent.Joined() {
			continue
		}
		o.note(now, i, config)
	}
}

// note takes a configuration that an instance serves by now.
func (o *observer) note(now time.Time, i int, config *snapshot.Config) {
	o.last[i] = config
	revision := config.Version().Revision
	if revision < o.served[i] {
		o.reversions++
	}
	o.served[i] = max(o.served[i], revision)
	for _, r := range config.Routes() {
		if config.Service(r.Service) == nil || config.Organisation(r.Owner) == nil {
			o.danglingRoutes++
		}
	}
	for r := o.seen[i] + 1; r <= revision; r++ {
		if at, ok := o.published[r]; ok {
			o.latency.Record(now.Sub(at))
			o.pending[r]--
		}
	}
	o.seen[i] = max(o.seen[i], revision)
}

// reached reports whether a revision is in force at all instances.
func (o *observer) reached(revision uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending[revision] == 0
}

// await waits until a revision is in force at all instances, and returns how long it took.
func (o *observer) await(ctx context.Context, revision uint64) time.Duration {
	start := time.Now()
	for !o.reached(revision) && ctx.Err() == nil {
		time.Sleep(observeInterval)
	}
	return time.Since(start)
}

// allServe reports whether all instances hold the published catalogue and lists and have joined.
func (m *relayFleet) allServe() bool {
	revision := m.published().Revision()
	for _, b := range m.members {
		life := b.process()
		if life == nil || !life.agent.Joined() {
			return false
		}
		state := life.holder.Load()
		if state.Config == nil || state.Config.Version().Revision < revision || state.Endpoints.Len() < len(m.members) {
			return false
		}
	}
	return true
}

// awaitAll waits until all instances serve.
func (m *relayFleet) awaitAll(ctx context.Context) error {
	for !m.allServe() {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}
