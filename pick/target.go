package pick

import (
	"math"
	"time"
)

// Load is the load that a target's admission gate reports.
type Load struct {
	InFlight int
	// Limit is the number of requests that may be in flight; 0 means that the target accepts none.
	Limit  int
	Queued int
}

// Result is how a request to a target ended, as seen by the picking process.
type Result uint8

// Results of a request.
const (
	// OK is an answer of the target, including refusals by its admission gate.
	OK Result = iota + 1
	// Failed is an error returned by the target.
	Failed
	// ConnectionFailed is a connection to the instance that could not be opened or was cut.
	ConnectionFailed
	// Cancelled says nothing about the target.
	Cancelled
)

// Answer is what the end of a request shows about its target.
type Answer struct {
	Result Result
	// Load is the load reported with the answer; nil if there was none.
	Load *Load
	// Leaving is set if the instance reported that it accepts no new requests.
	Leaving bool
}

// Parameters of ejection and of the detection of unresponsive targets.
const (
	// failuresToEject is the number of consecutive errors that ejects a target.
	failuresToEject = 5
	// ejectBase is the duration of the first ejection for errors, connectionEjectBase that for connection failures;
	// each repetition doubles it, up to ejectMax.
	ejectBase           = time.Second
	connectionEjectBase = 250 * time.Millisecond
	ejectMax            = 30 * time.Second
	// ejectionResetAfter is the time without ejection after which the number of ejections is reset.
	ejectionResetAfter = time.Minute
	// recoveryPeriod is the time over which the assumed limit of a recovered target rises to the reported one.
	recoveryPeriod = 5 * time.Second
	// A target is unresponsive if unresponsiveInFlight or more requests are in flight and it has returned no answer for
	// unresponsiveDeviations above its mean, bounded by unresponsiveMin and unresponsiveMax.
	unresponsiveInFlight   = 2
	unresponsiveDeviations = 6
	unresponsiveMin        = 100 * time.Millisecond
	unresponsiveMax        = time.Second
	// answerGain is the weight of a new sample in the moving averages of answer times.
	answerGain = 1.0 / 32
	// leavingTTL is the time after which an instance's own report that it is leaving expires.
	leavingTTL = 30 * time.Second
	// MaxEjected is the maximum fraction of a service's targets that are ejected for errors at the same time. With two
	// or more targets, one may be ejected in any case.
	MaxEjected = 0.3
)

// target is the state that the process keeps of one target.
type target struct {
	inFlight   int
	load       Load
	reported   bool
	reportedAt time.Time
	// inFlightDelta is the change of this process's requests in flight since the report.
	inFlightDelta int
	failures      int
	// ejected is set from an ejection until a probe succeeds; probes are sent from ejectedUntil on.
	ejectedUntil     time.Time
	ejected          bool
	probing          bool
	connectionFailed bool
	ejections        int
	recoveredAt      time.Time
	leavingAt        time.Time
	leaving          bool
	// pendingSince is the start of the oldest request for which the target has not shown that it still answers: the
	// first one after the last answer. It is zero while none is in flight.
	pendingSince time.Time
	// mean and dev are moving averages, in seconds, of the time until any answer ends while one is outstanding.
	mean, dev float64
}

func (c *Chooser) target(name string) *target {
	t := c.targets[name]
	if t == nil {
		t = &target{}
		c.targets[name] = t
	}
	return t
}

// verdict returns the verdict that follows from the state of the target.
func (t *target) verdict(now time.Time) Reason {
	switch {
	case t.leaving && now.Sub(t.leavingAt) < leavingTTL:
		return ReportedLeaving
	case t.unresponsive(now):
		return Unresponsive
	case !t.ejected:
		return Usable
	case now.Before(t.ejectedUntil) && t.connectionFailed:
		return Unreachable
	case now.Before(t.ejectedUntil):
		return Ejected
	case t.probing:
		return Probing
	}
	return Usable
}

// unresponsive reports whether an answer has been outstanding for longer than usual without any other answer.
func (t *target) unresponsive(now time.Time) bool {
	if t.pendingSince.IsZero() || t.inFlight < unresponsiveInFlight {
		return false
	}
	expected := time.Duration((t.mean + unresponsiveDeviations*t.dev) * float64(time.Second))
	return now.Sub(t.pendingSince) > min(unresponsiveMax, max(unresponsiveMin, expected))
}

// recordAnswer updates the moving averages when an answer of the target has ended.
func (t *target) recordAnswer(now time.Time) {
	if t.pendingSince.IsZero() {
		return
	}
	took := now.Sub(t.pendingSince).Seconds()
	if t.mean == 0 {
		t.mean, t.dev = took, took/2
	}
	t.dev += answerGain * (math.Abs(took-t.mean) - t.dev)
	t.mean += answerGain * (took - t.mean)
}

// probeDue reports whether the next request to the target is a probe.
func (t *target) probeDue(now time.Time) bool { return t.ejected && !now.Before(t.ejectedUntil) }

// estimate returns the assumed load and limit of the target.
func (t *target) estimate(now time.Time, coldSlots float64) (load, limit float64) {
	if !t.reported {
		return float64(t.inFlight), coldSlots
	}
	age := now.Sub(t.reportedAt).Seconds() / loadHalfLife.Seconds()
	load = float64(t.load.InFlight+t.load.Queued)*math.Exp2(-max(0, age)) + float64(t.inFlightDelta)
	limit = float64(max(1, t.load.Limit))
	if sinceRecovery := now.Sub(t.recoveredAt); !t.recoveredAt.IsZero() && sinceRecovery < recoveryPeriod {
		limit = max(1, limit*sinceRecovery.Seconds()/recoveryPeriod.Seconds())
	}
	return max(load, float64(t.inFlight)), limit
}

// score returns the load of the target relative to its limit if it were sent one more request.
func (t *target) score(now time.Time, coldSlots float64) float64 {
	load, limit := t.estimate(now, coldSlots)
	return (load + 1) / limit
}

// RequestStarted records that a request is sent to an instance.
func (c *Chooser) RequestStarted(now time.Time, instance string) {
	t := c.target(instance)
	if t.inFlight == 0 {
		t.pendingSince = now
	}
	t.inFlight++
	t.inFlightDelta++
	if t.probeDue(now) {
		t.probing = true
	}
}

// RequestEnded records how a request to an instance ended. Call it once for each RequestStarted.
func (c *Chooser) RequestEnded(now time.Time, instance string, a Answer) {
	t, known := c.targets[instance]
	if !known {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.inFlightDelta--
	t.probing = false
	if a.Load != nil || a.Result == OK || a.Result == Failed {
		t.recordAnswer(now)
		t.pendingSince = now
	}
	if t.inFlight == 0 {
		t.pendingSince = time.Time{}
	}
	if a.Load != nil {
		c.recordLoad(now, t, *a.Load)
	}
	c.updateLeaving(now, t, a)
	switch a.Result {
	case OK:
		t.recordSuccess(now)
	case Failed:
		t.failures++
		if t.ejected || t.failures >= failuresToEject {
			c.eject(now, instance, t)
		}
	case ConnectionFailed:
		t.eject(now, connectionEjectBase, true)
	}
}

func (c *Chooser) recordLoad(now time.Time, t *target, load Load) {
	t.load, t.reported, t.reportedAt, t.inFlightDelta = load, true, now, 0
}

func (c *Chooser) updateLeaving(now time.Time, t *target, a Answer) {
	if a.Leaving {
		t.leaving, t.leavingAt = true, now
	} else if a.Load != nil && a.Load.Limit > 0 {
		t.leaving = false
	}
}

// SetLeaving records the report of an instance, received from a peer, that it is leaving or in service again.
func (c *Chooser) SetLeaving(now time.Time, instance string, leaving bool) {
	t := c.target(instance)
	t.leaving, t.leavingAt = leaving, now
}

// Reset discards all loads and ejections, as after a pause of the process.
func (c *Chooser) Reset() {
	for _, t := range c.targets {
		*t = target{inFlight: t.inFlight, mean: t.mean, dev: t.dev, leaving: t.leaving, leavingAt: t.leavingAt}
	}
}

func (t *target) recordSuccess(now time.Time) {
	t.failures = 0
	if t.ejected {
		t.ejected = false
		t.recoveredAt = now
	}
	if t.ejections > 0 && now.Sub(t.ejectedUntil) > ejectionResetAfter {
		t.ejections = 0
	}
}

// eject ejects a target for its errors unless too many of the service's targets are ejected already.
func (c *Chooser) eject(now time.Time, instance string, t *target) {
	inst, ok := c.state.Endpoints.Instance(instance)
	if !ok {
		return
	}
	instances := c.state.Endpoints.ForService(inst.Service)
	count := 0
	for _, p := range instances {
		if other := c.targets[p.Name]; other != nil && other != t && other.ejected && !other.connectionFailed {
			count++
		}
	}
	if len(instances) < 2 || count+1 > max(1, int(MaxEjected*float64(len(instances)))) {
		return
	}
	t.eject(now, ejectBase, false)
}

func (t *target) eject(now time.Time, base time.Duration, connectionFailed bool) {
	if t.ejected && now.Before(t.ejectedUntil) {
		return
	}
	t.ejectedUntil = now.Add(min(ejectMax, base<<min(t.ejections, 10)))
	t.ejections++
	t.ejected = true
	t.connectionFailed = connectionFailed
	t.failures = 0
	t.reported = false
}
