package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/jsonc"
)

// Limits of setting values. minMemoryBytes is in bytes.
const (
	minTimeout      = 10 * time.Millisecond
	maxReadTimeout  = time.Minute
	maxWatchTimeout = 10 * time.Minute
	maxDrainLimit   = 10 * time.Minute
	minMemoryBytes  = 16 << 20
	maxFleetSize    = 10_000_000
	maxSeeds        = 1000
)

// checker collects the problems of the settings.
type checker struct{ jsonc.Problems }

// check returns all problems of the settings. It does not open the files that they name.
func (s *Settings) check() jsonc.Problems {
	var c checker
	c.name("instance", s.Instance)
	c.name("failureDomain", s.FailureDomain)
	c.name("service", s.Service)
	if s.Region != "" {
		c.name("region", s.Region)
	}
	c.listen(&s.Listen)
	c.target(&s.Target)
	c.platform(&s.Platform)
	c.peers(&s.Peers)
	c.tls(s)
	if level, err := zerolog.ParseLevel(s.LogLevel); err != nil || level < zerolog.TraceLevel || level > zerolog.ErrorLevel {
		c.Add("", "logLevel", fmt.Sprintf("log level %q is unknown", s.LogLevel), "use trace, debug, info, warn or error")
	}
	c.duration("drainLimit", s.DrainLimit, minTimeout, maxDrainLimit)
	if s.MemoryBytes < minMemoryBytes {
		c.Add("", "memoryBytes", fmt.Sprintf("memory limit is %d bytes", s.MemoryBytes), fmt.Sprintf("give at least %d", minMemoryBytes))
	}
	return c.Problems
}

func (c *checker) name(path, name string) {
	if cause := catalogue.NameProblem(name); cause != "" {
		c.Add("", path, cause, catalogue.NameRemedy)
	}
}

func (c *checker) duration(path string, d catalogue.Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.Add("", path, fmt.Sprintf("duration is %s", d.Std()), fmt.Sprintf("give %s to %s", low, high))
	}
}

// addr checks that addr is IP:port. Port 0 and an unspecified IP are allowed only if the daemon listens on the address.
func (c *checker) addr(path, addr string, isListener bool) {
	if addr == "" {
		c.Add("", path, "address is missing", `give IP:port, such as "10.0.0.3:8443"`)
		return
	}
	addrPort, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		c.Add("", path, fmt.Sprintf("address %q is not IP:port", addr), `write it like "10.0.0.3:8443" or "[::1]:8443"`)
	case addrPort.Port() == 0 && !isListener:
		c.Add("", path, fmt.Sprintf("address %q has port 0", addr), "give the port that the remote side listens on")
	case addrPort.Addr().IsUnspecified() && !isListener:
		c.Add("", path, fmt.Sprintf("address %q has an unspecified IP", addr), "give the IP of the remote side")
	}
}

func (c *checker) listen(l *Listen) {
	c.addr("listen.callers", l.Callers, true)
	c.addr("listen.requests", l.Requests, true)
	c.addr("listen.peers", l.Peers, true)
	c.addr("listen.operator", l.Operator, true)
	// listen.peers is a UDP address and may have the same port number as a TCP listener.
	usedBy := map[string]string{}
	for _, f := range []stringField{{"listen.callers", &l.Callers}, {"listen.requests", &l.Requests}, {"listen.operator", &l.Operator}} {
		if *f.value == "" || strings.HasSuffix(*f.value, ":0") {
			continue
		}
		if other := usedBy[*f.value]; other != "" {
			c.Add("", f.path, fmt.Sprintf("address %s is also used by %s", *f.value, other), "give each TCP listener its own address")
		}
		usedBy[*f.value] = f.path
	}
}

func (c *checker) target(t *Target) {
	c.addr("target.addr", t.Addr, false)
	if !strings.HasPrefix(t.HealthPath, "/") {
		c.Add("", "target.healthPath", fmt.Sprintf("health path %q doesn't begin with /", t.HealthPath), `write it like "/health"`)
	}
}

func (c *checker) platform(p *Platform) {
	u, err := url.Parse(p.URL)
	switch {
	case p.URL == "":
		c.Add("", "platform.url", "URL is missing", `give a base URL, such as "http://10.0.0.1:7000"`)
	case err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "":
		c.Add("", "platform.url", fmt.Sprintf("URL %q has no host or a scheme other than http and https", p.URL), `write it like "http://10.0.0.1:7000"`)
	case u.RawQuery != "" || u.Fragment != "":
		c.Add("", "platform.url", fmt.Sprintf("URL %q has a query or fragment", p.URL), "give the base URL only")
	}
	for i, region := range p.StoreRegions {
		c.name(fmt.Sprintf("platform.storeRegions[%d]", i), region)
	}
	c.duration("platform.readTimeout", p.ReadTimeout, minTimeout, maxReadTimeout)
	c.duration("platform.watchTimeout", p.WatchTimeout, time.Second, maxWatchTimeout)
}

func (c *checker) peers(p *Peers) {
	if len(p.Seeds) > maxSeeds {
		c.Add("", "peers.seeds", fmt.Sprintf("list has %d seeds", len(p.Seeds)), fmt.Sprintf("give at most %d", maxSeeds))
	}
	for i, seed := range p.Seeds {
		c.addr(fmt.Sprintf("peers.seeds[%d]", i), seed, false)
	}
	if p.FleetSize < 1 || p.FleetSize > maxFleetSize {
		c.Add("", "peers.fleetSize", fmt.Sprintf("fleet size is %d", p.FleetSize), fmt.Sprintf("give 1 to %d", maxFleetSize))
	}
}

func (c *checker) tls(s *Settings) {
	for _, f := range s.filePaths() {
		if *f.value == "" {
			c.Add("", f.path, "path is missing", "give the path of a PEM file")
		}
	}
	hasClientCA := s.TLS.Callers != nil && s.TLS.Callers.ClientCA != ""
	if !hasClientCA && !s.TrustOrganisationHeader {
		c.Add("", "tls.callers", "callers cannot be assigned to an organisation",
			"set tls.callers.clientCA, or set trustOrganisationHeader if every caller is trusted")
	}
}
