// Package certs loads, rotates and verifies the certificates of instances and callers.
package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Identity is the subject of an instance's certificate.
type Identity struct {
	// Instance is the certificate's CommonName.
	Instance string
	// FailureDomain is the certificate's OrganizationalUnit.
	FailureDomain string
}

// Errors returned when an identity cannot be determined or does not match.
var (
	// ErrNoCertificate is returned if the peer of a connection has no verified certificate.
	ErrNoCertificate = errors.New("peer has no verified certificate; connect with one that the mesh's authority signed")
	// ErrNotInstance is returned if a certificate does not identify an instance.
	ErrNotInstance = errors.New("certificate is not an instance's; issue one with CommonName instance and one OrganizationalUnit failure domain")
	// ErrWrongInstance is returned if the certificate of the server names an instance other than the one addressed.
	ErrWrongInstance = errors.New("another instance answered; wait until the list of instances is current")
)

// PeerIdentity returns the identity of the instance at the other end of a connection. It returns ErrNoCertificate or
// ErrNotInstance if the peer's certificate is missing or not an instance's.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoCertificate
	}
	return identityOf(state.PeerCertificates[0])
}

func identityOf(cert *x509.Certificate) (Identity, error) {
	units := cert.Subject.OrganizationalUnit
	if cert.Subject.CommonName == "" || len(units) != 1 || units[0] == "" {
		return Identity{}, ErrNotInstance
	}
	return Identity{Instance: cert.Subject.CommonName, FailureDomain: units[0]}, nil
}

// CallerOrganisation returns the Organization of a caller's verified certificate. It returns "" if the caller has no verified
// certificate, or one that does not name exactly one Organization.
func CallerOrganisation(state *tls.ConnectionState) string {
	if state == nil || len(state.VerifiedChains) == 0 {
		return ""
	}
	names := state.PeerCertificates[0].Subject.Organization
	if len(names) != 1 {
		return ""
	}
	return names[0]
}
