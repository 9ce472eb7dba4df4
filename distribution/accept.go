package distribution

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Bounds of what peers may make this process hold.
const (
	maxChunks    = 1 << 12
	maxDocuments = 256
	maxRefused   = 64
)

// onPush applies deltas, each on the base that it names.
func (c *Core) onPush(now time.Time, from Address, p *Push) {
	if u := c.tree.upstreams[from.Name]; u != nil {
		c.heardPush(now, u)
	}
	for _, wire := range p.Deltas {
		var d document.Delta
		if err := document.Unpack(wire.Packed, &d); err != nil {
			c.reportDamaged(from, DocumentVersion{}, err)
			continue
		}
		d.Base = document.Version{}
		if base := c.store.base(DocumentVersion{Name: d.Name, Revision: wire.BaseRevision, Digest: wire.BaseDigest}); base != nil {
			d.Base = base.Version()
		}
		c.acceptDelta(now, from, d)
	}
}

// heardPush takes a push as a sign of life, which puts off the next heartbeat. The subscription is still renewed in time.
func (c *Core) heardPush(now time.Time, u *upstream) {
	u.since = time.Time{}
	interval, renewal := c.cfg.Timing.Heartbeat, 2*c.cfg.Timing.Heartbeat
	if u.link {
		c.tree.linkHeard = now
		interval, renewal = c.cfg.Timing.LinkHeartbeat, c.cfg.Timing.LinkRenewal
	}
	if due := now.Add(interval); due.Before(u.sentAt.Add(renewal)) {
		u.nextAt = due
	} else {
		u.nextAt = u.sentAt.Add(renewal)
	}
}

func (c *Core) reportDamaged(from Address, v DocumentVersion, err error) {
	v.Name = "damaged/" + from.Name
	c.reportOnce(v, Report{
		Kind: ReportRefused, Subject: from.Name, Detail: "delta from peer refused: " + err.Error(),
		Remedy: "check the peer's version and the network between",
	})
}

func (c *Core) acceptDelta(now time.Time, from Address, d document.Delta) {
	if !allowedName(d.Name) || d.Chunks > maxChunks || (c.store.docs[d.Name] == nil && len(c.store.docs) >= maxDocuments) {
		c.reportDamaged(from, DocumentVersion{}, errors.Errorf("document %q is not distributed", d.Name))
		return
	}
	if ch := c.relay.children[from.Name]; ch != nil {
		ch.known[d.Name] = compact(d.Name, d.Target)
	}
	if !c.follows(d.Name, d.Target, "peer "+from.Name) {
		return
	}
	doc, err := document.Apply(c.store.exact(d.Name, d.Base), d)
	if errors.Is(err, document.ErrBaseMismatch) {
		c.send(from, Message{Pull: &Pull{Held: []DocumentVersion{c.store.version(d.Name)}}})
		return
	}
	if err != nil {
		delete(c.relay.pulls, d.Name)
		c.reportDamaged(from, compact(d.Name, d.Target), err)
		return
	}
	c.accept(now, doc, from.Name)
}

func compact(name string, v document.Version) DocumentVersion {
	out := DocumentVersion{Name: name, Revision: v.Revision}
	for _, b := range v.Digest[:8] {
		out.Digest = out.Digest<<8 | uint64(b)
	}
	return out
}

// follows reports whether a version may replace the one held, and reports it if it must not. A version that is held
// already is not news and yields false.
func (c *Core) follows(name string, next document.Version, origin string) bool {
	current := c.store.get(name)
	if c.refused[compact(name, next)] {
		return false
	}
	if current == nil {
		return next.Revision > 0
	}
	if current.Version() == next {
		return false
	}
	err := snapshot.Follows(current.Version(), next)
	switch {
	case err == nil:
		return true
	case errors.Is(err, snapshot.ErrConflict):
		c.turnDown(charts.OnApplicationConflict, name, next, origin)
	default:
		c.turnDown(charts.OnApplicationOlder, name, next, origin)
	}
	return false
}

// accept holds a verified document that follows the one held, once it passed its check, and forwards it.
func (c *Core) accept(now time.Time, doc *document.Document, origin string) {
	previous := c.store.get(doc.Name())
	delete(c.relay.pulls, doc.Name())
	if !c.apply(now, doc, previous, origin) {
		return
	}
	c.forward(now, doc.Name(), origin)
	c.joinApplied(now, doc)
}

// check puts a catalogue in force, or takes a list of instances into the membership.
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
	return c.takeList(now, doc, previous)
}

// takeList updates the membership by the difference between two versions of a list.
func (c *Core) takeList(now time.Time, doc, previous *document.Document) error {
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
	c.members.List(now, set, diff.Removed)
	return nil
}

// refuse remembers a bad version, so that it is neither fetched nor checked again.
func (c *Core) refuse(doc *document.Document, origin string, err error) {
	if len(c.refused) >= maxRefused {
		clear(c.refused)
	}
	c.refused[versionOf(doc)] = true
	c.emit(Report{
		Kind: ReportRefused, Subject: doc.Name(), Version: doc.Version(),
		Detail: "version from " + origin + " refused as a whole: " + err.Error(),
		Remedy: "correct the entry named and publish under a higher revision",
	})
}

// forward pushes the current version of a document to the children that lack it, each on the base that it holds.
// Across the link changes that follow each other closely are gathered, since each packet costs about half a delta.
func (c *Core) forward(now time.Time, name, origin string) {
	version := c.store.version(name)
	for _, id := range sortedNames(c.relay.children) {
		ch := c.relay.children[id]
		switch {
		case id == origin:
			ch.known[name] = version
		case ch.link && now.Before(ch.nextPush):
			ch.waiting = true
		case ch.waiting:
			c.pushTo(now, ch, documentNames(c.store.versions)...)
		default:
			c.pushTo(now, ch, name)
		}
	}
}

// flush sends what was gathered for children across the link.
func (c *Core) flush(now time.Time) {
	for _, id := range sortedNames(c.relay.children) {
		ch := c.relay.children[id]
		if ch.waiting && !now.Before(ch.nextPush) {
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

// pushTo sends a child the documents named that it lacks, in one message.
func (c *Core) pushTo(now time.Time, ch *child, names ...string) {
	ch.waiting = false
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
