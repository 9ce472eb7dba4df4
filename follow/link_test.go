package follow

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Load pattern: link saturation by reads of the store. The processes that read the store for a region away from it stop responding while
// configurations of some 200 KB change three times a second, which the link between the regions carries in 30 ms each. All other
// processes of the region are out of date at once. Their reads must not fill the link, on which responses that arrive too late are given
// up and asked for again.
func TestOutOfDateRegionDoesNotFillItsLink(t *testing.T) {
	const size, home, transfer = 2*fanout - 5, 20, 30 * time.Millisecond
	const interval, changes = 330 * time.Millisecond, 45
	useOneProcessor(t)
	for _, silent := range []int{0, 2, 4} {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fl := newFleet(ctx, size, func(fl *fleet) {
					fl.applyWithin, fl.home = boundWithin, home
					fl.link = &sharedLink{transfer: transfer}
				})
				time.Sleep(5 * time.Second)
				dead := fl.ranked()[:silent]
				fl.setCut(true, dead...)
				fl.link.mu.Lock()
				fl.link.busy = 0
				fl.link.mu.Unlock()
				put := make([]time.Time, changes)
				missed := 0
				for n := range changes {
					put[n] = time.Now()
					fl.store.put(fmt.Sprintf("out/x%d", n), "{}")
					time.Sleep(interval)
					due := n
					for due >= 0 && time.Since(put[due]) <= boundWithin {
						due--
					}
					for addr := range fl.followers {
						if due >= 0 && !slices.Contains(dead, addr) && !fl.has(addr, fmt.Sprintf("x%d", due)) {
							missed++
						}
					}
				}
				if missed > 0 {
					t.Errorf("%d times a process did not have a change in time", missed)
				}
				fl.link.mu.Lock()
				share := fl.link.busy.Seconds() / (changes * interval).Seconds()
				fl.link.mu.Unlock()
				t.Logf("store responses kept the link busy for %.2f of the time", share)
				if share > 0.5 {
					t.Errorf("store responses kept the link busy for %.2f of the time", share)
				}
				cancel()
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}
