package proxy

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
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

// crashTracker assigns crashes of the local target to the requests in flight.
type crashTracker struct {
	mu   sync.Mutex
	list *quarantine.List

	probeMu sync.Mutex
	// probedAt is the start of the last probe, probedDown its result. They are guarded by probeMu.
	probedAt   time.Time
	probedDown bool
}

// withList calls f with the list and the current time. It serializes the calls.
func (t *crashTracker) withList(f func(l *quarantine.List, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.list, clock.Now())
}

// fingerprint identifies a request by its caller's service, method, host, path, query and body. Of a body that is not buffered only
// the start and the length count.
func (f *Frontend) fingerprint(req *request) quarantine.Fingerprint {
	in := req.incoming
	r := quarantine.Request{Service: f.cfg.Service, Route: in.Host, Method: in.Method, Target: in.RequestURI}
	if len(req.body) > 0 || req.rest != nil {
		r.BodyDigest = xxhash.Sum64(req.body) + uint64(req.length)
	}
	return quarantine.FingerprintOf(r)
}

// String describes the request of a call to operators.
func (c *call) String() string { return c.method + " " + c.host + c.uri + " from " + c.caller }

// beginRun records that a call is about to be sent to the target.
func (k *Gatekeeper) beginRun(c *call) *quarantine.Run {
	run := &quarantine.Run{Fingerprint: c.fingerprint, Label: c}
	k.crashes.withList(func(l *quarantine.List, now time.Time) { l.Begin(now, run, true) })
	return run
}

// endRun records the end of a run. If the target broke it off, it checks first whether the target has crashed.
func (k *Gatekeeper) endRun(run *quarantine.Run, c *call, o *outcome) {
	if o.run == unknown && o.reason == reasonBroken {
		k.checkCrash(run, c)
	}
	k.crashes.withList(func(l *quarantine.List, now time.Time) { l.End(now, run, o.run == ran) })
}

// checkCrash checks whether the target has crashed after it broke off a run, and records the crash once.
func (k *Gatekeeper) checkCrash(run *quarantine.Run, c *call) {
	if k.endPlanned(c) || !k.targetDown(clock.Now()) {
		return
	}
	var notice quarantine.Notice
	k.crashes.withList(func(l *quarantine.List, now time.Time) {
		if !run.Crashed() {
			notice = l.Crashed(now, rand.Uint64(), c.targetID)
		}
	})
	if !notice.Empty() {
		k.logCrash(notice)
	}
}

// endPlanned reports whether the target of a call is leaving, or has been removed from the list, so that its end is no crash.
func (k *Gatekeeper) endPlanned(c *call) bool {
	if k.isLeaving(c.incarnation()) {
		return true
	}
	state := k.cfg.Holder.Load()
	t := state.TargetAt(k.cfg.Addr)
	if t != nil {
		return c.matches(t) && !state.Usable(t)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targetID() == c.targetID
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
