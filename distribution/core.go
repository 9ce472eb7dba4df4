package distribution

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/membership"
)

// Phase is where a process stands in its life.
type Phase string

// The phases.
const (
	// Joining processes ask their peers and must not serve.
	Joining Phase = "joining"
	// Joined processes hold a catalogue that was compared with their peers.
	Joined Phase = "joined"
	// Leaving processes have told their peers that they stop.
	Leaving Phase = "leaving"
)

// Core is the state machine of one process. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	store    *store
	members  *membership.View
	topology Topology
	phase    Phase
	lastTick time.Time
	prune    time.Time
	out      []Action

	join    joinState
	tree    treeState
	relay   relayState
	reader  readerState
	notices noticeState
	// application is the chart of the document that is being put in force; it is idle between events.
	application *chart.Machine
	refused     map[DocumentVersion]bool
	reported    map[DocumentVersion]bool
}

// New returns the state machine of a process that holds nothing.
func New(cfg Config) *Core {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Limits = cfg.Limits.withDefaults()
	cfg.Protocol = or(cfg.Protocol, ProtocolVersion)
	cfg.FleetSize = max(cfg.FleetSize, 1)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(cfg.Incarnation, 1))
	}
	c := &Core{
		cfg: cfg, rng: cfg.Rand, phase: Joining,
		store:    newStore(cfg.Limits.History),
		members:  membership.New(cfg.Self, cfg.Incarnation),
		refused:  map[DocumentVersion]bool{},
		reported: map[DocumentVersion]bool{},
	}
	c.tree.upstreams = map[string]*upstream{}
	c.relay = newRelay(cfg.Limits)
	c.reader = newReader(cfg.Limits)
	c.notices = newNotices(cfg.Limits.Notices)
	c.application = chart.NewMachine(applicationChart)
	return c
}

// Step takes one event at a time that never falls, and returns the actions to perform in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.out = nil
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case Received:
		c.receive(now, e)
	case ManifestRead:
		c.manifestRead(now, e)
	case ChunkRead:
		c.chunkRead(now, e)
	case ListRead:
		c.listRead(now, e)
	case Publish:
		c.publish(now, e)
	case Leave:
		c.leave(now)
	case Woken:
		c.resume(now)
		c.lastTick = now
	}
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) send(to Address, m Message) {
	m.Protocol = c.cfg.Protocol
	c.emit(Send{To: to, Message: m})
}

// self returns the description of this process.
func (c *Core) self() *Sender {
	return &Sender{Instance: c.cfg.Self, Incarnation: c.cfg.Incarnation}
}

func (c *Core) tick(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > c.cfg.Timing.PauseGap {
		c.resume(now)
	}
	c.lastTick = now
	if c.phase == Leaving {
		return
	}
	if now.After(c.prune) {
		c.members.Prune(now)
		c.prune = now.Add(membership.HeardFor)
	}
	c.expireChildren(now)
	c.flush(now)
	c.expireNotices(now)
	if c.phase == Joining {
		c.joinTick(now)
	}
	if c.store.get(catalogueName) != nil {
		c.treeTick(now)
	}
	c.readerTick(now)
}

// resume drops every belief from before a pause and compares versions with peers again before serving.
func (c *Core) resume(now time.Time) {
	c.emit(Report{Kind: ReportPause, Subject: c.cfg.Self.Name, Detail: "process paused for " + now.Sub(c.lastTick).String() + "; comparing versions with peers"})
	c.members.Forgive()
	c.relay.children = map[string]*child{}
	c.tree.upstreams = map[string]*upstream{}
	c.tree.parent = ""
	c.tree.linkHeard = time.Time{}
	c.stopReading()
	if c.phase == Joined {
		c.phase = Joining
		c.join = joinState{}
	}
}

func (c *Core) receive(now time.Time, e Received) {
	m := e.Message
	if m.Protocol < MinProtocolVersion {
		c.reportOnce(DocumentVersion{Name: "protocol/" + e.From.Name}, Report{
			Kind: ReportPeer, Subject: e.From.Name,
			Detail: "peer speaks a protocol that is no longer understood", Remedy: "upgrade the peer",
		})
		return
	}
	if m.Sender != nil {
		if m.Sender.Instance.Name != e.From.Name {
			return
		}
		// A process that still joins relays nothing, so it does not count as heard yet.
		if m.Ask == nil && m.Pull == nil {
			c.members.Heard(now, m.Sender.Instance, m.Sender.Incarnation)
		}
	} else {
		c.members.HeardAgain(now, e.From.Name)
	}
	c.dispatch(now, e.From, m)
}

func (c *Core) dispatch(now time.Time, from Address, m Message) {
	switch {
	case m.Heartbeat != nil:
		c.onHeartbeat(now, from, m)
	case m.Ack != nil:
		c.onAck(now, from, m.Ack)
	case m.Push != nil:
		c.onPush(now, from, m.Push)
	case m.Pull != nil:
		c.onPull(now, from, m)
	case m.Ask != nil:
		c.onAsk(now, from, m)
	case m.Offer != nil:
		c.onOffer(now, from, m.Offer)
	case m.Busy != nil:
		c.onBusy(now, m.Busy)
	case len(m.Notices) > 0:
		c.onNotices(now, from, m.Notices)
	}
}

// reportOnce emits a report unless one was emitted for the same key before. The memory is bounded.
func (c *Core) reportOnce(key DocumentVersion, r Report) {
	if c.reported[key] {
		return
	}
	if len(c.reported) >= 256 {
		clear(c.reported)
	}
	c.reported[key] = true
	c.emit(r)
}

// leave tells all connected peers that this process stops, and stops relaying.
func (c *Core) leave(now time.Time) {
	if c.phase == Leaving {
		return
	}
	c.publish(now, Publish{Kind: LeavingKind, Subject: c.cfg.Self.Name, Body: encodeIncarnation(c.cfg.Incarnation), TTL: leavingTTL})
	c.stopReading()
	c.phase = Leaving
}

// jitter returns d plus up to half of it at random.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)/2+1))
}

// region returns the region of this process.
func (c *Core) region() string {
	if r := c.topology.RegionOf(c.cfg.Self.FailureDomain); r != "" {
		return r
	}
	return c.cfg.Region
}

// newLimiter returns a token bucket that is full at its first use.
func newLimiter(perSecond float64, burst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Version returns the version held of a document; revision 0 means none.
func (c *Core) Version(name string) document.Version {
	if d := c.store.get(name); d != nil {
		return d.Version()
	}
	return document.Version{}
}

// Phase returns where the process stands.
func (c *Core) Phase() Phase { return c.phase }

// Documents returns the documents held, in order of name.
func (c *Core) Documents() []*document.Document {
	out := make([]*document.Document, 0, len(c.store.versions))
	for _, v := range c.store.versions {
		out = append(out, c.store.get(v.Name))
	}
	return out
}
