package distribution

import (
	"encoding/binary"
	"time"
)

// Kinds of notices that this package handles itself.
const (
	// LeavingKind is the kind of the notice with which an instance announces its leave. Subject is the instance's name,
	// Body its incarnation as 8 bytes in big-endian order.
	LeavingKind = "leaving"
)

// Times to live of notices.
const (
	leavingTTL   = 30 * time.Second
	maxNoticeTTL = 10 * time.Minute
)

// noticeKey identifies a notice.
type noticeKey struct {
	origin   string
	sequence uint64
}

// noticeState stores the keys of the notices seen until they expire.
type noticeState struct {
	seen     map[noticeKey]time.Time
	sequence uint64
	limit    int
}

func newNotices(limit int) noticeState {
	return noticeState{seen: map[noticeKey]time.Time{}, limit: limit}
}

// add stores the key of a notice. It returns false if the notice was seen before or the limit of stored keys is reached.
func (s *noticeState) add(now time.Time, n Notice) bool {
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

// publish floods a notice that originates in this process. Sequence numbers start at the incarnation, so that they do not
// repeat those of earlier incarnations.
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
	c.notices.add(now, n)
	c.flood(n, "")
}

// onNotices delivers and floods the notices that were not seen before.
func (c *Core) onNotices(now time.Time, from Address, list []Notice) {
	for _, n := range list {
		if n.TTLMs == 0 || n.Origin == c.cfg.Self.Name || !c.notices.add(now, n) {
			continue
		}
		if n.Kind == LeavingKind {
			c.applyLeave(now, n)
		}
		c.emit(Deliver{Notice: n})
		c.flood(n, from.Name)
	}
}

// applyLeave records the leave of an instance in the membership. Only a notice that originates in that instance counts.
func (c *Core) applyLeave(now time.Time, n Notice) {
	if n.Subject != n.Origin || len(n.Body) != 8 {
		return
	}
	c.members.RecordLeave(now, n.Subject, binary.BigEndian.Uint64(n.Body))
	delete(c.relay.children, n.Subject)
}

// flood sends a notice to all connected peers except the one that it came from. Each hop reduces its time to live, so
// that a notice expires even if its key was dropped from seen.
func (c *Core) flood(n Notice, except string) {
	const hopMs = 20
	if n.TTLMs <= hopMs {
		return
	}
	n.TTLMs -= hopMs
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

// encodeIncarnation returns the body of a notice of kind LeavingKind.
func encodeIncarnation(incarnation uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, incarnation)
}
