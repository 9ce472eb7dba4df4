// Package membership merges the platform's list of instances, which lags, with what a process receives from the instances
// themselves.
//
// Rules: a leave announced by an instance overrides the list at once and holds until a higher incarnation of the instance
// is observed, or for LeaveTTL; the list adds candidates and removes those without recent contact; missing contact never
// removes a listed instance but only makes it suspect for a while. The package is pure: the time is passed as an
// argument.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/rank"
)

// ContactTTL is how long an instance that is not on the list counts as a member after the last contact with it.
const ContactTTL = 30 * time.Second

// LeaveTTL is how long an announced leave overrides the platform's list. Neighbours observe the next incarnation of the
// instance at once; all other processes count it as a member again after this time.
const LeaveTTL = time.Minute

// Member is one instance as seen by this process.
type Member struct {
	origin.Instance
	// Incarnation is the highest incarnation observed; 0 if none.
	Incarnation uint64

	score           uint64
	listed          bool
	leftIncarnation uint64
	leftAt          time.Time
	lastContact     time.Time
	suspectUntil    time.Time
}

// View is the membership as seen by one process. It is not safe for concurrent use.
type View struct {
	self     string
	byName   map[string]*Member
	byDomain map[string][]*Member
	// earlyLeaves holds the announced leaves of instances that are not known yet.
	earlyLeaves map[string]earlyLeave
}

// earlyLeave is the announced leave of an instance that is not known yet.
type earlyLeave struct {
	incarnation uint64
	at          time.Time
}

// maxEarlyLeaves bounds the leaves kept for unknown instances.
const maxEarlyLeaves = 1024

// New returns a view that contains only self.
func New(self origin.Instance, incarnation uint64) *View {
	v := &View{self: self.Name, byName: map[string]*Member{}, byDomain: map[string][]*Member{}, earlyLeaves: map[string]earlyLeave{}}
	m := v.upsert(self)
	m.Incarnation = incarnation
	return v
}

// upsert returns the member record of inst after replacing its description.
func (v *View) upsert(inst origin.Instance) *Member {
	m := v.byName[inst.Name]
	if m != nil && m.FailureDomain != inst.FailureDomain {
		v.remove(m)
		m = nil
	}
	if m == nil {
		leave := v.earlyLeaves[inst.Name]
		m = &Member{score: rank.Score(inst.FailureDomain, inst.Name), leftIncarnation: leave.incarnation, leftAt: leave.at}
		delete(v.earlyLeaves, inst.Name)
		m.Instance = inst
		v.insert(m)
		return m
	}
	m.Instance = inst
	return m
}

func compareRank(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
}

func (v *View) insert(m *Member) {
	v.byName[m.Name] = m
	list := v.byDomain[m.FailureDomain]
	i, _ := slices.BinarySearchFunc(list, m, compareRank)
	v.byDomain[m.FailureDomain] = slices.Insert(list, i, m)
}

func (v *View) remove(m *Member) {
	delete(v.byName, m.Name)
	list := v.byDomain[m.FailureDomain]
	if i, ok := slices.BinarySearchFunc(list, m, compareRank); ok {
		v.byDomain[m.FailureDomain] = slices.Delete(list, i, i+1)
	}
}

// ApplyList applies a change of the platform's list: instances added or changed, and the names of those removed. Entries
// for this process itself are ignored.
func (v *View) ApplyList(now time.Time, set []origin.Instance, removed []string) {
	for _, inst := range set {
		if inst.Name == v.self {
			continue
		}
		v.upsert(inst).listed = true
	}
	for _, name := range removed {
		m := v.byName[name]
		if m == nil || name == v.self {
			continue
		}
		m.listed = false
		if !m.hasRecentContact(now) && (m.leftIncarnation == 0 || now.Sub(m.leftAt) >= LeaveTTL) {
			v.remove(m)
		}
	}
}

// Observe records a description that an instance sent of itself. It reports whether the instance counts as alive:
// descriptions from the incarnation that announced its leave, or from an earlier one, are ignored.
func (v *View) Observe(now time.Time, inst origin.Instance, incarnation uint64) bool {
	if inst.Name == v.self {
		return false
	}
	m := v.byName[inst.Name]
	if m != nil && (incarnation < m.Incarnation || incarnation <= m.leftIncarnation) {
		return false
	}
	if m == nil && incarnation <= v.earlyLeaves[inst.Name].incarnation {
		return false
	}
	m = v.upsert(inst)
	m.Incarnation = incarnation
	m.leftIncarnation = 0
	m.lastContact = now
	m.suspectUntil = time.Time{}
	return true
}

// Refresh records contact with an instance that has described itself before. It reports whether the instance is known and
// has not announced a leave.
func (v *View) Refresh(now time.Time, name string) bool {
	m := v.byName[name]
	if m == nil || m.leftIncarnation != 0 || name == v.self {
		return false
	}
	m.lastContact = now
	m.suspectUntil = time.Time{}
	return true
}

// RecordLeave records that an instance announced the end of the given incarnation. It reports whether this was not known
// before.
func (v *View) RecordLeave(now time.Time, name string, incarnation uint64) bool {
	m := v.byName[name]
	if m == nil {
		return v.recordEarlyLeave(now, name, incarnation)
	}
	if name == v.self || incarnation < m.Incarnation || m.leftIncarnation >= incarnation {
		return false
	}
	m.leftIncarnation, m.leftAt = incarnation, now
	return true
}

func (v *View) recordEarlyLeave(now time.Time, name string, incarnation uint64) bool {
	if v.earlyLeaves[name].incarnation >= incarnation {
		return false
	}
	if len(v.earlyLeaves) >= maxEarlyLeaves {
		clear(v.earlyLeaves)
	}
	v.earlyLeaves[name] = earlyLeave{incarnation, now}
	return true
}

// Suspect marks an instance as unresponsive until the given time.
func (v *View) Suspect(name string, until time.Time) {
	if m := v.byName[name]; m != nil && name != v.self {
		m.suspectUntil = until
	}
}

// ClearSuspicions makes all instances unsuspected, as after a pause of this process.
func (v *View) ClearSuspicions() {
	for _, m := range v.byName {
		m.suspectUntil = time.Time{}
	}
}

func (m *Member) hasRecentContact(now time.Time) bool {
	return !m.lastContact.IsZero() && now.Sub(m.lastContact) < ContactTTL
}

// IsMember reports whether the instance counts as a member now: it has not announced a leave within LeaveTTL, and is
// either listed as not leaving or had contact within ContactTTL. Self is always a member.
func (v *View) IsMember(now time.Time, m *Member) bool {
	if m.Name == v.self {
		return true
	}
	if m.leftIncarnation != 0 && now.Sub(m.leftAt) < LeaveTTL {
		return false
	}
	return m.hasRecentContact(now) || (m.listed && m.State != origin.Leaving)
}

// IsUsable reports whether the instance is a member and not suspect.
func (v *View) IsUsable(now time.Time, m *Member) bool {
	return v.IsMember(now, m) && !now.Before(m.suspectUntil)
}

// Get returns the instance with the given name, or nil if it is not known.
func (v *View) Get(name string) *Member { return v.byName[name] }

// Order returns the members of a failure domain in rank order.
func (v *View) Order(now time.Time, failureDomain string) []*Member {
	var out []*Member
	for _, m := range v.byDomain[failureDomain] {
		if v.IsMember(now, m) {
			out = append(out, m)
		}
	}
	return out
}

// First returns the first count usable members of a failure domain in rank order.
func (v *View) First(now time.Time, failureDomain string, count int) []*Member {
	var out []*Member
	for _, m := range v.byDomain[failureDomain] {
		if len(out) == count {
			break
		}
		if v.IsUsable(now, m) {
			out = append(out, m)
		}
	}
	return out
}

// Before reports whether a ranks before b. Both must be in one failure domain.
func Before(a, b *Member) bool { return compareRank(a, b) < 0 }

// Len returns the number of known instances, members or not.
func (v *View) Len() int { return len(v.byName) }

// All calls yield for each known instance until yield returns false.
func (v *View) All(yield func(*Member) bool) {
	for _, m := range v.byName {
		if !yield(m) {
			return
		}
	}
}

// Prune drops instances that are neither listed nor in recent contact, once any announced leave of theirs has expired.
func (v *View) Prune(now time.Time) {
	for _, m := range v.byName {
		if m.Name != v.self && !m.listed && !m.hasRecentContact(now) && now.Sub(m.leftAt) >= LeaveTTL {
			v.remove(m)
		}
	}
}
