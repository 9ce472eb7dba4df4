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

// listen opens a transport with a certificate of the authority.
func listen(t *testing.T, a *certs.Authority, name, failureDomain string) *Quic {
	return listenAt(t, a, name, failureDomain, "127.0.0.1:0")
}

func listenAt(t *testing.T, a *certs.Authority, name, failureDomain, addr string) *Quic {
	pair, err := a.Instance(certs.Identity{Instance: name, FailureDomain: failureDomain})
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

func receive(t *testing.T, q *Quic) Inbound {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	in, err := q.Receive().Get(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return in
}

func TestMessagesTravelBothWaysOnOneConnection(t *testing.T) {
	a := newAuthority(t)
	x, y := listen(t, a, "x", "fd-x"), listen(t, a, "y", "fd-y")
	x.Send(distribution.Address{Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	in := receive(t, y)
	if in.From.Name != "x" || in.From.Addr != x.Addr() || in.FailureDomain != "fd-x" || in.Message.Ask == nil {
		t.Fatalf("received %+v", in)
	}
	// A seed is addressed without a name; the answer names the instance by its certificate.
	y.Send(in.From, distribution.Message{Protocol: 1, Offer: &distribution.Offer{Holding: true}})
	back := receive(t, x)
	if back.From.Name != "y" || !back.Message.Offer.Holding {
		t.Fatalf("received %+v", back)
	}
}

func TestPeerWithoutCertificateOfTheAuthorityIsRefused(t *testing.T) {
	good, bad := newAuthority(t), newAuthority(t)
	x, y := listen(t, bad, "x", "fd-x"), listen(t, good, "y", "fd-y")
	z := listen(t, good, "z", "fd-z")
	x.Send(distribution.Address{Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	z.Send(distribution.Address{Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	if in := receive(t, y); in.From.Name != "z" {
		t.Fatalf("message of %q got through", in.From.Name)
	}
	if n := y.Receive().Len(); n != 0 {
		t.Fatalf("%d further messages got through", n)
	}
}

func TestMessageIsNotSentToAnotherInstanceThanAddressed(t *testing.T) {
	a := newAuthority(t)
	x, y := listen(t, a, "x", "fd-x"), listen(t, a, "y", "fd-y")
	x.Send(distribution.Address{Name: "other", Addr: y.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	// Once the address is known to be y's, messages go through; the first one never arrives.
	for x.linkCount() > 0 && x.queued(y.Addr()) > 0 {
		time.Sleep(time.Millisecond)
	}
	x.Send(distribution.Address{Name: "y", Addr: y.Addr()}, distribution.Message{Protocol: 1, Pull: &distribution.Pull{}})
	if in := receive(t, y); in.Message.Pull == nil {
		t.Fatalf("received %+v", in.Message)
	}
}

func (q *Quic) linkCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.links)
}

func (q *Quic) queued(addr string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.links[addr]; l != nil {
		return l.queue.Len()
	}
	return 0
}

// TestRestartedPeerIsReachedAtOnce ends a transport without a word and starts another at the same address: the message that it
// sends is answered on the new connection, not on the one that leads to the former life.
func TestRestartedPeerIsReachedAtOnce(t *testing.T) {
	a := newAuthority(t)
	x, y := listen(t, a, "x", "fd-x"), listen(t, a, "y", "fd-y")
	addr := y.Addr()
	x.Send(distribution.Address{Name: "y", Addr: addr}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	receive(t, y)
	// Its socket is taken away, so that nothing tells x of the end.
	if err := y.transport.Conn.Close(); err != nil {
		t.Fatal(err)
	}
	again := listenAt(t, a, "y", "fd-y", addr)
	again.Send(distribution.Address{Name: "x", Addr: x.Addr()}, distribution.Message{Protocol: 1, Ask: &distribution.Ask{}})
	in := receive(t, x)
	x.Send(in.From, distribution.Message{Protocol: 1, Offer: &distribution.Offer{Holding: true}})
	if back := receive(t, again); back.Message.Offer == nil {
		t.Fatalf("received %+v", back.Message)
	}
}
