package daemon

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/agent"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/origin"
)

// buildAgent opens the transport between daemons and builds the distribution agent that uses it.
func (d *Daemon) buildAgent() error {
	s := d.settings
	var err error
	d.transport, err = peer.Listen(peer.Config{Addr: s.Listen.Peers, Certs: d.certs.Internal, Log: d.log})
	if err != nil {
		return err
	}
	source, err := origin.NewHTTP(s.Platform.URL, &http.Client{})
	if err != nil {
		return err
	}
	source.OnInvalid = func(err error) { d.log.Warn().Err(err).Msg("entry of an instance list is not used") }
	d.agent = agent.New(agent.Config{
		Self:         d.self(),
		Region:       s.Region,
		StoreRegions: s.Platform.StoreRegions,
		Seeds:        s.Peers.Seeds,
		Source:       source,
		Transport:    d.transport,
		Holder:       d.holder,
		Audit:        d.trail,
		Registerer:   d.registry,
		Log:          d.log,
		FleetSize:    s.Peers.FleetSize,
	})
	return nil
}

// buildRequests builds admission and the frontend. The frontend reaches the admission of its own instance by a function call.
func (d *Daemon) buildRequests() error {
	s := d.settings
	remote := frontend.NewHTTPTransport(d.certs.Internal)
	d.link = linkbudget.New(linkbudget.Config{Instance: s.Instance, FailureDomain: s.FailureDomain, Holder: d.holder, Peers: remote})
	d.gate = gatekeeper.New(gatekeeper.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Service: s.Service, TargetAddr: s.Target.Addr,
		Holder: d.holder, Current: d.current, Peers: remote, Link: d.link, Trail: d.trail, Log: d.log,
	})
	d.requests = gatekeeper.NewServer(d.listeners.requests, d.certs.Internal.PeerServer("http/1.1"), d.gate)
	d.picker = frontend.NewPicker(s.Instance, s.FailureDomain)
	d.subscribeNotices()
	d.front = frontend.New(frontend.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Holder: d.holder, Current: d.current,
		Picker: d.picker,
		Transport: &frontend.LocalTransport{
			Instance: s.Instance, Gatekeeper: d.gate, Remote: remote,
		},
		LinkBudget:              d.link,
		TrustOrganisationHeader: s.TrustOrganisationHeader,
		Registerer:              d.registry,
		Log:                     d.log,
	})
	d.callers = frontend.NewServer(d.listeners.callers, d.callerConfig(), d.front)
	return nil
}

// subscribeNotices makes the picker follow the leaving and serving notices of instances.
func (d *Daemon) subscribeNotices() {
	f := newNoticeFilter(d.picker.SetLeaving)
	handle := func(n distribution.Notice) { f.apply(time.Now(), n) }
	d.agent.SubscribeNotice(distribution.LeavingKind, handle)
	d.agent.SubscribeNotice(servingKind, handle)
}

// current reports whether the process may make decisions from its current snapshot.
func (d *Daemon) current() bool { return d.process.Current(time.Now()) }

// callerConfig returns the TLS configuration of the callers' listener, or nil if it serves plain HTTP.
func (d *Daemon) callerConfig() *tls.Config {
	if d.certs.Callers == nil {
		return nil
	}
	return d.certs.Callers.CallerServer()
}

// buildDomainWatch builds the watch on failure domains that operators take out of service.
func (d *Daemon) buildDomainWatch() error {
	var err error
	d.domainWatch, err = newDomainWatch(d.settings.FailureDomain, d.settings.Service, d.gate, d.trail)
	return err
}
