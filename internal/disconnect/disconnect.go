// Package disconnect cancels requests of an HTTP/1 server whose clients have closed their connections.
//
// net/http notices the end of a connection only while it reads from it: not before the handler has read the request body to
// its end, and no longer once the client has sent bytes beyond the request. A Monitor polls the connections of the requests in
// progress, without reading from them, so that a client that leaves is noticed at any time between the first byte of its request
// and the end of the response.
package disconnect

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/chervilwell/chervilwell/internal/socket"
)

const (
	// pollInterval is the longest time for which a disconnected client goes unnoticed.
	pollInterval = 100 * time.Millisecond
	// pollBatch is the number of connections that one system call polls.
	pollBatch = 256
	// closedEvents are the events of a connection whose client has closed it, or its sending direction, or has reset it. As
	// in net/http, a client that closes its sending direction has left.
	closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
)

type contextKey struct{}

// ConnContext makes the connection known to Monitor.Handler. It is a value for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	raw := socket.Raw(conn)
	if raw == nil {
		return ctx
	}
	var fd int32
	if err := raw.Control(func(f uintptr) { fd = int32(f) }); err != nil {
		return ctx // closed already: reading from it fails
	}
	return context.WithValue(ctx, contextKey{}, fd)
}

// Monitor watches the connections of requests in progress. It is safe for concurrent use.
//
// A connection may be closed by the server while its request is in progress, and its file descriptor be used for another one. The
// request whose connection is gone may then be cancelled; no other request is affected.
type Monitor struct {
	report func(error)

	mu     sync.Mutex
	active map[*watched]struct{}
	// timer runs poll; it is nil if no request is in progress.
	timer *time.Timer
	// failing is set while polling fails, so that only the first failure is reported.
	failing bool
}

// watched is a request in progress.
type watched struct {
	fd     int32
	cancel context.CancelFunc
}

// NewMonitor returns a monitor without connections. It calls report when polling begins to fail; until it succeeds again, clients
// that leave are noticed by net/http alone.
func NewMonitor(report func(error)) *Monitor {
	return &Monitor{report: report, active: map[*watched]struct{}{}}
}

// Handler returns a handler that calls next with a request whose context ends when the client has left. A client that left before
// its request was read ends the context from the start. The server must use ConnContext. Requests of HTTP/2 and later are passed
// on unchanged, since their connections are always read from.
func (m *Monitor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fd, ok := r.Context().Value(contextKey{}).(int32)
		if !ok || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		c := &watched{fd: fd, cancel: cancel}
		m.check([]*watched{c})
		m.add(c)
		defer m.remove(c)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (m *Monitor) add(c *watched) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active[c] = struct{}{}
	if m.timer == nil {
		m.timer = time.AfterFunc(pollInterval, m.poll)
	}
}

func (m *Monitor) remove(c *watched) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, c)
}

// poll checks all connections, and runs again after pollInterval unless there are none.
func (m *Monitor) poll() {
	m.mu.Lock()
	if len(m.active) == 0 {
		m.timer = nil
		m.mu.Unlock()
		return
	}
	all := make([]*watched, 0, len(m.active))
	for c := range m.active {
		all = append(all, c)
	}
	m.timer.Reset(pollInterval)
	m.mu.Unlock()
	for len(all) > 0 {
		n := min(len(all), pollBatch)
		m.check(all[:n])
		all = all[n:]
	}
}

// check cancels the requests whose clients have left.
func (m *Monitor) check(batch []*watched) {
	fds := make([]unix.PollFd, len(batch))
	for i, c := range batch {
		fds[i] = unix.PollFd{Fd: c.fd, Events: unix.POLLRDHUP}
	}
	_, err := unix.Poll(fds, 0)
	if errors.Is(err, unix.EINTR) {
		return // the next poll follows
	}
	m.note(err)
	for i, c := range batch {
		if fds[i].Revents&closedEvents != 0 {
			c.cancel()
		}
	}
}

// note reports the first of a series of failures.
func (m *Monitor) note(err error) {
	m.mu.Lock()
	first := err != nil && !m.failing
	m.failing = err != nil
	m.mu.Unlock()
	if first {
		m.report(errors.Wrap(err, "poll connections for clients that have left"))
	}
}
