package bench

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Durations of the phases, and other intervals and limits of the outage experiment.
const (
	staleDuration     = 5 * time.Second
	downDuration      = 20 * time.Second
	partitionDuration = 6 * time.Second
	// healTimeout is the longest wait for convergence after the partition.
	healTimeout    = 8 * time.Second
	lookupInterval = 100 * time.Millisecond
	// restartDelay is the time between the stop of a process and the start of its replacement.
	restartDelay = 100 * time.Millisecond
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

// outageResult holds the figures of the outage experiment. A lookup searches the state of one process for the route and the
// endpoints of one service. It is served if the process has joined and has both. Processes that are being replaced are skipped.
type outageResult struct {
	// Served is the fraction of lookups that were served.
	Served     float64 `json:"served_fraction"`
	Lookups    int     `json:"lookups"`
	Replaced   int     `json:"replaced"`
	Reversions int     `json:"reversions"`
	Dangling   int     `json:"dangling_routes"`
	// HealConverge is the time in milliseconds from the end of the partition until the revision published during the partition
	// is in force on all instances.
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
		return nil, errors.Wrap(err, "start the fleet")
	}
	if err := m.awaitSettled(ctx); err != nil {
		return nil, err
	}
	result := &outageResult{}
	lookupCtx, stop := context.WithCancel(ctx)
	lookupsDone := m.lookups(lookupCtx, result)
	healTime, err := m.outage(ctx, o, result)
	stop()
	<-lookupsDone
	if err != nil {
		return nil, err
	}
	result.HealConverge = float64(healTime.Microseconds()) / 1000
	result.Reversions, result.Dangling = o.reversions, o.danglingRoutes
	return result, nil
}

// outage runs the phases and returns the time from the end of the partition until convergence.
func (m *relayFleet) outage(ctx context.Context, o *observer, result *outageResult) (time.Duration, error) {
	for revision := uint64(2); revision <= 4; revision++ {
		if err := o.publish(revision); err != nil {
			return 0, err
		}
		o.await(withLimit(ctx, steadyTail), revision)
	}
	m.log.Info().Msg("platform serves a stale revision")
	m.platform.SetStale(2)
	m.replaceMembers(ctx, staleDuration, len(m.members)/8, result)
	m.log.Info().Msg("platform is down")
	m.platform.SetStale(-1)
	m.platform.SetOutage(true)
	m.replaceMembers(ctx, downDuration, len(m.members)/4, result)
	m.platform.SetOutage(false)
	m.log.Info().Msg("regions are partitioned")
	m.cutRegions(true)
	if err := o.publish(5); err != nil {
		return 0, err
	}
	m.replaceMembers(ctx, partitionDuration, len(m.members)/8, result)
	m.cutRegions(false)
	m.log.Info().Msg("partition ended")
	convergeTime := o.await(withLimit(ctx, healTimeout), 5)
	if !o.reached(5) {
		return 0, errors.Errorf("revision 5 is not in force on all instances %v after the end of the partition", healTimeout)
	}
	return convergeTime, ctx.Err()
}

// replaceMembers replaces count random processes at even intervals over d, and waits until all have been restarted.
func (m *relayFleet) replaceMembers(ctx context.Context, d time.Duration, count int, result *outageResult) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, i := range m.rng.Perm(len(m.members))[:count] {
		select {
		case <-time.After(d / time.Duration(count)):
		case <-ctx.Done():
			return
		}
		result.Replaced++
		wg.Go(func() {
			m.members[i].stop()
			time.Sleep(restartDelay)
			m.members[i].start()
		})
	}
}

// lookups does one lookup per process every lookupInterval until ctx is done. The channel is closed after the figures have
// been written to result.
func (m *relayFleet) lookups(ctx context.Context, result *outageResult) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		served := 0
		ticker := time.NewTicker(lookupInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			service := m.services[n%relayServices].Name
			for _, b := range m.members {
				if proc := b.process(); proc != nil {
					result.Lookups++
					if proc.resolves(service) {
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

// resolves reports whether the process has joined and has the route and at least one endpoint of a service.
func (l *relayProcess) resolves(service string) bool {
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
