package proxy

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
)

// Figures of health checks, which cost the target a slot.
const (
	healthTimeout = time.Second
	// healthPause is the least time between two checks.
	healthPause = 250 * time.Millisecond
	// healthRetry is the time until a target that did not answer a check is asked again.
	healthRetry = 500 * time.Millisecond
	// trustBreak is the time for which a target that has just said that it is warm is not asked again for one broken request.
	trustBreak = time.Second
)

// health is what is known of the target's own word. The gatekeeper's lock guards it.
type health struct {
	// checking is set while a check runs or waits for its time.
	checking bool
	// suspected counts the signs that the target may be cold; a check answers those that came before it.
	suspected uint64
	warmAt    time.Time
	coldUntil time.Time
}

// suspect takes the target to be cold until it says otherwise. The lock is held.
func (k *Gatekeeper) suspect(why string) {
	k.health.suspected++
	k.gate.SetCold(k.coldRate())
	k.cfg.Log.Info().Str("why", why).Msg(events.TargetSuspect)
	k.check(0)
}

// broken notes that the target broke off a request or took no connection.
func (k *Gatekeeper) broken(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Now().Sub(k.health.warmAt) < trustBreak {
		return
	}
	k.suspect(why)
}

// coldFor bounds starts for a time. The lock is held.
func (k *Gatekeeper) coldFor(d time.Duration) {
	until := clock.Now().Add(d)
	k.health.coldUntil = until
	k.gate.SetCold(k.coldRate())
	time.AfterFunc(d, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.health.coldUntil.Equal(until) && !k.health.checking {
			k.gate.SetWarm(clock.Now())
		}
	})
}

// coldRate returns the rate that the service's cold targets bear.
func (k *Gatekeeper) coldRate() float64 {
	if c := k.cfg.Holder.Load().Config; c != nil {
		if s := c.Services[k.cfg.Service]; s != nil && s.ColdRate > 0 {
			return s.ColdRate
		}
	}
	return assumedColdRate
}

// check asks the target after a pause. The lock is held.
func (k *Gatekeeper) check(after time.Duration) {
	if k.health.checking {
		return
	}
	k.health.checking = true
	time.AfterFunc(after, k.ask)
}

// ask checks the target's health once and decides whether it is cold.
func (k *Gatekeeper) ask() {
	k.mu.Lock()
	signs := k.health.suspected
	k.mu.Unlock()
	id, cold, err := k.probe()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.health.checking = false
	switch {
	case err != nil:
		k.cfg.Log.Info().Err(err).Msg(events.CheckFailed)
		k.check(healthRetry)
	case cold > 0:
		k.cfg.Log.Info().Str("target", id).Dur("cold", cold).Msg(events.TargetCold)
		k.coldFor(cold)
	case k.health.suspected != signs:
		k.check(healthPause)
	case left(k.health.coldUntil) > 0: // its entry says that it is cold; the timer ends that
	default:
		k.cfg.Log.Info().Msg(events.TargetWarm)
		k.health.warmAt = clock.Now()
		k.gate.SetWarm(k.health.warmAt)
	}
}

// ErrUnhealthy says that a target answered a health check with a failure.
var ErrUnhealthy = errors.New("target fails its health check; it is asked again")

// probe asks the target for its identity and for how long it stays cold.
func (k *Gatekeeper) probe() (id string, cold time.Duration, err error) {
	path := "/health"
	if c := k.cfg.Holder.Load().Config; c != nil {
		if s := c.Services[k.cfg.Service]; s != nil && s.HealthPath != "" {
			path = s.HealthPath
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: k.cfg.Addr.String(), Opaque: path}, Host: k.cfg.Addr.String(),
		Header: http.Header{"User-Agent": {""}}, Body: http.NoBody, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	k.cfg.Metrics.probes.Inc()
	resp, err := k.pool.Do(req.WithContext(ctx))
	if err != nil {
		return "", 0, errors.Wrap(err, "health check")
	}
	var o outcome
	if err := readWhole(resp, &o); err != nil {
		return "", 0, errors.Wrap(err, "health check's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return "", 0, errors.Wrapf(ErrUnhealthy, "status %d", resp.StatusCode)
	}
	ms, err := strconv.ParseFloat(resp.Header.Get(k.cfg.Names.ColdFor), 64)
	if err != nil {
		ms = 0 // a warm target need not say anything
	}
	return resp.Header.Get(k.cfg.Names.TargetID), time.Duration(ms * float64(time.Millisecond)), nil
}
