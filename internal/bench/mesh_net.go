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

// platformDomain stands for the platform's place in the network.
const platformDomain = "platform"

// relay returns the address under which a failure domain reaches an instance.
func (m *Mesh) relay(from string, to origin.Instance) (string, error) {
	for _, n := range m.Nodes {
		if n.Instance.Name == to.Name {
			return n.relayFrom(from)
		}
	}
	return "", errors.Errorf("instance %q is not in the mesh", to.Name)
}

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

// seeds returns the peer addresses of all nodes but n that have started.
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

// linkedTransport delays messages as the links do, and drops them where the link is cut.
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
	// The sender may change the message after this call, so the copy on its way is made now.
	data, err := distribution.Encode(msg)
	if err != nil {
		return
	}
	time.AfterFunc(delay, func() { t.sendCopy(to, data) })
}

func (t *linkedTransport) sendCopy(to distribution.Address, data []byte) {
	if msg, err := distribution.Decode(data); err == nil {
		t.QUIC.Send(to, msg)
	}
}

// domainOf returns the failure domain of a peer by its address, or "".
func (m *Mesh) domainOf(to distribution.Address) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[to.Addr]
}

// addPeer records the address of a peer.
func (m *Mesh) addPeer(address, domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[address] = domain
}

// cutSource is the platform as a failure domain sees it.
type cutSource struct {
	origin.Source
	links  *standin.Links
	domain string
}

// Read implements origin.Source.
func (s *cutSource) Read(ctx context.Context, key string) (origin.Value, error) {
	return cutCall(ctx, s, func(ctx context.Context) (origin.Value, error) { return s.Source.Read(ctx, key) })
}

// Watch implements origin.Source.
func (s *cutSource) Watch(ctx context.Context, key, after string) (origin.Value, error) {
	return cutCall(ctx, s, func(ctx context.Context) (origin.Value, error) { return s.Source.Watch(ctx, key, after) })
}

// Instances implements origin.Source.
func (s *cutSource) Instances(ctx context.Context, failureDomain string, after uint64) (origin.InstanceList, error) {
	return cutCall(ctx, s, func(ctx context.Context) (origin.InstanceList, error) {
		return s.Source.Instances(ctx, failureDomain, after)
	})
}

// cutCall makes a call of the platform, whose answer is lost if the link is cut when it comes.
func cutCall[T any](ctx context.Context, s *cutSource, call func(context.Context) (T, error)) (T, error) {
	var none T
	if s.links.Cut(s.domain, platformDomain) {
		return none, errors.WithStack(origin.ErrUnavailable)
	}
	v, err := call(ctx)
	if s.links.Cut(s.domain, platformDomain) {
		return none, errors.WithStack(origin.ErrUnavailable)
	}
	return v, err
}
