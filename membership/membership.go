// Package membership merges the platform's lagging list of instances with what a process hears itself.
//
// Rules: an instance's own word that it leaves wins at once and holds until it is heard with a higher incarnation; the
// list adds candidates and removes those that are not heard; silence never removes an instance, it only makes it
// suspect for a while. The package is pure: time comes in as an argument.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/rank"
)

// HeardFor is how long an instance that the list lacks counts as a member after it was heard.
const HeardFor = 30 * time.Second

// LeftFor is how long a word of leaving holds against the platform's list. The next life of the instance is heard by its
// neighbours at once; all others count it again after this time.
const LeftFor = time.Minute

// Member is one instance as this process sees it.
type Member struct {
	origin.Instance
	// Incarnation is the number of the process life that was heard last; 0 if none was heard.
	Incarnation uint64

	score        uint64
	listed       bool
	left         uint64
	leftAt       time.Time
	heard        time.Time
	suspectUntil time.Time
}

// View is the membership as one process sees it. It is not safe for concurrent use.
type View struct {
	self   string
	byName map[string]*Member
	order  map[string][]*Member
	// early holds words of leaving from instances that are not known yet.
	early map[string]early
}

// early is a word of leaving from an instance that is not known yet.
type early struct {
	incarnation uint64
	at          time.Time
}

// maxEarly bounds the words of leaving kept for unknown instances.
const maxEarly = 1024

// New returns a view that knows self alone.
func New(self origin.Instance, incarnation uint64) *View {
	v := &View{self: self.Name, byName: map[string]*Member{}, order: map[string][]*Member{}, early: map[string]early{}}
	m := v.upsert(self)
	m.Incarnation = incarnation
	return v
}

// upsert returns the member record of inst, with its description replaced.
func (v *View) upsert(inst origin.Instance) *Member {
	m := v.byName[inst.Name]
	if m != nil && m.FailureDomain != inst.FailureDomain {
		v.unlink(m)
		m = nil
	}
	if m == nil {
		word := v.early[inst.Name]
		m = &Member{score: rank.Score(inst.FailureDomain, inst.Name), left: word.incarnation, leftAt: word.at}
		delete(v.early, inst.Name)
		m.Instance = inst
		v.link(m)
		return m
	}
	m.Instance = inst
	return m
}

func compare(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
}

func (v *View) link(m *Member) {
	v.byName[m.Name] = m
	list := v.order[m.FailureDomain]
	i, _ := slices.BinarySearchFunc(list, m, compare)
	v.order[m.FailureDomain] = slices.Insert(list, i, m)
}

func (v *View) unlink(m *Member) {
	delete(v.byName, m.Name)
	list := v.order[m.FailureDomain]
	if i, ok := slices.BinarySearchFunc(list, m, compare); ok {
		v.order[m.FailureDomain] = slices.Delete(list, i, i+1)
	}
}

// List takes a change of the platform's list: instances added or changed, and names removed.
func (v *View) List(now time.Time, set []origin.Instance, removed []string) {
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
		if !m.heardLately(now) && (m.left == 0 || now.Sub(m.leftAt) >= LeftFor) {
			v.unlink(m)
		}
	}
}

// Heard takes the word of an instance about itself. It reports whether the instance counts as alive by it: a word from
// the life that said it was leaving, or from an earlier one, does not bring it back.
func (v *View) Heard(now time.Time, inst origin.Instance, incarnation uint64) bool {
	if inst.Name == v.self {
		return false
	}
	m := v.byName[inst.Name]
	if m != nil && (incarnation < m.Incarnation || incarnation <= m.left) {
		return false
	}
	if m == nil && incarnation <= v.early[inst.Name].incarnation {
		return false
	}
	m = v.upsert(inst)
	m.Incarnation = incarnation
	m.left = 0
	m.heard = now
	m.suspectUntil = time.Time{}
	return true
}

// HeardAgain refreshes an instance that described itself before. It reports whether the instance is known and alive.
func (v *View) HeardAgain(now time.Time, name string) bool {
	m := v.byName[name]
	if m == nil || m.left != 0 || name == v.self {
		return false
	}
	m.heard = now
	m.suspectUntil = time.Time{}
	return true
}

// Left takes an instance's own word that it is leaving in the given life.
// It reports whether the word was news.
func (v *View) Left(now time.Time, name string, incarnation uint64) bool {
	m := v.byName[name]
	if m == nil {
		return v.leftEarly(now, name, incarnation)
	}
	if name == v.self || incarnation < m.Incarnation || m.left >= incarnation {
		return false
	}
	m.left, m.leftAt = incarnation, now
	return true
}

func (v *View) leftEarly(now time.Time, name string, incarnation uint64) bool {
	if v.early[name].incarnation >= incarnation {
		return false
	}
	if len(v.early) >= maxEarly {
		clear(v.early)
	}
	v.early[name] = early{incarnation, now}
	return true
}

// Suspect marks an instance as silent until the given time.
func (v *View) Suspect(name string, until time.Time) {
	if m := v.byName[name]; m != nil && name != v.self {
		m.suspectUntil = until
	}
}

// Forgive clears all suspicion and all memory of when instances were heard, as after a pause of this process.
func (v *View) Forgive() {
	for _, m := range v.byName {
		m.suspectUntil = time.Time{}
	}
}

func (m *Member) heardLately(now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < HeardFor
}

// Member reports whether the instance counts as a member now: not leaving by its own word, and listed as live or heard.
func (v *View) Member(now time.Time, m *Member) bool {
	if m.Name == v.self {
		return true
	}
	if m.left != 0 && now.Sub(m.leftAt) < LeftFor {
		return false
	}
	return m.heardLately(now) || (m.listed && m.State != origin.Leaving)
}

// Usable reports whether the instance is a member and not suspect.
func (v *View) Usable(now time.Time, m *Member) bool {
	return v.Member(now, m) && !now.Before(m.suspectUntil)
}

// Get returns an instance by name, or nil.
func (v *View) Get(name string) *Member { return v.byName[name] }

// Order returns the members of a failure domain in rank order.
func (v *View) Order(now time.Time, failureDomain string) []*Member {
	var out []*Member
	for _, m := range v.order[failureDomain] {
		if v.Member(now, m) {
			out = append(out, m)
		}
	}
	return out
}

// First returns the first count usable members of a failure domain in rank order.
func (v *View) First(now time.Time, failureDomain string, count int) []*Member {
	var out []*Member
	for _, m := range v.order[failureDomain] {
		if len(out) == count {
			break
		}
		if v.Usable(now, m) {
			out = append(out, m)
		}
	}
	return out
}

// Before reports whether a ranks before b. Both must be of one failure domain.
func Before(a, b *Member) bool { return compare(a, b) < 0 }

// Len returns the number of instances known, members or not.
func (v *View) Len() int { return len(v.byName) }

// All calls yield for each instance known until yield returns false.
func (v *View) All(yield func(*Member) bool) {
	for _, m := range v.byName {
		if !yield(m) {
			return
		}
	}
}

// Prune forgets instances that are neither listed nor heard lately.
func (v *View) Prune(now time.Time) {
	for _, m := range v.byName {
		if m.Name != v.self && !m.listed && !m.heardLately(now) && now.Sub(m.leftAt) >= LeftFor {
			v.unlink(m)
		}
	}
}
