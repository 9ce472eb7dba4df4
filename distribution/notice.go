package distribution

import (
	"encoding/binary"
	"time"
)

// Kinds of notices that this package acts on itself.
const (
	// LeavingKind says that the instance named by the subject is leaving in the life that the body names.
	LeavingKind = "leaving"
)

// Bounds of notices.
const (
	leavingTTL   = 30 * time.Second
	maxNoticeTTL = 10 * time.Minute
)

// noticeKey identifies a notice.
type noticeKey struct {
	origin   string
	sequence uint64
}

// noticeState remembers the notices seen until they expire.
type noticeState struct {
	seen     map[noticeKey]time.Time
	sequence uint64
	limit    int
}

func newNotices(limit int) noticeState {
	return noticeState{seen: map[noticeKey]time.Time{}, limit: limit}
}

// remember notes a notice and reports whether it is new and there is room for it.
func (s *noticeState) remember(now time.Time, n Notice) bool {
	key := noticeKey{n.Origin, n.Sequence}
	if _, ok := s.seen[key]; ok || len(s.seen) >= s.limit {
		return false
	}
	s.seen[key] = now.Add(min(n.TTL(), maxNoticeTTL))
	return true
}

func (c *Core) expireNotices(now time.Time) {
	for key, expiry := range c.notices.seen {
		if now.After(expiry) {
			delete(c.notices.seen, key)
		}
	}
}

// publish floods a notice of this process. Its sequence begins at the incarnation, so that lives do not collide.
func (c *Core) publish(now time.Time, e Publish) {
	c.notices.sequence++
	n := Notice{
		Kind: e.Kind, Subject: e.Subject, Origin: c.cfg.Self.Name,
		Sequence: c.cfg.Incarnation + c.notices.sequence,
		TTLMs:    uint32(min(e.TTL, maxNoticeTTL).Milliseconds()), Body: e.Body,
	}
	if len(n.Body) > MaxNoticeBytes {
		return
	}
	c.notices.remember(now, n)
	c.flood(n, "")
}

// onNotices delivers and floods the notices that are new.
func (c *Core) onNotices(now time.Time, from Address, list []Notice) {
	for _, n := range list {
		if n.TTLMs == 0 || n.Origin == c.cfg.Self.Name || !c.notices.remember(now, n) {
			continue
		}
		if n.Kind == LeavingKind {
			c.takeLeaving(now, n)
		}
		c.emit(Deliver{Notice: n})
		c.flood(n, from.Name)
	}
}

// takeLeaving takes an instance's word that it is leaving. Only its own word counts.
func (c *Core) takeLeaving(now time.Time, n Notice) {
	if n.Subject != n.Origin || len(n.Body) != 8 {
		return
	}
	c.members.Left(now, n.Subject, binary.BigEndian.Uint64(n.Body))
	delete(c.relay.children, n.Subject)
}

// flood sends a notice to all connected peers but the one it came from. The remaining life falls a little at each step, so
// that a notice ends even where it is forgotten.
func (c *Core) flood(n Notice, except string) {
	const step = 20
	if n.TTLMs <= step {
		return
	}
	n.TTLMs -= step
	m := Message{Notices: []Notice{n}}
	for _, name := range sortedNames(c.tree.upstreams) {
		if name != except {
			c.send(c.tree.upstreams[name].to, m)
		}
	}
	for _, name := range sortedNames(c.relay.children) {
		if name != except && c.tree.upstreams[name] == nil {
			c.send(c.relay.children[name].to, m)
		}
	}
}

func encodeIncarnation(incarnation uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, incarnation)
}
