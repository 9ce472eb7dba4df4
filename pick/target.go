package pick

import (
	"math"
	"time"
)

// Load is what a target's admission says of itself.
type Load struct {
	InFlight int
	// Limit is the number of requests that may be in flight; 0 means that the target takes none.
	Limit  int
	Queued int
}

// Result is how a request to a target ended, as the picking process saw it.
type Result uint8

// The results.
const (
	// OK is an answer of the target, refusals by admission included.
	OK Result = iota + 1
	// Failed is an error that the target answered.
	Failed
	// Broken is a connection to the instance that could not be opened or was cut.
	Broken
	// Cancelled says nothing about the target.
	Cancelled
)

// Answer is what a request taught about its target.
type Answer struct {
	Result Result
	// Load is the load that came with the answer; nil means none did.
	Load *Load
	// Leaving says that the instance said it takes no new work.
	Leaving bool
}

// Bounds of the outlier detection.
const (
	// failuresToEject is the number of errors in a row that ejects a target.
	failuresToEject = 5
	// ejectBase is the first ejection's time for errors, brokenBase that for connections; each repetition doubles it.
	ejectBase  = time.Second
	brokenBase = 250 * time.Millisecond
	ejectMax   = 30 * time.Second
	// forgiveAfter is the time without ejection after which repetitions are forgotten.
	forgiveAfter = time.Minute
	// returnPeriod is the time over which a returned target's assumed limit rises to the reported one.
	returnPeriod = 5 * time.Second
	// A target is silent when it owes silentInFlight answers or more and has given none for silentDeviations above its mean,
	// between silentLeast and silentMost.
	silentInFlight   = 2
	silentDeviations = 6
	silentLeast      = 100 * time.Millisecond
	silentMost       = time.Second
	// answerGain is the part of a new time in the moving averages of answers.
	answerGain = 1.0 / 32
	// leavingLife is the time for which an instance's own word that it is leaving is believed.
	leavingLife = 30 * time.Second
	// MaxEjected is the part of a service's targets that may be ejected for errors at once; one of two or more always may.
	MaxEjected = 0.3
)

// target is what the process knows of one target.
type target struct {
	inFlight   int
	load       Load
	reported   bool
	reportedAt time.Time
	// since is the change of the own requests in flight after the report.
	since    int
	failures int
	// until is the end of the present ejection, trial that after it a probe decides.
	until      time.Time
	trial      bool
	probing    bool
	broken     bool
	ejections  int
	returnedAt time.Time
	leavingAt  time.Time
	leaving    bool
	// asked is the start of the oldest request of which it is not known whether the target still answers: the first one
	// after the last answer. It is zero while none is in flight.
	asked time.Time
	// mean and dev are moving averages of the time until some answer ends while one is owed, in seconds.
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

// verdict returns whether the target itself may be picked.
func (t *target) verdict(now time.Time) Reason {
	switch {
	case t.leaving && now.Sub(t.leavingAt) < leavingLife:
		return SaidLeaving
	case t.silent(now):
		return Silent
	case !t.trial:
		return Usable
	case now.Before(t.until) && t.broken:
		return Unreachable
	case now.Before(t.until):
		return Ejected
	case t.probing:
		return Probing
	}
	return Usable
}

// silent reports whether the target owes an answer for longer than it usually takes, and has given no other meanwhile.
func (t *target) silent(now time.Time) bool {
	if t.asked.IsZero() || t.inFlight < silentInFlight {
		return false
	}
	usual := time.Duration((t.mean + silentDeviations*t.dev) * float64(time.Second))
	return now.Sub(t.asked) > min(silentMost, max(silentLeast, usual))
}

// answered takes the time at which some answer of the target ended.
func (t *target) answered(now time.Time) {
	if t.asked.IsZero() {
		return
	}
	took := now.Sub(t.asked).Seconds()
	if t.mean == 0 {
		t.mean, t.dev = took, took/2
	}
	t.dev += answerGain * (math.Abs(took-t.mean) - t.dev)
	t.mean += answerGain * (took - t.mean)
}

// onTrial reports whether the next request to the target is a probe.
func (t *target) onTrial(now time.Time) bool { return t.trial && !now.Before(t.until) }

// estimate returns the assumed load and limit of the target.
func (t *target) estimate(now time.Time, coldSlots float64) (load, limit float64) {
	if !t.reported {
		return float64(t.inFlight), coldSlots
	}
	age := now.Sub(t.reportedAt).Seconds() / loadHalfLife.Seconds()
	load = float64(t.load.InFlight+t.load.Queued)*math.Exp2(-max(0, age)) + float64(t.since)
	limit = float64(max(1, t.load.Limit))
	if back := now.Sub(t.returnedAt); !t.returnedAt.IsZero() && back < returnPeriod {
		limit = max(1, limit*back.Seconds()/returnPeriod.Seconds())
	}
	return max(load, float64(t.inFlight)), limit
}

// score returns the load of the target if it got one request more, against its limit.
func (t *target) score(now time.Time, coldSlots float64) float64 {
	load, limit := t.estimate(now, coldSlots)
	return (load + 1) / limit
}

// Started tells that a request is sent to an instance.
func (c *Chooser) Started(now time.Time, instance string) {
	t := c.target(instance)
	if t.inFlight == 0 {
		t.asked = now
	}
	t.inFlight++
	t.since++
	if t.onTrial(now) {
		t.probing = true
	}
}

// Ended tells how a request to an instance ended. Call it once for each Started.
func (c *Chooser) Ended(now time.Time, instance string, a Answer) {
	t, known := c.targets[instance]
	if !known {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.since--
	t.probing = false
	if a.Load != nil || a.Result == OK || a.Result == Failed {
		t.answered(now)
		t.asked = now
	}
	if t.inFlight == 0 {
		t.asked = time.Time{}
	}
	if a.Load != nil {
		c.report(now, t, *a.Load)
	}
	c.sawLeaving(now, t, a)
	switch a.Result {
	case OK:
		t.succeeded(now)
	case Failed:
		t.failures++
		if t.trial || t.failures >= failuresToEject {
			c.eject(now, instance, t)
		}
	case Broken:
		t.eject(now, brokenBase, true)
	}
}

func (c *Chooser) report(now time.Time, t *target, load Load) {
	t.load, t.reported, t.reportedAt, t.since = load, true, now, 0
}

func (c *Chooser) sawLeaving(now time.Time, t *target, a Answer) {
	if a.Leaving {
		t.leaving, t.leavingAt = true, now
	} else if a.Load != nil && a.Load.Limit > 0 {
		t.leaving = false
	}
}

// SetLeaving records an instance's own word, received from a peer, that it is leaving or back.
func (c *Chooser) SetLeaving(now time.Time, instance string, leaving bool) {
	t := c.target(instance)
	t.leaving, t.leavingAt = leaving, now
}

// Reset forgets all loads and ejections, as after a pause of the process.
func (c *Chooser) Reset() {
	for _, t := range c.targets {
		*t = target{inFlight: t.inFlight, mean: t.mean, dev: t.dev, leaving: t.leaving, leavingAt: t.leavingAt}
	}
}

func (t *target) succeeded(now time.Time) {
	t.failures = 0
	if t.trial {
		t.trial = false
		t.returnedAt = now
	}
	if t.ejections > 0 && now.Sub(t.until) > forgiveAfter {
		t.ejections = 0
	}
}

// eject takes a target out for its errors unless too many of the service's targets are out already.
func (c *Chooser) eject(now time.Time, instance string, t *target) {
	inst, ok := c.state.Endpoints.Instance(instance)
	if !ok {
		return
	}
	peers := c.state.Endpoints.ForService(inst.Service)
	out := 0
	for _, p := range peers {
		if other := c.targets[p.Name]; other != nil && other != t && other.trial && !other.broken {
			out++
		}
	}
	if len(peers) < 2 || out+1 > max(1, int(MaxEjected*float64(len(peers)))) {
		return
	}
	t.eject(now, ejectBase, false)
}

func (t *target) eject(now time.Time, base time.Duration, broken bool) {
	if t.trial && now.Before(t.until) {
		return
	}
	t.until = now.Add(min(ejectMax, base<<min(t.ejections, 10)))
	t.ejections++
	t.trial = true
	t.broken = broken
	t.failures = 0
	t.reported = false
}
