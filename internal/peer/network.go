package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/ring"
)

// Sizes that a message adds on the wire, in bytes: headers of IPv4, UDP, QUIC and its stream frame with the tag of the
// cipher for each packet, and one packet in the other direction that acknowledges the message.
const (
	packetOverhead  = 56
	packetPayload   = 1200
	acknowledgement = 57
)

// Path is the quality of the network from one place to another.
type Path struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// Link names the shared link that the path crosses; empty means none.
	Link string
}

// Network is an in-memory network for tests and measurements: transports with delay, shared bandwidth, cuts and counts.
// It is safe for concurrent use.
type Network struct {
	path func(from, to origin.Instance) Path

	mu    sync.Mutex
	ports map[string]*Port
	cut   map[[2]string]bool
	links map[string]*sharedLink
}

// sharedLink is one direction of a link.
type sharedLink struct {
	bytesPerSecond int64
	freeAt         time.Time
	bytes          int64
}

// NewNetwork returns a network whose paths are given by a function of the two instances.
func NewNetwork(path func(from, to origin.Instance) Path) *Network {
	return &Network{path: path, ports: map[string]*Port{}, cut: map[[2]string]bool{}, links: map[string]*sharedLink{}}
}

// SetLink gives a shared link its bandwidth in bytes per second; 0 means unlimited.
func (n *Network) SetLink(name string, bytesPerSecond int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(name).bytesPerSecond = bytesPerSecond
}

func (n *Network) link(name string) *sharedLink {
	l := n.links[name]
	if l == nil {
		l = &sharedLink{}
		n.links[name] = l
	}
	return l
}

// LinkBytes returns the bytes that crossed a shared link.
func (n *Network) LinkBytes(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(name).bytes
}

// Use takes up room on a shared link, as by traffic that is not between processes, and returns when its last byte is
// across.
func (n *Network) Use(name string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.use(time.Now(), name, bytes)
}

func (n *Network) use(now time.Time, name string, bytes int) time.Time {
	l := n.link(name)
	l.bytes += int64(bytes)
	if l.bytesPerSecond == 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(int64(bytes) * int64(time.Second) / l.bytesPerSecond))
	return l.freeAt
}

// SetCut cuts or heals the network between two failure domains, in both directions.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// Port is the Transport of one instance on a Network.
type Port struct {
	network *Network
	inst    origin.Instance
	inbound *ring.Ring[Inbound]
	bytes   atomic.Int64
	closed  atomic.Bool
}

// Attach connects an instance by its peer address. A later one at the same address replaces it.
func (n *Network) Attach(inst origin.Instance) *Port {
	p := &Port{network: n, inst: inst, inbound: ring.New[Inbound](InboundQueue, ring.DropOldest)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[inst.PeerAddr] = p
	return p
}

// Close disconnects the instance; what is under way to it is lost.
func (p *Port) Close() {
	p.closed.Store(true)
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.ports[p.inst.PeerAddr] == p {
		delete(p.network.ports, p.inst.PeerAddr)
	}
}

// Bytes returns the bytes sent and received.
func (p *Port) Bytes() int64 { return p.bytes.Load() }

// Receive returns the ring of messages received.
func (p *Port) Receive() *ring.Ring[Inbound] { return p.inbound }

// Send sends a message. It is lost where the path is cut or nobody listens.
func (p *Port) Send(to distribution.Address, m distribution.Message) {
	data, err := distribution.Encode(m)
	if err != nil || p.closed.Load() {
		return
	}
	size := len(data) + packetOverhead*(len(data)/packetPayload+1)
	p.bytes.Add(int64(size + acknowledgement))
	target, wait := p.network.route(p, to, size)
	if target == nil {
		return
	}
	time.AfterFunc(wait, func() { p.network.deliver(p, target, data, size) })
}

// route returns the port at an address and the time until a message of the given size arrives there, or nil.
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
	done := n.use(now, path.Link, size)
	if back := n.path(target.inst, from.inst).Link; back != "" {
		n.use(now, back, acknowledgement)
	}
	return target, path.Delay + done.Sub(now)
}

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
	to.bytes.Add(int64(size + acknowledgement))
	to.inbound.Put(Inbound{
		From:          distribution.Address{Name: from.inst.Name, Addr: from.inst.PeerAddr},
		FailureDomain: from.inst.FailureDomain, Message: m,
	})
}
