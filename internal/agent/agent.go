// Package agent drives the decisions of package distribution with real time, peers and the platform, and puts what they
// accept in force.
//
// Each duty has a goroutine: the ticker, the receiver, the reader of the platform, the applier and the deliverer of
// notices. They meet at the state machine, which one lock guards, and at bounded rings.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/ring"
	"github.com/chervilwell/chervilwell/snapshot"
)

// TickInterval is the time between ticks of the state machine.
const TickInterval = 100 * time.Millisecond

// Capacities of the rings between the duties.
const (
	// reads holds requests to the platform; the state machine bounds them, and the oldest are dropped beyond.
	readsCapacity = 4096
	// notices holds notices to deliver; the oldest are dropped beyond.
	noticesCapacity = 1024
)

// Config describes an agent.
type Config struct {
	Self origin.Instance
	// Region is the region of the instance; it is used until a catalogue names it.
	Region string
	// StoreRegions are the regions near the platform; empty means all.
	StoreRegions []string
	// Seeds are peer addresses to ask at a start.
	Seeds []string
	// Source reads the platform; nil means that the process can't.
	Source    origin.Source
	Transport peer.Transport
	Holder    *snapshot.Holder
	Audit     *audit.Trail
	// Registerer takes the metrics; nil means none are registered.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// FleetSize is the approximate number of processes.
	FleetSize int
	// Seed seeds random choices; 0 takes the incarnation.
	Seed uint64
	// Incarnation numbers the life of the process; 0 takes the time of New in nanoseconds.
	Incarnation uint64
	// Timing and Limits override the defaults of package distribution.
	Timing distribution.Timing
	Limits distribution.Limits
}

// Agent keeps one process's documents up to date. Its methods are safe for concurrent use.
type Agent struct {
	cfg     Config
	metrics *metrics
	reads   *ring.Ring[distribution.Action]
	notices *ring.Ring[distribution.Notice]
	apply   *applier

	mu   sync.Mutex
	core *distribution.Core

	subMu       sync.RWMutex
	subscribers map[string][]func(distribution.Notice)
}

// New returns an agent that holds nothing; Serve starts it.
func New(cfg Config) *Agent {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.Seed == 0 {
		cfg.Seed = cfg.Incarnation
	}
	a := &Agent{
		cfg:         cfg,
		metrics:     newMetrics(cfg.Registerer, cfg.Transport),
		reads:       ring.New[distribution.Action](readsCapacity, ring.DropOldest),
		notices:     ring.New[distribution.Notice](noticesCapacity, ring.DropOldest),
		apply:       newApplier(cfg.Holder, cfg.Log),
		subscribers: map[string][]func(distribution.Notice){},
	}
	a.core = distribution.New(distribution.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Region: cfg.Region, StoreRegions: cfg.StoreRegions,
		Seeds: cfg.Seeds, HasSource: cfg.Source != nil, FleetSize: cfg.FleetSize, Check: a.check,
		Rand:   rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		Timing: cfg.Timing, Limits: cfg.Limits,
	})
	return a
}

// check puts a catalogue in force, or refuses it as a whole.
func (a *Agent) check(doc *document.Document) (distribution.Topology, error) {
	if err := a.cfg.Holder.Accept(doc); err != nil {
		return distribution.Topology{}, err
	}
	return topologyOf(a.cfg.Holder.Load().Config), nil
}

func topologyOf(c *snapshot.Config) distribution.Topology {
	var t distribution.Topology
	for _, region := range c.Regions() {
		r := distribution.Region{Name: region}
		for _, fd := range c.FailureDomains() {
			if c.RegionOf(fd) == region {
				r.FailureDomains = append(r.FailureDomains, fd)
			}
		}
		t.Regions = append(t.Regions, r)
	}
	return t
}

// Serve runs the duties until ctx ends. It is a suture service.
func (a *Agent) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context) error{a.tick, a.receive, a.read, a.apply.run, a.deliver} {
		group.Go(func() error { return duty(ctx) })
	}
	return errors.Wrap(group.Wait(), "agent")
}

// String names the service in the supervisor's logs.
func (a *Agent) String() string { return "agent" }

func (a *Agent) tick(ctx context.Context) error {
	a.step(distribution.Tick{})
	return duty.Every(ctx, TickInterval, func(time.Time) { a.step(distribution.Tick{}) })
}

func (a *Agent) receive(ctx context.Context) error {
	for {
		in, err := a.cfg.Transport.Receive().Get(ctx)
		if err != nil {
			return err
		}
		if s := in.Message.Sender; s != nil && s.Instance.FailureDomain != in.FailureDomain {
			a.cfg.Log.Warn().Str("peer", in.From.Name).Msg("peer claims another failure domain than its certificate names")
			continue
		}
		a.metrics.received.Inc()
		a.step(distribution.Received{From: in.From, Message: in.Message})
	}
}

// step passes one event to the state machine and performs the actions. None of them blocks.
func (a *Agent) step(e distribution.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range a.core.Step(time.Now(), e) {
		a.perform(action)
	}
}

func (a *Agent) perform(action distribution.Action) {
	switch act := action.(type) {
	case distribution.Send:
		a.metrics.sent.Inc()
		a.cfg.Transport.Send(act.To, act.Message)
	case distribution.Applied:
		a.applied(act)
	case distribution.Deliver:
		a.notices.Put(act.Notice)
	case distribution.Report:
		a.report(act)
	default:
		a.reads.Put(action)
	}
}

func (a *Agent) applied(act distribution.Applied) {
	v := act.Document.Version()
	if act.Document.Name() != catalogue.DocumentName {
		a.apply.put(act.Document)
		return
	}
	a.metrics.revision.Set(float64(v.Revision))
	a.audit(audit.Record{
		Kind: audit.Applied, Subject: act.Document.Name(), Detail: "catalogue is in force",
		Revision: v.Revision, Digest: v.Digest.String(),
	})
}

var auditKinds = map[distribution.ReportKind]audit.Kind{
	distribution.ReportRefused:  audit.Refused,
	distribution.ReportOlder:    audit.RevertedSource,
	distribution.ReportConflict: audit.Conflict,
	distribution.ReportRole:     audit.Role,
	distribution.ReportSource:   audit.Source,
	distribution.ReportPeer:     audit.Refused,
	distribution.ReportPause:    audit.StateChange,
}

func (a *Agent) report(r distribution.Report) {
	record := audit.Record{
		Kind: auditKinds[r.Kind], Subject: r.Subject, Detail: r.Detail, Remedy: r.Remedy, Revision: r.Version.Revision,
	}
	if r.Version.Digest != (document.Digest{}) {
		record.Digest = r.Version.Digest.String()
	}
	a.audit(record)
}

func (a *Agent) audit(r audit.Record) {
	if a.cfg.Audit != nil {
		a.cfg.Audit.Add(r)
	}
}

func (a *Agent) deliver(ctx context.Context) error {
	for {
		n, err := a.notices.Get(ctx)
		if err != nil {
			return err
		}
		a.subMu.RLock()
		list := a.subscribers[n.Kind]
		a.subMu.RUnlock()
		for _, f := range list {
			f(n)
		}
	}
}
