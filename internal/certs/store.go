package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/periodic"
)

// PollInterval is the default interval between checks of the files for changes.
const PollInterval = 10 * time.Second

// Files holds the paths of PEM files.
type Files struct {
	// Cert is the certificate chain of this process, Key its private key.
	Cert string
	Key  string
	// CA contains the authorities that sign peers' certificates. It may be empty if peers need no certificate.
	CA string
}

// credentials is the parsed content of a set of files. It is immutable.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
	// raw holds the content of the certificate, key and authority files, for the detection of changes.
	raw [3][]byte
}

// Store holds the certificates in use and reloads them when the files change. If a reload fails, the previous certificates stay
// in use. It is safe for concurrent use.
type Store struct {
	files    Files
	interval time.Duration
	report   func(error)
	current  atomic.Pointer[credentials]
}

// Load reads the files and returns a store that checks them at the given interval while Serve runs. Serve calls report with nil
// after a rotation, and with the error if changed files cannot be used.
func Load(files Files, interval time.Duration, report func(error)) (*Store, error) {
	s := &Store{files: files, interval: interval, report: report}
	m, err := readCredentials(files)
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

// NewStatic returns a store with a fixed certificate and fixed authorities. It has no files, so Reload always fails.
func NewStatic(cert tls.Certificate, pool *x509.CertPool) *Store {
	s := &Store{}
	s.current.Store(&credentials{cert: cert, pool: pool})
	return s
}

func readCredentials(files Files) (*credentials, error) {
	m := &credentials{}
	var err error
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if name == "" {
			continue
		}
		if m.raw[i], err = os.ReadFile(name); err != nil {
			return nil, errors.Wrap(err, "read certificate file; check the path in the settings")
		}
	}
	if m.cert, err = tls.X509KeyPair(m.raw[0], m.raw[1]); err != nil {
		return nil, errors.Wrapf(err, "certificate %s and key %s are invalid or do not match; replace both files", files.Cert, files.Key)
	}
	if files.CA == "" {
		return m, nil
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(m.raw[2]) {
		return nil, errors.Errorf("%s contains no certificate; write the authority's certificate to it in PEM", files.CA)
	}
	return m, nil
}

// Serve checks the files for changes at each interval until ctx is done. It implements suture.Service.
func (s *Store) Serve(ctx context.Context) error {
	var last error
	return periodic.Every(ctx, s.interval, func(time.Time) { last = s.poll(last) })
}

// poll reloads the files and returns the error of Reload. It reports a rotation, and an error only if it differs from last, the
// result of the previous poll.
func (s *Store) poll(last error) error {
	changed, err := s.Reload()
	switch {
	case err != nil && (last == nil || last.Error() != err.Error()):
		s.report(err)
	case changed:
		s.report(nil)
	}
	return err
}

// Reload reads the files and reports whether they have changed. On an error the certificates in use stay.
func (s *Store) Reload() (bool, error) {
	m, err := readCredentials(s.files)
	if err != nil {
		return false, err
	}
	old := s.current.Load()
	same := true
	for i := range m.raw {
		same = same && bytes.Equal(m.raw[i], old.raw[i])
	}
	if same {
		return false, nil
	}
	s.current.Store(m)
	return true, nil
}

// Identity returns the identity in the certificate in use.
func (s *Store) Identity() (Identity, error) {
	leaf, err := x509.ParseCertificate(s.current.Load().cert.Certificate[0])
	if err != nil {
		return Identity{}, errors.Wrap(err, "parse own certificate")
	}
	return identityOf(leaf)
}

// PeerServer returns the configuration of a listener for other instances, with the given ALPN protocols. Clients without the
// certificate of an instance are refused in the handshake.
func (s *Store) PeerServer(protocols ...string) *tls.Config {
	build := func() *tls.Config {
		m := s.current.Load()
		return &tls.Config{
			MinVersion:       tls.VersionTLS13,
			Certificates:     []tls.Certificate{m.cert},
			ClientAuth:       tls.RequireAndVerifyClientCert,
			ClientCAs:        m.pool,
			NextProtos:       protocols,
			VerifyConnection: verifyClient,
		}
	}
	return perConnection(build)
}

// perConnection returns a configuration that calls build at each handshake, so that rotated certificates take effect without a
// restart of the listener.
func perConnection(build func() *tls.Config) *tls.Config {
	config := build()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return build(), nil }
	return config
}

// verifyClient returns an error unless the client's certificate, which is already verified, identifies an instance.
func verifyClient(state tls.ConnectionState) error {
	_, err := PeerIdentity(&state)
	return err
}

// PeerClient returns the configuration for connections to other instances, with the given ALPN protocols. The server's
// certificate must be signed by the authority and name the given instance; if instance is empty, any instance is accepted.
// Addresses are not verified, since instances are addressed by IP and any IP can be assigned to any instance.
func (s *Store) PeerClient(instance string, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain and the identity instead of the host name.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error { return s.verifyServer(&state, instance) },
	}
}

// verifyServer verifies the chain of the server's certificate and that it names the instance, if not empty. It returns
// ErrWrongInstance if it names another one.
func (s *Store) verifyServer(state *tls.ConnectionState, instance string) error {
	id, err := PeerIdentity(state)
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{Roots: s.current.Load().pool, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return errors.Wrap(err, "peer's certificate; issue it from the mesh's authority")
	}
	if instance != "" && id.Instance != instance {
		return errors.Wrapf(ErrWrongInstance, "called %q, got %q", instance, id.Instance)
	}
	return nil
}

// CallerServer returns the configuration of a listener for callers. A client certificate is optional and verified if present;
// none is requested if no authority is configured.
func (s *Store) CallerServer() *tls.Config {
	build := func() *tls.Config {
		m := s.current.Load()
		config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"h2", "http/1.1"}}
		if m.pool != nil {
			config.ClientAuth = tls.VerifyClientCertIfGiven
			config.ClientCAs = m.pool
		}
		return config
	}
	return perConnection(build)
}
