// Package settings reads and validates the daemon's settings file, which is JSON with comments. Unknown fields are refused.
// All problems of a file are reported at once, each with its line, cause and remedy.
//
// Example of a settings file:
//
//	{
//	  "instance": "obb-muc-3", "failureDomain": "obb-muc", "service": "lagerstand",
//	  "listen": {
//	    "callers": "10.0.0.3:8443", "requests": "10.0.0.3:8444",
//	    "peers": "10.0.0.3:8445", "operator": "127.0.0.1:8446",
//	  },
//	  "target": {"addr": "127.0.0.1:9000", "healthPath": "/health"},
//	  "platform": {"url": "http://10.0.0.1:7000"},
//	  "peers": {"seeds": ["10.0.0.4:8445"], "fleetSize": 200},
//	  "tls": {
//	    "cert": "internal.pem", "key": "internal.key", "ca": "ca.pem",
//	    "callers": {"cert": "callers.pem", "key": "callers.key", "clientCA": "organisations.pem"},
//	  },
//	}
package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/jsonc"
)

// Settings holds the settings of one daemon.
type Settings struct {
	// Instance is the name of the instance that the daemon runs on, as in the platform's list of instances.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failureDomain"`
	// Service is the service that the local target runs, by its name in the catalogue.
	Service string `json:"service"`
	// Region is used until a catalogue is in force, which defines the region of the failure domain. It may be empty.
	Region string `json:"region"`
	Listen Listen `json:"listen"`
	Target Target `json:"target"`
	// Platform configures reads of the catalogue and of the lists of instances.
	Platform Platform `json:"platform"`
	Peers    Peers    `json:"peers"`
	TLS      TLS      `json:"tls"`
	// TrustOrganisationHeader makes the daemon take a caller's organisation from the header Chervilwell-Organisation. Set it
	// only if every caller that can reach the listener is trusted to state its own organisation.
	TrustOrganisationHeader bool `json:"trustOrganisationHeader"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// DrainLimit is the longest duration of a graceful stop. Requests still running after it are cancelled.
	DrainLimit catalogue.Duration `json:"drainLimit"`
	// MemoryBytes is the soft memory limit of the process, in bytes (see runtime/debug.SetMemoryLimit).
	MemoryBytes int64 `json:"memoryBytes"`
}

// Listen holds the addresses that the daemon listens on, each as IP:port. Port 0 selects a free port.
type Listen struct {
	// Callers is the listener for HTTP requests of callers. It uses TLS if TLS.Callers is set.
	Callers string `json:"callers"`
	// Requests is the listener for requests that other daemons send to the local target, with mutual TLS over TCP.
	Requests string `json:"requests"`
	// Peers is the listener for configuration traffic of other daemons, with QUIC over UDP.
	Peers string `json:"peers"`
	// Operator is the listener for health, metrics and status, with plain HTTP. Bind it to an address that callers cannot
	// reach.
	Operator string `json:"operator"`
}

// Target describes the local target, which runs on the same instance as the daemon.
type Target struct {
	// Addr is the IP:port of the target's plain HTTP listener.
	Addr string `json:"addr"`
	// HealthPath is the path of the target's health endpoint.
	HealthPath string `json:"healthPath"`
}

// Platform configures reads of the platform.
type Platform struct {
	// URL is the base URL of the platform, with scheme http or https.
	URL string `json:"url"`
	// StoreRegions lists the regions near the platform. Only readers in these regions watch the platform; empty means all
	// regions.
	StoreRegions []string `json:"storeRegions"`
	// ReadTimeout is the timeout of one read.
	ReadTimeout catalogue.Duration `json:"readTimeout"`
	// WatchTimeout is the timeout of one watch request (long poll). A new request follows.
	WatchTimeout catalogue.Duration `json:"watchTimeout"`
}

// Peers configures the join of a starting daemon.
type Peers struct {
	// Seeds lists the peer listeners of some other daemons, each as IP:port. A daemon without seeds reads the platform.
	Seeds []string `json:"seeds"`
	// FleetSize is the approximate number of daemons. Random delays after a mass restart increase with it.
	FleetSize int `json:"fleetSize"`
}

// TLS holds paths of PEM files. Relative paths are resolved against the directory of the settings file.
type TLS struct {
	// Cert, Key and CA are used for mutual TLS between daemons. The certificate names the instance and its failure domain.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
	// Callers configures TLS of the listener for callers; nil means plain HTTP.
	Callers *CallersTLS `json:"callers,omitempty"`
}

// CallersTLS holds paths of the PEM files of the listener for callers.
type CallersTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// ClientCA is the CA that callers' certificates are verified against. The organisation of the certificate is the caller's
	// organisation in the catalogue. If ClientCA is empty, no client certificate is requested.
	ClientCA string `json:"clientCA"`
}

// Default values of the settings that a file may omit. DefaultMemoryBytes is in bytes.
const (
	DefaultHealthPath   = "/health"
	DefaultReadTimeout  = 2 * time.Second
	DefaultWatchTimeout = 60 * time.Second
	DefaultFleetSize    = 1000
	DefaultLogLevel     = "info"
	DefaultDrainLimit   = 15 * time.Second
	DefaultMemoryBytes  = 64 << 20
)

// Default returns settings with the default values; all other fields are empty.
func Default() *Settings {
	return &Settings{
		Target: Target{HealthPath: DefaultHealthPath},
		Platform: Platform{
			ReadTimeout:  catalogue.Duration(DefaultReadTimeout),
			WatchTimeout: catalogue.Duration(DefaultWatchTimeout),
		},
		Peers:       Peers{FleetSize: DefaultFleetSize},
		LogLevel:    DefaultLogLevel,
		DrainLimit:  catalogue.Duration(DefaultDrainLimit),
		MemoryBytes: DefaultMemoryBytes,
	}
}

// Load reads, parses and validates a settings file, resolves its relative paths, and checks that the files that it names
// can be opened for reading. An error about the content is of type jsonc.Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read settings; give the path of a readable file")
	}
	s, pos, problems := parse(path, data)
	if len(problems) == 0 {
		s.resolve(filepath.Dir(path))
		problems = s.checkFiles()
	}
	pos.Locate(problems)
	problems.Sort()
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Parse parses and validates settings without opening the files that they name. The name of the file is used in problems
// only. The error is of type jsonc.Problems.
func Parse(file string, data []byte) (*Settings, error) {
	s, pos, problems := parse(file, data)
	pos.Locate(problems)
	problems.Sort()
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// parse returns the settings, the positions of their fields in data, and all problems of syntax and values, whose positions
// are not yet set.
func parse(file string, data []byte) (*Settings, *jsonc.Positions, jsonc.Problems) {
	s := Default()
	pos, err := jsonc.Decode(file, data, s)
	var problems jsonc.Problems
	errors.As(err, &problems)
	return s, pos, append(problems, pos.Unreported(s.check(), problems)...)
}

// filePaths returns all file paths of the settings.
func (s *Settings) filePaths() []stringField {
	fields := []stringField{{"tls.cert", &s.TLS.Cert}, {"tls.key", &s.TLS.Key}, {"tls.ca", &s.TLS.CA}}
	if c := s.TLS.Callers; c != nil {
		fields = append(fields, stringField{"tls.callers.cert", &c.Cert}, stringField{"tls.callers.key", &c.Key})
		if c.ClientCA != "" {
			fields = append(fields, stringField{"tls.callers.clientCA", &c.ClientCA})
		}
	}
	return fields
}

// stringField is a field of the settings: its path in the file, such as "tls.cert", and its value.
type stringField struct {
	path  string
	value *string
}

// resolve makes relative file paths relative to dir.
func (s *Settings) resolve(dir string) {
	for _, f := range s.filePaths() {
		if *f.value != "" && !filepath.IsAbs(*f.value) {
			*f.value = filepath.Join(dir, *f.value)
		}
	}
}

// checkFiles returns a problem for each file that can't be opened for reading.
func (s *Settings) checkFiles() jsonc.Problems {
	var problems jsonc.Problems
	for _, f := range s.filePaths() {
		file, err := os.Open(*f.value)
		if err != nil {
			problems.Add("", f.path, "cannot read file: "+err.Error(), "give the path of a readable PEM file")
			continue
		}
		file.Close()
	}
	return problems
}
