package operator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/snapshot"
)

// lookInterval is the time between two looks at the catalogue in force. Revisions that come and go between two looks count
// by what differs in the end.
const lookInterval = time.Second

// Budget counts each organisation's changes of a day (UTC) as this process sees them. It keeps nothing across a restart. It
// never stands in the way of a change: an organisation over its budget gets one audit record a day.
//
// It is a suture service and safe for concurrent use.
type Budget struct {
	holder *snapshot.Holder
	trail  *audit.Trail

	mu      sync.Mutex
	day     time.Time
	changes map[string]int
	warned  map[string]bool
	last    *snapshot.Config
}

// NewBudget returns a budget that has counted nothing. The metrics go to registerer, which may be nil.
func NewBudget(holder *snapshot.Holder, trail *audit.Trail, registerer prometheus.Registerer) *Budget {
	b := &Budget{holder: holder, trail: trail}
	b.reset(time.Time{})
	if registerer != nil {
		registerer.MustRegister(&collector{budget: b, trail: trail})
	}
	return b
}

// String names the service in the supervisor's events.
func (b *Budget) String() string { return "budget" }

// Serve looks at the catalogue in force until ctx ends.
func (b *Budget) Serve(ctx context.Context) error {
	return duty.Every(ctx, lookInterval, b.Look)
}

// Look counts what differs from the catalogue of the last look.
func (b *Budget) Look(now time.Time) {
	config := b.holder.Load().Config
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
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
		return // not reached: both documents were decoded before they came into force
	}
	for _, o := range difference.Organisations {
		b.changes[o.Organisation] += o.Changes
		b.warn(now, o, config)
	}
}

// warn adds an audit record when an organisation goes over its budget.
func (b *Budget) warn(now time.Time, o catalogue.OrganisationChanges, config *snapshot.Config) {
	count := b.changes[o.Organisation]
	if o.PerDay == 0 || count <= o.PerDay || b.warned[o.Organisation] {
		return
	}
	b.warned[o.Organisation] = true
	b.trail.Add(audit.Record{
		Time: now, Kind: audit.Budget, Subject: fmt.Sprintf("organisation %q", o.Organisation),
		Detail:   fmt.Sprintf("%d changes today exceed the budget of %d; they are in force all the same", count, o.PerDay),
		Remedy:   "bundle the organisation's changes, or raise changesPerDay",
		Revision: config.Version().Revision, Digest: config.Version().Digest.String(),
	})
}

// Today returns the changes of an organisation counted on the day of now.
func (b *Budget) Today(now time.Time, organisation string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	return b.changes[organisation]
}

// roll begins a new count on a later day. A clock that goes back changes nothing.
func (b *Budget) roll(now time.Time) {
	if day := now.UTC().Truncate(24 * time.Hour); day.After(b.day) {
		b.reset(day)
	}
}

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

// collector gives the figures of budget and audit trail.
type collector struct {
	budget *Budget
	trail  *audit.Trail
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	out <- changesDesc
	out <- recordsDesc
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	for _, kind := range audit.Kinds() {
		out <- prometheus.MustNewConstMetric(recordsDesc, prometheus.CounterValue, float64(c.trail.Count(kind)), string(kind))
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	for name, n := range c.budget.changes {
		out <- prometheus.MustNewConstMetric(changesDesc, prometheus.GaugeValue, float64(n), name)
	}
}
