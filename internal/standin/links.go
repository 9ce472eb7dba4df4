package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/internal/periodic"
	"golang.org/x/time/rate"
)

// Link describes the network between two failure domains. Both directions have the same properties.
type Link struct {
	// Delay is the one-way network delay.
	Delay time.Duration
	// Capacity is the bandwidth, shared by all connections in the same direction; nil means unlimited.
	Capacity *Capacity
}

// Capacity is the bandwidth of a link. Each direction has its own limit.
type Capacity struct {
	forward  *rate.Limiter
	backward *rate.Limiter
}

// NewCapacity returns a capacity of bytesPerSecond in each direction.
func NewCapacity(bytesPerSecond float64) *Capacity {
	return &Capacity{
		forward:  rate.NewLimiter(rate.Limit(bytesPerSecond), maxSegmentBytes),
		backward: rate.NewLimiter(rate.Limit(bytesPerSecond), maxSegmentBytes),
	}
}

// Directed returns c if forward is true, and otherwise the same capacity with its directions swapped. Limits stay shared.
func (c *Capacity) Directed(forward bool) *Capacity {
	if forward {
		return c
	}
	return &Capacity{forward: c.backward, backward: c.forward}
}

// maxSegmentBytes is the largest number of bytes that a link forwards at once.
const maxSegmentBytes = 64 << 10

// pair is an ordered pair of failure domains: one direction of a link.
type pair struct{ from, to string }

// Links shapes connections between failure domains: network delay, bandwidth and cuts. It is safe for concurrent use.
//
// A cut delays what is sent, as packet loss with retransmission does: the bytes arrive after the link is restored, even if
// the sender has closed the connection in the meantime. Dial blocks while the link is cut.
type Links struct {
	mu      sync.Mutex
	links   map[pair]Link
	cut     map[pair]bool
	changed chan struct{}  // closed and replaced when a link is cut or restored
	bytes   map[pair]int64 // bytes forwarded in each direction
}

// NewLinks returns links without delay, bandwidth limit or cuts.
func NewLinks() *Links {
	return &Links{links: map[pair]Link{}, cut: map[pair]bool{}, changed: make(chan struct{}), bytes: map[pair]int64{}}
}

// Set sets the link between two failure domains. Existing connections keep their delay and capacity.
func (l *Links) Set(a, b string, link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[pair{a, b}] = link
	reverse := link
	if link.Capacity != nil {
		reverse.Capacity = link.Capacity.Directed(false)
	}
	l.links[pair{b, a}] = reverse
}

// SetCut cuts the link between two failure domains in both directions, or restores it.
func (l *Links) SetCut(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[pair{a, b}] = cut
	l.cut[pair{b, a}] = cut
	close(l.changed)
	l.changed = make(chan struct{})
}

// hostPair returns the key of a host in Links.cut.
func hostPair(host string) pair { return pair{from: "host", to: host} }

// Stall stops forwarding bytes from and to a host, as if its processes were paused, or resumes it.
func (l *Links) Stall(host string, on bool) { p := hostPair(host); l.SetCut(p.from, p.to, on) }

// Stalled reports whether a host is stalled.
func (l *Links) Stalled(host string) bool { p := hostPair(host); return l.Cut(p.from, p.to) }

// Cut reports whether the link between two failure domains is cut.
func (l *Links) Cut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[pair{from, to}]
}

// Delay returns the one-way network delay between two failure domains.
func (l *Links) Delay(from, to string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[pair{from, to}].Delay
}

// Bytes returns the number of bytes forwarded from one failure domain to another.
func (l *Links) Bytes(from, to string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[pair{from, to}]
}

// waitUncut waits until the link is not cut. It returns ctx.Err() if ctx is done.
func (l *Links) waitUncut(ctx context.Context, p pair) error {
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

// Dial connects from one failure domain to a TCP address in another over their link. It waits while the link is cut, and then
// for one round trip of the link. It returns ctx.Err() if ctx is done first.
func (l *Links) Dial(ctx context.Context, from, to, address string) (net.Conn, error) {
	p := pair{from, to}
	if err := l.waitUncut(ctx, p); err != nil {
		return nil, err
	}
	l.mu.Lock()
	link := l.links[p]
	l.mu.Unlock()
	if err := periodic.Sleep(ctx, 2*link.Delay); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.Shape(conn, from, to), nil
}

// Shape wraps conn so that its bytes pass over the link between two failure domains. It takes ownership of conn.
func (l *Links) Shape(conn net.Conn, from, to string) net.Conn {
	near, far := net.Pipe()
	go l.newForwarder(from, to).forward(far, conn)
	go l.newForwarder(to, from).forward(conn, far)
	return &shapedConn{Conn: near, underlying: conn}
}

// newForwarder returns the forwarder for one direction of a connection.
func (l *Links) newForwarder(from, to string) *forwarder {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.links[pair{from, to}]
	f := &forwarder{links: l, pair: pair{from, to}, delay: link.Delay}
	if link.Capacity != nil {
		f.limiter = link.Capacity.forward
	}
	return f
}

// shapedConn is the near end of a shaped connection. It reports the addresses of the underlying connection.
type shapedConn struct {
	net.Conn
	underlying net.Conn
}

func (s *shapedConn) LocalAddr() net.Addr  { return s.underlying.LocalAddr() }
func (s *shapedConn) RemoteAddr() net.Addr { return s.underlying.RemoteAddr() }

// segment is a part of a stream in transit. A segment with nil data ends the stream.
type segment struct {
	data []byte
	due  time.Time // earliest time of delivery
}

// maxSegmentsInFlight is the number of segments in transit in one direction at which the sender blocks.
const maxSegmentsInFlight = 256

// forwarder forwards one direction of a connection over its link.
type forwarder struct {
	links   *Links
	pair    pair
	host    pair // key of the host in Links.cut, or zero if there is none
	delay   time.Duration
	limiter *rate.Limiter
}

// forward copies bytes from src to dst until src ends, then closes dst. It returns when everything has been delivered.
func (f *forwarder) forward(src, dst net.Conn) {
	segments := make(chan segment, maxSegmentsInFlight)
	var delivery sync.WaitGroup
	delivery.Go(func() { f.deliver(segments, dst) })
	defer delivery.Wait()
	defer close(segments)
	buf := make([]byte, maxSegmentBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if f.limiter != nil {
				_ = f.limiter.WaitN(context.Background(), n) // n does not exceed the burst
			}
			segments <- segment{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(f.delay)}
		}
		if err != nil {
			segments <- segment{due: time.Now().Add(f.delay)}
			return
		}
	}
}

// deliver writes each segment to dst when it is due and neither the link is cut nor the host stalled. After a write error it
// closes dst and discards the remaining segments.
func (f *forwarder) deliver(segments <-chan segment, dst net.Conn) {
	failed := false
	for s := range segments {
		if failed {
			continue
		}
		time.Sleep(time.Until(s.due))
		_ = f.links.waitUncut(context.Background(), f.pair)
		_ = f.links.waitUncut(context.Background(), f.host)
		if s.data == nil {
			_ = dst.Close()
			continue
		}
		f.links.addBytes(f.pair, len(s.data))
		if _, err := dst.Write(s.data); err != nil {
			failed = true
			_ = dst.Close()
		}
	}
}

func (l *Links) addBytes(p pair, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes[p] += int64(n)
}
