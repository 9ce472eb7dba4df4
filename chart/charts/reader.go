package charts

import "github.com/chervilwell/chervilwell/chart"

// States of the chart Reader.
const (
	ReaderFollower chart.State = "follower"
	ReaderStandby  chart.State = "standby"
	ReaderReading  chart.State = "reading"
	ReaderBackoff  chart.State = "backoff"
)

// Events of the chart Reader.
const (
	OnReaderRankedReader   chart.Event = "ranked-reader"
	OnReaderRankedStandby  chart.Event = "ranked-standby"
	OnReaderRankedFollower chart.Event = "ranked-follower"
	OnReaderReadersSilent  chart.Event = "readers-silent"
	OnReaderReadersHeard   chart.Event = "readers-heard"
	OnReaderReadFailed     chart.Event = "read-failed"
	OnReaderRetryDue       chart.Event = "retry-due"
)

// Actions of the chart Reader.
const (
	DoReaderOpenWatch        chart.Action = "open-watch"
	DoReaderCloseWatch       chart.Action = "close-watch"
	DoReaderArmSilenceTimer  chart.Action = "arm-silence-timer"
	DoReaderStopSilenceTimer chart.Action = "stop-silence-timer"
	DoReaderScheduleRetry    chart.Action = "schedule-retry"
	DoReaderCancelRetry      chart.Action = "cancel-retry"
)
