// Package shutdown decides which requests a stopping process accepts, so that all accepted requests end within its grace period.
//
// The package does no I/O and reads no clock: the caller passes the time.
package shutdown

import "time"

// Limits of the stop of a process.
const (
	// callerDrainTime is the time after the stop signal for which callers may not know of the stop: the platform probes readiness
	// every second and reacts to the second failure.
	callerDrainTime = 2500 * time.Millisecond
	// endLead is the time before the end of the grace period by which all accepted requests have ended. It covers the response on
	// its way to the caller and the end of the process.
	endLead = 400 * time.Millisecond
	// objectiveFactor is the number of latency objectives that have to be left for a request that is accepted with less than its
	// own time. Nearly all requests end within it.
	objectiveFactor = 2
)

// Window is the time for which a stopping process serves. It is immutable.
type Window struct {
	drained, end time.Time
}

// NewWindow returns the window of a process that was told to stop at start and is ended by force after grace.
func NewWindow(start time.Time, grace time.Duration) *Window {
	end := start.Add(max(grace-endLead, 0))
	drained := start.Add(callerDrainTime)
	if end.Before(drained) {
		drained = end
	}
	return &Window{drained: drained, end: end}
}

// End returns the time by which all accepted requests have ended.
func (w *Window) End() time.Time { return w.end }

// Drained returns the time from which no caller should send requests any more.
func (w *Window) Drained() time.Time { return w.drained }

// Fits reports whether a request with the given deadline ends within the window.
func (w *Window) Fits(deadline time.Time) bool { return !deadline.After(w.end) }

// Admit decides on a request of a caller that arrives at now. It returns the deadline of the request, or false if the request must be
// refused.
//
// A request that may take longer than the window is refused, since it would be cut off while it runs. While callers cannot know of the
// stop, it is accepted instead with the end of the window as its deadline, which its target is told, if far more than its latency
// objective is left: callers have nowhere else to go.
func (w *Window) Admit(now, deadline time.Time, objective time.Duration) (time.Time, bool) {
	switch {
	case w.Fits(deadline):
		return deadline, true
	case now.Before(w.drained) && objective > 0 && w.Fits(now.Add(objectiveFactor*objective)):
		return w.end, true
	}
	return time.Time{}, false
}
