package distribution

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/membership"
)

// Phase is the phase of a process in its lifecycle.
type Phase string

// The phases of a process.
const (
	// Joining processes ask their peers for documents and must not serve requests.
	Joining Phase = "joining"
	// Joined processes have a catalogue that was compared with their peers' versions.
	Joined Phase = "joined"
	// Leaving processes have announced to their peers that they stop.
	Leaving Phase = "leaving"
)

// Core is the state machine of one process. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	rng       *rand.Rand
	store     *store
	members   *membership.View
	topology  Topology
	phase     Phase
	lastTick  time.Time
	nextPrune time.Time
	actions   []Action

	join    joinState
	tree    treeState
	relay   relayState
	reader  readerState
	notices noticeState
	// application runs the chart of a document being applied; it is idle between events.
	application *chart.Machine
	refused     map[DocumentVersion]bool
	reported    map[DocumentVersion]bool
}

// New returns the state machine of a process that has no documents yet.
func New(cfg Config) *Core {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Limits = cfg.Limits.withDefaults()
	cfg.Protocol = orDefault(cfg.Protocol, ProtocolVersion)
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

// Step processes one event and returns the actions to perform, in order. Successive calls must not pass a decreasing
// time.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
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
	case Resumed:
		c.resume(now)
		c.lastTick = now
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

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
	if now.After(c.nextPrune) {
		c.members.Prune(now)
		c.nextPrune = now.Add(membership.ContactTTL)
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

// resume discards all state about peers from before a pause and starts another join, so that versions are compared with
// peers before the process serves again.
func (c *Core) resume(now time.Time) {
	c.emit(Report{Kind: ReportPause, Subject: c.cfg.Self.Name, Detail: "process paused for " + now.Sub(c.lastTick).String() + "; comparing versions with peers"})
	c.members.ClearSuspicions()
	c.relay.children = map[string]*child{}
	c.tree.upstreams = map[string]*upstream{}
	c.tree.parent = ""
	c.tree.linkContact = time.Time{}
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
			Detail: "peer uses a protocol version that is no longer supported", Remedy: "upgrade the peer",
		})
		return
	}
	if m.Sender != nil {
		if m.Sender.Instance.Name != e.From.Name {
			return
		}
		// A joining process relays nothing, so its Ask and Pull do not count as contact.
		if m.Ask == nil && m.Pull == nil {
			c.members.Observe(now, m.Sender.Instance, m.Sender.Incarnation)
		}
	} else {
		c.members.Refresh(now, e.From.Name)
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

// reportOnce emits a report unless one with the same key was emitted before. The keys are forgotten when 256 are stored.
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

// leave announces to all connected peers that this process stops, and ends its reads of the platform.
func (c *Core) leave(now time.Time) {
	if c.phase == Leaving {
		return
	}
	c.publish(now, Publish{Kind: LeavingKind, Subject: c.cfg.Self.Name, Body: encodeIncarnation(c.cfg.Incarnation), TTL: leavingTTL})
	c.stopReading()
	c.phase = Leaving
}

// jitter returns d plus a random duration of up to d/2.
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

// Version returns the stored version of a document; its revision is 0 if the document is not stored.
func (c *Core) Version(name string) document.Version {
	if d := c.store.get(name); d != nil {
		return d.Version()
	}
	return document.Version{}
}

// Phase returns the phase of the process.
func (c *Core) Phase() Phase { return c.phase }

// Documents returns the stored documents, sorted by name.
func (c *Core) Documents() []*document.Document {
	out := make([]*document.Document, 0, len(c.store.versions))
	for _, v := range c.store.versions {
		out = append(out, c.store.get(v.Name))
	}
	return out
}
