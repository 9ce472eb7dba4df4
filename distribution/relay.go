package distribution

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/membership"
	"github.com/chervilwell/chervilwell/origin"
)

// Limits and intervals of the relay.
const (
	// leaseIntervals is the number of heartbeat intervals without a heartbeat after which a child is dropped.
	leaseIntervals = 3
	// maxHeartbeatInterval is the maximum interval that a child can request.
	maxHeartbeatInterval = 30 * time.Second
	// pullRetry is the interval after which an unanswered pull is retried.
	pullRetry = time.Second
	// maxFullPeers is the maximum number of peers remembered as full.
	maxFullPeers = 64
	// maxReferrals is the maximum number of other peers that an Offer or Busy names.
	maxReferrals = 4
)

// child is a peer that subscribes to this process.
type child struct {
	to     Address
	expiry time.Time
	// known holds the versions that the child has, or will have once the messages in flight arrive.
	known map[string]DocumentVersion
	// synced reports that known is complete.
	synced bool
	// link reports that the child is in another region. Pushes to it are batched until nextPush.
	link     bool
	pending  bool
	nextPush time.Time
}

// relayState holds the children and the limits of what is sent to them.
type relayState struct {
	children    map[string]*child
	fullLimiter *rate.Limiter
	// served lists the peers that most recently received full documents.
	served []Address
	// pulls holds the documents that are being pulled, with the time from which each pull may be retried.
	pulls map[string]time.Time
}

func newRelay(l Limits) relayState {
	return relayState{
		children:    map[string]*child{},
		fullLimiter: newLimiter(l.FullBytesPerSecond, l.FullBurst),
		pulls:       map[string]time.Time{},
	}
}

// expireChildren drops the children whose subscription was not renewed in time.
func (c *Core) expireChildren(now time.Time) {
	for name, ch := range c.relay.children {
		if now.After(ch.expiry) {
			delete(c.relay.children, name)
		}
	}
}

// onHeartbeat renews a child's subscription and answers with the stored versions if they differ from the child's.
func (c *Core) onHeartbeat(now time.Time, from Address, m Message) {
	known := c.members.Get(from.Name) != nil
	if c.phase == Leaving {
		return
	}
	if m.Heartbeat.IntervalMs == 0 {
		delete(c.relay.children, from.Name)
		return
	}
	if !c.canServeJoins() {
		c.rememberPeer(from)
		c.send(from, Message{Ack: &Ack{Joining: true, WantSender: !known}, Sender: c.self()})
		return
	}
	ack := &Ack{WantSender: !known, Pulling: c.tree.pulling, SourceFailing: c.sourceFailing()}
	if ack.Pulling {
		ack.LinkAgeMs = uint32(min(c.linkAge(now), time.Hour).Milliseconds())
	}
	ch := c.subscribe(now, from, m.Heartbeat)
	ack.Full = ch == nil
	c.syncChild(now, ch, m.Heartbeat, ack)
	reply := Message{Ack: ack}
	if m.Sender != nil {
		reply.Sender = c.self()
	}
	c.send(from, reply)
}

// syncChild brings a child up to date if its versions are known; otherwise ack lists the stored versions for the child to
// compare. ch is nil if the sender was not accepted as a child.
func (c *Core) syncChild(now time.Time, ch *child, h *Heartbeat, ack *Ack) {
	same := h.VersionsHash == c.store.versionsHash
	if ch == nil {
		if !same {
			ack.Versions = c.store.versions
		}
		return
	}
	switch {
	case same:
		ch.setKnown(c.store.versions)
	case len(h.Versions) > 0:
		ch.setKnown(h.Versions)
		ack.Versions = c.versionsIfBehind(h.Versions)
		c.pushTo(now, ch, documentNames(c.store.versions)...)
	case ch.pending:
		// Send the pending batch now; a comparison before it arrives would request the same documents again.
		c.pushTo(now, ch, documentNames(c.store.versions)...)
	default:
		ack.Versions = c.store.versions
	}
}

// setKnown replaces the versions that the child is known to have.
func (ch *child) setKnown(versions []DocumentVersion) {
	ch.synced = true
	clear(ch.known)
	for _, v := range versions {
		ch.known[v.Name] = v
	}
}

// versionsIfBehind returns the stored versions if the remote version of any document is newer, so that the peer pushes
// it; otherwise nil.
func (c *Core) versionsIfBehind(remote []DocumentVersion) []DocumentVersion {
	for _, v := range remote {
		if local := c.store.version(v.Name); local.Revision < v.Revision {
			return c.store.versions
		}
	}
	return nil
}

// subscribe creates or renews the subscription of a child. It returns nil if the limit of children is reached and no
// child can be evicted.
func (c *Core) subscribe(now time.Time, from Address, h *Heartbeat) *child {
	ch := c.relay.children[from.Name]
	if ch == nil {
		if len(c.relay.children) >= c.cfg.Limits.Children && !c.evictChild(from.Name) {
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

// evictChild makes room for requester and reports whether there is room. It ends the subscription of the child that ranks
// last if requester ranks before it: a process that ranks last has the most other parents to choose from. Roots of other
// failure domains are few; they are accepted up to twice the limit of children without evicting any.
func (c *Core) evictChild(requester string) bool {
	m := c.members.Get(requester)
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

// onAck records the state of an upstream, and pulls or pushes the documents whose versions differ.
func (c *Core) onAck(now time.Time, from Address, a *Ack) {
	u := c.tree.upstreams[from.Name]
	if u == nil {
		return
	}
	u.unackedSince = time.Time{}
	u.ackAt = now
	u.senderKnown = !a.WantSender
	u.pulling = a.Pulling
	u.sourceFailing = a.SourceFailing
	if a.Pulling {
		u.linkContact = now.Add(-time.Duration(a.LinkAgeMs) * time.Millisecond)
	}
	if u.link {
		c.tree.linkContact = now
	}
	if a.Joining {
		c.deferToJoiningPeer(now)
		c.members.Suspect(from.Name, now.Add(c.cfg.Timing.Settle))
		return
	}
	if a.Full {
		c.markFull(now, from.Name)
	}
	if len(a.Versions) > 0 {
		c.reconcile(now, from, a.Versions)
	}
}

// markFull records that a peer accepts no further child, so that another parent is preferred for a while.
func (c *Core) markFull(now time.Time, name string) {
	if c.tree.fullUntil == nil || len(c.tree.fullUntil) > maxFullPeers {
		c.tree.fullUntil = map[string]time.Time{}
	}
	c.tree.fullUntil[name] = now.Add(c.jitter(c.cfg.Timing.SuspectPeriod))
}

// reconcile compares a peer's versions with the stored ones: it pulls documents that are newer at the peer and pushes
// those that are newer here.
func (c *Core) reconcile(now time.Time, from Address, remote []DocumentVersion) {
	var missing []DocumentVersion
	named := map[string]bool{}
	var push []Delta
	for _, v := range remote {
		named[v.Name] = true
		local := c.store.version(v.Name)
		switch {
		case local.Revision < v.Revision:
			if c.claimPull(now, v) {
				missing = append(missing, local)
			}
		case local.Revision > v.Revision:
			push = c.appendDelta(now, push, v)
		case local.Digest != v.Digest:
			c.reportConflict(v)
		}
	}
	for _, v := range c.store.versions {
		if !named[v.Name] {
			push = c.appendDelta(now, push, DocumentVersion{Name: v.Name})
		}
	}
	if len(missing) > 0 {
		c.send(from, Message{Pull: &Pull{Have: missing}})
	}
	if len(push) > 0 {
		c.send(from, Message{Push: &Push{Deltas: push}})
	}
}

func (c *Core) reportConflict(v DocumentVersion) {
	c.reportOnce(v, Report{
		Kind: ReportConflict, Subject: v.Name, Version: document.Version{Revision: v.Revision},
		Detail: "a peer has the stored revision with another digest",
		Remedy: "publish the intended content under a higher revision",
	})
}

// claimPull reports whether to pull a version now, and if so records the pull. It returns false for refused versions and
// for documents that are being pulled already.
func (c *Core) claimPull(now time.Time, v DocumentVersion) bool {
	if c.refused[v] || !allowedName(v.Name) || now.Before(c.relay.pulls[v.Name]) {
		return false
	}
	c.relay.pulls[v.Name] = now.Add(pullRetry)
	return true
}

// appendDelta appends the delta from base to the stored version. A full delta is appended only within the rate limit
// of full documents.
func (c *Core) appendDelta(now time.Time, list []Delta, base DocumentVersion) []Delta {
	data, full, err := c.store.delta(base)
	if err != nil || data == nil || (full && !c.relay.fullLimiter.AllowN(now, min(len(data), c.cfg.Limits.FullBurst))) {
		return list
	}
	if full {
		base = DocumentVersion{}
	}
	return append(list, Delta{BaseRevision: base.Revision, BaseDigest: base.Digest, Packed: data})
}

// onPull sends the requested documents as deltas from the versions that the peer has, or in full within the rate
// limit of full documents.
func (c *Core) onPull(now time.Time, from Address, m Message) {
	if c.phase == Leaving {
		return
	}
	var push []Delta
	ch := c.relay.children[from.Name]
	refused, full := false, false
	for _, v := range m.Pull.Have {
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
			c.recordServed(from)
		}
	}
	if refused {
		retryAfterMs := 200 + c.rng.IntN(400)
		c.send(from, Message{Busy: &Busy{RetryAfterMs: uint32(retryAfterMs), Refer: c.referrals(from.Name, m.Sender)}})
	}
}

func (c *Core) recordServed(a Address) {
	c.relay.served = append(c.relay.served, a)
	if len(c.relay.served) > 4*maxReferrals {
		c.relay.served = c.relay.served[1:]
	}
}

// referrals returns peers that recently received full documents, those of the requester's failure domain first.
func (c *Core) referrals(requester string, sender *Sender) []Address {
	fd := ""
	if sender != nil {
		fd = sender.Instance.FailureDomain
	}
	var near, far []Address
	for _, a := range c.relay.served {
		m := c.members.Get(a.Name)
		switch {
		case a.Name == requester:
		case m != nil && m.FailureDomain == fd:
			near = append(near, a)
		default:
			far = append(far, a)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxReferrals)]
}

// onBusy postpones the next round of a join and adds the peers referred to as candidates. A process that has joined pulls
// again after its next heartbeat.
func (c *Core) onBusy(now time.Time, b *Busy) {
	retryAfter := time.Duration(min(b.RetryAfterMs, 30_000)) * time.Millisecond
	if c.phase == Joining {
		for _, a := range b.Refer {
			c.addPeer(a)
		}
		c.join.askedAt = time.Time{}
		c.join.nextAsk = now.Add(c.jitter(retryAfter))
	}
}

// allowedName reports whether documents of this name are distributed: the catalogue and the lists of instances.
func allowedName(name string) bool {
	prefix := origin.InstancesDocument("")
	return name == catalogueName || (len(name) > len(prefix) && name[:len(prefix)] == prefix)
}
