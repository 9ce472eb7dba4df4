package distribution

import (
	"time"

	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/document"
)

// The charts that this package interprets. They are embedded, so a chart that names an action which is not carried out here
// keeps the program from starting.
var (
	readerChart = mustLoad(
		charts.Reader, charts.DoReaderOpenWatch, charts.DoReaderCloseWatch, charts.DoReaderArmSilenceTimer,
		charts.DoReaderStopSilenceTimer, charts.DoReaderScheduleRetry, charts.DoReaderCancelRetry,
	)
	applicationChart = mustLoad(
		charts.Application, charts.DoApplicationCheck, charts.DoApplicationSwap, charts.DoApplicationAuditApplied,
		charts.DoApplicationAuditRefused, charts.DoApplicationAuditRevertedSource, charts.DoApplicationAuditConflict,
	)
)

func mustLoad(name charts.Name, known ...chart.Action) *chart.Chart {
	c, err := charts.Load(name, known...)
	if err != nil {
		panic(err)
	}
	return c
}

// fire takes a transition and returns its actions. A chart that lacks the transition is reported and nothing is done.
func (c *Core) fire(m *chart.Machine, event chart.Event) []chart.Action {
	actions, err := m.Fire(event)
	if err != nil {
		c.emit(Report{Kind: ReportRefused, Subject: m.Chart().Name(), Detail: err.Error(), Remedy: "correct the chart"})
	}
	return actions
}

// followRole leads the chart of the reader to the role that the process has now.
func (c *Core) followRole(now time.Time, reads bool) {
	m := c.reader.machine
	switch {
	case reads && m.State() == charts.ReaderFollower:
		c.readerEvent(now, charts.OnReaderRankedReader)
	case reads && m.State() == charts.ReaderStandby:
		c.readerEvent(now, charts.OnReaderReadersSilent)
	case reads && m.State() == charts.ReaderBackoff && !now.Before(c.reader.manifest.nextAt):
		c.readerEvent(now, charts.OnReaderRetryDue)
	case reads:
	case c.tree.root && c.phase == Joined:
		if m.State() != charts.ReaderStandby {
			c.readerEvent(now, charts.OnReaderRankedStandby)
			c.forgetWatch()
		}
	case m.State() != charts.ReaderFollower:
		c.readerEvent(now, charts.OnReaderRankedFollower)
		c.forgetWatch()
	}
}

// readerEvent fires an event of the reader and carries out its actions.
func (c *Core) readerEvent(now time.Time, event chart.Event) {
	for _, action := range c.fire(c.reader.machine, event) {
		switch action {
		case charts.DoReaderOpenWatch:
			c.openWatch()
		case charts.DoReaderCloseWatch:
			c.closeWatch()
		case charts.DoReaderArmSilenceTimer:
			c.armSilence(now)
		case charts.DoReaderStopSilenceTimer:
			c.tree.deferred = time.Time{}
		case charts.DoReaderScheduleRetry:
			w := c.reader.manifest
			w.nextAt = c.retryAfter(now, &w.delay)
		case charts.DoReaderCancelRetry:
			c.reader.manifest.nextAt = now
		}
	}
}

// armSilence puts off the reads of the platform by this process for as long as others may be about to read.
func (c *Core) armSilence(now time.Time) {
	if until := now.Add(c.cfg.Timing.Settle); until.After(c.tree.deferred) {
		c.tree.deferred = until
	}
}

// apply leads a verified document that follows the one held through its check and, if it passes, into force. It reports
// whether it is in force.
func (c *Core) apply(now time.Time, doc, previous *document.Document, origin string) bool {
	m := c.application
	c.fire(m, charts.OnApplicationOffered)
	var err error
	for _, action := range c.fire(m, charts.OnApplicationBeginCheck) {
		if action == charts.DoApplicationCheck {
			err = c.check(now, doc, previous)
		}
	}
	event := charts.OnApplicationAccepted
	if err != nil {
		event = charts.OnApplicationInvalid
	}
	for _, action := range c.fire(m, event) {
		switch action {
		case charts.DoApplicationSwap:
			c.store.put(doc)
		case charts.DoApplicationAuditApplied:
			c.emit(Applied{Document: doc, Previous: previous})
		case charts.DoApplicationAuditRefused:
			c.refuse(doc, origin, err)
		}
	}
	c.fire(m, charts.OnApplicationFinished)
	return err == nil
}

// turnDown leads an offer that must not follow the version held to its audit.
func (c *Core) turnDown(event chart.Event, name string, next document.Version, origin string) {
	m := c.application
	c.fire(m, charts.OnApplicationOffered)
	for _, action := range c.fire(m, event) {
		switch action {
		case charts.DoApplicationAuditConflict:
			c.reportOnce(compact(name, next), Report{
				Kind: ReportConflict, Subject: name, Version: next, Detail: origin + " offers the revision held with another digest",
				Remedy: "publish the wanted content under a higher revision",
			})
		case charts.DoApplicationAuditRevertedSource:
			c.reportOnce(compact(name, next), Report{
				Kind: ReportOlder, Subject: name, Version: next, Detail: origin + " offers an older revision than the one held",
				Remedy: "wait until the source has caught up, or publish the content under a higher revision",
			})
		}
	}
	c.fire(m, charts.OnApplicationFinished)
}
