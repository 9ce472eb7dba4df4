package gatekeeper

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Intervals between probes of the target.
const (
	// idleProbeInterval is used while the target is up; no probe is sent if the target responded to a request since the
	// last one.
	idleProbeInterval = 250 * time.Millisecond
	// downProbeInterval is used while the target accepts no connections.
	downProbeInterval = 50 * time.Millisecond
)

// health is the state of the target's listener. The health that the target itself reports lags and is not queried.
type health struct {
	// down is true if the target refused the last connection.
	down atomic.Bool
	// responded is true if the target responded to a request since the last probe.
	responded atomic.Bool
}

// serveHealth probes the target's listener until the context ends. An instance without a running target then refuses
// requests at once and does not look idle to others.
func (g *Gatekeeper) serveHealth(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !g.health.responded.Swap(false) {
			g.recordProbe(g.reachable(ctx))
		}
		next := idleProbeInterval
		if g.health.down.Load() {
			next = downProbeInterval
		}
		timer.Reset(next)
	}
}

// recordProbe records whether the target accepts connections. A target that was down has restarted and is cold.
func (g *Gatekeeper) recordProbe(up bool) {
	if g.health.down.Swap(!up) && up {
		g.MarkCold()
	}
}

// reachable reports whether the target accepts a connection. A target that is too busy to accept one within probeTimeout is
// not down.
func (g *Gatekeeper) reachable(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", g.config.TargetAddr)
	if err != nil {
		var timeout net.Error
		return ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout())
	}
	conn.Close()
	return true
}
