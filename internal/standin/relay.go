package standin

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptBackoff is the pause after a failed accept.
const acceptBackoff = 10 * time.Millisecond

// Relay listens on a free port of 127.0.0.1 and forwards connections to another address over a link.
type Relay struct {
	listener net.Listener
	links    *Links
	from, to string
	host     string
	target   string // address that connections are forwarded to

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewRelay returns a relay for connections from one failure domain to target, the address of host in another. The relay
// forwards nothing while the link is cut or the host is stalled.
func (l *Links) NewRelay(from, to, host, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	r := &Relay{listener: listener, links: l, from: from, to: to, host: host, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close closes the listener and all connections of the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff) // for example, too many open files
			continue
		}
		go r.serve(near)
	}
}

// serve connects to the target and forwards bytes in both directions until both are closed. It closes the connection if
// the target can't be reached.
func (r *Relay) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.track(near, far) {
		return
	}
	defer r.untrack(near, far)
	var wg sync.WaitGroup
	out, in := r.links.newForwarder(r.from, r.to), r.links.newForwarder(r.to, r.from)
	out.host, in.host = hostPair(r.host), hostPair(r.host)
	wg.Go(func() { out.forward(near, far) })
	wg.Go(func() { in.forward(far, near) })
	wg.Wait()
}

// track adds connections to the ones that Close closes. It closes them and returns false if the relay is closed already.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
		if r.closed {
			_ = c.Close()
		}
	}
	return !r.closed
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}
