package charts

import "github.com/chervilwell/chervilwell/chart"

// States of the chart Process.
const (
	ProcessStarting chart.State = "starting"
	ProcessJoining  chart.State = "joining"
	ProcessServing  chart.State = "serving"
	ProcessDraining chart.State = "draining"
	ProcessStopped  chart.State = "stopped"
)

// Events of the chart Process.
const (
	OnProcessListening       chart.Event = "listening"
	OnProcessSnapshotInForce chart.Event = "snapshot-in-force"
	OnProcessStop            chart.Event = "stop"
	OnProcessDrained         chart.Event = "drained"
	OnProcessDrainLimit      chart.Event = "drain-limit"
	OnProcessPaused          chart.Event = "paused"
)

// Actions of the chart Process.
const (
	DoProcessBeginJoin       chart.Action = "begin-join"
	DoProcessAnnounceServing chart.Action = "announce-serving"
	DoProcessAnnounceLeaving chart.Action = "announce-leaving"
	DoProcessStopAdmission   chart.Action = "stop-admission"
	DoProcessCancelRunning   chart.Action = "cancel-running"
	DoProcessCloseListeners  chart.Action = "close-listeners"
)
