package bench

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
)

// Load and limits of a steady run.
const (
	steadyChanges  = 22
	changeInterval = time.Second
	churnInterval  = 500 * time.Millisecond
	// steadyTail is the longest time that a run waits for the last revision to reach all instances.
	steadyTail = 6 * time.Second
)

// steadyRun holds the measurements of a fleet and of its baseline under catalogue changes and endpoint churn.
type steadyRun struct {
	observer    *observer
	baseline    *watchers
	changes     int // of the catalogue
	listChanges int // of the instance lists
	seconds     float64

	linkBytes, baselineLinkBytes int64
	// deltaBytes is the mean size in bytes of a compressed delta over all changes.
	deltaBytes float64
	// instanceRates holds the bytes per second of each instance, in ascending order.
	instanceRates []float64
}

// steady starts a fleet and its baseline, and measures both while the catalogue and the endpoints change at a steady rate.
func steady(ctx context.Context, cfg Config) (*steadyRun, error) {
	m, err := newRelayFleet(cfg)
	if err != nil {
		return nil, err
	}
	r := &steadyRun{observer: newObserver(m), baseline: newWatchers(m)}
	m.platform.SetBudget(m.steadyBudget())
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		m.each((*relayMember).stop)
		r.baseline.wait.Wait()
	}()
	go r.observer.run(ctx)
	m.each((*relayMember).start)
	if err := r.baseline.publish(1); err != nil {
		return nil, err
	}
	r.baseline.run(ctx)
	if err := m.awaitAll(ctx); err != nil {
		return nil, errors.Wrap(err, "the fleet did not start")
	}
	r.baseline.await(ctx, 1)
	if err := m.awaitSettled(ctx); err != nil {
		return nil, err
	}
	r.baseline.limitReads()
	cfg.Log.Info().Msg("fleet runs")
	return r, r.applyChanges(ctx, m)
}

// steadyBudget returns the platform's read budget in reads per second. It is proportional to the size of the fleet, with a minimum
// for 200 instances, since the reads that the readers need grow with the rate of changes and not with the fleet.
func (m *relayFleet) steadyBudget() float64 {
	return readsPerInstance * float64(max(m.fleet, 200))
}

// awaitSettled waits until the roles are stable after a start, that is, until every failure domain in the region of the platform has its
// reader.
func (m *relayFleet) awaitSettled(ctx context.Context) error {
	select {
	case <-time.After(3 * time.Second):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyChanges applies the changes to the fleet and the baseline, and records the measurements.
func (r *steadyRun) applyChanges(ctx context.Context, m *relayFleet) error {
	r.observer.resetLatency()
	r.baseline.latency = NewLatency()
	start := time.Now()
	link, baselineLink := m.linkBytes(), r.baseline.fleet.linkBytes()
	before := make([]int64, len(m.members))
	for i, b := range m.members {
		before[i] = b.bytes()
	}
	var deltas deltaSizes
	lists := m.listDocuments()
	churn := time.NewTimer(churnInterval)
	defer churn.Stop()
	next := time.NewTicker(changeInterval)
	defer next.Stop()
	revision := uint64(1)
	for revision <= steadyChanges {
		select {
		case <-churn.C:
			m.churn(r.listChanges)
			r.baseline.fleet.churn(r.listChanges)
			r.listChanges++
			// Endpoints change at random times, so that changes of the lists are not synchronised with those of the catalogue.
			churn.Reset(time.Duration(m.rng.ExpFloat64() * float64(churnInterval)))
		case <-next.C:
			revision++
			previous := m.published()
			if err := r.observer.publish(revision); err != nil {
				return err
			}
			if err := r.baseline.publish(revision); err != nil {
				return err
			}
			deltas.add(previous, m.published())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.changes = int(revision - 1)
	r.observer.await(withLimit(ctx, steadyTail), revision)
	r.seconds = time.Since(start).Seconds()
	r.linkBytes = m.linkBytes() - link
	for i, b := range m.members {
		r.instanceRates = append(r.instanceRates, float64(b.bytes()-before[i])/r.seconds)
	}
	slices.Sort(r.instanceRates)
	for name, doc := range m.listDocuments() {
		deltas.addVersions(lists[name], doc)
	}
	r.deltaBytes = deltas.mean()
	r.baseline.await(withLimit(ctx, steadyTail), revision)
	r.baseline.recordUnreached()
	r.baselineLinkBytes = r.baseline.fleet.linkBytes() - baselineLink
	return nil
}

// withLimit returns a context that ends with ctx or after d.
func withLimit(ctx context.Context, d time.Duration) context.Context {
	limited, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(limited, cancel)
	return limited
}

// resetLatency discards the latencies recorded before the measurement.
func (o *observer) resetLatency() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latency = NewLatency()
}

// listDocuments returns the instance lists that the first instance has, by document name.
func (m *relayFleet) listDocuments() map[string]*document.Document {
	out := map[string]*document.Document{}
	for _, doc := range m.members[0].process().agent.Documents() {
		if doc.Name() != m.published().Name() {
			out[doc.Name()] = doc
		}
	}
	return out
}

// deltaSizes accumulates the sizes in bytes of compressed deltas.
type deltaSizes struct {
	bytes, count int
}

// add adds the delta between two consecutive versions.
func (s *deltaSizes) add(base, target *document.Document) {
	data, err := document.Pack(document.Diff(base, target))
	if err != nil {
		return
	}
	s.bytes += len(data)
	s.count++
}

// addVersions adds the deltas of a list for all versions from base to target. Each delta is counted with the size of a change of
// one entry.
func (s *deltaSizes) addVersions(base, target *document.Document) {
	versions := int(target.Revision() - base.Revision())
	delta := document.Diff(base, target)
	if versions == 0 || len(delta.Set) == 0 {
		return
	}
	delta.Set = delta.Set[:1]
	data, err := document.Pack(delta)
	if err != nil {
		return
	}
	s.bytes += versions * len(data)
	s.count += versions
}

// mean returns the mean size of a delta, or 0 if there is none.
func (s *deltaSizes) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return float64(s.bytes) / float64(s.count)
}
