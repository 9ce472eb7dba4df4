package gatekeeper

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Intervals of the look at the target.
const (
	// probeIdle is the time between two looks at a target that answers nothing meanwhile.
	probeIdle = 250 * time.Millisecond
	// probeDown is the time between two looks at a target that takes no connections.
	probeDown = 50 * time.Millisecond
)

// health is what is known of the target's listener. The target's own word on its health lags and is not asked for.
type health struct {
	// down says that the target refused the last connection.
	down atomic.Bool
	// answered says that a request was answered since the last look.
	answered atomic.Bool
}

// serveHealth looks at the target's listener until the context ends, so that an instance without a running target refuses
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
		if !g.health.answered.Swap(false) {
			g.observe(g.reachable(ctx))
		}
		next := probeIdle
		if g.health.down.Load() {
			next = probeDown
		}
		timer.Reset(next)
	}
}

// observe notes whether the target takes connections. One that was down has started anew and is cold.
func (g *Gatekeeper) observe(up bool) {
	if g.health.down.Swap(!up) && up {
		g.TurnCold()
	}
}

// reachable reports whether the target takes a connection. A target that is too busy to take one in time is not down.
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
