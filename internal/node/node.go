// Package node runs one process of the mesh on a platform without certificates or disks: it wires the follower, the frontend and
// the gatekeeper together and takes them down in order.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/chervilwell/chervilwell/budget"
	"github.com/chervilwell/chervilwell/follow"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/platform"
	"github.com/chervilwell/chervilwell/proxy"
)

// Figures of the process.
const (
	// headerTimeout, idleTimeout and maxHeaderBytes lie above the operators' limits for callers, so that a caller within them is never
	// cut; operators set seconds to tens of seconds and 16 KB.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 10 * time.Minute
	maxHeaderBytes = 64 << 10
	// repeatShare is the part of the allowed repeats that is used; the rest covers the calls that repeated requests make, which are
	// up to two for each.
	repeatShare = 0.35
	// assumedFleet is the number of processes among which the slack of repeats is shared.
	assumedFleet = 64
	// callersLeave is the time after the signal to stop in which the platform stops sending callers: it asks every second and
	// takes two misses for an answer.
	callersLeave = 2500 * time.Millisecond
	// quietFor is the time without work after which a stopping process ends.
	quietFor = 300 * time.Millisecond
	// lastWork is the time before the end by force at which what still runs is given up.
	lastWork = 200 * time.Millisecond
	stopTick = 50 * time.Millisecond
)

// Node is one process.
type Node struct {
	settings   *platform.Settings
	options    Options
	registry   *prometheus.Registry
	log        zerolog.Logger
	holder     *mesh.Holder
	follower   *follow.Follower
	frontend   *proxy.Frontend
	gatekeeper *proxy.Gatekeeper
	leaving    atomic.Bool
	servers    []*http.Server
}

// Options are the daemon's own settings beside the platform's.
type Options struct {
	// LogEvery is the number of good requests of which one is logged; 0 logs none.
	LogEvery uint64
	// MetricsPort serves the metrics on the machine's address; 0 serves none.
	MetricsPort uint16
	// Lost returns the number of log lines lost for want of room.
	Lost func() uint64
}

// New builds a process that does not run yet.
func New(s *platform.Settings, o Options, log zerolog.Logger) *Node {
	n := &Node{settings: s, options: o, log: log, holder: &mesh.Holder{}, registry: prometheus.NewRegistry()}
	lines := events.NewBudget(o.LogEvery)
	n.countLines(lines)
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	names, metrics := platform.Headers(), proxy.NewMetrics(n.registry)
	decoder := platform.Decoder{Regions: s.Regions}
	n.gatekeeper = proxy.NewGatekeeper(proxy.GatekeeperConfig{
		Addr: s.Target, Service: s.Service, LinkRate: s.LinkRate, Holder: n.holder, Names: names, Log: log, Lines: lines, Metrics: metrics,
	})
	n.frontend = proxy.NewFrontend(proxy.FrontendConfig{
		Service: s.Service, FailureDomain: s.FailureDomain, Region: s.Region, Holder: n.holder, Gatekeeper: n.gatekeeper,
		Peers: proxy.NewPeers(s.Peers.Port()), Names: names, Log: log, Lines: lines, Metrics: metrics, Rand: rng(),
		Age:     func() time.Duration { return n.follower.Age() },
		Repeats: budget.Terms{Ratio: repeatShare * s.RepeatRatio, Slack: repeatShare * s.RepeatSlack / assumedFleet, Window: s.RepeatWindow},
	})
	n.follower = follow.New(follow.Config{
		Source: platform.NewStore(s.Store, decoder, func(err error) { log.Warn().Err(err).Msg(events.EntryUnused) }),
		Peers:  follow.NewPeerClient(s.Peers.Port()), Decode: decoder.Decode, Self: s.Target.Addr(), Region: s.Region,
		Holder: n.holder, ApplyWithin: s.ApplyWithin, Changed: func(*mesh.State) { n.gatekeeper.Update() }, Log: log, Rand: rng(),
	})
	return n
}

// countLines serves the number of log lines that were not written.
func (n *Node) countLines(lines *events.Budget) {
	count := func(name, help string, value func() uint64) {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	count("chervilwell_log_lines_over_bound_total", "Lines about requests beyond the bound.", lines.Dropped)
	if n.options.Lost != nil {
		count("chervilwell_log_lines_lost_total", "Lines lost because the reader was too slow.", n.options.Lost)
	}
}

// Run serves until ctx ends, then stops within the platform's grace: callers are sent elsewhere, what runs is finished.
func (n *Node) Run(ctx context.Context) error {
	run, end := context.WithCancel(context.Background())
	defer end()
	if err := n.listen(); err != nil {
		return err
	}
	tree := suture.New("node", suture.Spec{EventHook: func(e suture.Event) { n.log.Error().Str("detail", e.String()).Msg(events.PartFailed) }})
	tree.Add(n.follower)
	done := tree.ServeBackground(run)
	<-ctx.Done()
	n.stop()
	end()
	for _, s := range n.servers {
		s.Close()
	}
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "supervisor")
	}
	return nil
}

// listen opens the listeners and serves on them.
func (n *Node) listen() error {
	type listener struct {
		addr    netip.AddrPort
		handler http.Handler
	}
	listeners := []listener{
		{n.settings.Callers, n.frontend},
		{n.settings.Peers, n.peers()},
		{n.settings.Ready, http.HandlerFunc(n.ready)},
	}
	if port := n.options.MetricsPort; port != 0 {
		addr := netip.AddrPortFrom(n.settings.Target.Addr(), port)
		listeners = append(listeners, listener{addr, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})})
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp4", l.addr.String())
		if err != nil {
			return errors.Wrapf(err, "listener %s; free the port or correct the settings", l.addr)
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		n.servers = append(n.servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error().Str("listener", l.addr.String()).Err(err).Msg(events.ListenerFailed)
			}
		}()
	}
	return nil
}

// peers serves the other processes: their requests for the own target, and their questions about the state.
func (n *Node) peers() http.Handler {
	calls := proxy.ServePeers(n.gatekeeper)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if proxy.IsCall(r) {
			calls.ServeHTTP(w, r)
			return
		}
		n.follower.ServeHTTP(w, r)
	})
}

// ready answers the platform's question whether to send callers.
func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
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

// stop sends callers and peers elsewhere and waits until the work is done or the grace ends.
func (n *Node) stop() {
	began := clock.Now()
	n.log.Info().Int64("active", n.work()).Msg(events.Stopping)
	n.leaving.Store(true)
	n.frontend.Leave()
	n.gatekeeper.Leave()
	quiet, last := began, n.lastEntry()
	for {
		time.Sleep(stopTick)
		now := clock.Now()
		if n.work() > 0 {
			quiet = now
		}
		past := now.Sub(began)
		if past >= callersLeave {
			n.gatekeeper.Stop()
		}
		if past >= last {
			n.frontend.Stop()
		}
		if past >= callersLeave && now.Sub(quiet) >= quietFor || past >= n.settings.StopGrace-lastWork {
			n.log.Info().Dur("took", past).Int64("active", n.work()).Msg(events.Stopped)
			return
		}
	}
}

// lastEntry returns the time after the signal to stop from which on callers are refused, so that what was let in before is
// finished within the grace. Some callers keep coming where too few other processes are left.
func (n *Node) lastEntry() time.Duration {
	var longest time.Duration
	if c := n.holder.Load().Config; c != nil {
		for _, r := range c.Routes {
			longest = max(longest, r.Timeout)
		}
	}
	return max(n.settings.StopGrace-2*lastWork-longest, callersLeave)
}

func (n *Node) work() int64 { return n.frontend.Active() + n.gatekeeper.Active() }
