package proxy

import (
	"net/http"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/ratelimit"
)

// Notice is what a target states about itself in the header of a response.
type Notice struct {
	// RateLimit is the rate of requests that the target accepts while it says so.
	RateLimit ratelimit.Limit
	// Leaving is set by a target that is about to stop and accepts no new requests.
	Leaving bool
}

// Limits of the log lines about notices, which a target may change with each response. They do not share the budget of the lines
// about requests: an overload that exhausts it would hide why requests are refused.
const (
	noticeLinesPerSecond = 5
	noticeBurstLines     = 20
)

// Sources of a notice, for logs.
const (
	sourceResponse    = "response"
	sourceHealthCheck = "health check"
)

// incarnation identifies one life of a target.
type incarnation struct {
	id        string
	startedMs int64
}

// noteNotice records what the header of a response to a request sent at sent states about a target.
func (k *Gatekeeper) noteNotice(source string, sent time.Time, from incarnation, h http.Header) {
	notice, err := k.cfg.DecodeNotice(h)
	if err != nil {
		if k.noticeLog.Allow() {
			k.cfg.Log.Warn().Str("source", source).Err(err).Msg(events.NoticeInvalid)
		}
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteRateLimit(source, sent, notice.RateLimit)
	if notice.Leaving && !k.isLeaving(from) {
		k.leavingTarget.Store(&from)
		k.gate.RefuseWaiting()
		k.cfg.Log.Info().Str("target", from.id).Str("source", source).Msg(events.TargetAnnouncedLeaving)
	}
}

// isLeaving reports whether a target has stated that it is leaving. Leaving is final for an incarnation.
func (k *Gatekeeper) isLeaving(target incarnation) bool {
	leaving := k.leavingTarget.Load()
	return leaving != nil && *leaving == target
}

// noteRateLimit records the rate limit stated in a response. It must be called with k.mu held.
func (k *Gatekeeper) noteRateLimit(source string, sent time.Time, stated ratelimit.Limit) {
	before, now := k.rateLimit.Limit(), clock.Now()
	if !k.rateLimit.Observe(sent, now, stated) {
		return
	}
	k.gate.SetRateLimit(now, stated)
	k.scheduleTick()
	if !k.noticeLog.Allow() {
		return
	}
	if !stated.Limited {
		k.cfg.Log.Info().Str("target", k.targetID()).Float64("before", before.PerSecond).Str("source", source).Msg(events.RateLimitEnded)
		return
	}
	k.cfg.Log.Info().Str("target", k.targetID()).Float64("rate", stated.PerSecond).Float64("before", before.PerSecond).
		Str("source", source).Msg(events.RateLimitStated)
}

// targetID returns the ID of the local target, or "" if its entry has not been read. It must be called with k.mu held.
func (k *Gatekeeper) targetID() string {
	if k.entry == nil {
		return ""
	}
	return k.entry.ID
}

// incarnationOf returns the incarnation of the local target with the given ID. Its start is 0 if the entry has not been read.
func (k *Gatekeeper) incarnationOf(id string) incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entry == nil || k.entry.ID != id {
		return incarnation{id: id}
	}
	return incarnation{id: id, startedMs: k.entry.StartedMs}
}
