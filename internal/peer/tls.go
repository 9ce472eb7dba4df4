package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/distribution"
)

// alpnPrefix precedes the protocol version in the handshake.
const alpnPrefix = "chervilwell-peer/"

// Typed errors of the handshake.
var (
	// ErrWrongPeer says that a certificate names another instance than the one addressed.
	ErrWrongPeer = errors.New("certificate names another instance than the one addressed; check the platform's list of instances")
	// ErrUnnamed says that a certificate names no instance.
	ErrUnnamed = errors.New("certificate names no instance or failure domain; issue one with common name and organisational unit")
)

// protocols returns the names of the protocol versions spoken, newest first.
func protocols() []string {
	var out []string
	for v := distribution.ProtocolVersion; v >= distribution.MinProtocolVersion; v-- {
		out = append(out, fmt.Sprintf("%s%d", alpnPrefix, v))
	}
	return out
}

// identity is what a certificate says of a peer.
type identity struct{ name, failureDomain string }

func identityOf(state tls.ConnectionState) (identity, error) {
	if len(state.PeerCertificates) == 0 {
		return identity{}, ErrUnnamed
	}
	subject := state.PeerCertificates[0].Subject
	if subject.CommonName == "" || len(subject.OrganizationalUnit) != 1 {
		return identity{}, ErrUnnamed
	}
	return identity{name: subject.CommonName, failureDomain: subject.OrganizationalUnit[0]}, nil
}

// serverTLS returns base for incoming connections: a client certificate is required and verified against ClientCAs.
func serverTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.NextProtos = protocols()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}
	return c
}

// clientTLS returns base for a connection to the named instance. Certificates name instances and not hosts, so the chain
// is verified here, and the name against the one addressed; an empty name admits any instance, as for seeds.
func clientTLS(base *tls.Config, name string) *tls.Config {
	c := base.Clone()
	c.NextProtos = protocols()
	c.MinVersion = tls.VersionTLS13
	c.InsecureSkipVerify = true // replaced by VerifyConnection
	roots := base.RootCAs
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyChain(state, roots); err != nil {
			return err
		}
		id, err := identityOf(state)
		if err != nil {
			return err
		}
		if name != "" && id.name != name {
			return errors.Wrapf(ErrWrongPeer, "%q addressed, %q answered", name, id.name)
		}
		return nil
	}
	return c
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUnnamed
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verify the peer's certificate")
}
