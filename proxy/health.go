package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/httppool"
)

// Timeouts and intervals of health checks. Each check occupies a slot of the target.
const (
	healthCheckTimeout = time.Second
	// minHealthCheckInterval is the minimum time between two checks.
	minHealthCheckInterval = 250 * time.Millisecond
	// healthCheckRetry is the delay after a failed check.
	healthCheckRetry = 500 * time.Millisecond
	// recheckHoldoff is the time after a target has reported that it is warm in which a failed request triggers no check.
	recheckHoldoff = time.Second
)

// health holds the results of health checks. It is guarded by Gatekeeper.mu.
type health struct {
	// checking is set while a check runs or is scheduled.
	checking bool
	// suspicions counts the indications that the target may be cold. A check covers only those before its start.
	suspicions uint64
	warmAt     time.Time
	coldUntil  time.Time
}

// assumeCold treats the target as cold until a check reports that it is warm. It must be called with k.mu held.
func (k *Gatekeeper) assumeCold(why string) {
	k.health.suspicions++
	k.gate.SetCold(clock.Now(), k.coldRate())
	k.cfg.Log.Info().Str("why", why).Msg(events.TargetMaybeCold)
	k.scheduleCheck(0)
}

// noteFailure records that the target aborted a request or accepted no connection.
func (k *Gatekeeper) noteFailure(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Now().Sub(k.health.warmAt) < recheckHoldoff {
		return
	}
	k.assumeCold(why)
}

// setColdFor treats the target as cold for d, which limits the rate of starts. It must be called with k.mu held.
func (k *Gatekeeper) setColdFor(d time.Duration) {
	until := clock.Now().Add(d)
	k.health.coldUntil = until
	k.gate.SetCold(clock.Now(), k.coldRate())
	time.AfterFunc(d, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.health.coldUntil.Equal(until) && !k.health.checking {
			k.gate.SetWarm(clock.Now())
		}
	})
}

// coldRate returns the number of starts per second that a cold target of the service can take.
func (k *Gatekeeper) coldRate() float64 {
	if c := k.cfg.Holder.Load().Config; c != nil {
		if s := c.Services[k.cfg.Service]; s != nil && s.ColdRate > 0 {
			return s.ColdRate
		}
	}
	return defaultColdRate
}

// scheduleCheck schedules a health check after a delay. It must be called with k.mu held.
func (k *Gatekeeper) scheduleCheck(delay time.Duration) {
	if k.health.checking {
		return
	}
	k.health.checking = true
	time.AfterFunc(delay, k.checkHealth)
}

// checkHealth checks the target's health once and sets whether it is cold.
func (k *Gatekeeper) checkHealth() {
	k.mu.Lock()
	seen := k.health.suspicions
	k.mu.Unlock()
	id, cold, err := k.probe()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.health.checking = false
	switch {
	case err != nil:
		k.cfg.Log.Info().Err(err).Msg(events.HealthCheckFailed)
		k.scheduleCheck(healthCheckRetry)
	case cold > 0:
		k.cfg.Log.Info().Str("target", id).Dur("cold", cold).Msg(events.TargetCold)
		k.setColdFor(cold)
	case k.health.suspicions != seen:
		k.scheduleCheck(minHealthCheckInterval)
	case remaining(k.health.coldUntil) > 0: // cold according to its entry; the timer of setColdFor ends this
	default:
		k.cfg.Log.Info().Msg(events.TargetWarm)
		k.health.warmAt = clock.Now()
		k.gate.SetWarm(k.health.warmAt)
	}
}

// ErrUnhealthy is returned if a health check is answered with a status other than 200.
var ErrUnhealthy = errors.New("target failed its health check; the check will be repeated")

// probe sends a health check and returns the target's ID and the time for which it remains cold.
func (k *Gatekeeper) probe() (id string, cold time.Duration, err error) {
	path := "/health"
	if c := k.cfg.Holder.Load().Config; c != nil {
		if s := c.Services[k.cfg.Service]; s != nil && s.HealthPath != "" {
			path = s.HealthPath
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	req := &http.Request{
		Method: http.MethodGet, Host: k.cfg.Addr.String(),
		Header: http.Header{"User-Agent": {""}}, Body: http.NoBody, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	httppool.SetTarget(req, k.cfg.Addr.String(), path)
	k.cfg.Metrics.healthChecks.Inc()
	sent := clock.Now()
	k.mu.Lock()
	k.gate.Count(sent)
	k.mu.Unlock()
	resp, err := k.pool.Do(req.WithContext(ctx))
	if err != nil {
		return "", 0, errors.Wrap(err, "health check")
	}
	k.noteNotice(sourceHealthCheck, sent, k.incarnationOf(resp.Header.Get(k.cfg.Names.TargetID)), resp.Header)
	var o outcome
	if err := k.responses.buffer(ctx, resp, &o); err != nil {
		return "", 0, errors.Wrap(err, "read health check response")
	}
	if resp.StatusCode != http.StatusOK {
		return "", 0, errors.Wrapf(ErrUnhealthy, "status %d", resp.StatusCode)
	}
	cold, err = parseColdPeriod(resp.Header.Get(k.cfg.Names.ColdFor))
	return resp.Header.Get(k.cfg.Names.TargetID), cold, err
}

// maxColdPeriod is the longest cold period that a target may report.
const maxColdPeriod = 24 * time.Hour

// ErrColdPeriod is returned if a target reports a cold period that is no number or out of range.
var ErrColdPeriod = errors.New("target reports an invalid cold period; correct the target")

// parseColdPeriod parses the cold period, in milliseconds, of the response to a health check. A warm target may omit it.
func parseColdPeriod(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms <= float64(maxColdPeriod.Milliseconds())) {
		return 0, errors.Wrapf(ErrColdPeriod, "%.80q", text)
	}
	return time.Duration(max(ms, 0) * float64(time.Millisecond)), nil
}
