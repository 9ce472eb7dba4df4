// Package daemon wires the parts of one process: certificates, distribution, frontend, admission and the operators'
// listener, under one supervision tree. It takes no decisions of its own beyond the order of start and stop.
package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/internal/agent"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/operator"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/settings"
	"github.com/chervilwell/chervilwell/snapshot"
)

const (
	// lifeInterval is the time between two looks at whether the process has joined.
	lifeInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two looks after which the process counts as having been paused.
	pauseThreshold = 2 * time.Second
	// leaveTimeout bounds the announcement that the instance is leaving.
	leaveTimeout = time.Second
	// stopTimeout bounds the end of the duties after the drain.
	stopTimeout = 5 * time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	trail    *audit.Trail
	holder   *snapshot.Holder
	life     *life

	certs     *Certificates
	transport *peer.Quic
	agent     *agent.Agent
	gate      *gatekeeper.Gatekeeper
	link      *linkbudget.Budget
	requests  *gatekeeper.Server
	front     *frontend.Frontend
	picker    *frontend.Picker
	callers   *frontend.Server
	operator  *operatorServer
	budget    *operator.Budget
	service   *serviceWatch

	listeners listeners
	drained   chan struct{}
	drainOnce sync.Once
}

// listeners are the open sockets of a daemon.
type listeners struct {
	callers, requests, operator net.Listener
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.requests, l.operator} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Addresses are the addresses in use, with the ports that the system chose where the settings say 0.
type Addresses struct {
	Callers, Requests, Peers, Operator string
}

// New opens the listeners and builds the parts. It fails, leaving nothing open, where a listener, a certificate or a state
// chart can't be used.
func New(s *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log,
		registry: prometheus.NewRegistry(),
		trail:    audit.New(audit.DefaultCapacity, log),
		holder:   snapshot.NewHolder(),
		drained:  make(chan struct{}),
	}
	if err := d.build(); err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	for _, step := range []func() error{d.loadCerts, d.listen, d.buildAgent, d.buildRequests, d.buildService, d.buildLife, d.buildOperator} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) loadCerts() error {
	var err error
	d.certs, err = LoadCertificates(d.settings, d.certReport)
	return err
}

// certReport returns the function that audits rotations of a certificate store.
func (d *Daemon) certReport(name string) func(error) {
	return func(err error) {
		rec := audit.Record{Time: time.Now(), Kind: audit.Certificate, Subject: name, Detail: "rotated"}
		if err != nil {
			rec.Detail = "rotation refused: " + err.Error()
			rec.Remedy = "replace the files by a matching pair that the authority signed; the old pair stays in use"
		}
		d.trail.Add(rec)
	}
}

func (d *Daemon) listen() error {
	var err error
	if d.listeners.callers, err = net.Listen("tcp", d.settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	if d.listeners.requests, err = net.Listen("tcp", d.settings.Listen.Requests); err != nil {
		return errors.Wrap(err, "listen.requests")
	}
	if d.listeners.operator, err = net.Listen("tcp", d.settings.Listen.Operator); err != nil {
		return errors.Wrap(err, "listen.operator")
	}
	return nil
}

// Addresses returns the addresses in use.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers:  d.listeners.callers.Addr().String(),
		Requests: d.listeners.requests.Addr().String(),
		Operator: d.listeners.operator.Addr().String(),
		Peers:    d.transport.Addr(),
	}
}

// self returns the daemon's own entry as peers see it.
func (d *Daemon) self() origin.Instance {
	return origin.Instance{
		Name:          d.settings.Instance,
		FailureDomain: d.settings.FailureDomain,
		Service:       d.settings.Service,
		PeerAddr:      d.transport.Addr(),
		RequestAddr:   d.listeners.requests.Addr().String(),
		State:         origin.Live,
	}
}

func (d *Daemon) buildLife() error {
	var err error
	d.life, err = newLife(map[chart.Action]func(){
		charts.DoProcessBeginJoin:       func() { d.log.Info().Msg("joining: asking peers, then the platform") },
		charts.DoProcessAnnounceServing: d.announceServing,
		charts.DoProcessAnnounceLeaving: d.announceLeaving,
		charts.DoProcessStopAdmission:   func() { go d.drain() },
		charts.DoProcessCancelRunning:   func() { d.log.Warn().Msg("drain limit reached; cancelling what still runs") },
		charts.DoProcessCloseListeners:  func() { d.log.Info().Msg("closing listeners") },
	}, d.trail, d.log)
	return err
}

// Run serves until ctx ends, then drains: the instance stops being picked, new work is refused as not run, what runs
// finishes within the drain limit, peers are told, and Run returns nil. A drain that reaches its limit yields an error.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	tree := d.tree()
	done := tree.ServeBackground(treeCtx)
	d.life.Fire(charts.OnProcessListening)
	<-ctx.Done()
	err := d.stop()
	stopTree()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		d.log.Warn().Msg("duties did not end in time")
	}
	d.closeAll()
	return err
}

// tree returns the supervision tree: each duty is restarted by itself when it fails.
func (d *Daemon) tree() *suture.Supervisor {
	tree := suture.New("chervilwelld", suture.Spec{EventHook: func(e suture.Event) {
		d.log.Warn().Fields(e.Map()).Msg("supervisor event")
	}})
	tree.Add(d.certs.Internal)
	if d.certs.Callers != nil {
		tree.Add(d.certs.Callers)
	}
	tree.Add(d.agent)
	tree.Add(d.gate)
	tree.Add(d.link)
	tree.Add(d.requests)
	tree.Add(d.callers)
	tree.Add(d.operator)
	tree.Add(d.budget)
	tree.Add(&lifeDuty{d})
	tree.Add(&serviceDuty{holder: d.holder, watch: d.service})
	return tree
}

// stop takes the process from its current state to stopped.
func (d *Daemon) stop() error {
	d.life.Fire(charts.OnProcessStop)
	if d.life.State() != charts.ProcessDraining {
		return nil
	}
	select {
	case <-d.drained:
		d.life.Fire(charts.OnProcessDrained)
		return nil
	case <-time.After(d.settings.DrainLimit.Std()):
		d.life.Fire(charts.OnProcessDrainLimit)
		return errors.Errorf("drain limit %s reached with requests running; raise drainLimit above the longest route timeout", d.settings.DrainLimit.Std())
	}
}

// announceServing ends peers' belief in a word of leaving from an earlier life of the instance.
func (d *Daemon) announceServing() {
	d.log.Info().Uint64("revision", d.agent.Revision()).Msg("serving")
	d.agent.PublishNotice(servingKind, d.settings.Instance, nil, servingTTL)
}

func (d *Daemon) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.agent.Leave(ctx)
}

// drain ends admission and the callers' listener side by side and closes d.drained when nothing runs any more.
func (d *Daemon) drain() {
	d.drainOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit.Std())
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() { d.logDrain("admission", d.gate.Drain(ctx)) })
		wg.Go(func() { d.logDrain("callers", d.callers.Shutdown(ctx)) })
		wg.Wait()
		d.logDrain("requests", d.requests.Shutdown(ctx))
		if ctx.Err() == nil {
			close(d.drained)
		}
	})
}

func (d *Daemon) logDrain(part string, err error) {
	rec := audit.Record{Time: time.Now(), Kind: audit.Drain, Subject: part, Detail: "finished"}
	if err != nil {
		rec.Detail = "cut short: " + err.Error()
		rec.Remedy = "raise drainLimit in the settings"
	}
	d.trail.Add(rec)
}

func (d *Daemon) closeAll() {
	d.listeners.close()
	if d.transport != nil {
		_ = d.transport.Close()
	}
}

// lifeDuty watches whether the process has joined and whether it was paused.
type lifeDuty struct{ d *Daemon }

// String names the duty in the supervisor's events.
func (l *lifeDuty) String() string { return "life" }

// Serve looks at the process until the context ends.
func (l *lifeDuty) Serve(ctx context.Context) error {
	return duty.Every(ctx, lifeInterval, l.look)
}

// look moves the process on its chart. After a pause the agent drops its beliefs before the time of the look counts, so that
// nothing is decided in between.
func (l *lifeDuty) look(now time.Time) {
	if l.d.life.Paused(now) {
		l.d.agent.Woken()
		l.d.picker.Reset()
	}
	if l.d.agent.Joined() {
		l.d.life.Fire(charts.OnProcessSnapshotInForce)
	} else {
		l.d.life.Fire(charts.OnProcessPaused)
	}
	l.d.life.Looked(now)
}
