// Package settings reads the daemon's settings: JSON with comments, unknown fields refused, every problem reported in one
// run with line, cause and remedy.
//
// A complete file:
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

// Settings are the settings of one daemon.
type Settings struct {
	// Instance is the name of the instance that the daemon runs on; the platform's list uses the same name.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failureDomain"`
	// Service is the catalogue's name of the service that the instance's target runs.
	Service string `json:"service"`
	// Region is a hint used until the first catalogue tells the region of the failure domain; empty means none.
	Region string `json:"region"`
	Listen Listen `json:"listen"`
	Target Target `json:"target"`
	// Platform is where the catalogue and the lists of instances are read.
	Platform Platform `json:"platform"`
	Peers    Peers    `json:"peers"`
	TLS      TLS      `json:"tls"`
	// TrustOrganisationHeader takes a caller's organisation from the header Chervilwell-Organisation. Set it only where
	// every caller on the listener is trusted to name itself.
	TrustOrganisationHeader bool `json:"trustOrganisationHeader"`
	// LogLevel is one of trace, debug, info, warn, error.
	LogLevel string `json:"logLevel"`
	// DrainLimit bounds a graceful stop: what still runs after it is cancelled.
	DrainLimit catalogue.Duration `json:"drainLimit"`
	// MemoryBytes is the soft limit of the process's memory in bytes (see runtime/debug.SetMemoryLimit).
	MemoryBytes int64 `json:"memoryBytes"`
}

// Listen holds the addresses, IP:port, that the daemon listens on. Port 0 picks a free port.
type Listen struct {
	// Callers takes callers' HTTP, with TLS where TLS.Callers is set.
	Callers string `json:"callers"`
	// Requests takes requests from other daemons for the own target, with mutual TLS over TCP.
	Requests string `json:"requests"`
	// Peers takes configuration traffic from other daemons, QUIC over UDP.
	Peers string `json:"peers"`
	// Operator serves health, metrics and status over plain HTTP; bind it to an address that callers can't reach.
	Operator string `json:"operator"`
}

// Target is the target that shares the instance with the daemon.
type Target struct {
	// Addr is IP:port of its plain HTTP listener.
	Addr string `json:"addr"`
	// HealthPath is the path of its health endpoint.
	HealthPath string `json:"healthPath"`
}

// Platform tells how to read the platform.
type Platform struct {
	// URL is the base URL, http or https.
	URL string `json:"url"`
	// StoreRegions are the regions near the platform, whose readers watch it; empty means all.
	StoreRegions []string `json:"storeRegions"`
	// ReadTimeout bounds one read.
	ReadTimeout catalogue.Duration `json:"readTimeout"`
	// WatchTimeout bounds one waiting watch; it is renewed afterwards.
	WatchTimeout catalogue.Duration `json:"watchTimeout"`
}

// Peers tells whom a starting daemon asks.
type Peers struct {
	// Seeds are IP:port of some other daemons' peer listeners; a daemon that has none reads the platform.
	Seeds []string `json:"seeds"`
	// FleetSize is the approximate number of daemons; random delays after a mass restart grow with it.
	FleetSize int `json:"fleetSize"`
}

// TLS holds the paths of PEM files. Relative paths start at the directory of the settings file.
type TLS struct {
	// Cert, Key and CA identify daemons to each other. The certificate names instance and failure domain.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
	// Callers is the certificate shown to callers; without it callers' HTTP is plain.
	Callers *CallersTLS `json:"callers,omitempty"`
}

// CallersTLS holds the paths of the PEM files of the callers' listener.
type CallersTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// ClientCA signs callers' certificates, whose organisation names the catalogue's organisation; empty asks for none.
	ClientCA string `json:"clientCA"`
}

// Default values of the settings that a file may leave out.
const (
	DefaultHealthPath   = "/health"
	DefaultReadTimeout  = 2 * time.Second
	DefaultWatchTimeout = 60 * time.Second
	DefaultFleetSize    = 1000
	DefaultLogLevel     = "info"
	DefaultDrainLimit   = 15 * time.Second
	DefaultMemoryBytes  = 64 << 20
)

// Default returns settings that hold the default values and nothing else.
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

// Load reads, parses and checks a settings file, resolves its relative paths and checks that the files named can be read.
// An error about the content is of type jsonc.Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings can't be read; give the path of a readable file")
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

// Parse parses and checks settings without touching the files that they name. The error is of type jsonc.Problems.
func Parse(file string, data []byte) (*Settings, error) {
	s, pos, problems := parse(file, data)
	pos.Locate(problems)
	problems.Sort()
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

func parse(file string, data []byte) (*Settings, *jsonc.Positions, jsonc.Problems) {
	s := Default()
	pos, err := jsonc.Decode(file, data, s)
	var problems jsonc.Problems
	errors.As(err, &problems)
	return s, pos, append(problems, pos.Unreported(s.check(), problems)...)
}

// paths returns the places and values of all paths that the settings hold.
func (s *Settings) paths() []pathSetting {
	out := []pathSetting{{"tls.cert", &s.TLS.Cert}, {"tls.key", &s.TLS.Key}, {"tls.ca", &s.TLS.CA}}
	if c := s.TLS.Callers; c != nil {
		out = append(out, pathSetting{"tls.callers.cert", &c.Cert}, pathSetting{"tls.callers.key", &c.Key})
		if c.ClientCA != "" {
			out = append(out, pathSetting{"tls.callers.clientCA", &c.ClientCA})
		}
	}
	return out
}

// pathSetting is one path with its place in the file.
type pathSetting struct {
	place string
	value *string
}

func (s *Settings) resolve(dir string) {
	for _, p := range s.paths() {
		if *p.value != "" && !filepath.IsAbs(*p.value) {
			*p.value = filepath.Join(dir, *p.value)
		}
	}
}

func (s *Settings) checkFiles() jsonc.Problems {
	var problems jsonc.Problems
	for _, p := range s.paths() {
		f, err := os.Open(*p.value)
		if err != nil {
			problems.Add("", p.place, "file can't be read: "+err.Error(), "name a readable PEM file")
			continue
		}
		f.Close()
	}
	return problems
}
