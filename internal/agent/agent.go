// Package agent runs the state machine of package distribution in a process: it passes time, messages of peers and results of
// platform reads to it, performs its actions, and puts accepted documents in force.
//
// Agent.Serve runs five goroutines: ticker, message receiver, platform reader, applier and notice delivery. They share the
// state machine, guarded by one mutex, and communicate through bounded rings.
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
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/ring"
	"github.com/chervilwell/chervilwell/snapshot"
)

// TickInterval is the interval between ticks of the state machine.
const TickInterval = 100 * time.Millisecond

// Capacities of the rings between the goroutines.
const (
	// readsCapacity is the number of queued platform reads; beyond it the oldest are dropped. The state machine limits the
	// reads that it requests.
	readsCapacity = 4096
	// noticesCapacity is the number of notices that wait for delivery; beyond it the oldest are dropped.
	noticesCapacity = 1024
)

// Config configures an Agent.
type Config struct {
	// Self is the instance of this process.
	Self origin.Instance
	// Region is the region of the instance. It is used until a catalogue is in force that defines it.
	Region string
	// StoreRegions are the regions close to the platform; empty means all.
	StoreRegions []string
	// Seeds are the peer addresses contacted at the start.
	Seeds []string
	// Source reads the platform; nil if the process has no access to it.
	Source    origin.Source
	Transport peer.Transport
	// Holder receives the accepted documents.
	Holder *snapshot.Holder
	// Audit receives audit records; nil disables them.
	Audit *audit.Trail
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// FleetSize is the approximate number of processes.
	FleetSize int
	// Seed seeds the random number generator; 0 means Incarnation.
	Seed uint64
	// Incarnation identifies this start of the process and must increase with each start; 0 means the time of the call of New,
	// in nanoseconds since 1970.
	Incarnation uint64
	// Timing and Limits override the defaults of package distribution.
	Timing distribution.Timing
	Limits distribution.Limits
}

// Agent keeps the documents of one process up to date. Its methods are safe for concurrent use.
type Agent struct {
	cfg     Config
	metrics *metrics
	// reads holds the actions for the platform reader.
	reads       *ring.Ring[distribution.Action]
	notices     *ring.Ring[distribution.Notice]
	listApplier *applier

	// mu guards core.
	mu   sync.Mutex
	core *distribution.Core

	// subMu guards subscribers, which is keyed by the kind of notice.
	subMu       sync.RWMutex
	subscribers map[string][]func(distribution.Notice)
}

// New returns an agent without documents. It is inactive until Serve is called.
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
		listApplier: newApplier(cfg.Holder, cfg.Log),
		subscribers: map[string][]func(distribution.Notice){},
	}
	a.core = distribution.New(distribution.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Region: cfg.Region, StoreRegions: cfg.StoreRegions,
		Seeds: cfg.Seeds, HasSource: cfg.Source != nil, FleetSize: cfg.FleetSize, Check: a.acceptCatalogue,
		Rand:   rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		Timing: cfg.Timing, Limits: cfg.Limits,
	})
	return a
}

// acceptCatalogue puts a catalogue in force and returns its topology. It returns an error and keeps the previous catalogue if
// the new one is invalid.
func (a *Agent) acceptCatalogue(doc *document.Document) (distribution.Topology, error) {
	if err := a.cfg.Holder.Accept(doc); err != nil {
		return distribution.Topology{}, err
	}
	return topologyOf(a.cfg.Holder.Load().Config), nil
}

// topologyOf returns the failure domains of each region.
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

// Serve runs the goroutines of the agent until ctx is done. It implements suture.Service.
func (a *Agent) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{a.tick, a.receive, a.readPlatform, a.listApplier.run, a.deliverNotices} {
		group.Go(func() error { return loop(ctx) })
	}
	return errors.Wrap(group.Wait(), "agent")
}

// String names the service in the supervisor's logs.
func (a *Agent) String() string { return "agent" }

func (a *Agent) tick(ctx context.Context) error {
	a.step(distribution.Tick{})
	return periodic.Every(ctx, TickInterval, func(time.Time) { a.step(distribution.Tick{}) })
}

// receive passes messages of peers to the state machine. It drops a message whose sender states a failure domain other than
// that of its certificate.
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

// step passes an event to the state machine and performs the resulting actions, none of which blocks.
func (a *Agent) step(e distribution.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range a.core.Step(time.Now(), e) {
		a.perform(action)
	}
}

// perform performs an action. Must be called with a.mu held.
func (a *Agent) perform(action distribution.Action) {
	switch act := action.(type) {
	case distribution.Send:
		a.metrics.sent.Inc()
		a.cfg.Transport.Send(act.To, act.Message)
	case distribution.Applied:
		a.handleApplied(act)
	case distribution.Deliver:
		a.notices.Put(act.Notice)
	case distribution.Report:
		a.recordReport(act)
	default:
		a.reads.Put(action)
	}
}

// handleApplied queues a list of instances for the applier, or records that a catalogue is in force.
func (a *Agent) handleApplied(act distribution.Applied) {
	v := act.Document.Version()
	if act.Document.Name() != catalogue.DocumentName {
		a.listApplier.enqueue(act.Document)
		return
	}
	a.metrics.revision.Set(float64(v.Revision))
	a.addRecord(audit.Record{
		Kind: audit.Applied, Subject: act.Document.Name(), Detail: "catalogue is in force",
		Revision: v.Revision, Digest: v.Digest.String(),
	})
}

// auditKinds maps the reports of the state machine to kinds of audit records.
var auditKinds = map[distribution.ReportKind]audit.Kind{
	distribution.ReportRefused:  audit.Refused,
	distribution.ReportOlder:    audit.RevertedSource,
	distribution.ReportConflict: audit.Conflict,
	distribution.ReportRole:     audit.Role,
	distribution.ReportSource:   audit.Source,
	distribution.ReportPeer:     audit.Refused,
	distribution.ReportPause:    audit.StateChange,
}

func (a *Agent) recordReport(r distribution.Report) {
	record := audit.Record{
		Kind: auditKinds[r.Kind], Subject: r.Subject, Detail: r.Detail, Remedy: r.Remedy, Revision: r.Version.Revision,
	}
	if r.Version.Digest != (document.Digest{}) {
		record.Digest = r.Version.Digest.String()
	}
	a.addRecord(record)
}

func (a *Agent) addRecord(r audit.Record) {
	if a.cfg.Audit != nil {
		a.cfg.Audit.Add(r)
	}
}

// deliverNotices calls the subscribers of each notice, one after the other.
func (a *Agent) deliverNotices(ctx context.Context) error {
	for {
		n, err := a.notices.Get(ctx)
		if err != nil {
			return err
		}
		a.subMu.RLock()
		handlers := a.subscribers[n.Kind]
		a.subMu.RUnlock()
		for _, f := range handlers {
			f(n)
		}
	}
}
