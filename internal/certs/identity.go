// Package certs loads, rotates and checks the certificates of callers and of processes.
package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Identity is what the certificate of an instance says.
type Identity struct {
	// Instance is the certificate's CommonName.
	Instance string
	// FailureDomain is the certificate's OrganizationalUnit.
	FailureDomain string
}

// Typed errors of identities.
var (
	// ErrNoPeer says that a connection has no verified certificate.
	ErrNoPeer = errors.New("peer has no verified certificate; connect with one that the mesh's authority signed")
	// ErrNotInstance says that a certificate is not that of an instance.
	ErrNotInstance = errors.New("certificate is not an instance's; issue one with CommonName instance and one OrganizationalUnit failure domain")
	// ErrOtherInstance says that another instance answered than the one called.
	ErrOtherInstance = errors.New("another instance answered; wait until the list of instances is current")
)

// PeerIdentity returns the identity of the instance at the other end of a connection.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoPeer
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

// CallerOrganisation returns the Organization of a caller's verified certificate, or "" if there is none or more than one.
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
