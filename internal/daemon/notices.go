package daemon

import (
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
)

const (
	// servingKind is the kind of a notice that the instance named by the subject accepts requests in a new incarnation.
	servingKind = "serving"
	// servingTTL is the time for which a serving notice is forwarded. It equals the time for which a leaving notice is in effect.
	servingTTL = 30 * time.Second
	// Instances whose last notice is older than trackedNoticeTTL are pruned when maxTrackedInstances instances are tracked.
	maxTrackedInstances = 4096
	trackedNoticeTTL    = 10 * time.Minute
)

// noticeFilter passes on the leaving and serving notices that instances publish about themselves, and drops those that are
// not newer than the last one of the same instance. Sequence numbers of notices increase across the incarnations of an
// instance, so notices that arrive out of order have no effect. It is safe for concurrent use.
type noticeFilter struct {
	mu         sync.Mutex
	last       map[string]seenNotice
	setLeaving func(instance string, leaving bool)
}

// seenNotice is the last notice applied for an instance.
type seenNotice struct {
	sequence uint64
	at       time.Time
}

func newNoticeFilter(setLeaving func(instance string, leaving bool)) *noticeFilter {
	return &noticeFilter{last: map[string]seenNotice{}, setLeaving: setLeaving}
}

// apply calls setLeaving for a notice, unless an instance other than the subject published it or a newer one was applied.
func (f *noticeFilter) apply(now time.Time, n distribution.Notice) {
	if n.Origin != n.Subject || !f.recordNewest(now, n) {
		return
	}
	f.setLeaving(n.Subject, n.Kind == distribution.LeavingKind)
}

// recordNewest records the sequence number of a notice and reports whether it is the newest of its subject.
func (f *noticeFilter) recordNewest(now time.Time, n distribution.Notice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Sequence <= f.last[n.Subject].sequence {
		return false
	}
	if len(f.last) >= maxTrackedInstances {
		f.prune(now)
	}
	f.last[n.Subject] = seenNotice{sequence: n.Sequence, at: now}
	return true
}

// prune drops instances whose last notice has expired. Must be called with mu held.
func (f *noticeFilter) prune(now time.Time) {
	for instance, last := range f.last {
		if now.Sub(last.at) > trackedNoticeTTL {
			delete(f.last, instance)
		}
	}
}
