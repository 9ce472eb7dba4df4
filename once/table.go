package once

import (
	"cmp"
	"slices"
	"time"
)

// Limits bounds the memory of a Table.
type Limits struct {
	// Keys is the maximum number of recorded keys.
	Keys int
	// ResponseBytes is the maximum total size of the remembered responses in bytes. A response that exceeds it is not
	// remembered.
	ResponseBytes int
}

// DefaultLimits suits a process with 64 MB of memory.
var DefaultLimits = Limits{Keys: 20000, ResponseBytes: 8 << 20}

// phase is the state of a key at this incarnation.
type phase uint8

const (
	// recorded keys are bound to some incarnation and neither polled for nor run here.
	recorded phase = iota
	// polling keys wait for votes.
	polling
	// acquired keys are bound to this incarnation by a majority; their request has not run.
	acquired
	// running keys belong to a request that runs now.
	running
	// done keys belong to a request that ran and whose response is remembered.
	done
	// lost keys belong to a request that ran, or may have run, and whose response is not known.
	lost
)

type record struct {
	fingerprint uint64
	holder      Incarnation
	madeAt      time.Time
	phase       phase
	// votes are the voters that granted the key; set while polling.
	votes map[string]bool
	// against are the voters that bound the key to another incarnation; otherHolder is one such incarnation. Both are set
	// while polling.
	against     map[string]bool
	otherHolder Incarnation
	voters      []Voter
	response    []byte
}

type voterState struct {
	Voter
	// droppedAt is when the voter disappeared from the instance list; zero while it is listed.
	droppedAt time.Time
	// leftAt is when the voter left according to its Departure; zero if it sent none.
	leftAt time.Time
}

// goneAt returns the time after which the voter binds no keys, or zero if it still may.
func (v *voterState) goneAt() time.Time {
	switch {
	case !v.leftAt.IsZero():
		return v.leftAt
	case !v.droppedAt.IsZero():
		return v.droppedAt.Add(DropAfter)
	}
	return time.Time{}
}

// mayHaveBound reports whether the voter may have bound a key made at that time.
func (v *voterState) mayHaveBound(made time.Time) bool {
	gone := v.goneAt()
	return gone.IsZero() || made.Add(-2*MaxClockSkew).Before(gone)
}

// Table holds the keys and voters known to one incarnation. Create it with New. It is not safe for concurrent use.
type Table struct {
	self          Incarnation
	limits        Limits
	voters        map[string]*voterState
	records       map[Key]*record
	expiry        []expiryEntry
	bytes         int
	lastCall      time.Time
	maturingSince time.Time
	matureAt      time.Time
	// replies holds the voters that replied to this incarnation's Announcement and whether they were mature.
	replies   map[string]bool
	withdrawn bool
	// unlisted is true if the instance list lacks this instance, or before the first list.
	unlisted bool
}

type expiryEntry struct {
	key Key
	at  time.Time
}

// New returns the table of an incarnation that starts now.
func New(now time.Time, self Voter, limits Limits) *Table {
	t := &Table{
		self: Incarnation{self.Instance, now.UnixNano()}, limits: limits,
		voters: map[string]*voterState{}, records: map[Key]*record{}, unlisted: true,
	}
	t.voters[self.Instance] = &voterState{Voter: self}
	t.resetMaturity(now)
	return t
}

// resetMaturity makes the incarnation immature and restarts the time until it matures.
func (t *Table) resetMaturity(now time.Time) {
	t.maturingSince, t.lastCall = now, now
	t.matureAt = time.Time{}
	t.replies = map[string]bool{}
}

// advance sets the time of the last call to now and returns it; time never goes back. After a pause of more than PauseGap
// the incarnation must mature again, since it must first receive the voters that the other voters added in the meantime.
func (t *Table) advance(now time.Time) time.Time {
	if now.Before(t.lastCall) {
		return t.lastCall
	}
	if now.Sub(t.lastCall) > PauseGap {
		t.resetMaturity(now)
	}
	t.lastCall = now
	t.expire(now)
	return now
}

// expire removes keys that are too old to be accepted, and voters that left or disappeared too long ago to count.
func (t *Table) expire(now time.Time) {
	for len(t.expiry) > 0 && now.After(t.expiry[0].at) {
		key := t.expiry[0].key
		t.expiry = t.expiry[1:]
		if r := t.records[key]; r != nil && r.phase != running {
			t.bytes -= len(r.response)
			delete(t.records, key)
		}
	}
	for name, v := range t.voters {
		if gone := v.goneAt(); !gone.IsZero() && now.Sub(gone) > KeyTTL+2*MaxClockSkew {
			delete(t.voters, name)
		}
	}
}

// Self returns the incarnation of the table.
func (t *Table) Self() Incarnation { return t.self }

// SetVoters sets the service's instances from the instance list. A voter that is no longer listed counts for another
// DropAfter. While this instance itself is not listed, it binds no keys.
func (t *Table) SetVoters(now time.Time, list []Voter) {
	now = t.advance(now)
	listed := make(map[string]bool, len(list))
	for _, v := range list {
		listed[v.Instance] = true
		t.addVoter(v)
		t.voters[v.Instance].droppedAt = time.Time{}
		if v.Instance == t.self.Instance {
			t.voters[v.Instance].Voter = v // the first list provides this instance's region
		}
	}
	for name, v := range t.voters {
		if !listed[name] && name != t.self.Instance && v.droppedAt.IsZero() {
			v.droppedAt = now
		}
	}
	if t.unlisted && listed[t.self.Instance] && t.matureAt.IsZero() {
		t.maturingSince = now
	}
	t.unlisted = !listed[t.self.Instance]
}

func (t *Table) addVoter(v Voter) {
	if t.voters[v.Instance] == nil {
		t.voters[v.Instance] = &voterState{Voter: v}
	}
}

// HandleDeparture records that another incarnation binds no more keys.
func (t *Table) HandleDeparture(now time.Time, d Departure) {
	t.advance(now)
	if v := t.voters[d.From.Instance]; v != nil && d.From.Instance != t.self.Instance {
		v.leftAt = time.Unix(0, d.At)
	}
}

// Leave makes this incarnation bind and run no more keys. Requests that already run continue. Send the Departure to Peers.
func (t *Table) Leave(now time.Time) Departure {
	now = t.advance(now)
	t.withdrawn = true
	return Departure{From: t.self, At: now.UnixNano()}
}

// Announcement returns the message that announces this incarnation. Send it to Peers twice a second until the incarnation
// is mature.
func (t *Table) Announcement() Announcement { return Announcement{From: t.self, Voters: t.present()} }

// Peers returns the names of the other voters that have not gone, sorted by name.
func (t *Table) Peers() []string { return t.others(t.present()) }

func (t *Table) others(voters []Voter) []string {
	var out []string
	for _, v := range voters {
		if v.Instance != t.self.Instance {
			out = append(out, v.Instance)
		}
	}
	return out
}

// present returns the voters that have not gone, sorted by name.
func (t *Table) present() []Voter { return t.eligibleVoters(t.lastCall.Add(2*MaxClockSkew), nil) }

// eligibleVoters returns the voters in the given regions that may have bound a key made at that time, sorted by
// name. Nil regions stand for all regions.
func (t *Table) eligibleVoters(made time.Time, regions map[string]bool) []Voter {
	out := make([]Voter, 0, len(t.voters))
	for _, v := range t.voters {
		if v.mayHaveBound(made) && (regions == nil || regions[v.Region]) {
			out = append(out, v.Voter)
		}
	}
	slices.SortFunc(out, func(a, b Voter) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// HandleAnnouncement adds the voters of another incarnation's Announcement and returns the reply.
func (t *Table) HandleAnnouncement(now time.Time, a Announcement) AnnouncementReply {
	now = t.advance(now)
	t.addVoters(a.Voters)
	if v := t.voters[a.From.Instance]; v != nil {
		v.leftAt = time.Time{}
	}
	return AnnouncementReply{From: t.self, Voters: t.present(), Mature: t.Mature(now)}
}

// HandleAnnouncementReply processes a reply to this incarnation's Announcement.
func (t *Table) HandleAnnouncementReply(now time.Time, reply AnnouncementReply) {
	now = t.advance(now)
	t.addVoters(reply.Voters)
	t.replies[reply.From.Instance] = reply.Mature
	t.Mature(now)
}

func (t *Table) addVoters(voters []Voter) {
	for _, v := range voters {
		t.addVoter(v)
	}
}

// Mature reports whether this incarnation binds keys: it has been listed for MatureAfter, and a majority of the other
// voters has replied to its Announcement. Voters that replied while not mature themselves are not counted, since they have
// bound no keys.
func (t *Table) Mature(now time.Time) bool {
	if !t.matureAt.IsZero() {
		return true
	}
	now = t.advance(now)
	others, known := 0, 0
	for _, p := range t.Peers() {
		mature, replied := t.replies[p]
		if mature {
			known++
		}
		if mature || !replied {
			others++
		}
	}
	if t.unlisted || now.Sub(t.maturingSince) < MatureAfter || (others > 0 && known <= others/2) {
		return false
	}
	t.matureAt = now
	return true
}

// checkKey returns the reason why this incarnation can't bind a key, or "".
func (t *Table) checkKey(now time.Time, k Key) Reason {
	made := k.madeAt(now)
	switch {
	case made.After(now.Add(MaxClockSkew)):
		return KeyAhead
	case now.Sub(made) > KeyTTL:
		return KeyTooOld
	case t.withdrawn || t.unlisted:
		return Withdrawn
	case !t.Mature(now) || made.Add(-2*MaxClockSkew).Before(t.matureAt):
		return Immature
	}
	return ""
}

// bind returns the record of a key. A key without a record is bound to holder. It returns nil if the limit of keys is
// reached.
func (t *Table) bind(now time.Time, k Key, fingerprint uint64, holder Incarnation) *record {
	if r := t.records[k]; r != nil {
		return r
	}
	if len(t.records) >= t.limits.Keys {
		return nil
	}
	r := &record{fingerprint: fingerprint, holder: holder, madeAt: k.madeAt(now)}
	t.records[k] = r
	t.expiry = append(t.expiry, expiryEntry{k, now.Add(KeyTTL + 2*MaxClockSkew)})
	return r
}
