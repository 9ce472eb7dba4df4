package follow

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
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
	useOneProcessor(t)
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
	useOneProcessor(t)
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

// Guards against processes that stay apart from the store, or from each other, after restores that overlap with cuts and changes: the
// listing of the store applies everywhere once the grace period of the last restore has passed.
func TestRestoresInSeriesConverge(t *testing.T) {
	useOneProcessor(t)
	for seed := range uint64(*boundSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			runFleet(t, fanout+6, func(fl *fleet) {
				order := fl.ranked()
				copies := []storeCopy{fl.store.copy()}
				for i := range 60 {
					switch domain := fmt.Sprintf("out/x%d", rng.IntN(8)); rng.IntN(10) {
					case 0:
						fl.store.restoreAfter(time.Duration(rng.IntN(2500))*time.Millisecond, copies[max(len(copies)-1-rng.IntN(6), 0)])
					case 1:
						cut := []netip.Addr{order[rng.IntN(4)], order[rng.IntN(len(order))]}
						fl.setCut(true, cut...)
						time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
						if rng.IntN(2) == 0 {
							fl.store.restoreAfter(0, copies[len(copies)-1])
						}
						fl.setCut(false, cut...)
					case 2, 3, 4:
						fl.store.remove(domain)
					default:
						fl.store.put(domain, fmt.Sprint(i))
					}
					if rng.IntN(3) == 0 {
						copies = append(copies, fl.store.copy())
					}
					time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
				}
				time.Sleep(mesh.ExpiryGrace + 2*applyWithin)
				want := map[string]bool{}
				for _, e := range fl.store.copy().entries {
					if e.OutOfService != "" {
						want[e.OutOfService] = true
					}
				}
				for addr, f := range fl.followers {
					if state := f.cfg.Holder.Load(); !maps.Equal(state.OutOfService, want) {
						t.Errorf("%v at %v has %v, the store %v", addr, state.Position, state.OutOfService, want)
					}
				}
			})
		})
	}
}
