package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/ring"
)

// Simulated packet sizes in bytes.
const (
	// packetOverheadBytes is the size of the IPv4, UDP, QUIC and stream frame headers and of the cipher's tag in each packet.
	packetOverheadBytes = 56
	packetPayloadBytes  = 1200
	// ackBytes is the size of the packet in the other direction that acknowledges a message.
	ackBytes = 57
)

// Path describes the network from one instance to another.
type Path struct {
	// Delay is the one-way network delay.
	Delay time.Duration
	// Link is the name of the shared link on the path, or empty.
	Link string
}

// Network simulates a network in memory, for tests and measurements. It models network delay, bandwidth of shared links and
// partitions, and counts bytes. It is safe for concurrent use.
type Network struct {
	path func(from, to origin.Instance) Path

	mu sync.Mutex
	// ports is keyed by peer address.
	ports map[string]*Port
	// cut holds pairs of failure domains (from, to) that are partitioned.
	cut   map[[2]string]bool
	links map[string]*sharedLink
}

// sharedLink is one direction of a link.
type sharedLink struct {
	// bytesPerSecond is the bandwidth; 0 means unlimited.
	bytesPerSecond int64
	// busyUntil is when the last byte accepted so far has crossed the link.
	busyUntil time.Time
	bytes     int64
}

// NewNetwork returns a network without instances. The function path describes the path between two instances.
func NewNetwork(path func(from, to origin.Instance) Path) *Network {
	return &Network{path: path, ports: map[string]*Port{}, cut: map[[2]string]bool{}, links: map[string]*sharedLink{}}
}

// SetLink sets the bandwidth of a shared link in bytes per second; 0 means unlimited.
func (n *Network) SetLink(name string, bytesPerSecond int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(name).bytesPerSecond = bytesPerSecond
}

// link returns a shared link and adds it if needed. Must be called with n.mu held.
func (n *Network) link(name string) *sharedLink {
	l := n.links[name]
	if l == nil {
		l = &sharedLink{}
		n.links[name] = l
	}
	return l
}

// LinkBytes returns the number of bytes sent over a shared link.
func (n *Network) LinkBytes(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(name).bytes
}

// AddTraffic simulates other traffic on a shared link. It returns the time at which the last of the given bytes has crossed the
// link.
func (n *Network) AddTraffic(name string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.transmit(time.Now(), name, bytes)
}

// transmit adds bytes to the queue of a shared link and returns the time at which the last one has crossed it. Must be called
// with n.mu held.
func (n *Network) transmit(now time.Time, name string, bytes int) time.Time {
	l := n.link(name)
	l.bytes += int64(bytes)
	if l.bytesPerSecond == 0 {
		return now
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(int64(bytes) * int64(time.Second) / l.bytesPerSecond))
	return l.busyUntil
}

// SetPartitioned starts or ends a network partition between two failure domains, in both directions.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// Port is the Transport of one instance in a Network.
type Port struct {
	network *Network
	inst    origin.Instance
	inbound *ring.Ring[Inbound]
	bytes   atomic.Int64
	closed  atomic.Bool
}

// Attach connects an instance at its peer address and replaces an instance attached there before.
func (n *Network) Attach(inst origin.Instance) *Port {
	p := &Port{network: n, inst: inst, inbound: ring.New[Inbound](InboundQueue, ring.DropOldest)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[inst.PeerAddr] = p
	return p
}

// Close disconnects the instance. Messages in transit to it are lost.
func (p *Port) Close() {
	p.closed.Store(true)
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.ports[p.inst.PeerAddr] == p {
		delete(p.network.ports, p.inst.PeerAddr)
	}
}

// Bytes returns the number of bytes sent and received, packet overhead included.
func (p *Port) Bytes() int64 { return p.bytes.Load() }

// Receive implements Transport.
func (p *Port) Receive() *ring.Ring[Inbound] { return p.inbound }

// Send implements Transport. The message is lost if the path is partitioned or no instance is attached at the address.
func (p *Port) Send(to distribution.Address, m distribution.Message) {
	data, err := distribution.Encode(m)
	if err != nil || p.closed.Load() {
		return
	}
	size := len(data) + packetOverheadBytes*(len(data)/packetPayloadBytes+1)
	p.bytes.Add(int64(size + ackBytes))
	target, delay := p.network.route(p, to, size)
	if target == nil {
		return
	}
	time.AfterFunc(delay, func() { p.network.deliver(p, target, data, size) })
}

// route returns the port at an address and the time until a message of the given size in bytes arrives there. The port is nil
// if the message is lost.
func (n *Network) route(from *Port, to distribution.Address, size int) (*Port, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.ports[to.Addr]
	if target == nil || (to.Name != "" && target.inst.Name != to.Name) ||
		n.cut[[2]string{from.inst.FailureDomain, target.inst.FailureDomain}] {
		return nil, 0
	}
	path := n.path(from.inst, target.inst)
	if path.Link == "" {
		return target, path.Delay
	}
	now := time.Now()
	done := n.transmit(now, path.Link, size)
	if reverse := n.path(target.inst, from.inst).Link; reverse != "" {
		n.transmit(now, reverse, ackBytes)
	}
	return target, path.Delay + done.Sub(now)
}

// deliver queues a message at its receiver, unless a partition began or the receiver was closed while it was in transit.
func (n *Network) deliver(from, to *Port, data []byte, size int) {
	n.mu.Lock()
	cut := n.cut[[2]string{from.inst.FailureDomain, to.inst.FailureDomain}]
	n.mu.Unlock()
	if cut || to.closed.Load() {
		return
	}
	m, err := distribution.Decode(data)
	if err != nil {
		return
	}
	to.bytes.Add(int64(size + ackBytes))
	to.inbound.Put(Inbound{
		From:          distribution.Address{Name: from.inst.Name, Addr: from.inst.PeerAddr},
		FailureDomain: from.inst.FailureDomain, Message: m,
	})
}
