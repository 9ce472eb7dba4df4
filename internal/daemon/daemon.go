// Package daemon assembles the components of one process (certificates, distribution, frontend, admission and the
// operator listener) under one supervision tree. It decides only the order of startup and shutdown.
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
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/operator"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/settings"
	"github.com/chervilwell/chervilwell/snapshot"
)

const (
	// processCheckInterval is the interval between checks of whether the process has joined or was paused.
	processCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two checks above which the process is considered to have been paused.
	pauseThreshold = 2 * time.Second
	// leaveTimeout bounds announcing to peers that the instance is leaving.
	leaveTimeout = time.Second
	// taskStopTimeout bounds the wait for the supervised tasks to end after the drain.
	taskStopTimeout = 5 * time.Second
)

// Daemon is one chervilwelld process. Create it with New and run it with Run.
type Daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	trail    *audit.Trail
	holder   *snapshot.Holder
	process  *process

	certs       *Certificates
	transport   *peer.QUIC
	agent       *agent.Agent
	gate        *gatekeeper.Gatekeeper
	link        *linkbudget.Budget
	requests    *gatekeeper.Server
	front       *frontend.Frontend
	picker      *frontend.Picker
	callers     *frontend.Server
	operator    *operatorServer
	budget      *operator.Budget
	domainWatch *domainWatch

	listeners listeners
	drained   chan struct{}
	drainOnce sync.Once
}

// listeners holds the TCP listeners of a daemon. A listener that is not open yet is nil.
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

// Addresses holds the listen addresses (host:port) in use. Where the settings give port 0, the port is the one that the
// operating system assigned.
type Addresses struct {
	Callers, Requests, Peers, Operator string
}

// New opens the listeners and builds the components. On an error with a listener, a certificate or a state chart it closes
// whatever it opened and returns the error.
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
	for _, step := range []func() error{d.loadCerts, d.listen, d.buildAgent, d.buildRequests, d.buildDomainWatch, d.buildProcess, d.buildOperator} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) loadCerts() error {
	var err error
	d.certs, err = LoadCertificates(d.settings, d.auditRotation)
	return err
}

// auditRotation returns a function that writes an audit record for each rotation of the named certificate store.
func (d *Daemon) auditRotation(name string) func(error) {
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

// Addresses returns the listen addresses in use.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers:  d.listeners.callers.Addr().String(),
		Requests: d.listeners.requests.Addr().String(),
		Operator: d.listeners.operator.Addr().String(),
		Peers:    d.transport.Addr(),
	}
}

// self returns the instance entry of this daemon.
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

func (d *Daemon) buildProcess() error {
	var err error
	d.process, err = newProcess(map[chart.Action]func(){
		charts.DoProcessBeginJoin:       func() { d.log.Info().Msg("joining: asking peers, then the platform") },
		charts.DoProcessAnnounceServing: d.announceServing,
		charts.DoProcessAnnounceLeaving: d.announceLeaving,
		charts.DoProcessStopAdmission:   func() { go d.drain() },
		charts.DoProcessCancelRunning:   func() { d.log.Warn().Msg("drain limit reached; cancelling running requests") },
		charts.DoProcessCloseListeners:  func() { d.log.Info().Msg("closing listeners") },
	}, d.trail, d.log)
	return err
}

// Run serves until ctx is done, then drains: it announces to peers that the instance is leaving, so that they stop picking
// it, refuses new requests as not run, and waits for running requests. Run returns nil if they finish within the drain
// limit, and an error otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	tree := d.tree()
	done := tree.ServeBackground(treeCtx)
	d.process.Fire(charts.OnProcessListening)
	<-ctx.Done()
	err := d.stop()
	stopTree()
	select {
	case <-done:
	case <-time.After(taskStopTimeout):
		d.log.Warn().Msg("supervised tasks did not end within the stop timeout")
	}
	d.closeAll()
	return err
}

// tree returns the supervision tree. A task that fails is restarted without affecting the others.
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
	tree.Add(&processMonitor{d})
	tree.Add(&domainMonitor{holder: d.holder, watch: d.domainWatch})
	return tree
}

// stop moves the process from its current state to stopped. It blocks until the drain is complete or the drain limit has
// passed, and returns an error in the latter case.
func (d *Daemon) stop() error {
	d.process.Fire(charts.OnProcessStop)
	if d.process.State() != charts.ProcessDraining {
		return nil
	}
	select {
	case <-d.drained:
		d.process.Fire(charts.OnProcessDrained)
		return nil
	case <-time.After(d.settings.DrainLimit.Std()):
		d.process.Fire(charts.OnProcessDrainLimit)
		return errors.Errorf("drain limit %s reached with requests running; raise drainLimit above the longest route timeout", d.settings.DrainLimit.Std())
	}
}

// announceServing publishes a serving notice, which supersedes a leaving notice of an earlier incarnation of the instance.
func (d *Daemon) announceServing() {
	d.log.Info().Uint64("revision", d.agent.Revision()).Msg("serving")
	d.agent.PublishNotice(servingKind, d.settings.Instance, nil, servingTTL)
}

func (d *Daemon) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.agent.AnnounceLeaving(ctx)
}

// drain drains admission and shuts down the callers' server concurrently, then shuts down the request server. It closes
// d.drained if all of this finishes within the drain limit.
func (d *Daemon) drain() {
	d.drainOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit.Std())
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() { d.auditDrain("admission", d.gate.Drain(ctx)) })
		wg.Go(func() { d.auditDrain("callers", d.callers.Shutdown(ctx)) })
		wg.Wait()
		d.auditDrain("requests", d.requests.Shutdown(ctx))
		if ctx.Err() == nil {
			close(d.drained)
		}
	})
}

func (d *Daemon) auditDrain(part string, err error) {
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

// processMonitor is the supervised task that checks whether the process has joined and whether it was paused.
type processMonitor struct{ d *Daemon }

// String returns the name of the task in supervisor events.
func (m *processMonitor) String() string { return "life" }

// Serve checks the process every processCheckInterval until ctx is done.
func (m *processMonitor) Serve(ctx context.Context) error {
	return periodic.Every(ctx, processCheckInterval, m.check)
}

// check fires the events of the process chart that follow from the agent's state. After a pause it resets the agent and the
// picker before it records the time of the check, so that no request is decided on outdated state.
func (m *processMonitor) check(now time.Time) {
	if m.d.process.Paused(now) {
		m.d.agent.Resume()
		m.d.picker.Reset()
	}
	if m.d.agent.Joined() {
		m.d.process.Fire(charts.OnProcessSnapshotInForce)
	} else {
		m.d.process.Fire(charts.OnProcessPaused)
	}
	m.d.process.MarkChecked(now)
}
