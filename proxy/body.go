package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chervilwell/chervilwell/internal/unreadbody"
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

// maxDiscardedBody is the number of bytes up to which the body of a refused call is received so that its connection can be kept.
const maxDiscardedBody = 256 << 10

// discardRest receives the rest of the body of a refused call, if it is short, before the refusal is sent: a process that gets a response while
// it is still sending closes the connection. The call may be ended meanwhile in favour of others, as any call whose body arrives.
func (c *call) discardRest() {
	if c.rest == nil || c.length > int64(len(c.body))+maxDiscardedBody {
		return
	}
	if c.setReadDeadline(time.Now().Add(unreadBodyTimeout)) == nil { // else it was ended, or the connection is closed
		_, _ = io.CopyN(io.Discard, c.rest, maxDiscardedBody) // on an error, the server closes the connection
	}
}

// respondText answers a request whose body may be unread with a text.
func respondText(w http.ResponseWriter, r *http.Request, status int, text string) {
	unreadbody.Respond(w, r)
	text += "\n"
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // fails only if the connection is closed
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
