package standin

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptBackoff is the pause after a connection could not be accepted.
const acceptBackoff = 10 * time.Millisecond

// Relay listens on a free port of 127.0.0.1 and passes connections on to another address over a link.
type Relay struct {
	listener net.Listener
	links    *Links
	from, to string
	host     string
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  bool
}

// NewRelay returns a relay for connections from one failure domain to the address of a host in another.
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

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
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
			time.Sleep(acceptBackoff) // such as too many open files
			continue
		}
		go r.pass(near)
	}
}

// pass joins a connection to one of the target's, or closes it if the target takes none.
func (r *Relay) pass(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.keep(near, far) {
		return
	}
	defer r.drop(near, far)
	var wait sync.WaitGroup
	out, in := r.links.mover(r.from, r.to), r.links.mover(r.to, r.from)
	out.host, in.host = hostPair(r.host), hostPair(r.host)
	wait.Go(func() { out.move(near, far) })
	wait.Go(func() { in.move(far, near) })
	wait.Wait()
}

func (r *Relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
		if r.done {
			_ = c.Close()
		}
	}
	return !r.done
}

func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}
