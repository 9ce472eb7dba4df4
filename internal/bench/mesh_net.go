package bench

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
)

// platformDomain is the failure domain under which links refer to the platform.
const platformDomain = "platform"

// relay returns the address at which instances of the failure domain from reach another instance.
func (m *Mesh) relay(from string, to origin.Instance) (string, error) {
	for _, n := range m.Nodes {
		if n.Instance.Name == to.Name {
			return n.relayFrom(from)
		}
	}
	return "", errors.Errorf("instance %q is not in the mesh", to.Name)
}

// relayFrom returns the address of the relay that connects a failure domain to the node. It starts the relay if necessary.
func (n *Node) relayFrom(from string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.relays[from]; r != nil {
		return r.Address(), nil
	}
	r, err := n.mesh.Links.NewRelay(from, n.Instance.FailureDomain, n.Instance.Name, n.Instance.RequestAddr)
	if err != nil {
		return "", err
	}
	n.relays[from] = r
	return r.Address(), nil
}

func (n *Node) closeRelays() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.Close()
	}
}

// seeds returns the peer addresses, sorted, of all nodes other than n that have been started.
func (m *Mesh) seeds(n *Node) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for address := range m.peers {
		if address != n.Instance.PeerAddr {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// linkedTransport is a peer transport that applies the delay of the links to messages, and drops messages where a link is cut or
// an instance is stalled.
type linkedTransport struct {
	*peer.QUIC
	mesh *Mesh
	node *Node
}

func (n *Node) linked(t *peer.QUIC) peer.Transport {
	return &linkedTransport{QUIC: t, mesh: n.mesh, node: n}
}

// Send implements peer.Transport.
func (t *linkedTransport) Send(to distribution.Address, msg distribution.Message) {
	links := t.mesh.Links
	from, domain := t.node.Instance.FailureDomain, t.mesh.domainOf(to)
	if links.Cut(from, domain) || links.Stalled(t.node.Instance.Name) || links.Stalled(to.Name) {
		return
	}
	delay := links.Delay(from, domain)
	if delay == 0 {
		t.QUIC.Send(to, msg)
		return
	}
	// The sender may modify the message after this call, so it is encoded before the delay.
	data, err := distribution.Encode(msg)
	if err != nil {
		return
	}
	time.AfterFunc(delay, func() { t.sendEncoded(to, data) })
}

// sendEncoded decodes a message and sends it.
func (t *linkedTransport) sendEncoded(to distribution.Address, data []byte) {
	if msg, err := distribution.Decode(data); err == nil {
		t.QUIC.Send(to, msg)
	}
}

// domainOf returns the failure domain of the peer at an address, or "" if the address is unknown.
func (m *Mesh) domainOf(to distribution.Address) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[to.Addr]
}

// addPeer records the address and the failure domain of a peer.
func (m *Mesh) addPeer(address, domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[address] = domain
}

// linkedSource is the platform as reached from a failure domain. Calls return origin.ErrUnavailable while the link is cut.
type linkedSource struct {
	origin.Source
	links  *standin.Links
	domain string
}

// Read implements origin.Source.
func (s *linkedSource) Read(ctx context.Context, key string) (origin.Value, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (origin.Value, error) { return s.Source.Read(ctx, key) })
}

// Watch implements origin.Source.
func (s *linkedSource) Watch(ctx context.Context, key, after string) (origin.Value, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (origin.Value, error) { return s.Source.Watch(ctx, key, after) })
}

// Instances implements origin.Source.
func (s *linkedSource) Instances(ctx context.Context, failureDomain string, after uint64) (origin.InstanceList, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (origin.InstanceList, error) {
		return s.Source.Instances(ctx, failureDomain, after)
	})
}

// callOverLink calls the platform. It returns origin.ErrUnavailable if the link is cut when the call begins or when it returns.
func callOverLink[T any](ctx context.Context, s *linkedSource, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if s.links.Cut(s.domain, platformDomain) {
		return zero, errors.WithStack(origin.ErrUnavailable)
	}
	v, err := call(ctx)
	if s.links.Cut(s.domain, platformDomain) {
		return zero, errors.WithStack(origin.ErrUnavailable)
	}
	return v, err
}
