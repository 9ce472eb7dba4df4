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

// Validity of the certificates of a throw-away authority.
const (
	authorityValidity = 24 * time.Hour
	clockTolerance    = 5 * time.Minute
)

// Authority is a throw-away certificate authority for demonstrations and tests. It keeps its key in memory only.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its key in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority returns a fresh authority.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority's key")
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
		return nil, errors.Wrap(err, "authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority's certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

func newTemplate(subject pkix.Name) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(authorityValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// Pool returns a pool that holds the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Instance issues the certificate of an instance.
func (a *Authority) Instance(id Identity) (Pair, error) {
	return a.issue(pkix.Name{CommonName: id.Instance, OrganizationalUnit: []string{id.FailureDomain}})
}

// Caller issues the client certificate of an organisation's caller.
func (a *Authority) Caller(organisation, name string) (Pair, error) {
	return a.issue(pkix.Name{CommonName: name, Organization: []string{organisation}})
}

func (a *Authority) issue(subject pkix.Name) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	template, err := newTemplate(subject)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{"localhost"}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "certificate of %q", subject.CommonName)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLS returns the pair as the standard library's type.
func (p Pair) TLS() (tls.Certificate, error) {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	return cert, errors.Wrap(err, "certificate and key")
}

// Write stores the pair and the authority's certificate in dir as NAME.pem, NAME-key.pem and ca.pem.
func (a *Authority) Write(dir, name string, p Pair) (Files, error) {
	f := Files{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+"-key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	const private, public = 0o600, 0o644
	if err := os.WriteFile(f.Cert, p.Cert, public); err != nil {
		return f, errors.Wrap(err, "certificate")
	}
	if err := os.WriteFile(f.Key, p.Key, private); err != nil {
		return f, errors.Wrap(err, "key")
	}
	return f, errors.Wrap(os.WriteFile(f.CA, a.PEM(), public), "authority")
}
