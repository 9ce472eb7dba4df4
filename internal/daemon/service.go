package daemon

import (
	"context"
	"time"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/snapshot"
)

// serviceInterval is the time between two looks at the configuration in force.
const serviceInterval = 50 * time.Millisecond

// admissionControl is what the service duty needs of admission.
type admissionControl interface {
	Load() headers.LoadState
	TurnCold()
}

// serviceWatch follows what operators take out of service and return. It walks the chart of the own failure domain and
// audits changes of all. It is pure: the duty feeds it and carries out nothing itself.
type serviceWatch struct {
	failureDomain string
	service       string
	machine       *chart.Machine
	gate          admissionControl
	trail         *audit.Trail
	domains       map[string]bool
	revision      uint64
}

func newServiceWatch(failureDomain, service string, gate admissionControl, trail *audit.Trail) (*serviceWatch, error) {
	c, err := charts.Load(charts.FailureDomain,
		charts.DoDomainStopPicking, charts.DoDomainDrainTargets, charts.DoDomainLimitCold, charts.DoDomainAuditOut, charts.DoDomainAuditIn)
	if err != nil {
		return nil, err
	}
	return &serviceWatch{failureDomain: failureDomain, service: service, machine: chart.NewMachine(c), gate: gate, trail: trail}, nil
}

// observe compares the configuration in force with the one seen before.
func (w *serviceWatch) observe(now time.Time, config *snapshot.Config) {
	if config == nil {
		return
	}
	if revision := config.Version().Revision; revision != w.revision {
		w.revision = revision
		w.compare(now, config)
	}
	w.progress(now, config)
}

// compare audits every failure domain whose state changed and fires the event of the own one. The first configuration of a
// process is no change; only an own failure domain that is out already takes the chart there.
func (w *serviceWatch) compare(now time.Time, config *snapshot.Config) {
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

// progress fires the events that follow from the target's load.
func (w *serviceWatch) progress(now time.Time, config *snapshot.Config) {
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

func (w *serviceWatch) fire(now time.Time, event chart.Event) {
	from := w.machine.State()
	actions, err := w.machine.Fire(event)
	if err != nil {
		return // the chart does not take the event in this state, as when it was fired already
	}
	w.trail.Add(audit.Record{
		Time: now, Kind: audit.StateChange, Subject: "failure domain " + w.failureDomain, Revision: w.revision,
		Detail: string(from) + " -> " + string(w.machine.State()) + " on " + string(event),
	})
	for _, a := range actions {
		w.act(now, a)
	}
}

// act carries out an action of the chart. Picking and admission read the snapshot at each request, so that stopping both
// needs no further step here.
func (w *serviceWatch) act(now time.Time, action chart.Action) {
	switch action {
	case charts.DoDomainLimitCold:
		w.gate.TurnCold()
	case charts.DoDomainAuditOut:
		w.audit(now, w.failureDomain, false)
	case charts.DoDomainAuditIn:
		w.audit(now, w.failureDomain, true)
	}
}

func (w *serviceWatch) audit(now time.Time, failureDomain string, in bool) {
	rec := audit.Record{Time: now, Kind: audit.OutOfService, Subject: failureDomain, Revision: w.revision, Detail: "taken out of service by operators"}
	if in {
		rec.Kind, rec.Detail = audit.InService, "returned to service; its targets begin at the cold limit"
	}
	w.trail.Add(rec)
}

// serviceDuty feeds a service watch until its context ends.
type serviceDuty struct {
	holder *snapshot.Holder
	watch  *serviceWatch
}

// String names the duty in the supervisor's events.
func (s *serviceDuty) String() string { return "service" }

// Serve looks at the configuration in force until the context ends.
func (s *serviceDuty) Serve(ctx context.Context) error {
	return duty.Every(ctx, serviceInterval, func(now time.Time) { s.watch.observe(now, s.holder.Load().Config) })
}
