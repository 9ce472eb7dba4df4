package daemon

import (
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/settings"
)

// Certificates holds the certificate stores configured in the settings of a daemon.
type Certificates struct {
	// Internal is the certificate that the daemon presents to other daemons.
	Internal *certs.Store
	// Callers is the certificate presented to callers; nil if callers use plain HTTP.
	Callers *certs.Store
}

// LoadCertificates loads the certificates configured in s. It returns an error if a file cannot be loaded, or if the internal
// certificate does not name the instance and failure domain of s. The function that report returns for a store name
// ("internal" or "callers") is called after each later rotation of that store, with the error if it failed; report may be nil.
func LoadCertificates(s *settings.Settings, report func(store string) func(error)) (*Certificates, error) {
	if report == nil {
		report = func(string) func(error) { return nil }
	}
	internal, err := certs.Load(certs.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA}, certs.PollInterval, report("internal"))
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	if err := checkIdentity(s, internal); err != nil {
		return nil, err
	}
	out := &Certificates{Internal: internal}
	if c := s.TLS.Callers; c != nil {
		out.Callers, err = certs.Load(certs.Files{Cert: c.Cert, Key: c.Key, CA: c.ClientCA}, certs.PollInterval, report("callers"))
	}
	return out, errors.Wrap(err, "tls.callers")
}

func checkIdentity(s *settings.Settings, store *certs.Store) error {
	id, err := store.Identity()
	if err != nil {
		return errors.Wrap(err, "tls.cert")
	}
	if id.Instance == s.Instance && id.FailureDomain == s.FailureDomain {
		return nil
	}
	return errors.Errorf("tls.cert: certificate names instance %q in failure domain %q, the settings %q in %q; issue one for this instance",
		id.Instance, id.FailureDomain, s.Instance, s.FailureDomain)
}
