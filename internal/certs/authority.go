package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Validity of issued certificates.
const (
	certValidity = 24 * time.Hour
	// clockSkewTolerance is how far before its issue a certificate becomes valid.
	clockSkewTolerance = 5 * time.Minute
)

// Authority is a temporary certificate authority for demonstrations and tests. Its key is held in memory only.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate whose CommonName is name.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
	}
	template, err := newTemplate(pkix.Name{CommonName: name})
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "create the authority's certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

// newTemplate returns the fields that all certificates of an authority have in common.
func newTemplate(subject pkix.Name) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(certValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, nil
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// Pool returns a pool that contains only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// IssueInstance issues the certificate of an instance, for use as server and client.
func (a *Authority) IssueInstance(id Identity) (Pair, error) {
	return a.issue(pkix.Name{CommonName: id.Instance, OrganizationalUnit: []string{id.FailureDomain}})
}

// IssueCaller issues a client certificate for a caller of the given organisation. Its CommonName is name.
func (a *Authority) IssueCaller(organisation, name string) (Pair, error) {
	return a.issue(pkix.Name{CommonName: name, Organization: []string{organisation}})
}

func (a *Authority) issue(subject pkix.Name) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(subject)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{"localhost"}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "create certificate of %q", subject.CommonName)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLS parses the pair. It returns an error if certificate and key are invalid or do not match.
func (p Pair) TLS() (tls.Certificate, error) {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	return cert, errors.Wrap(err, "parse certificate and key")
}

// WriteFiles writes the pair and the authority's certificate to dir as NAME.pem, NAME-key.pem and ca.pem, and returns their paths.
func (a *Authority) WriteFiles(dir, name string, p Pair) (Files, error) {
	f := Files{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+"-key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	const private, public = 0o600, 0o644
	if err := os.WriteFile(f.Cert, p.Cert, public); err != nil {
		return f, errors.Wrap(err, "write certificate")
	}
	if err := os.WriteFile(f.Key, p.Key, private); err != nil {
		return f, errors.Wrap(err, "write key")
	}
	return f, errors.Wrap(os.WriteFile(f.CA, a.PEM(), public), "write the authority's certificate")
}
