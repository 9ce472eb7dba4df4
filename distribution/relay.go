package distribution

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/membership"
	"github.com/chervilwell/chervilwell/origin"
)

// Bounds of relaying.
const (
	// leaseIntervals is the number of heartbeat intervals after which a silent child is dropped.
	leaseIntervals = 3
	// maxHeartbeatInterval bounds the interval that a child may name.
	maxHeartbeatInterval = 30 * time.Second
	// pullAgain is the time after which a pull that was not answered is repeated.
	pullAgain = time.Second
	// maxFull bounds the peers remembered as having no room.
	maxFull = 64
	// referred bounds the peers named to a process that is turned away.
	referred = 4
)

// child is a peer that subscribes to this process.
type child struct {
	to     Address
	expiry time.Time
	// known holds the versions that the child has, or will have once what was sent arrives.
	known map[string]DocumentVersion
	// synced says that known is complete.
	synced bool
	// link says that the child is in another region. Pushes to it are gathered until nextPush.
	link     bool
	waiting  bool
	nextPush time.Time
}

// relayState holds the subscribers and the bounds of what is sent to them.
type relayState struct {
	children map[string]*child
	full     *rate.Limiter
	// served lists the peers that got full documents last.
	served []Address
	// pulls holds the documents asked for and not yet received.
	pulls map[string]time.Time
}

func newRelay(l Limits) relayState {
	return relayState{
		children: map[string]*child{},
		full:     newLimiter(l.FullBytesPerSecond, l.FullBurst),
		pulls:    map[string]time.Time{},
	}
}

func (c *Core) expireChildren(now time.Time) {
	for name, ch := range c.relay.children {
		if now.After(ch.expiry) {
			delete(c.relay.children, name)
		}
	}
}

// onHeartbeat renews a child's subscription and answers with the versions held where they differ.
func (c *Core) onHeartbeat(now time.Time, from Address, m Message) {
	known := c.members.Get(from.Name) != nil
	if c.phase == Leaving {
		return
	}
	if m.Heartbeat.IntervalMs == 0 {
		delete(c.relay.children, from.Name)
		return
	}
	if !c.serving() {
		c.introduced(from)
		c.send(from, Message{Ack: &Ack{Joining: true, Introduce: !known}, Sender: c.self()})
		return
	}
	ack := &Ack{Introduce: !known, Pulling: c.tree.pulling, SourceFailing: c.sourceFailing()}
	if ack.Pulling {
		ack.LinkAgeMs = uint32(min(c.linkAge(now), time.Hour).Milliseconds())
	}
	ch := c.subscribe(now, from, m.Heartbeat)
	ack.Full = ch == nil
	c.compare(now, ch, m.Heartbeat, ack)
	reply := Message{Ack: ack}
	if m.Sender != nil {
		reply.Sender = c.self()
	}
	c.send(from, reply)
}

// compare brings a child up to date that says what it holds, or lets it compare where the vectors differ.
func (c *Core) compare(now time.Time, ch *child, h *Heartbeat, ack *Ack) {
	same := h.Vector == c.store.vector
	if ch == nil {
		if !same {
			ack.Versions = c.store.versions
		}
		return
	}
	switch {
	case same:
		ch.learn(c.store.versions)
	case len(h.Versions) > 0:
		ch.learn(h.Versions)
		ack.Versions = c.newerAt(h.Versions)
		c.pushTo(now, ch, documentNames(c.store.versions)...)
	case ch.waiting:
		// What was gathered for the child goes out now; comparing before would repeat it.
		c.pushTo(now, ch, documentNames(c.store.versions)...)
	default:
		ack.Versions = c.store.versions
	}
}

// learn notes what the child holds.
func (ch *child) learn(versions []DocumentVersion) {
	ch.synced = true
	clear(ch.known)
	for _, v := range versions {
		ch.known[v.Name] = v
	}
}

// newerAt returns the versions held if a peer holds a newer one of any document, so that it pushes back; else nil.
func (c *Core) newerAt(theirs []DocumentVersion) []DocumentVersion {
	for _, v := range theirs {
		if mine := c.store.version(v.Name); mine.Revision < v.Revision {
			return c.store.versions
		}
	}
	return nil
}

// subscribe renews the subscription of a child. It returns nil if there is no room for a further one.
func (c *Core) subscribe(now time.Time, from Address, h *Heartbeat) *child {
	ch := c.relay.children[from.Name]
	if ch == nil {
		if len(c.relay.children) >= c.cfg.Limits.Children && !c.makeRoom(from.Name) {
			return nil
		}
		ch = &child{known: map[string]DocumentVersion{}, link: c.acrossLink(from.Name)}
		c.relay.children[from.Name] = ch
	}
	interval := min(time.Duration(h.IntervalMs)*time.Millisecond, maxHeartbeatInterval)
	ch.to = from
	ch.expiry = now.Add(leaseIntervals * interval)
	return ch
}

// makeRoom ends the subscription of the child that ranks last if the asker ranks before it, since those that rank last have
// the most other parents to choose from. Roots of other failure domains are few and always get room.
func (c *Core) makeRoom(asker string) bool {
	m := c.members.Get(asker)
	if m == nil {
		return false
	}
	if m.FailureDomain != c.cfg.Self.FailureDomain {
		return len(c.relay.children) < 2*c.cfg.Limits.Children
	}
	last := m
	for name := range c.relay.children {
		ch := c.members.Get(name)
		if ch != nil && ch.FailureDomain == m.FailureDomain && membership.Before(last, ch) {
			last = ch
		}
	}
	if last == m {
		return false
	}
	c.send(c.relay.children[last.Name].to, Message{Ack: &Ack{Full: true}})
	delete(c.relay.children, last.Name)
	return true
}

// acrossLink reports whether a peer is known to be in another region.
func (c *Core) acrossLink(name string) bool {
	m := c.members.Get(name)
	if m == nil {
		return false
	}
	region := c.topology.RegionOf(m.FailureDomain)
	return region != "" && region != c.region()
}

// onAck notes that an upstream lives, and pulls or pushes where versions differ.
func (c *Core) onAck(now time.Time, from Address, a *Ack) {
	u := c.tree.upstreams[from.Name]
	if u == nil {
		return
	}
	u.since = time.Time{}
	u.ackAt = now
	u.introduced = !a.Introduce
	u.pulling = a.Pulling
	u.sourceFailing = a.SourceFailing
	if a.Pulling {
		u.linkHeard = now.Add(-time.Duration(a.LinkAgeMs) * time.Millisecond)
	}
	if u.link {
		c.tree.linkHeard = now
	}
	if a.Joining {
		c.deferReading(now)
		c.members.Suspect(from.Name, now.Add(c.cfg.Timing.Settle))
		return
	}
	if a.Full {
		c.noteFull(now, from.Name)
	}
	if len(a.Versions) > 0 {
		c.reconcile(now, from, a.Versions)
	}
}

// noteFull remembers that a peer has no room, so that another parent is preferred for a while.
func (c *Core) noteFull(now time.Time, name string) {
	if c.tree.full == nil || len(c.tree.full) > maxFull {
		c.tree.full = map[string]time.Time{}
	}
	c.tree.full[name] = now.Add(c.jitter(c.cfg.Timing.Suspicion))
}

// reconcile compares the versions of a peer with those held: it pulls what is newer there and pushes what is newer here.
func (c *Core) reconcile(now time.Time, from Address, theirs []DocumentVersion) {
	var wants []DocumentVersion
	named := map[string]bool{}
	var push []Delta
	for _, v := range theirs {
		named[v.Name] = true
		mine := c.store.version(v.Name)
		switch {
		case mine.Revision < v.Revision:
			if c.mayPull(now, v) {
				wants = append(wants, mine)
			}
		case mine.Revision > v.Revision:
			push = c.appendDelta(now, push, v)
		case mine.Digest != v.Digest:
			c.reportConflict(v)
		}
	}
	for _, v := range c.store.versions {
		if !named[v.Name] {
			push = c.appendDelta(now, push, DocumentVersion{Name: v.Name})
		}
	}
	if len(wants) > 0 {
		c.send(from, Message{Pull: &Pull{Held: wants}})
	}
	if len(push) > 0 {
		c.send(from, Message{Push: &Push{Deltas: push}})
	}
}

func (c *Core) reportConflict(v DocumentVersion) {
	c.reportOnce(v, Report{
		Kind: ReportConflict, Subject: v.Name, Version: document.Version{Revision: v.Revision},
		Detail: "a peer holds the same revision with another digest",
		Remedy: "publish the wanted content under a higher revision",
	})
}

// mayPull reports whether a version is wanted and not asked for already.
func (c *Core) mayPull(now time.Time, v DocumentVersion) bool {
	if c.refused[v] || !allowedName(v.Name) || now.Before(c.relay.pulls[v.Name]) {
		return false
	}
	c.relay.pulls[v.Name] = now.Add(pullAgain)
	return true
}

// appendDelta adds the delta from base to the version held; a full one only within the budget.
func (c *Core) appendDelta(now time.Time, list []Delta, base DocumentVersion) []Delta {
	data, full, err := c.store.delta(base)
	if err != nil || data == nil || (full && !c.relay.full.AllowN(now, min(len(data), c.cfg.Limits.FullBurst))) {
		return list
	}
	if full {
		base = DocumentVersion{}
	}
	return append(list, Delta{BaseRevision: base.Revision, BaseDigest: base.Digest, Packed: data})
}

// onPull sends the documents asked for as deltas on the versions named, or in full within the budget.
func (c *Core) onPull(now time.Time, from Address, m Message) {
	if c.phase == Leaving {
		return
	}
	var push []Delta
	ch := c.relay.children[from.Name]
	refused, full := false, false
	for _, v := range m.Pull.Held {
		if c.store.version(v.Name).Revision <= v.Revision {
			continue
		}
		before := len(push)
		push = c.appendDelta(now, push, v)
		full = full || c.store.base(v) == nil
		if len(push) == before {
			refused = true
			continue
		}
		if ch != nil {
			ch.known[v.Name] = c.store.version(v.Name)
		}
	}
	if len(push) > 0 {
		c.send(from, Message{Push: &Push{Deltas: push}})
		if full {
			c.noteServed(from)
		}
	}
	if refused {
		retry := 200 + c.rng.IntN(400)
		c.send(from, Message{Busy: &Busy{RetryAfterMs: uint32(retry), Refer: c.referrals(from.Name, m.Sender)}})
	}
}

func (c *Core) noteServed(a Address) {
	c.relay.served = append(c.relay.served, a)
	if len(c.relay.served) > 4*referred {
		c.relay.served = c.relay.served[1:]
	}
}

// referrals names peers that were served lately, those of the asker's failure domain first.
func (c *Core) referrals(asker string, sender *Sender) []Address {
	fd := ""
	if sender != nil {
		fd = sender.Instance.FailureDomain
	}
	var near, far []Address
	for _, a := range c.relay.served {
		m := c.members.Get(a.Name)
		switch {
		case a.Name == asker:
		case m != nil && m.FailureDomain == fd:
			near = append(near, a)
		default:
			far = append(far, a)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), referred)]
}

// onBusy puts off a join's next round and takes the peers referred to as candidates. A process that has joined pulls again
// with its next heartbeat.
func (c *Core) onBusy(now time.Time, b *Busy) {
	retry := time.Duration(min(b.RetryAfterMs, 30_000)) * time.Millisecond
	if c.phase == Joining {
		for _, a := range b.Refer {
			c.addPeer(a)
		}
		c.join.askedAt = time.Time{}
		c.join.nextAsk = now.Add(c.jitter(retry))
	}
}

// allowedName reports whether a document name is one that the system distributes.
func allowedName(name string) bool {
	prefix := origin.InstancesDocument("")
	return name == catalogueName || (len(name) > len(prefix) && name[:len(prefix)] == prefix)
}
