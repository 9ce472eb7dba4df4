package operator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/snapshot"
)

// updateInterval is the interval between comparisons of the catalogue in force. If several revisions come into force within
// one interval, only the difference between the first and the last catalogue is counted.
const updateInterval = time.Second

// Budget counts the catalogue changes of each organisation per day (UTC), as far as this process observes them. The counts are
// lost on a restart. A budget never blocks a change: if an organisation exceeds its budget, one audit record is added that day.
//
// Budget implements suture.Service and is safe for concurrent use.
type Budget struct {
	holder *snapshot.Holder
	trail  *audit.Trail

	mu      sync.Mutex       // guards the fields below
	day     time.Time        // start of the day counted
	changes map[string]int   // by organisation
	warned  map[string]bool  // organisations with an audit record today
	last    *snapshot.Config // catalogue of the last Update
}

// NewBudget returns a budget with all counts 0. It registers the metrics of budget and trail with registerer, which may be nil.
func NewBudget(holder *snapshot.Holder, trail *audit.Trail, registerer prometheus.Registerer) *Budget {
	b := &Budget{holder: holder, trail: trail}
	b.reset(time.Time{})
	if registerer != nil {
		registerer.MustRegister(&budgetCollector{budget: b, trail: trail})
	}
	return b
}

// String returns the name of the service in the supervisor's events.
func (b *Budget) String() string { return "budget" }

// Serve calls Update once a second until ctx is done and returns the error of ctx.
func (b *Budget) Serve(ctx context.Context) error {
	return periodic.Every(ctx, updateInterval, b.Update)
}

// Update counts the differences between the catalogue in force and that of the last call. The first catalogue counts as no
// change.
func (b *Budget) Update(now time.Time) {
	config := b.holder.Load().Config
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetDaily(now)
	if config == nil || config == b.last {
		return
	}
	previous := b.last
	b.last = config
	if previous == nil {
		return
	}
	difference, err := catalogue.DiffDocuments(previous.Document(), config.Document())
	if err != nil {
		return // unreachable: both documents were decoded before they came into force
	}
	for _, o := range difference.Organisations {
		b.changes[o.Organisation] += o.Changes
		b.warn(now, o, config)
	}
}

// warn adds an audit record if the organisation exceeds its budget for the first time today. It must be called with b.mu held.
func (b *Budget) warn(now time.Time, o catalogue.OrganisationChanges, config *snapshot.Config) {
	count := b.changes[o.Organisation]
	if o.DailyBudget == 0 || count <= o.DailyBudget || b.warned[o.Organisation] {
		return
	}
	b.warned[o.Organisation] = true
	b.trail.Add(audit.Record{
		Time: now, Kind: audit.Budget, Subject: fmt.Sprintf("organisation %q", o.Organisation),
		Detail:   fmt.Sprintf("%d changes today exceed the budget of %d; they are in force regardless", count, o.DailyBudget),
		Remedy:   "bundle the organisation's changes, or raise changesPerDay",
		Revision: config.Version().Revision, Digest: config.Version().Digest.String(),
	})
}

// CountToday returns the number of changes of an organisation on the day of now (UTC).
func (b *Budget) CountToday(now time.Time, organisation string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetDaily(now)
	return b.changes[organisation]
}

// resetDaily resets the counts if now is on a later day than the counts. It must be called with b.mu held. An earlier day is
// ignored, so that a clock set back does not reset the counts.
func (b *Budget) resetDaily(now time.Time) {
	if day := now.UTC().Truncate(24 * time.Hour); day.After(b.day) {
		b.reset(day)
	}
}

// reset starts counting for day. It must be called with b.mu held, or before b is shared.
func (b *Budget) reset(day time.Time) {
	b.day = day
	b.changes = map[string]int{}
	b.warned = map[string]bool{}
}

var (
	changesDesc = prometheus.NewDesc("chervilwell_organisation_changes_today",
		"Catalogue changes of an organisation that this process saw today (UTC).", []string{"organisation"}, nil)
	recordsDesc = prometheus.NewDesc("chervilwell_audit_records_total", "Audit records by kind.", []string{"kind"}, nil)
)

// budgetCollector collects the metrics of a budget and its audit trail.
type budgetCollector struct {
	budget *Budget
	trail  *audit.Trail
}

// Describe implements prometheus.Collector.
func (c *budgetCollector) Describe(out chan<- *prometheus.Desc) {
	out <- changesDesc
	out <- recordsDesc
}

// Collect implements prometheus.Collector.
func (c *budgetCollector) Collect(out chan<- prometheus.Metric) {
	for _, kind := range audit.Kinds() {
		out <- prometheus.MustNewConstMetric(recordsDesc, prometheus.CounterValue, float64(c.trail.Count(kind)), string(kind))
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	for name, n := range c.budget.changes {
		out <- prometheus.MustNewConstMetric(changesDesc, prometheus.GaugeValue, float64(n), name)
	}
}
