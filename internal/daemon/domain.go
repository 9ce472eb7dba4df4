package daemon

import (
	"context"
	"time"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/snapshot"
)

// domainCheckInterval is the interval between checks of the configuration in force.
const domainCheckInterval = 50 * time.Millisecond

// admissionControl is the part of the gatekeeper that a domainWatch uses.
type admissionControl interface {
	Load() headers.LoadState
	MarkCold()
}

// domainWatch tracks which failure domains operators take out of service and return. It runs the state chart of the local
// failure domain and audits changes of all failure domains. It has no goroutine or clock of its own: domainMonitor calls
// observe with the current time. It is not safe for concurrent use.
type domainWatch struct {
	failureDomain string
	service       string
	machine       *chart.Machine
	gate          admissionControl
	trail         *audit.Trail
	domains       map[string]bool
	revision      uint64
}

func newDomainWatch(failureDomain, service string, gate admissionControl, trail *audit.Trail) (*domainWatch, error) {
	c, err := charts.Load(charts.FailureDomain,
		charts.DoDomainStopPicking, charts.DoDomainDrainTargets, charts.DoDomainLimitCold, charts.DoDomainAuditOut, charts.DoDomainAuditIn)
	if err != nil {
		return nil, err
	}
	return &domainWatch{failureDomain: failureDomain, service: service, machine: chart.NewMachine(c), gate: gate, trail: trail}, nil
}

// observe compares config with the one of the previous call, if its revision differs, and checks the load of the target.
// A nil config is ignored.
func (w *domainWatch) observe(now time.Time, config *snapshot.Config) {
	if config == nil {
		return
	}
	if revision := config.Version().Revision; revision != w.revision {
		w.revision = revision
		w.compare(now, config)
	}
	w.checkLoad(now, config)
}

// compare audits every failure domain whose state changed and fires the event for the local one. The first configuration
// after startup counts as no change, except that an event fires if the local failure domain is already out of service.
func (w *domainWatch) compare(now time.Time, config *snapshot.Config) {
	first := w.domains == nil
	seen := map[string]bool{}
	for _, name := range config.FailureDomains() {
		in := config.DomainInService(name)
		seen[name] = in
		before, known := w.domains[name]
		changed := known && before != in || first && !in
		switch {
		case name == w.failureDomain && changed:
			w.fire(now, domainEvent(in))
		case known && before != in:
			w.audit(now, name, in)
		}
	}
	w.domains = seen
}

func domainEvent(in bool) chart.Event {
	if in {
		return charts.OnDomainReturned
	}
	return charts.OnDomainTakenOut
}

// checkLoad fires the events that depend on the load of the target: drained and warm.
func (w *domainWatch) checkLoad(now time.Time, config *snapshot.Config) {
	load := w.gate.Load()
	switch w.machine.State() {
	case charts.DomainLeaving:
		if load.InFlight == 0 && load.Queued == 0 {
			w.fire(now, charts.OnDomainDrained)
		}
	case charts.DomainReturning:
		if s := config.Service(w.service); s != nil && load.Limit >= s.Limits.Slots {
			w.fire(now, charts.OnDomainWarm)
		}
	}
}

func (w *domainWatch) fire(now time.Time, event chart.Event) {
	from := w.machine.State()
	actions, err := w.machine.Fire(event)
	if err != nil {
		return // the chart does not accept the event in this state, for example because it was fired before
	}
	w.trail.Add(audit.Record{
		Time: now, Kind: audit.StateChange, Subject: "failure domain " + w.failureDomain, Revision: w.revision,
		Detail: string(from) + " -> " + string(w.machine.State()) + " on " + string(event),
	})
	for _, a := range actions {
		w.execute(now, a)
	}
}

// execute runs an action of the chart. The actions that stop picking and drain targets need no code here, since picking and
// admission read the snapshot on each request.
func (w *domainWatch) execute(now time.Time, action chart.Action) {
	switch action {
	case charts.DoDomainLimitCold:
		w.gate.MarkCold()
	case charts.DoDomainAuditOut:
		w.audit(now, w.failureDomain, false)
	case charts.DoDomainAuditIn:
		w.audit(now, w.failureDomain, true)
	}
}

func (w *domainWatch) audit(now time.Time, failureDomain string, in bool) {
	rec := audit.Record{Time: now, Kind: audit.OutOfService, Subject: failureDomain, Revision: w.revision, Detail: "taken out of service by operators"}
	if in {
		rec.Kind, rec.Detail = audit.InService, "returned to service; its targets begin at the cold limit"
	}
	w.trail.Add(rec)
}

// domainMonitor is the supervised task that passes the configuration in force to a domainWatch.
type domainMonitor struct {
	holder *snapshot.Holder
	watch  *domainWatch
}

// String returns the name of the task in supervisor events.
func (m *domainMonitor) String() string { return "service" }

// Serve checks the configuration in force every domainCheckInterval until ctx is done.
func (m *domainMonitor) Serve(ctx context.Context) error {
	return periodic.Every(ctx, domainCheckInterval, func(now time.Time) { m.watch.observe(now, m.holder.Load().Config) })
}
