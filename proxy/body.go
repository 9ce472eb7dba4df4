package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections between instances and to local targets.
const (
	// unackedTimeout is the TCP user timeout: a connection with data unacknowledged for this long is closed. It tolerates
	// two consecutive lost packets.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive peer on an idle connection within about
	// three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// LimitUnreadBody limits the time for which the server reads a body that no handler reads, so that it can be answered.
func LimitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only if the connection is closed
	}
}

// setBody sets the body of req to the body of c.
func setBody(req *http.Request, c *call) {
	switch {
	case c.passing != nil:
		req.Body = io.NopCloser(c.passing)
	case c.rest != nil:
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(c.body), c.rest))
	case len(c.body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	default:
		req.Body = http.NoBody
	}
}

// dial connects to an instance or target, with keep-alive probes and a TCP user timeout so that an unreachable peer is
// detected.
func dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// closeHook is a body that calls onClose after it is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	defer c.onClose()
	return c.ReadCloser.Close()
}
