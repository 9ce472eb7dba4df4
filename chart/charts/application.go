package charts

import "github.com/chervilwell/chervilwell/chart"

// States of the chart Application.
const (
	ApplicationIdle     chart.State = "idle"
	ApplicationReceived chart.State = "received"
	ApplicationChecking chart.State = "checking"
	ApplicationApplied  chart.State = "applied"
	ApplicationRefused  chart.State = "refused"
)

// Events of the chart Application.
const (
	OnApplicationOffered    chart.Event = "offered"
	OnApplicationBeginCheck chart.Event = "begin-check"
	OnApplicationOlder      chart.Event = "older"
	OnApplicationConflict   chart.Event = "conflict"
	OnApplicationAccepted   chart.Event = "accepted"
	OnApplicationInvalid    chart.Event = "invalid"
	OnApplicationFinished   chart.Event = "finished"
)

// Actions of the chart Application.
const (
	DoApplicationCheck               chart.Action = "check"
	DoApplicationSwap                chart.Action = "swap"
	DoApplicationAuditApplied        chart.Action = "audit-applied"
	DoApplicationAuditRefused        chart.Action = "audit-refused"
	DoApplicationAuditRevertedSource chart.Action = "audit-reverted-source"
	DoApplicationAuditConflict       chart.Action = "audit-conflict"
)
