package follow

import (
	"fmt"
	"testing"
	"time"
)

// restoreAfter takes the store down for outage and restores it from a copy.
func (s *store) restoreAfter(outage time.Duration, c storeCopy) {
	s.set(true, false)
	time.Sleep(outage)
	s.restore(c)
	s.set(false, false)
}

// Guards against a change that is in force nowhere because a restored store has given out its revision before (CONFIG): the state of
// every process is at that revision already, in the epoch before.
func TestChangeAfterRestoreReachesEveryProcess(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprintf("%d lost revisions", lost), func(t *testing.T) {
			runFleet(t, fanout+6, func(fl *fleet) {
				c := fl.store.copy()
				for i := range lost {
					fl.store.put(fmt.Sprintf("out/lost%d", i), "{}")
				}
				time.Sleep(2 * applyWithin)
				fl.store.restoreAfter(2*time.Second, c)
				for i := range lost + 2 {
					time.Sleep(applyWithin)
					domain := fmt.Sprintf("x%d", i)
					fl.store.put("out/"+domain, "{}")
					time.Sleep(applyWithin)
					if without := fl.withoutDomain(domain); len(without) > 0 {
						t.Errorf("change %d after the restore is not in force at %d of %d processes", i, len(without), len(fl.followers))
					}
				}
			})
		})
	}
}

// Guards against calls to the store without a pause: each watch is refused for its revision, and each listing succeeds.
func TestStoreWithoutHistoryIsNotReadInTightLoop(t *testing.T) {
	runFleet(t, 6, func(fl *fleet) {
		fl.store.mu.Lock()
		fl.store.historyStart = 1 << 40 // of no revision is the history known
		before := fl.store.calls
		fl.store.mu.Unlock()
		const during, perSecond = 10 * time.Second, 10
		time.Sleep(during)
		fl.store.mu.Lock()
		got := fl.store.calls - before
		fl.store.mu.Unlock()
		if most := int(during.Seconds()) * perSecond * len(fl.followers); got > most {
			t.Errorf("%d calls to the store in %v, more than %d a second for each process", got, during, perSecond)
		}
	})
}
