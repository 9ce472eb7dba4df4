package distribution

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Limits of what peers can make this process store.
const (
	maxChunks    = 1 << 12
	maxDocuments = 256
	maxRefused   = 64
)

// onPush applies deltas, each to the base that it names.
func (c *Core) onPush(now time.Time, from Address, p *Push) {
	if u := c.tree.upstreams[from.Name]; u != nil {
		c.recordPush(now, u)
	}
	for _, wire := range p.Deltas {
		var d document.Delta
		if err := document.Unpack(wire.Packed, &d); err != nil {
			c.reportBadDelta(from, DocumentVersion{}, err)
			continue
		}
		d.Base = document.Version{}
		if base := c.store.base(DocumentVersion{Name: d.Name, Revision: wire.BaseRevision, Digest: wire.BaseDigest}); base != nil {
			d.Base = base.Version()
		}
		c.acceptDelta(now, from, d)
	}
}

// recordPush counts a push as contact with the upstream, which postpones the next heartbeat. The subscription is still
// renewed before it expires.
func (c *Core) recordPush(now time.Time, u *upstream) {
	u.unackedSince = time.Time{}
	interval, lease := c.cfg.Timing.Heartbeat, 2*c.cfg.Timing.Heartbeat
	if u.link {
		c.tree.linkContact = now
		interval, lease = c.cfg.Timing.LinkHeartbeat, c.cfg.Timing.LinkRenewal
	}
	if due := now.Add(interval); due.Before(u.sentAt.Add(lease)) {
		u.nextAt = due
	} else {
		u.nextAt = u.sentAt.Add(lease)
	}
}

func (c *Core) reportBadDelta(from Address, v DocumentVersion, err error) {
	v.Name = "damaged/" + from.Name
	c.reportOnce(v, Report{
		Kind: ReportRefused, Subject: from.Name, Detail: "delta from peer refused: " + err.Error(),
		Remedy: "check the peer's version and the network between the processes",
	})
}

// acceptDelta verifies and accepts one delta. If its base is not stored, the document is pulled from the sender.
func (c *Core) acceptDelta(now time.Time, from Address, d document.Delta) {
	if !allowedName(d.Name) || d.Chunks > maxChunks || (c.store.docs[d.Name] == nil && len(c.store.docs) >= maxDocuments) {
		c.reportBadDelta(from, DocumentVersion{}, errors.Errorf("document %q is not of a distributed kind, or exceeds the limit of chunks or documents", d.Name))
		return
	}
	if ch := c.relay.children[from.Name]; ch != nil {
		ch.known[d.Name] = compactVersion(d.Name, d.Target)
	}
	if !c.supersedes(d.Name, d.Target, "peer "+from.Name) {
		return
	}
	doc, err := document.Apply(c.store.exact(d.Name, d.Base), d)
	if errors.Is(err, document.ErrBaseMismatch) {
		c.send(from, Message{Pull: &Pull{Have: []DocumentVersion{c.store.version(d.Name)}}})
		return
	}
	if err != nil {
		delete(c.relay.pulls, d.Name)
		c.reportBadDelta(from, compactVersion(d.Name, d.Target), err)
		return
	}
	c.accept(now, doc, from.Name)
}

// compactVersion returns the compact form of version v of the named document.
func compactVersion(name string, v document.Version) DocumentVersion {
	out := DocumentVersion{Name: name, Revision: v.Revision}
	for _, b := range v.Digest[:8] {
		out.Digest = out.Digest<<8 | uint64(b)
	}
	return out
}

// supersedes reports whether a version may replace the stored one. It returns false for the stored version itself and for
// refused versions, and reports an older revision or a conflict.
func (c *Core) supersedes(name string, next document.Version, origin string) bool {
	current := c.store.get(name)
	if c.refused[compactVersion(name, next)] {
		return false
	}
	if current == nil {
		return next.Revision > 0
	}
	if current.Version() == next {
		return false
	}
	err := snapshot.CheckSuccessor(current.Version(), next)
	switch {
	case err == nil:
		return true
	case errors.Is(err, snapshot.ErrConflict):
		c.rejectOffer(charts.OnApplicationConflict, name, next, origin)
	default:
		c.rejectOffer(charts.OnApplicationOlder, name, next, origin)
	}
	return false
}

// accept applies a verified document that supersedes the stored one and, if its check passes, forwards it.
func (c *Core) accept(now time.Time, doc *document.Document, origin string) {
	previous := c.store.get(doc.Name())
	delete(c.relay.pulls, doc.Name())
	if !c.apply(now, doc, previous, origin) {
		return
	}
	c.forward(now, doc.Name(), origin)
	c.onApplied(now, doc)
}

// check puts a catalogue in force, or applies a list of instances to the membership.
func (c *Core) check(now time.Time, doc, previous *document.Document) error {
	if doc.Name() == catalogueName {
		if c.cfg.Check == nil {
			return nil
		}
		topology, err := c.cfg.Check(doc)
		if err == nil {
			c.topology = topology
		}
		return err
	}
	return c.applyList(now, doc, previous)
}

// applyList updates the membership with the difference between two versions of a list.
func (c *Core) applyList(now time.Time, doc, previous *document.Document) error {
	diff := document.Diff(previous, doc)
	set := make([]origin.Instance, len(diff.Set))
	for i, e := range diff.Set {
		inst, err := snapshot.DecodeInstance(e)
		if err != nil {
			return err
		}
		if origin.InstancesDocument(inst.FailureDomain) != doc.Name() {
			return errors.Errorf("instance %q is listed in failure domain %q; correct the list", e.Key, inst.FailureDomain)
		}
		set[i] = inst
	}
	c.members.ApplyList(now, set, diff.Removed)
	return nil
}

// refuse remembers an invalid version, so that it is neither fetched nor checked again.
func (c *Core) refuse(doc *document.Document, origin string, err error) {
	if len(c.refused) >= maxRefused {
		clear(c.refused)
	}
	c.refused[versionOf(doc)] = true
	c.emit(Report{
		Kind: ReportRefused, Subject: doc.Name(), Version: doc.Version(),
		Detail: "version from " + origin + " refused as a whole: " + err.Error(),
		Remedy: "correct the named entry and publish under a higher revision",
	})
}

// forward pushes the current version of a document to the children that lack it, as a delta from the version that each
// child has. Across the link, changes in quick succession are batched, since the overhead of each packet is about half
// the size of a delta.
func (c *Core) forward(now time.Time, name, origin string) {
	version := c.store.version(name)
	for _, id := range sortedNames(c.relay.children) {
		ch := c.relay.children[id]
		switch {
		case id == origin:
			ch.known[name] = version
		case ch.link && now.Before(ch.nextPush):
			ch.pending = true
		case ch.pending:
			c.pushTo(now, ch, documentNames(c.store.versions)...)
		default:
			c.pushTo(now, ch, name)
		}
	}
}

// flush sends the batched changes that are due to children across the link.
func (c *Core) flush(now time.Time) {
	for _, id := range sortedNames(c.relay.children) {
		ch := c.relay.children[id]
		if ch.pending && !now.Before(ch.nextPush) {
			c.pushTo(now, ch, documentNames(c.store.versions)...)
		}
	}
}

func documentNames(versions []DocumentVersion) []string {
	out := make([]string, len(versions))
	for i, v := range versions {
		out[i] = v.Name
	}
	return out
}

// pushTo sends a child those of the named documents that it lacks, in one message.
func (c *Core) pushTo(now time.Time, ch *child, names ...string) {
	ch.pending = false
	var push []Delta
	for _, name := range names {
		version := c.store.version(name)
		base, ok := ch.known[name]
		if (!ok && !ch.synced) || base.Revision >= version.Revision {
			continue
		}
		base.Name = name
		before := len(push)
		push = c.appendDelta(now, push, base)
		if len(push) > before {
			ch.known[name] = version
		}
	}
	if len(push) > 0 {
		c.send(ch.to, Message{Push: &Push{Deltas: push}})
		ch.nextPush = now.Add(c.cfg.Timing.LinkBatch)
	}
}
