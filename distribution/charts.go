package distribution

import (
	"time"

	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/document"
)

// The charts that this package interprets. They are embedded; a chart with an action that is not implemented here makes
// the program panic at start.
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

// fire fires an event and returns the actions of the transition. If the chart has no such transition, fire reports it and
// returns no actions.
func (c *Core) fire(m *chart.Machine, event chart.Event) []chart.Action {
	actions, err := m.Fire(event)
	if err != nil {
		c.emit(Report{Kind: ReportRefused, Subject: m.Chart().Name(), Detail: err.Error(), Remedy: "correct the chart"})
	}
	return actions
}

// updateReaderRole moves the reader chart to the current role. reads is whether this process should watch the manifest
// now.
func (c *Core) updateReaderRole(now time.Time, reads bool) {
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
			c.dropWatch()
		}
	case m.State() != charts.ReaderFollower:
		c.readerEvent(now, charts.OnReaderRankedFollower)
		c.dropWatch()
	}
}

// readerEvent fires an event of the reader chart and performs its actions.
func (c *Core) readerEvent(now time.Time, event chart.Event) {
	for _, action := range c.fire(c.reader.machine, event) {
		switch action {
		case charts.DoReaderOpenWatch:
			c.openWatch()
		case charts.DoReaderCloseWatch:
			c.closeWatch()
		case charts.DoReaderArmSilenceTimer:
			c.deferReads(now)
		case charts.DoReaderStopSilenceTimer:
			c.tree.readNotBefore = time.Time{}
		case charts.DoReaderScheduleRetry:
			w := c.reader.manifest
			w.nextAt = c.nextRetry(now, &w.delay)
		case charts.DoReaderCancelRetry:
			c.reader.manifest.nextAt = now
		}
	}
}

// deferReads postpones this process's reads of the platform until at least Timing.Settle after now, because another
// process may be about to read.
func (c *Core) deferReads(now time.Time) {
	if until := now.Add(c.cfg.Timing.Settle); until.After(c.tree.readNotBefore) {
		c.tree.readNotBefore = until
	}
}

// apply checks a verified document that supersedes the stored one, and stores it if the check passes. It reports whether
// the document was stored.
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

// rejectOffer reports an offered version that must not replace the stored one. event is the chart event for the reason:
// older or conflict.
func (c *Core) rejectOffer(event chart.Event, name string, next document.Version, origin string) {
	m := c.application
	c.fire(m, charts.OnApplicationOffered)
	for _, action := range c.fire(m, event) {
		switch action {
		case charts.DoApplicationAuditConflict:
			c.reportOnce(compactVersion(name, next), Report{
				Kind: ReportConflict, Subject: name, Version: next, Detail: origin + " offers the stored revision with another digest",
				Remedy: "publish the intended content under a higher revision",
			})
		case charts.DoApplicationAuditRevertedSource:
			c.reportOnce(compactVersion(name, next), Report{
				Kind: ReportOlder, Subject: name, Version: next, Detail: origin + " offers an older revision than the stored one",
				Remedy: "wait until the source has caught up, or publish the content under a higher revision",
			})
		}
	}
	c.fire(m, charts.OnApplicationFinished)
}
