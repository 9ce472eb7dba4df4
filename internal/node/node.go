// Package node runs one process of the mesh on a platform that provides neither certificates nor disks. It connects the
// follower, the frontend and the gatekeeper, and stops them in order.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/chervilwell/chervilwell/follow"
	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/connlimit"
	"github.com/chervilwell/chervilwell/internal/disconnect"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/unreadbody"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
	"github.com/chervilwell/chervilwell/platform"
	"github.com/chervilwell/chervilwell/proxy"
	"github.com/chervilwell/chervilwell/quota/exchange"
	"github.com/chervilwell/chervilwell/retrybudget"
	"github.com/chervilwell/chervilwell/shutdown"
)

// Limits and intervals of the process.
const (
	// headTimeout, idleTimeout and maxHeadBytes apply where the configuration has no limits.
	headTimeout  = 10 * time.Second
	idleTimeout  = 10 * time.Minute
	maxHeadBytes = 64 << 10
	// retryShare is the fraction of the permitted retries that is used. The remainder covers the calls made by retried
	// requests, up to two for each.
	retryShare = 0.35
	// assumedProcesses is the number of processes that share the slack of the retry budget.
	assumedProcesses = 64
	// idlePeriod is the time without active requests after which a stopping process exits.
	idlePeriod = 300 * time.Millisecond
	// endLead is the time before the end of the grace period at which requests that still run are ended, closeLead the one at which
	// connections are closed. The time between them is for the responses.
	endLead   = 250 * time.Millisecond
	closeLead = 100 * time.Millisecond
	stopTick  = 50 * time.Millisecond
)

// Node is one process of the mesh.
type Node struct {
	settings   *platform.Settings
	options    Options
	registry   *prometheus.Registry
	log        zerolog.Logger
	holder     *mesh.Holder
	follower   *follow.Follower
	frontend   *proxy.Frontend
	gatekeeper *proxy.Gatekeeper
	quotas     *exchange.Exchange
	leaving    atomic.Bool
	servers    []*http.Server
	bodies     *bodyroom.Room
	// states is the memory for responses that hold the state.
	states *bodyroom.Room
	// These bound the connections of callers, of other processes, of readiness probes, and of operators who read metrics; metrics may be nil.
	callers, peers, ready, metrics *connlimit.Listener
}

// Options are the settings of the daemon that do not come from the platform.
type Options struct {
	// LogEvery sets the sampling of successful requests: one in LogEvery is logged; 0 logs none.
	LogEvery uint64
	// MetricsPort is the port for metrics on the address of the local target; 0 disables it.
	MetricsPort uint16
	// LostLines returns the number of log lines lost because the output was too slow. It may be nil.
	LostLines func() uint64
}

// New returns a process that is not running yet.
func New(s *platform.Settings, o Options, log zerolog.Logger) *Node {
	n := &Node{settings: s, options: o, log: log, holder: &mesh.Holder{}, registry: prometheus.NewRegistry()}
	lineBudget := events.NewBudget(o.LogEvery)
	n.registerLineCounters(lineBudget)
	n.registry.MustRegister(clientCollector{n})
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	names, metrics := platform.Headers(), proxy.NewMetrics(n.registry)
	n.bodies, n.states = bodyroom.NewRoom(bodyMemory(s.MemoryBytes)), bodyroom.NewRoom(stateMemory(s.MemoryBytes))
	peers := proxy.NewPeers(s.Peers.Port())
	peers.ShareMemory(n.bodies)
	decoder := platform.Decoder{Regions: s.Regions}
	n.gatekeeper = proxy.NewGatekeeper(proxy.GatekeeperConfig{
		Bodies: n.bodies, Addr: s.Target, Service: s.Service, Peers: peers, LinkRate: s.LinkRate, Holder: n.holder, Names: names, DecodeNotice: platform.DecodeNotice,
		Log: log, LogBudget: lineBudget, Metrics: metrics,
	})
	n.registry.MustRegister(n.gatekeeper.HeldRequests()...)
	n.quotas = exchange.New(exchange.Config{
		Holder: n.holder, Self: s.Target.Addr(), Port: s.Peers.Port(), FailureDomain: s.FailureDomain, Region: s.Region, Bounds: s.Quota,
		Order: func(region string) []netip.Addr { return n.follower.Order(region) }, Log: log, Rand: rng(),
	})
	n.registry.MustRegister(exchange.NewMetrics(n.quotas))
	n.frontend = proxy.NewFrontend(proxy.FrontendConfig{
		Service: s.Service, FailureDomain: s.FailureDomain, Region: s.Region, Holder: n.holder, Gatekeeper: n.gatekeeper,
		Peers: peers, Names: names, Log: log, LogBudget: lineBudget, Metrics: metrics, Rand: rng(),
		StoreAge:    func() time.Duration { return n.follower.Age() },
		ApplyWithin: s.ApplyWithin, RevokeWithin: s.RevokeWithin, Quotas: n.quotas,
		RetryBudget: retrybudget.Limits{Ratio: retryShare * s.RetryRatio, Slack: retryShare * s.RetrySlack / assumedProcesses, Window: s.RetryWindow},
	})
	n.follower = follow.New(follow.Config{
		Source: platform.NewStore(s.Store, decoder, func(err error) { log.Warn().Err(err).Msg(events.EntryIgnored) }),
		Peers:  follow.NewPeerClient(s.Peers.Port()), Decode: decoder.Decode, Self: s.Target.Addr(), Region: s.Region,
		Holder: n.holder, ApplyWithin: s.ApplyWithin, Changed: n.stateChanged, Log: log, Metrics: follow.NewMetrics(n.registry), Rand: rng(),
		LinkRate: n.stateLinkRate, Reserve: n.reserveState,
	})
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervilwell_state_age_seconds", Help: "Time since the last known contact with the store, of this process or the peers that it follows.",
	}, func() float64 { return n.follower.Age().Seconds() }))
	return n
}

// stateLinkRate returns the rate of the local link for the state of other processes, in bytes per second: what the bodies sent to the
// local target, and its large responses, leave of it.
func (n *Node) stateLinkRate() float64 {
	rate, config := n.settings.LinkRate, n.holder.Load().Config
	if config == nil {
		return rate
	}
	if config.ReceivesUploads(n.settings.Service) {
		rate = min(rate, pacer.SpareRate(n.settings.LinkRate))
	}
	if config.SendsDownloads(n.settings.Service) {
		rate = min(rate, pacer.SpareOutboundRate(n.settings.LinkRate))
	}
	return rate
}

// stateChanged passes a new state to the parts that keep something of it.
func (n *Node) stateChanged(state *mesh.State) {
	n.gatekeeper.Update()
	n.quotas.Update(state)
}

// registerLineCounters registers the counters of log lines that were not written.
func (n *Node) registerLineCounters(lineBudget *events.Budget) {
	register := func(name, help string, value func() uint64) {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	register("chervilwell_log_lines_over_bound_total", "Lines about requests beyond the bound.", lineBudget.Dropped)
	if n.options.LostLines != nil {
		register("chervilwell_log_lines_lost_total", "Lines lost because the reader was too slow.", n.options.LostLines)
	}
}

// Run serves until ctx ends and then stops within the platform's grace period: callers are sent to other processes, and
// running requests finish. It returns an error if a listener cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	supervisor := suture.New("node", suture.Spec{EventHook: func(e suture.Event) { n.log.Error().Str("detail", e.String()).Msg(events.ComponentFailed) }})
	supervisor.Add(n.follower)
	supervisor.Add(n.quotas)
	done := supervisor.ServeBackground(serveCtx)
	<-ctx.Done()
	n.stop()
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "supervisor")
	}
	return nil
}

// listen opens the listeners and starts to serve on them.
func (n *Node) listen() error {
	type listener struct {
		addr    netip.AddrPort
		handler http.Handler
		clients clientListener
	}
	monitor := disconnect.NewMonitor(func(err error) { n.log.Error().Err(err).Msg(events.PollFailed) })
	listeners := []listener{
		{n.settings.Callers, monitor.Handler(n.frontend), n.callerListener()},
		{n.settings.Peers, n.peerHandler(monitor), n.peerListener()},
		{n.settings.Ready, unreadbody.Handler(http.HandlerFunc(n.serveReady)), operatorListener(readyMemoryShare, &n.ready)},
	}
	if port := n.options.MetricsPort; port != 0 {
		addr := netip.AddrPortFrom(n.settings.Target.Addr(), port)
		mux := http.NewServeMux()
		mux.Handle(proxy.HeldPath, proxy.HeldHandler(n.gatekeeper))
		mux.Handle(exchange.StatusPath, n.quotas.StatusHandler())
		mux.Handle("/", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
		listeners = append(listeners, listener{addr, unreadbody.Handler(mux), operatorListener(metricsMemoryShare, &n.metrics)})
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp4", l.addr.String())
		if err != nil {
			return errors.Wrapf(err, "cannot listen on %s; release the port or correct the address in the settings", l.addr)
		}
		server, limited := newServer(l.handler), n.limitClients(listener, l.clients)
		server.ConnState, server.MaxHeaderBytes = limited.ConnState, http.DefaultMaxHeaderBytes
		n.servers = append(n.servers, server)
		go func() {
			if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error().Str("listener", l.addr.String()).Err(err).Msg(events.ListenerFailed)
			}
		}()
	}
	return nil
}

// newServer returns a server for a listener. It passes all requests to the handler: by default it would answer "OPTIONS *" with a success
// that is no target's.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ConnContext: connContext, DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
}

// connContext makes a connection known to the handlers of its requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return connlimit.ConnContext(disconnect.ConnContext(ctx, conn), conn)
}

// peerHandler returns the handler for other processes: it serves their requests for the local target, their notices and their queries of
// the state.
func (n *Node) peerHandler(monitor *disconnect.Monitor) http.Handler {
	calls, notices := monitor.Handler(proxy.PeerHandler(n.gatekeeper)), n.receiveMessage(proxy.QuarantineHandler(n.gatekeeper))
	quotas, state := n.receiveMessage(n.quotas), unreadbody.Handler(n.follower)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if proxy.IsCall(r) {
			calls.ServeHTTP(w, r)
			return
		}
		if proxy.IsQuarantineNotice(r) {
			notices.ServeHTTP(w, r)
			return
		}
		if r.URL.Path == exchange.Path {
			quotas.ServeHTTP(w, r)
			return
		}
		state.ServeHTTP(w, r)
	})
}

// serveReady serves the platform's readiness probe: 200 if callers may be sent here, otherwise 503.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if n.leaving.Load() || n.holder.Load().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop sends callers and peers to other processes, and closes all connections once no requests are active or the grace period is about
// to end. Requests that arrive until then are served or refused.
func (n *Node) stop() {
	start := clock.Now()
	window := shutdown.NewWindow(start, n.settings.StopGrace)
	n.log.Info().Int64("active", n.active()).Msg(events.Stopping)
	n.leaving.Store(true)
	n.frontend.StartDraining(window)
	n.gatekeeper.StartDraining(window)
	end := start.Add(n.settings.StopGrace - endLead)
	n.waitIdle(window.Drained(), end)
	closing, closeNow := context.WithTimeout(context.Background(), start.Add(n.settings.StopGrace-closeLead).Sub(clock.Now()))
	defer closeNow()
	closed := n.closeServers(closing)
	go func() {
		for clock.Now().Before(end) {
			n.waitIdle(clock.Now(), end) // a request may have arrived while the listeners were closed
			if n.active() == 0 {
				closeNow() // connections without a request
				return
			}
		}
		n.frontend.End()
		n.gatekeeper.End()
	}()
	<-closed
	n.log.Info().Dur("took", clock.Now().Sub(start)).Int64("active", n.active()).Msg(events.Stopped)
}

// waitIdle waits until callers are drained and no requests have been active for idlePeriod, but not longer than until end.
func (n *Node) waitIdle(drained, end time.Time) {
	lastActive := clock.Now()
	for now := clock.Now(); now.Before(end); now = clock.Now() {
		if n.active() > 0 {
			lastActive = now
		}
		if !now.Before(drained) {
			n.gatekeeper.Stop()
			if now.Sub(lastActive) >= idlePeriod {
				return
			}
		}
		time.Sleep(stopTick)
	}
}

// closeServers closes the listeners, and each connection once it has no request in progress, at the latest when ctx ends. It closes the
// channel that it returns when all of them are closed.
func (n *Node) closeServers(ctx context.Context) <-chan struct{} {
	var servers sync.WaitGroup
	for _, s := range n.servers {
		servers.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				s.Close()
			}
		})
	}
	closed := make(chan struct{})
	go func() {
		servers.Wait()
		close(closed)
	}()
	return closed
}

func (n *Node) active() int64 { return n.frontend.Active() + n.gatekeeper.Active() }
