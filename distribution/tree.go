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
	// link reports that the peer is in another region.
	link         bool
	nextAt       time.Time
	sentAt       time.Time
	unackedSince time.Time // when the oldest unacknowledged heartbeat was sent; zero if none
	senderKnown  bool
	// ackAt, pulling and linkContact are taken from the last ack.
	ackAt       time.Time
	pulling     bool
	linkContact time.Time
	// sourceFailing reports that the reader upstream of the peer fails to read the platform.
	sourceFailing bool
}

// treeState holds the subscriptions of this process and its place in the relay tree.
type treeState struct {
	upstreams map[string]*upstream
	parent    string
	parentAt  time.Time
	linkPeer  string
	root      bool
	rootSince time.Time
	// readNotBefore is the time before which this root does not read the platform.
	readNotBefore time.Time
	pulling       bool
	// linkContact is the last contact with the other region, either directly or as reported by a puller of this region.
	linkContact time.Time
	// linkWaitSince is when this process started to wait for another root of its region to pull.
	linkWaitSince time.Time
	// nextProbe is when the next seed is asked because a failure domain has no usable instance.
	nextProbe time.Time
	// fullUntil holds the peers that refused this process as a child, with the time until which they are not selected.
	fullUntil map[string]time.Time
}

// treeTick selects the upstreams and sends the heartbeats that are due.
func (c *Core) treeTick(now time.Time) {
	c.suspectUnresponsive(now)
	wanted := c.chooseUpstreams(now)
	for _, name := range sortedNames(c.tree.upstreams) {
		if _, ok := wanted[name]; !ok {
			// An interval of zero ends the subscription.
			c.send(c.tree.upstreams[name].to, Message{Heartbeat: &Heartbeat{VersionsHash: c.store.versionsHash}})
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
		if !now.Before(u.nextAt) || (!u.unackedSince.IsZero() && now.Sub(u.sentAt) >= c.cfg.Timing.HeartbeatRetry) {
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

// suspectUnresponsive marks upstreams as suspect that have not answered within Timing.AckTimeout, and drops them.
func (c *Core) suspectUnresponsive(now time.Time) {
	for name, u := range c.tree.upstreams {
		if u.unackedSince.IsZero() || now.Sub(u.unackedSince) < c.cfg.Timing.AckTimeout {
			continue
		}
		c.members.Suspect(name, now.Add(c.jitter(c.cfg.Timing.SuspectPeriod)))
		delete(c.tree.upstreams, name)
	}
}

func (c *Core) heartbeat(now time.Time, u *upstream) {
	interval := c.cfg.Timing.Heartbeat
	if u.link {
		interval = c.cfg.Timing.LinkHeartbeat
	}
	// The subscription must last longer than the longest interval between two heartbeats.
	lease := 2 * c.cfg.Timing.Heartbeat
	if u.link {
		lease = c.cfg.Timing.LinkRenewal
	}
	m := Message{Heartbeat: &Heartbeat{VersionsHash: c.store.versionsHash, IntervalMs: uint32(lease.Milliseconds())}}
	if !u.senderKnown {
		m.Sender = c.self()
	}
	if u.ackAt.IsZero() {
		m.Heartbeat.Versions = c.store.versions
	}
	c.send(u.to, m)
	u.sentAt = now
	u.nextAt = now.Add(interval - interval/16 + time.Duration(c.rng.Int64N(int64(interval)/8+1)))
	if u.unackedSince.IsZero() {
		u.unackedSince = now
	}
}

// chooseUpstreams returns the peers to subscribe to: for most processes the parent; for the root of a failure domain the
// roots of the other failure domains of its region and, if it pulls, one peer across the link.
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
	c.probeSeeds(now)
	for _, fd := range c.siblingDomains() {
		for _, m := range c.members.First(now, fd, 1) {
			add(m, false)
		}
	}
	c.setPulling(c.shouldPull(now))
	if c.tree.pulling {
		add(c.chooseLinkPeer(now), true)
	}
	return wanted
}

// deferToJoiningPeer postpones this process's reads of the platform because a peer that ranks before it is joining and
// will read instead. It has no effect once the process has been root for Timing.PlatformReadDelay, so the total delay is
// bounded.
func (c *Core) deferToJoiningPeer(now time.Time) {
	if c.tree.root && now.Sub(c.tree.rootSince) > c.cfg.Timing.PlatformReadDelay {
		return
	}
	c.deferReads(now.Add(c.cfg.Timing.Settle))
	if c.reader.machine.State() == charts.ReaderStandby {
		c.readerEvent(now, charts.OnReaderReadersHeard)
	}
}

// probeSeeds sends an Ask to a random seed while a failure domain of the catalogue has no usable instance. This
// reconnects parts of the fleet that started separately and know no instance of each other.
func (c *Core) probeSeeds(now time.Time) {
	if now.Before(c.tree.nextProbe) || len(c.cfg.Seeds) == 0 {
		return
	}
	c.tree.nextProbe = now.Add(c.jitter(c.cfg.Timing.SuspectPeriod))
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

// setRoot records whether this process is the root of its failure domain.
func (c *Core) setRoot(now time.Time, root bool) {
	if c.tree.root == root {
		return
	}
	c.tree.root, c.tree.rootSince = root, now
	detail := "is no longer the root of the relay tree"
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
		detail = "started pulling across the link between regions"
	}
	c.emit(Report{Kind: ReportRole, Subject: c.region(), Detail: detail})
}

// chooseParent returns the parent within the failure domain, or nil if this process is the first of the usable members. A
// usable parent is kept for up to Timing.Reparent, so that a change of the list does not rearrange the whole tree.
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
	return c.members.IsUsable(now, m) && !now.Before(c.tree.fullUntil[m.Name])
}

// bestParent selects a parent among the members that rank before self: first the ancestors of its place, from the parent
// to the root, then the first ranks, then random members, and finally the first usable member even if it is full.
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
	// All of those are unusable or full; any member that ranks before self is a valid parent.
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
		if c.members.IsUsable(now, m) {
			return m
		}
	}
	return nil
}

// siblingDomains returns the other failure domains of this process's region.
func (c *Core) siblingDomains() []string {
	var out []string
	for _, fd := range c.topology.FailureDomains(c.region()) {
		if fd != c.cfg.Self.FailureDomain {
			out = append(out, fd)
		}
	}
	return out
}

// nearPlatform reports whether a region is near the platform.
func (c *Core) nearPlatform(region string) bool {
	return len(c.cfg.StoreRegions) == 0 || slices.Contains(c.cfg.StoreRegions, region)
}

// shouldPull reports whether this root pulls across the link: it is the first of the region's roots by rank, or the roots
// before it have not had contact with the other region for a time that grows with this root's place.
func (c *Core) shouldPull(now time.Time) bool {
	region := c.region()
	if c.nearPlatform(region) {
		return false
	}
	place := 0
	for name, u := range c.tree.upstreams {
		if u.link || !rank.Less("region/"+region, name, c.cfg.Self.Name) {
			continue
		}
		place++
		if u.pulling && u.linkContact.After(c.tree.linkContact) {
			c.tree.linkContact = u.linkContact
		}
	}
	if place == 0 {
		c.tree.linkWaitSince = time.Time{}
		return true
	}
	if c.tree.linkWaitSince.IsZero() {
		c.tree.linkWaitSince = now
	}
	contact := c.tree.linkContact
	if contact.Before(c.tree.linkWaitSince) {
		contact = c.tree.linkWaitSince
	}
	timeout := c.cfg.Timing.LinkHeartbeat + c.cfg.Timing.AckTimeout
	return now.Sub(contact) > rank.TakeoverDelay(timeout, c.cfg.Timing.TakeoverStep, place)
}

// chooseLinkPeer returns the peer across the link: a root of a failure domain near the platform, in an order that differs
// between processes. A usable peer is kept.
func (c *Core) chooseLinkPeer(now time.Time) *membership.Member {
	if m := c.members.Get(c.tree.linkPeer); m != nil && c.usableParent(now, m) && c.tree.upstreams[m.Name] != nil {
		return m
	}
	var names []string
	for _, region := range c.topology.Regions {
		if !c.nearPlatform(region.Name) {
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

// sourceFailing reports whether the reader upstream of this process, or this process itself, fails to read the platform.
// It returns false if that is not known.
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

// linkAge returns the time since the last contact with the other region, or 24 hours if there was none.
func (c *Core) linkAge(now time.Time) time.Duration {
	if c.tree.linkContact.IsZero() {
		return 24 * time.Hour
	}
	return now.Sub(c.tree.linkContact)
}
