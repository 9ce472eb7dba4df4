package certs

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func instanceStore(t *testing.T, a *Authority, name string) *Store {
	t.Helper()
	pair, err := a.IssueInstance(Identity{Instance: name, FailureDomain: "obb-muc"})
	if err != nil {
		t.Fatal(err)
	}
	return staticStore(t, a, pair)
}

func staticStore(t *testing.T, a *Authority, pair Pair) *Store {
	t.Helper()
	cert, err := pair.TLS()
	if err != nil {
		t.Fatal(err)
	}
	return NewStatic(cert, a.Pool())
}

// handshake runs a TLS handshake over a local connection and returns the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	tlsConn := tls.Client(conn, client)
	clientErr = tlsConn.Handshake()
	conn.Close()
	return <-done, clientErr
}

func TestPeerHandshake(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	caller, err := a.IssueCaller("haulier-a", "tablet")
	if err != nil {
		t.Fatal(err)
	}
	server := instanceStore(t, a, "obb-muc-1").PeerServer()
	for _, c := range []struct {
		name     string
		client   *tls.Config
		serverOK bool
		clientOK bool
	}{
		{"instance", instanceStore(t, a, "obb-muc-2").PeerClient("obb-muc-1"), true, true},
		{"any instance", instanceStore(t, a, "obb-muc-2").PeerClient(""), true, true},
		{"another instance expected", instanceStore(t, a, "obb-muc-2").PeerClient("obb-muc-9"), false, false},
		{"certificate of another authority", instanceStore(t, other, "obb-muc-2").PeerClient("obb-muc-1"), false, false},
		{"caller's certificate", staticStore(t, a, caller).PeerClient("obb-muc-1"), false, true},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, server, c.client)
			if (serverErr == nil) != c.serverOK || (clientErr == nil) != c.clientOK {
				t.Fatalf("server %v, client %v", serverErr, clientErr)
			}
		})
	}
}

func TestFailedRotationKeepsPreviousCertificate(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	issue := func(name string) Pair {
		pair, err := a.IssueInstance(Identity{Instance: name, FailureDomain: "obb-muc"})
		if err != nil {
			t.Fatal(err)
		}
		return pair
	}
	files, err := a.WriteFiles(dir, "own", issue("first"))
	if err != nil {
		t.Fatal(err)
	}
	var reports []error
	s, err := Load(files, time.Hour, func(err error) { reports = append(reports, err) })
	if err != nil {
		t.Fatal(err)
	}
	server := s.PeerServer()
	if err := os.WriteFile(files.Key, issue("other").Key, 0o600); err != nil {
		t.Fatal(err)
	}
	last := s.poll(nil)
	last = s.poll(last)
	if last == nil || len(reports) != 1 || reports[0] == nil {
		t.Fatalf("a key that does not match gave %v, reports %v", last, reports)
	}
	if id, err := s.Identity(); err != nil || id.Instance != "first" {
		t.Fatalf("certificate in use: %v, %v", id, err)
	}
	if _, err := a.WriteFiles(dir, "own", issue("second")); err != nil {
		t.Fatal(err)
	}
	if last = s.poll(last); last != nil || len(reports) != 2 || reports[1] != nil {
		t.Fatalf("rotation gave %v, reports %v", last, reports)
	}
	client := instanceStore(t, a, "client")
	if _, err := handshake(t, server, client.PeerClient("second")); err != nil {
		t.Fatalf("handshake with the rotated certificate: %v", err)
	}
	if _, err := handshake(t, server, client.PeerClient("first")); !errors.Is(err, ErrWrongInstance) {
		t.Fatalf("want ErrWrongInstance, got %v", err)
	}
}
