package charts

import "github.com/chervilwell/chervilwell/chart"

// States of the chart Target.
const (
	TargetUnknown     chart.State = "unknown"
	TargetCold        chart.State = "cold"
	TargetWarming     chart.State = "warming"
	TargetWarm        chart.State = "warm"
	TargetSuspect     chart.State = "suspect"
	TargetQuarantined chart.State = "quarantined"
	TargetLeaving     chart.State = "leaving"
	TargetGone        chart.State = "gone"
)

// Events of the chart Target.
const (
	OnTargetProbeOk        chart.Event = "probe-ok"
	OnTargetStarted        chart.Event = "started"
	OnTargetAnswerOk       chart.Event = "answer-ok"
	OnTargetRampDone       chart.Event = "ramp-done"
	OnTargetSlow           chart.Event = "slow"
	OnTargetError          chart.Event = "error"
	OnTargetCrash          chart.Event = "crash"
	OnTargetRecovered      chart.Event = "recovered"
	OnTargetQuarantineOver chart.Event = "quarantine-over"
	OnTargetLeave          chart.Event = "leave"
	OnTargetGone           chart.Event = "gone"
)

// Actions of the chart Target.
const (
	DoTargetLimitCold   chart.Action = "limit-cold"
	DoTargetBeginRamp   chart.Action = "begin-ramp"
	DoTargetLimitFull   chart.Action = "limit-full"
	DoTargetLimitCut    chart.Action = "limit-cut"
	DoTargetLimitZero   chart.Action = "limit-zero"
	DoTargetProbe       chart.Action = "probe"
	DoTargetRecordCrash chart.Action = "record-crash"
)
