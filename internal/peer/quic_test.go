package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/distribution"
)

// authority issues certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, pool: x509.NewCertPool()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.pool.AddCert(a.cert)
	return a
}

func (a *authority) config(name, failureDomain string) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{failureDomain}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool,
	}
}

func listen(t *testing.T, config *tls.Config) *Quic {
	q, err := Listen(Config{Addr: "127.0.0.1:0", TLS: config, Log: zerolog.Nop()})
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
	x, y := listen(t, a.config("x", "fd-x")), listen(t, a.config("y", "fd-y"))
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
	x, y := listen(t, bad.config("x", "fd-x")), listen(t, good.config("y", "fd-y"))
	z := listen(t, good.config("z", "fd-z"))
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
	x, y := listen(t, a.config("x", "fd-x")), listen(t, a.config("y", "fd-y"))
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
