package bench

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Phases of an outage.
const (
	staleTime     = 5 * time.Second
	downTime      = 20 * time.Second
	partitionTime = 6 * time.Second
	healLimit     = 8 * time.Second
	lookupEvery   = 100 * time.Millisecond
	replaceAfter  = 100 * time.Millisecond
)

func init() {
	Register(Experiment{
		Name:             "outage",
		Summary:          "the platform is stale, then down, then the regions are cut apart, while half the processes are replaced",
		DefaultInstances: 200,
		Targets: []Target{
			{Field: "reversions", Relation: AtMost, Bound: 0},
			{Field: "dangling_routes", Relation: AtMost, Bound: 0},
			{Field: "heal_converge_ms", Relation: AtMost, Bound: 5000},
		},
		Run: runOutage,
	})
}

// outageResult: a look-up asks one process for the route and the endpoints of one service. It is served if the process has joined and
// finds both. Processes that are being replaced are not asked.
type outageResult struct {
	Served     float64 `json:"served_fraction"`
	Lookups    int     `json:"lookups"`
	Replaced   int     `json:"replaced"`
	Reversions int     `json:"reversions"`
	Dangling   int     `json:"dangling_routes"`
	// HealConverge is the time from the end of the partition until the revision published during it is in force everywhere.
	HealConverge float64 `json:"heal_converge_ms"`
}

func runOutage(ctx context.Context, cfg Config) (any, error) {
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
	result := &outageResult{}
	looking, stop := context.WithCancel(ctx)
	counted := m.lookups(looking, result)
	heal, err := m.outage(ctx, o, result)
	stop()
	<-counted
	if err != nil {
		return nil, err
	}
	result.HealConverge = float64(heal.Microseconds()) / 1000
	result.Reversions, result.Dangling = o.reverted, o.dangling
	return result, nil
}

// outage takes the fleet through the phases and returns how long it took to converge after the last.
func (m *relayFleet) outage(ctx context.Context, o *observer, result *outageResult) (time.Duration, error) {
	for revision := uint64(2); revision <= 4; revision++ {
		if err := o.publish(revision); err != nil {
			return 0, err
		}
		o.await(withLimit(ctx, steadyTail), revision)
	}
	m.log.Info().Msg("platform is stale")
	m.platform.SetStale(2)
	m.replaceOver(ctx, staleTime, len(m.members)/8, result)
	m.log.Info().Msg("platform is down")
	m.platform.SetStale(-1)
	m.platform.SetOutage(true)
	m.replaceOver(ctx, downTime, len(m.members)/4, result)
	m.platform.SetOutage(false)
	m.log.Info().Msg("regions are cut apart")
	m.cutRegions(true)
	if err := o.publish(5); err != nil {
		return 0, err
	}
	m.replaceOver(ctx, partitionTime, len(m.members)/8, result)
	m.cutRegions(false)
	m.log.Info().Msg("network is whole")
	took := o.await(withLimit(ctx, healLimit), 5)
	if !o.reached(5) {
		return 0, errors.Errorf("revision 5 is not in force everywhere %v after the partition", healLimit)
	}
	return took, ctx.Err()
}

// replaceOver replaces a number of random processes, spread over a time.
func (m *relayFleet) replaceOver(ctx context.Context, d time.Duration, count int, result *outageResult) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, i := range m.rng.Perm(len(m.members))[:count] {
		select {
		case <-time.After(d / time.Duration(count)):
		case <-ctx.Done():
			return
		}
		result.Replaced++
		wait.Go(func() {
			m.members[i].stop()
			time.Sleep(replaceAfter)
			m.members[i].start()
		})
	}
}

// lookups asks every process regularly until ctx ends.
func (m *relayFleet) lookups(ctx context.Context, result *outageResult) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		served := 0
		ticker := time.NewTicker(lookupEvery)
		defer ticker.Stop()
		for n := 0; ; n++ {
			service := m.services[n%relayServices].Name
			for _, b := range m.members {
				if life := b.current(); life != nil {
					result.Lookups++
					if life.finds(service) {
						served++
					}
				}
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				result.Served = float64(served) / float64(max(result.Lookups, 1))
				return
			}
		}
	}()
	return done
}

// finds reports whether the process has joined and finds the route and the endpoints of a service.
func (l *relayLife) finds(service string) bool {
	if !l.agent.Joined() {
		return false
	}
	state := l.holder.Load()
	if state.Config == nil {
		return false
	}
	route := state.Config.Match("GET", "/"+service+"/")
	return route != nil && len(state.Endpoints.ForService(route.Service)) > 0
}
