package daemon

import (
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/settings"
)

// Certificates are the stores that a daemon's settings name.
type Certificates struct {
	// Internal identifies the daemon to others.
	Internal *certs.Store
	// Callers is shown to callers; nil means that callers' HTTP is plain.
	Callers *certs.Store
}

// LoadCertificates loads the certificates that the settings name, and checks that the internal one names the instance and the
// failure domain of the settings. The function that report returns for a store's name is told of later rotations; report may
// be nil.
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
