package proxy

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/quarantine"
)

// crashProbeTimeout bounds the connection attempt that checks whether the target is up.
const crashProbeTimeout = 100 * time.Millisecond

// unansweredCheckInterval is the time between two checks whether the target crashes after a run without an answer.
const unansweredCheckInterval = 200 * time.Millisecond

// trialWaitFraction is the fraction of its remaining time for which a suspect waits until no other one runs at its home.
const trialWaitFraction = 0.5

// crashTracker assigns crashes of the local target to the requests in flight, and holds what is known of the requests that crash
// targets. The frontend and the gatekeeper of a process share it.
type crashTracker struct {
	mu   sync.Mutex
	list *quarantine.List
	// trial is a semaphore held by the one suspect that runs or is about to.
	trial chan struct{}

	probeMu sync.Mutex
	// probedAt is the start of the last probe, probedDown its result. They are guarded by probeMu.
	probedAt   time.Time
	probedDown bool

	// watching is set while a check is scheduled after a run without an answer.
	watching atomic.Bool
}

// withList calls f with the list and the current time. It serializes the calls.
func (t *crashTracker) withList(f func(l *quarantine.List, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.list, clock.Now())
}

// identity returns what identifies a request over the attempts of its caller, without its body. A resent request may arrive at another
// instance, but at one of the same service, since its targets are told the service of the instance as the caller.
func identity(req *request) quarantine.Request {
	in := req.incoming
	r := quarantine.Request{Caller: req.caller, Service: req.service, Route: in.Host, Method: in.Method, Target: in.RequestURI}
	if req.organisation != nil {
		r.Organisation = req.organisation.Name
	}
	return r
}

// fingerprint identifies a request whose whole body is in memory.
func fingerprint(req *request) quarantine.Fingerprint {
	r := identity(req)
	if len(req.body) > 0 {
		r.BodyDigest = xxhash.Sum64(req.body) + uint64(req.length)
	}
	return quarantine.FingerprintOf(r) &^ headOnly
}

// callLabel describes the request of a call to operators. It does not refer to the call, whose body would stay in memory with it.
type callLabel struct{ method, host, uri, caller, service, organisation string }

// String implements fmt.Stringer.
func (l *callLabel) String() string {
	label := l.method + " " + l.host + l.uri + " from " + l.caller + " to " + l.service
	if l.organisation != "" {
		label += ", organisation " + l.organisation
	}
	return label
}

// lookup returns the state of a request.
func (t *crashTracker) lookup(f quarantine.Fingerprint) (v quarantine.Verdict) {
	t.withList(func(l *quarantine.List, now time.Time) { v = l.Lookup(now, f) })
	return v
}

// apply adds a notice of another process to what is known.
func (t *crashTracker) apply(n *quarantine.Notice) {
	if n != nil {
		t.withList(func(l *quarantine.List, now time.Time) { l.Apply(now, *n) })
	}
}

// about returns what is known of a request that has been in flight at a crash, or nil.
func (t *crashTracker) about(f quarantine.Fingerprint) *quarantine.Notice {
	var n quarantine.Notice
	t.withList(func(l *quarantine.List, now time.Time) { n = l.About(now, f) })
	if n.Empty() {
		return nil
	}
	return &n
}

// refusal returns the outcome of a call that may not run because of its verdict, or nil.
func (k *Gatekeeper) refusal(c *call, v quarantine.Verdict) *outcome {
	switch {
	case v == quarantine.Quarantined:
		return noResponse(notRun, reasonQuarantined)
	case v == quarantine.Busy, v == quarantine.Suspect && !c.atHome:
		return noResponse(notRun, reasonSuspected)
	}
	return nil
}

// checkSuspect refuses a quarantined request, and a suspect that was not sent to its home.
func (k *Gatekeeper) checkSuspect(c *call) *outcome {
	k.crashes.apply(c.notice)
	return k.refusal(c, k.crashes.lookup(c.fingerprint))
}

// awaitTrial waits until no other suspect runs, if the call is a suspect. It returns the outcome if the call is refused, or nil. The
// caller must call end.
func (k *Gatekeeper) awaitTrial(ctx context.Context, c *call) (end func(), o *outcome) {
	end = func() {}
	if k.crashes.lookup(c.fingerprint) == quarantine.Unsuspected {
		return end, nil
	}
	timer := time.NewTimer(time.Duration(trialWaitFraction * float64(remaining(c.deadline))))
	defer timer.Stop()
	select {
	case k.crashes.trial <- struct{}{}:
		return func() { <-k.crashes.trial }, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return end, noResponse(notRun, failureReason(ctx, reasonSuspected))
}

// beginRun records that a call is about to be sent to the target. It returns the outcome if the call is refused, since its state has
// changed while it waited.
func (k *Gatekeeper) beginRun(c *call) (*quarantine.Run, *outcome) {
	label := &callLabel{c.method, c.host, c.uri, c.caller, k.cfg.Service, k.organisationOf(k.cfg.Holder.Load().Config, c)}
	run := &quarantine.Run{Fingerprint: c.fingerprint, Body: c.digest, Prefix: c.prefix, Label: label}
	var v quarantine.Verdict
	k.crashes.withList(func(l *quarantine.List, now time.Time) { v = l.Begin(now, run, c.atHome) })
	return run, k.refusal(c, v)
}

// endRun records the end of a run, and informs the other processes if it cleared a suspicion. If the target broke the run off, endRun
// checks first whether the target has crashed.
func (k *Gatekeeper) endRun(run *quarantine.Run, c *call, o *outcome) {
	if o.run == unknown && o.reason == reasonBroken {
		k.checkCrash(run, c.incarnation())
	}
	how := [...]quarantine.Ending{ran: quarantine.Answered, notRun: quarantine.NotRun, unknown: quarantine.Unanswered}[o.run]
	var notice quarantine.Notice
	k.crashes.withList(func(l *quarantine.List, now time.Time) { notice = l.End(now, run, how) })
	c.fingerprint = run.Fingerprint
	k.spread(notice)
	if how == quarantine.Unanswered && !run.Crashed() {
		k.watchUnanswered(c.incarnation())
	}
}

// watchUnanswered checks repeatedly whether the target crashes after a call ended without an answer, since no other call may be broken
// off by the crash.
func (k *Gatekeeper) watchUnanswered(target incarnation) {
	if !k.crashes.watching.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(unansweredCheckInterval, func() {
		k.crashes.watching.Store(false)
		unanswered := 0
		k.crashes.withList(func(l *quarantine.List, now time.Time) { unanswered = l.Unanswered(now) })
		if unanswered == 0 {
			return
		}
		if _, alive := k.pool.CloseStale(); alive == 0 {
			k.checkCrash(nil, target)
		}
		k.watchUnanswered(target)
	})
}

// checkCrash checks whether the target has crashed after it broke off a run, or left runs without an answer if run is nil. It records the
// crash once and informs the other processes.
func (k *Gatekeeper) checkCrash(run *quarantine.Run, target incarnation) {
	if k.endPlanned(target) || !k.targetDown(clock.Now()) {
		return
	}
	var notice quarantine.Notice
	k.crashes.withList(func(l *quarantine.List, now time.Time) {
		if run == nil && l.Unanswered(now) > 0 || run != nil && !run.Crashed() {
			notice = l.Crashed(now, rand.Uint64(), target.id)
		}
	})
	if !notice.Empty() {
		k.logCrash(notice)
		k.spread(notice)
	}
}

// endPlanned reports whether a target is leaving, or has been removed from the list, so that its end is no crash.
func (k *Gatekeeper) endPlanned(target incarnation) bool {
	if k.isLeaving(target) {
		return true
	}
	state := k.cfg.Holder.Load()
	t := state.TargetAt(k.cfg.Addr)
	if t != nil {
		return t.ID == target.id && !state.Usable(t)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targetID() == target.id
}

// targetDown reports whether the target refuses connections. It uses the result of an earlier probe that started after the given time.
func (k *Gatekeeper) targetDown(after time.Time) bool {
	t := &k.crashes
	t.probeMu.Lock()
	defer t.probeMu.Unlock()
	if t.probedAt.After(after) {
		return t.probedDown
	}
	t.probedAt = clock.Now()
	conn, err := dial(context.Background(), k.cfg.Addr.String(), crashProbeTimeout)
	if err == nil {
		conn.Close()
	}
	t.probedDown = errors.Is(err, syscall.ECONNREFUSED)
	return t.probedDown
}

// logCrash logs and counts a crash of the target.
func (k *Gatekeeper) logCrash(notice quarantine.Notice) {
	k.cfg.Metrics.targetCrashes.Inc()
	if !k.noticeLog.Allow() {
		return
	}
	fingerprints := make([]string, 0, len(notice.Records))
	for _, r := range notice.Records {
		fingerprints = append(fingerprints, r.Fingerprint.String())
	}
	quarantined := notice.Quarantined()
	k.cfg.Log.Warn().Strs("target", notice.Down).Int("suspects", len(notice.Records)-len(quarantined)).Int("quarantined", len(quarantined)).
		Str("fingerprints", strings.Join(fingerprints, ",")).Msg(events.TargetCrashed)
	for _, r := range quarantined {
		k.cfg.Log.Warn().Stringer("fingerprint", r.Fingerprint).Int("crashes", len(r.Crashes)).Str("what", r.Label).Msg(events.RequestQuarantined)
	}
}
