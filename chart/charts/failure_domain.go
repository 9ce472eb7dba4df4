package charts

import "github.com/chervilwell/chervilwell/chart"

// States of the chart FailureDomain.
const (
	DomainIn        chart.State = "in"
	DomainLeaving   chart.State = "leaving"
	DomainOut       chart.State = "out"
	DomainReturning chart.State = "returning"
)

// Events of the chart FailureDomain.
const (
	OnDomainTakenOut chart.Event = "taken-out"
	OnDomainReturned chart.Event = "returned"
	OnDomainDrained  chart.Event = "drained"
	OnDomainWarm     chart.Event = "warm"
)

// Actions of the chart FailureDomain.
const (
	DoDomainStopPicking  chart.Action = "stop-picking"
	DoDomainDrainTargets chart.Action = "drain-targets"
	DoDomainLimitCold    chart.Action = "limit-cold"
	DoDomainAuditOut     chart.Action = "audit-out"
	DoDomainAuditIn      chart.Action = "audit-in"
)
