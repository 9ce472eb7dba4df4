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

	"github.com/chervilwell/chervilwell/internal/duty"
)

// PollInterval is the time between two looks at the files.
const PollInterval = 10 * time.Second

// Files are the paths of PEM files.
type Files struct {
	Cert string
	Key  string
	// CA holds the authorities that may sign peers' certificates. It may be empty if peers need none.
	CA string
}

// material is one loaded set of files. It is never changed.
type material struct {
	cert tls.Certificate
	pool *x509.CertPool
	raw  [3][]byte
}

// Store holds the certificates in force and reads them again when the files change. On an error it keeps the old ones.
type Store struct {
	files    Files
	interval time.Duration
	report   func(error)
	current  atomic.Pointer[material]
}

// Load reads the files. A report is called, from the goroutine of Serve, with nil after a rotation and with the error when
// changed files can't be used.
func Load(files Files, interval time.Duration, report func(error)) (*Store, error) {
	s := &Store{files: files, interval: interval, report: report}
	m, err := readMaterial(files)
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

// NewStatic returns a store of the given certificate and authorities, which never change.
func NewStatic(cert tls.Certificate, pool *x509.CertPool) *Store {
	s := &Store{}
	s.current.Store(&material{cert: cert, pool: pool})
	return s
}

func readMaterial(files Files) (*material, error) {
	m := &material{}
	var err error
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if name == "" {
			continue
		}
		if m.raw[i], err = os.ReadFile(name); err != nil {
			return nil, errors.Wrap(err, "certificate file; check the path in the settings")
		}
	}
	if m.cert, err = tls.X509KeyPair(m.raw[0], m.raw[1]); err != nil {
		return nil, errors.Wrapf(err, "%s and %s are no matching pair; write both before they are read", files.Cert, files.Key)
	}
	if files.CA == "" {
		return m, nil
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(m.raw[2]) {
		return nil, errors.Errorf("%s holds no certificate; write the authority's certificate there in PEM", files.CA)
	}
	return m, nil
}

// Serve looks at the files until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	var last error
	return duty.Every(ctx, s.interval, func(time.Time) { last = s.poll(last) })
}

// poll reads the files once and returns its error. It reports each change of the outcome once.
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

// Reload reads the files and takes them if they differ from those in force. On an error those in force stay.
func (s *Store) Reload() (bool, error) {
	m, err := readMaterial(s.files)
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

// Identity returns the instance that the certificate in force names.
func (s *Store) Identity() (Identity, error) {
	leaf, err := x509.ParseCertificate(s.current.Load().cert.Certificate[0])
	if err != nil {
		return Identity{}, errors.Wrap(err, "own certificate")
	}
	return identityOf(leaf)
}

// PeerServer returns the configuration of a listener for other instances. Peers without an instance's certificate are
// refused in the handshake.
func (s *Store) PeerServer(protocols ...string) *tls.Config {
	build := func() *tls.Config {
		m := s.current.Load()
		return &tls.Config{
			MinVersion:       tls.VersionTLS13,
			Certificates:     []tls.Certificate{m.cert},
			ClientAuth:       tls.RequireAndVerifyClientCert,
			ClientCAs:        m.pool,
			NextProtos:       protocols,
			VerifyConnection: requireInstance,
		}
	}
	return perConnection(build)
}

// perConnection returns a configuration that takes the certificates in force at each handshake.
func perConnection(build func() *tls.Config) *tls.Config {
	outer := build()
	outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return build(), nil }
	return outer
}

func requireInstance(state tls.ConnectionState) error {
	_, err := PeerIdentity(&state)
	return err
}

// PeerClient returns the configuration for connections to other instances. The server's certificate has to be signed by the
// authority and name the instance; an empty instance admits any.
// Addresses play no part, since instances are called by IP number and any instance may get any number.
func (s *Store) PeerClient(instance string, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, // VerifyConnection checks the chain and the identity instead of the address.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error { return s.verifyServer(&state, instance) },
	}
}

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
		return errors.Wrapf(ErrOtherInstance, "called %q, got %q", instance, id.Instance)
	}
	return nil
}

// CallerServer returns the configuration of a listener for callers. A client certificate is checked if given; without an
// authority none is asked for.
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
