package gatekeeper

import (
	"context"
	"net"
	"time"

	"github.com/chervilwell/chervilwell/internal/httppool"
)

// Limits of the connections to the target.
const (
	dialTimeout          = 2 * time.Second
	idleTimeout          = 20 * time.Second
	maxTargetHeaderBytes = 64 << 10
)

// newTargetPool returns a pool that opens at most the given number of connections to the target.
func newTargetPool(addr string, connections int) *httppool.Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return httppool.New(httppool.Config{
		Dial:           func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		MaxConns:       connections,
		MaxIdle:        connections,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxTargetHeaderBytes,
	})
}
