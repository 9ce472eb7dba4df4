package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
)

// recordRequest counts a finished request and logs it with the factors that decided its outcome.
func (f *Frontend) recordRequest(req *request, o *outcome, status int, retryAfter time.Duration) {
	kind, route := kindNone, ""
	if req.route != nil {
		kind, route = kindNames[req.route.Kind], req.route.Name
	}
	reason := o.reason
	if reason == "" {
		reason = reasonNone
	}
	took := clock.Now().Sub(req.arrived)
	f.cfg.Metrics.observeRequest(kind, strconv.Itoa(status), reason, took)
	id := req.incoming.Header.Get(f.cfg.Names.RequestID)
	f.mu.Lock()
	tried := strings.Join(req.tried, ",")
	f.mu.Unlock()
	log := &f.cfg.Log
	switch {
	case o.run == notRun && f.cfg.LogBudget.Allow():
		log.Warn().Str("request", id).Str("route", route).Str("service", req.service).Int("status", status).Str("reason", reason).
			Str("tried", tried).Dur("took", took).Dur("left", req.remaining()).Dur("back", retryAfter).Uint64("config", req.configVersion()).
			Dur("age", f.cfg.StoreAge()).Msg(events.RequestRefused)
	case o.run != notRun && status >= http.StatusInternalServerError && f.cfg.LogBudget.Allow():
		log.Warn().Str("request", id).Str("route", route).Str("service", req.service).Str("target", o.target).Int("status", status).
			Str("reason", reason).Str("tried", tried).Dur("took", took).Dur("left", req.remaining()).Uint64("config", req.configVersion()).
			Dur("age", f.cfg.StoreAge()).Msg(events.RequestFailed)
	case o.run == ran && status < http.StatusInternalServerError && f.cfg.LogBudget.Sample():
		log.Info().Str("request", id).Str("route", route).Str("service", req.service).Str("target", o.target).Int("status", status).
			Str("tried", tried).Dur("took", took).Dur("left", req.remaining()).Uint64("config", req.configVersion()).
			Dur("age", f.cfg.StoreAge()).Msg(events.RequestAnswered)
	}
}

// remaining returns the time until the request's deadline, or 0 if it has none yet.
func (req *request) remaining() time.Duration {
	if req.deadline.IsZero() {
		return 0
	}
	return remaining(req.deadline)
}

// configVersion returns the version of the configuration that applies to the request, or 0 if there is none.
func (req *request) configVersion() uint64 {
	if req.state == nil || req.state.Config == nil {
		return 0
	}
	return req.state.Config.Version
}

var runNames = [...]string{ran: "ran", notRun: "not-run", unknown: "unknown"}

// logAttempt logs an attempt without a successful response, with the load that had been expected at its target.
func (f *Frontend) logAttempt(req *request, choice balance.Choice, o *outcome) {
	if o.run == ran && o.status < http.StatusInternalServerError || !f.cfg.LogBudget.Allow() {
		return
	}
	var load gate.Load
	if o.load != nil {
		load = *o.load
	}
	f.cfg.Log.Info().Str("request", req.incoming.Header.Get(f.cfg.Names.RequestID)).Str("target", choice.Target.ID).
		Str("domain", choice.Target.FailureDomain).Str("run", runNames[o.run]).Str("reason", o.reason).Bool("arrived", o.arrived).
		Dur("wait", choice.Wait).Dur("known", choice.Age).Int("running", load.Running).Int("waiting", load.Waiting).Int("slots", load.Slots).
		Dur("left", req.remaining()).Uint64("revision", o.revision).Msg(events.AttemptEnded)
}

// logCall logs calls that the gate refused or the target failed.
func (k *Gatekeeper) logCall(c *call, o *outcome) {
	if o.run == ran || !k.cfg.LogBudget.Allow() {
		return
	}
	id := k.requestID(c)
	if o.run == unknown || o.err != nil {
		k.cfg.Log.Warn().Str("request", id).Str("route", c.route).Stringer("fingerprint", c.fingerprint).Str("reason", o.reason).Bool("arrived", o.arrived).
			Dur("took", o.took).Dur("left", remaining(c.deadline)).Err(o.err).Msg(events.CallFailed)
		return
	}
	k.cfg.Log.Info().Str("request", id).Str("route", c.route).Int("priority", c.priority).Str("reason", o.reason).
		Int("running", o.load.Running).Int("waiting", o.load.Waiting).Int("slots", o.load.Slots).Dur("wait", o.load.Wait).
		Bool("cold", o.load.Cold).Dur("left", remaining(c.deadline)).Dur("back", o.retryAfter).Uint64("revision", o.revision).Msg(events.CallRefused)
}

// logCallerLeft logs a request whose caller left at the given time, before its response.
func (f *Frontend) logCallerLeft(req *request, at time.Time) {
	if !f.cfg.LogBudget.Allow() {
		return
	}
	f.mu.Lock()
	tried := strings.Join(req.tried, ",")
	f.mu.Unlock()
	f.cfg.Log.Info().Str("request", req.incoming.Header.Get(f.cfg.Names.RequestID)).Str("route", req.route.Name).
		Str("kind", kindNames[req.route.Kind]).Str("service", req.service).Str("tried", tried).Dur("took", at.Sub(req.arrived)).
		Dur("after", clock.Now().Sub(at)).Msg(events.CallerLeft)
}

// recordAbandoned observes and logs a call, which began at start, that was abandoned at the given time.
func (k *Gatekeeper) recordAbandoned(c *call, o *outcome, start, at time.Time) {
	end := start.Add(o.gatekeeperTime)
	sent := end.Add(-o.took)
	queued, ran := after(at, start, sent), time.Duration(0)
	if o.arrived {
		ran = after(at, sent, end)
	}
	k.cfg.Metrics.observeAbandoned(c.retryable, o.arrived, queued, ran)
	if !k.cfg.LogBudget.Allow() {
		return
	}
	k.cfg.Log.Info().Str("request", k.requestID(c)).Str("route", c.route).Bool("retryable", c.retryable).Bool("arrived", o.arrived).
		Dur("took", at.Sub(start)).Dur("queued", queued).Dur("ran", ran).Msg(events.CallAbandoned)
}

// requestID returns the ID of the request of a call, or "" if it has none.
func (k *Gatekeeper) requestID(c *call) string {
	if values := c.header[k.cfg.Names.RequestID]; len(values) > 0 {
		return values[0]
	}
	return ""
}
