package peer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/certs"
)

func newAuthority(t *testing.T) *certs.Authority {
	a, err := certs.NewAuthority("test authority")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// listen opens a transport at a free port, with a certificate of the authority.
func listen(t *testing.T, a *certs.Authority, name, failureDomain string) *QUIC {
	return listenAt(t, a, name, failureDomain, "127.0.0.1:0")
}

// listenAt is like listen with a given address.
func listenAt(t *testing.T, a *certs.Authority, name, failureDomain, addr string) *QUIC {
	pair, err := a.IssueInstance(certs.Identity{Instance: name, FailureDomain: failureDomain})
	if err != nil {
		t.Fatal(err)
	}
	cert, err := pair.TLS()
	if err != nil {
		t.Fatal(err)
	}
	q, err := Listen(Config{Addr: addr, Certs: certs.NewStatic(cert, a.Pool()), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = q.Close() })
	return q
}

// receive waits for the next message.
func receive(t *testing.T, q *QUIC) Inbound {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	in, err := q.Receive().Get(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return in
}

func TestConnectionCarriesMessagesInBothDirections(t *testing.T) {
	a := newAuthority(t)
	x, y := listen(t, a, "x", "fd-x"), listen(t, a, "y", "fd-y")
	x.Send(distribution.Address{Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	in := receive(t, y)
	if in.From.Name != "x" || in.From.Addr != x.Addr() || in.FailureDomain != "fd-x" || in.Message.Ask == nil {
		t.Fatalf("received %+v", in)
	}
	// A seed is addressed without a name; the name of the sender comes from its certificate.
	y.Send(in.From, distribution.Message{Protocol: 1, Offer: &distribution.Offer{HasCatalogue: true}})
	reply := receive(t, x)
	if reply.From.Name != "y" || !reply.Message.Offer.HasCatalogue {
		t.Fatalf("received %+v", reply)
	}
}

func TestPeerOfOtherAuthorityIsRefused(t *testing.T) {
	good, bad := newAuthority(t), newAuthority(t)
	x, y := listen(t, bad, "x", "fd-x"), listen(t, good, "y", "fd-y")
	z := listen(t, good, "z", "fd-z")
	x.Send(distribution.Address{Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	z.Send(distribution.Address{Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	if in := receive(t, y); in.From.Name != "z" {
		t.Fatalf("received a message of %q", in.From.Name)
	}
	if n := y.Receive().Len(); n != 0 {
		t.Fatalf("received %d further messages", n)
	}
}

func TestMessageIsNotSentToWrongInstance(t *testing.T) {
	a := newAuthority(t)
	x, y := listen(t, a, "x", "fd-x"), listen(t, a, "y", "fd-y")
	x.Send(distribution.Address{Name: "other", Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	// The first message is dropped, since y's certificate does not name "other". A message addressed to y arrives.
	for x.linkCount() > 0 && x.queued(y.Addr()) > 0 {
		time.Sleep(time.Millisecond)
	}
	x.Send(distribution.Address{Name: "y", Addr: y.Addr()}, distribution.Message{Protocol: 1, Pull: &distribution.Pull{}})
	if in := receive(t, y); in.Message.Pull == nil {
		t.Fatalf("received %+v", in.Message)
	}
}

func (q *QUIC) linkCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.links)
}

func (q *QUIC) queued(addr string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.links[addr]; l != nil {
		return l.queue.Len()
	}
	return 0
}

// TestReplyToRestartedPeerUsesNewConnection guards against replies lost on a stale connection: a transport stops without
// closing its connections, and another one starts at the same address and sends a message. The reply must arrive there.
func TestReplyToRestartedPeerUsesNewConnection(t *testing.T) {
	a := newAuthority(t)
	x, y := listen(t, a, "x", "fd-x"), listen(t, a, "y", "fd-y")
	addr := y.Addr()
	x.Send(distribution.Address{Name: "y", Addr: addr}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	receive(t, y)
	// Closing the socket first prevents y from sending a close frame to x.
	if err := y.transport.Conn.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := listenAt(t, a, "y", "fd-y", addr)
	restarted.Send(distribution.Address{Name: "x", Addr: x.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	in := receive(t, x)
	x.Send(in.From, distribution.Message{Protocol: 1, Offer: &distribution.Offer{HasCatalogue: true}})
	if reply := receive(t, restarted); reply.Message.Offer == nil {
		t.Fatalf("received %+v", reply.Message)
	}
}
