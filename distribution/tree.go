package distribution

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/membership"
	"github.com/chervilwell/chervilwell/rank"
)

// upstream is a peer that this process subscribes to.
type upstream struct {
	to Address
	// link says that the peer is in another region.
	link       bool
	nextAt     time.Time
	sentAt     time.Time
	since      time.Time // when the oldest unanswered heartbeat was sent; zero if all are answered
	introduced bool
	// ackAt, pulling and linkHeard come from the last answer.
	ackAt     time.Time
	pulling   bool
	linkHeard time.Time
	// sourceFailing says that the reader above it fails to read the platform.
	sourceFailing bool
}

// treeState holds what this process subscribes to.
type treeState struct {
	upstreams map[string]*upstream
	parent    string
	parentAt  time.Time
	linkPeer  string
	root      bool
	rootSince time.Time
	// deferred is the time before which this root does not read the platform.
	deferred time.Time
	pulling  bool
	// linkHeard is when the other region was heard last, directly or by the word of the region's reader.
	linkHeard time.Time
	// linkSince is when this process first had to wait for the region's reader.
	linkSince time.Time
	// seekAt is when the seeds are asked next for failure domains without a usable instance.
	seekAt time.Time
	// full holds upstreams that refused this process, until the time they may be asked again.
	full map[string]time.Time
}

// treeTick chooses upstreams and sends due heartbeats.
func (c *Core) treeTick(now time.Time) {
	c.suspectSilent(now)
	wanted := c.chooseUpstreams(now)
	for _, name := range sortedNames(c.tree.upstreams) {
		if _, ok := wanted[name]; !ok {
			// An interval of zero ends the subscription.
			c.send(c.tree.upstreams[name].to, Message{Heartbeat: &Heartbeat{Vector: c.store.vector}})
			delete(c.tree.upstreams, name)
		}
	}
	for _, name := range sortedNames(wanted) {
		u := c.tree.upstreams[name]
		if u == nil {
			u = wanted[name]
			c.tree.upstreams[name] = u
		}
		u.to, u.link = wanted[name].to, wanted[name].link
		if !now.Before(u.nextAt) || (!u.since.IsZero() && now.Sub(u.sentAt) >= c.cfg.Timing.Retry) {
			c.heartbeat(now, u)
		}
	}
}

func sortedNames[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// suspectSilent marks upstreams that have not answered for too long.
func (c *Core) suspectSilent(now time.Time) {
	for name, u := range c.tree.upstreams {
		if u.since.IsZero() || now.Sub(u.since) < c.cfg.Timing.Silence {
			continue
		}
		c.members.Suspect(name, now.Add(c.jitter(c.cfg.Timing.Suspicion)))
		delete(c.tree.upstreams, name)
	}
}

func (c *Core) heartbeat(now time.Time, u *upstream) {
	interval := c.cfg.Timing.Heartbeat
	if u.link {
		interval = c.cfg.Timing.LinkHeartbeat
	}
	// The subscription must outlast the longest time between two heartbeats.
	lease := 2 * c.cfg.Timing.Heartbeat
	if u.link {
		lease = c.cfg.Timing.LinkRenewal
	}
	m := Message{Heartbeat: &Heartbeat{Vector: c.store.vector, IntervalMs: uint32(lease.Milliseconds())}}
	if !u.introduced {
		m.Sender = c.self()
	}
	if u.ackAt.IsZero() {
		m.Heartbeat.Versions = c.store.versions
	}
	c.send(u.to, m)
	u.sentAt = now
	u.nextAt = now.Add(interval - interval/16 + time.Duration(c.rng.Int64N(int64(interval)/8+1)))
	if u.since.IsZero() {
		u.since = now
	}
}

// chooseUpstreams returns the peers to subscribe to: the parent, or for the root of a failure domain the roots of the other
// failure domains of its region, and for the region's reader one peer across the link.
func (c *Core) chooseUpstreams(now time.Time) map[string]*upstream {
	wanted := map[string]*upstream{}
	add := func(m *membership.Member, link bool) {
		if m != nil && m.Name != c.cfg.Self.Name {
			wanted[m.Name] = &upstream{to: Address{Name: m.Name, Addr: m.PeerAddr}, link: link}
		}
	}
	parent := c.chooseParent(now)
	c.setRoot(now, parent == nil)
	if parent != nil {
		add(parent, false)
		c.setPulling(false)
		return wanted
	}
	c.seek(now)
	for _, fd := range c.regionDomains() {
		for _, m := range c.members.First(now, fd, 1) {
			add(m, false)
		}
	}
	c.setPulling(c.mustPull(now))
	if c.tree.pulling {
		add(c.chooseLinkPeer(now), true)
	}
	return wanted
}

// deferReading puts off this process's reads of the platform, since a peer that ranks before it is about to hold something
// and will read instead. The delay in all is bounded.
func (c *Core) deferReading(now time.Time) {
	if c.tree.root && now.Sub(c.tree.rootSince) > c.cfg.Timing.PlatformLast {
		return
	}
	c.armSilence(now.Add(c.cfg.Timing.Settle))
	if c.reader.machine.State() == charts.ReaderStandby {
		c.readerEvent(now, charts.OnReaderReadersHeard)
	}
}

// seek asks a random seed what it holds while a failure domain of the catalogue has no usable instance. So parts of the
// fleet that started apart, and know no instance of each other, find together.
func (c *Core) seek(now time.Time) {
	if now.Before(c.tree.seekAt) || len(c.cfg.Seeds) == 0 {
		return
	}
	c.tree.seekAt = now.Add(c.jitter(c.cfg.Timing.Suspicion))
	for _, r := range c.topology.Regions {
		for _, fd := range r.FailureDomains {
			if len(c.members.First(now, fd, 1)) > 0 {
				continue
			}
			if seed := c.cfg.Seeds[c.rng.IntN(len(c.cfg.Seeds))]; seed != c.cfg.Self.PeerAddr {
				c.send(Address{Addr: seed}, Message{Ask: &Ask{}, Sender: c.self()})
			}
			return
		}
	}
}

// setRoot notes whether this process heads the tree of its failure domain.
func (c *Core) setRoot(now time.Time, root bool) {
	if c.tree.root == root {
		return
	}
	c.tree.root, c.tree.rootSince = root, now
	detail := "left the root of the relay tree"
	if root {
		detail = "became the root of the relay tree"
	}
	c.emit(Report{Kind: ReportRole, Subject: c.cfg.Self.FailureDomain, Detail: detail})
}

func (c *Core) setPulling(pulling bool) {
	if c.tree.pulling == pulling {
		return
	}
	c.tree.pulling = pulling
	detail := "stopped pulling across the link between regions"
	if pulling {
		detail = "pulls across the link between regions"
	}
	c.emit(Report{Kind: ReportRole, Subject: c.region(), Detail: detail})
}

// chooseParent returns the parent within the failure domain, or nil if this process is first among the usable members.
// A working parent is kept for a while, so that a change of the list does not move the whole tree.
func (c *Core) chooseParent(now time.Time) *membership.Member {
	self := c.members.Get(c.cfg.Self.Name)
	if m := c.members.Get(c.tree.parent); m != nil && now.Sub(c.tree.parentAt) < c.cfg.Timing.Reparent &&
		m.FailureDomain == self.FailureDomain && membership.Before(m, self) && c.usableParent(now, m) {
		return m
	}
	first := c.members.First(now, self.FailureDomain, 1)
	if len(first) > 0 && first[0] == self {
		c.tree.parent = ""
		return nil
	}
	parent := c.bestParent(now, self)
	c.tree.parent = ""
	if parent != nil {
		c.tree.parent = parent.Name
		c.tree.parentAt = now.Add(-time.Duration(c.rng.Int64N(int64(c.cfg.Timing.Reparent) / 2)))
	}
	return parent
}

func (c *Core) usableParent(now time.Time, m *membership.Member) bool {
	return c.members.Usable(now, m) && !now.Before(c.tree.full[m.Name])
}

// bestParent tries the ancestors by rank, then the first ranks, then any member before self, from far to near.
func (c *Core) bestParent(now time.Time, self *membership.Member) *membership.Member {
	order := c.members.Order(now, self.FailureDomain)
	place := slices.Index(order, self)
	places := rank.Ancestors(place, c.cfg.Limits.Fanout)
	for p := range min(place, 2*c.cfg.Limits.Fanout) {
		places = append(places, p)
	}
	for _, p := range places {
		if c.usableParent(now, order[p]) {
			return order[p]
		}
	}
	// All of those are silent or full: any member that ranks before self will do.
	for range min(place, 8) {
		if m := order[c.rng.IntN(place)]; c.usableParent(now, m) {
			return m
		}
	}
	if place > 0 && c.anyUsable(now, order[:place]) {
		return c.firstUsable(now, order[:place])
	}
	return nil
}

func (c *Core) anyUsable(now time.Time, list []*membership.Member) bool {
	return c.firstUsable(now, list) != nil
}

func (c *Core) firstUsable(now time.Time, list []*membership.Member) *membership.Member {
	for _, m := range list {
		if c.members.Usable(now, m) {
			return m
		}
	}
	return nil
}

// regionDomains returns the other failure domains of this process's region.
func (c *Core) regionDomains() []string {
	var out []string
	for _, fd := range c.topology.FailureDomains(c.region()) {
		if fd != c.cfg.Self.FailureDomain {
			out = append(out, fd)
		}
	}
	return out
}

// nearStore reports whether a region is near the platform.
func (c *Core) nearStore(region string) bool {
	return len(c.cfg.StoreRegions) == 0 || slices.Contains(c.cfg.StoreRegions, region)
}

// mustPull reports whether this root pulls across the link: it is the first of the region's roots by rank, or those before
// it have not heard the other region for a silence that grows with the rank.
func (c *Core) mustPull(now time.Time) bool {
	region := c.region()
	if c.nearStore(region) {
		return false
	}
	place := 0
	for name, u := range c.tree.upstreams {
		if u.link || !rank.Less("region/"+region, name, c.cfg.Self.Name) {
			continue
		}
		place++
		if u.pulling && u.linkHeard.After(c.tree.linkHeard) {
			c.tree.linkHeard = u.linkHeard
		}
	}
	if place == 0 {
		c.tree.linkSince = time.Time{}
		return true
	}
	if c.tree.linkSince.IsZero() {
		c.tree.linkSince = now
	}
	heard := c.tree.linkHeard
	if heard.Before(c.tree.linkSince) {
		heard = c.tree.linkSince
	}
	silence := c.cfg.Timing.LinkHeartbeat + c.cfg.Timing.Silence
	return now.Sub(heard) > rank.StepIn(silence, c.cfg.Timing.StepIn, place)
}

// chooseLinkPeer returns the peer across the link: a root of a failure domain near the platform, in an order of its own
// for each process. A working one is kept.
func (c *Core) chooseLinkPeer(now time.Time) *membership.Member {
	if m := c.members.Get(c.tree.linkPeer); m != nil && c.usableParent(now, m) && c.tree.upstreams[m.Name] != nil {
		return m
	}
	var names []string
	for _, region := range c.topology.Regions {
		if !c.nearStore(region.Name) {
			continue
		}
		for _, fd := range region.FailureDomains {
			for _, m := range c.members.First(now, fd, 2) {
				names = append(names, m.Name)
			}
		}
	}
	for _, name := range rank.Sort("link/"+c.cfg.Self.Name, names) {
		if m := c.members.Get(name); c.usableParent(now, m) {
			c.tree.linkPeer = name
			return m
		}
	}
	return nil
}

// sourceFailing reports whether the reader that this process depends on fails to read the platform, as far as known.
func (c *Core) sourceFailing() bool {
	if c.reader.manifest != nil {
		return c.reader.failing
	}
	if u := c.tree.upstreams[c.tree.parent]; u != nil {
		return u.sourceFailing
	}
	u := c.tree.upstreams[c.tree.linkPeer]
	return c.tree.pulling && u != nil && u.sourceFailing
}

// linkAge returns the time since the other region was heard.
func (c *Core) linkAge(now time.Time) time.Duration {
	if c.tree.linkHeard.IsZero() {
		return 24 * time.Hour
	}
	return now.Sub(c.tree.linkHeard)
}
