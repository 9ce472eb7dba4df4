package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/duty"
	"golang.org/x/time/rate"
)

// Link is the quality of the network between two failure domains, the same in each direction.
type Link struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// Capacity is shared by all connections of one direction; nil means unlimited.
	Capacity *Capacity
}

// Capacity is the bandwidth of a link, for each direction on its own.
type Capacity struct {
	forward  *rate.Limiter
	backward *rate.Limiter
}

// NewCapacity returns a capacity in bytes per second and direction.
func NewCapacity(bytesPerSecond float64) *Capacity {
	return &Capacity{
		forward:  rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes),
		backward: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes),
	}
}

// Facing returns the capacity as seen from one side; with false the directions are swapped.
func (c *Capacity) Facing(forward bool) *Capacity {
	if forward {
		return c
	}
	return &Capacity{forward: c.backward, backward: c.forward}
}

// chunkBytes is the largest piece that a link moves at once.
const chunkBytes = 64 << 10

// pair names two failure domains in order.
type pair struct{ from, to string }

// Links shapes connections between failure domains: delay, bandwidth and cuts. It is safe for concurrent use.
//
// A cut holds back what is sent, as lost packets and their retransmission would: the bytes arrive after the link has
// healed, also if their sender has closed the connection meanwhile. New connections are not made while a link is cut.
type Links struct {
	mu      sync.Mutex
	links   map[pair]Link
	cut     map[pair]bool
	changed chan struct{} // closed and replaced when a link is cut or healed
	bytes   map[pair]int64
}

// NewLinks returns links without delay or limit.
func NewLinks() *Links {
	return &Links{links: map[pair]Link{}, cut: map[pair]bool{}, changed: make(chan struct{}), bytes: map[pair]int64{}}
}

// Set sets the link between two failure domains. Connections that exist keep their delay.
func (l *Links) Set(a, b string, link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[pair{a, b}] = link
	reverse := link
	if link.Capacity != nil {
		reverse.Capacity = link.Capacity.Facing(false)
	}
	l.links[pair{b, a}] = reverse
}

// SetCut cuts the link between two failure domains in both directions, or heals it.
func (l *Links) SetCut(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[pair{a, b}] = cut
	l.cut[pair{b, a}] = cut
	close(l.changed)
	l.changed = make(chan struct{})
}

// hostPair names a host in the table of cuts.
func hostPair(host string) pair { return pair{from: "host", to: host} }

// Stall holds back all bytes from and to a host, as the pause of its processes would, or lets them go on.
func (l *Links) Stall(host string, on bool) { p := hostPair(host); l.SetCut(p.from, p.to, on) }

// Stalled reports whether a host is stalled.
func (l *Links) Stalled(host string) bool { p := hostPair(host); return l.Cut(p.from, p.to) }

// Cut reports whether the link between two failure domains is cut.
func (l *Links) Cut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[pair{from, to}]
}

// Delay returns the one-way latency between two failure domains.
func (l *Links) Delay(from, to string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[pair{from, to}].Delay
}

// Bytes returns the bytes moved from one failure domain to another.
func (l *Links) Bytes(from, to string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[pair{from, to}]
}

// passable waits until the link isn't cut.
func (l *Links) passable(ctx context.Context, p pair) error {
	for {
		l.mu.Lock()
		cut, changed := l.cut[p], l.changed
		l.mu.Unlock()
		if !cut {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dial connects from one failure domain to an address in another over their link.
func (l *Links) Dial(ctx context.Context, from, to, address string) (net.Conn, error) {
	p := pair{from, to}
	if err := l.passable(ctx, p); err != nil {
		return nil, err
	}
	l.mu.Lock()
	link := l.links[p]
	l.mu.Unlock()
	if err := duty.Sleep(ctx, 2*link.Delay); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.Shape(conn, from, to), nil
}

// Shape returns a connection whose bytes cross the link between two failure domains.
func (l *Links) Shape(conn net.Conn, from, to string) net.Conn {
	near, far := net.Pipe()
	go l.mover(from, to).move(far, conn)
	go l.mover(to, from).move(conn, far)
	return &shapedConn{Conn: near, real: conn}
}

// mover returns what carries one direction of a connection.
func (l *Links) mover(from, to string) *mover {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.links[pair{from, to}]
	m := &mover{links: l, pair: pair{from, to}, delay: link.Delay}
	if link.Capacity != nil {
		m.limiter = link.Capacity.forward
	}
	return m
}

// shapedConn is the near end of a shaped connection, with the addresses of the real one.
type shapedConn struct {
	net.Conn
	real net.Conn
}

func (s *shapedConn) LocalAddr() net.Addr  { return s.real.LocalAddr() }
func (s *shapedConn) RemoteAddr() net.Addr { return s.real.RemoteAddr() }

// parcel is a piece of a stream on its way. A parcel without data ends the stream.
type parcel struct {
	data []byte
	due  time.Time
}

// parcelsInFlight bounds the pieces on their way in one direction; the sender waits while it is reached.
const parcelsInFlight = 256

// mover carries one direction of a connection over its link.
type mover struct {
	links   *Links
	pair    pair
	host    pair // a host that may be stalled, or zero
	delay   time.Duration
	limiter *rate.Limiter
}

// move carries bytes from src to dst until src ends, then closes dst. It returns when all has been delivered.
func (m *mover) move(src, dst net.Conn) {
	parcels := make(chan parcel, parcelsInFlight)
	var delivery sync.WaitGroup
	delivery.Go(func() { m.deliver(parcels, dst) })
	defer delivery.Wait()
	defer close(parcels)
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if m.limiter != nil {
				_ = m.limiter.WaitN(context.Background(), n) // n is at most the burst
			}
			parcels <- parcel{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(m.delay)}
		}
		if err != nil {
			parcels <- parcel{due: time.Now().Add(m.delay)}
			return
		}
	}
}

// deliver writes parcels when they are due and the link isn't cut.
func (m *mover) deliver(parcels <-chan parcel, dst net.Conn) {
	failed := false
	for p := range parcels {
		if failed {
			continue
		}
		time.Sleep(time.Until(p.due))
		_ = m.links.passable(context.Background(), m.pair)
		_ = m.links.passable(context.Background(), m.host)
		if p.data == nil {
			_ = dst.Close()
			continue
		}
		m.links.count(m.pair, len(p.data))
		if _, err := dst.Write(p.data); err != nil {
			failed = true
			_ = dst.Close()
		}
	}
}

func (l *Links) count(p pair, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes[p] += int64(n)
}
