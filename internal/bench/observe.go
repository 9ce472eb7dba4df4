package bench

import (
	"context"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/snapshot"
)

// observeInterval is the interval at which all instances are polled.
const observeInterval = time.Millisecond

// observer records which catalogue revision each instance has in force.
type observer struct {
	fleet *relayFleet

	mu sync.Mutex
	// published holds the time at which each revision was published, and latency the time from then until it was in force at each
	// instance.
	published map[uint64]time.Time
	latency   *Latency
	// seen and served hold the highest revision of each instance over all its incarnations: the highest one recorded for the
	// latency, and the highest one served.
	seen           []uint64
	served         []uint64
	pending        map[uint64]int // by revision: number of instances where it is not yet in force
	reversions     int            // number of times that an instance served a lower revision than before
	danglingRoutes int            // number of routes served without their service or owner
	lastConfig     []*snapshot.Config
}

func newObserver(m *relayFleet) *observer {
	return &observer{
		fleet: m, published: map[uint64]time.Time{}, latency: NewLatency(), seen: make([]uint64, len(m.members)),
		served: make([]uint64, len(m.members)), pending: map[uint64]int{}, lastConfig: make([]*snapshot.Config, len(m.members)),
	}
}

// publish publishes a revision and records the time.
func (o *observer) publish(revision uint64) error {
	o.mu.Lock()
	o.published[revision] = time.Now()
	o.pending[revision] = len(o.fleet.members)
	o.mu.Unlock()
	return o.fleet.publish(revision)
}

// run polls the instances until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		o.poll(time.Now())
	}
}

// poll checks each joined instance for a new configuration.
func (o *observer) poll(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, b := range o.fleet.members {
		incarnation := b.process()
		if incarnation == nil {
			continue
		}
		config := incarnation.holder.Load().Config
		if config == nil || config == o.lastConfig[i] {
			continue
		}
		if !incarnation.agent.Joined() {
			continue
		}
		o.record(now, i, config)
	}
}

// record adds a configuration that instance i has begun to serve to the measurements. It must be called with o.mu held.
func (o *observer) record(now time.Time, i int, config *snapshot.Config) {
	o.lastConfig[i] = config
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

// await waits until a revision is in force at all instances or ctx ends, and returns the time waited.
func (o *observer) await(ctx context.Context, revision uint64) time.Duration {
	start := time.Now()
	for !o.reached(revision) && ctx.Err() == nil {
		time.Sleep(observeInterval)
	}
	return time.Since(start)
}

// allServing reports whether all instances have joined and have the published catalogue and the endpoints of all members.
func (m *relayFleet) allServing() bool {
	revision := m.published().Revision()
	for _, b := range m.members {
		incarnation := b.process()
		if incarnation == nil || !incarnation.agent.Joined() {
			return false
		}
		state := incarnation.holder.Load()
		if state.Config == nil || state.Config.Version().Revision < revision || state.Endpoints.Len() < len(m.members) {
			return false
		}
	}
	return true
}

// awaitAll waits until all instances are serving. It returns the error of ctx if ctx ends first.
func (m *relayFleet) awaitAll(ctx context.Context) error {
	for !m.allServing() {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}
