package follow

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Load pattern: return of all. All processes of two regions start together and know nothing. A full state takes 20 ms to leave a link, of
// a process or of the store. 99 of 100 have it within half a second of the first one, and the number of listings of the store does not
// depend on the number of processes.
func TestReturnOfAllReadsStoreOncePerRegion(t *testing.T) {
	const fullState, within, settled = 20 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second
	for _, test := range []struct {
		size, unreachable, maxLists int
		within                      time.Duration
	}{
		{13, 0, 2, within},
		{300, 0, 2, within},
		{1000, 0, 2, within},
		{300, 1, 2 * (1 + joinFanout), within + joinConnectTimeout},
	} {
		t.Run(fmt.Sprintf("%d processes, %d unreachable members", test.size, test.unreachable), func(t *testing.T) {
			useOneProcessor(t)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fl := newFleet(ctx, test.size/2, func(fl *fleet) {
					fl.home, fl.fullState = test.size-test.size/2, fullState
					fl.applyWithin = boundWithin
					for i := range fl.home {
						fl.store.put(homeAddr(i).String(), "first")
						fl.followers[homeAddr(i)] = nil
					}
					sample, err := fl.store.Sample(ctx)
					if err != nil {
						t.Fatal(err)
					}
					for _, region := range []string{"r", "home"} {
						var members []string
						for _, e := range sample {
							if addr := e.Target.Addr.Addr(); regionOf(addr) == region {
								members = append(members, addr.String())
							}
						}
						for _, addr := range fl.rankedIn(region) {
							if slices.Contains(members, addr.String()) && test.unreachable > 0 {
								fl.unreachable[addr], fl.noStore[addr] = true, true
								break
							}
						}
					}
				})
				if test.size < 1000 {
					time.Sleep(settled)
				} else {
					time.Sleep(2 * within) // a longer run takes a minute with the race detector
				}
				fl.mu.Lock()
				var times []time.Time
				for addr := range fl.followers {
					if at, ok := fl.stateAt[addr]; ok {
						times = append(times, at)
					} else if !fl.unreachable[addr] {
						t.Errorf("%v has no state", addr)
					}
				}
				fl.mu.Unlock()
				slices.SortFunc(times, time.Time.Compare)
				n := len(times)
				half, most := times[n/2].Sub(times[0]), times[n*99/100].Sub(times[0])
				fl.store.mu.Lock()
				lists := fl.store.lists
				fl.store.mu.Unlock()
				t.Logf("half have a state %v after the first one, 99 of 100 %v; %d listings of the store", half, most, lists)
				if most > test.within {
					t.Errorf("99 of 100 have a state %v after the first one, want %v", most, test.within)
				}
				if lists > test.maxLists {
					t.Errorf("%d listings of the store, want at most %d", lists, test.maxLists)
				}
				cancel()
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// TestSuppliersFormTree checks that every process but the first member has a chain of suppliers that ends at it.
func TestSuppliersFormTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []string
		for i := range rapid.IntRange(0, 40).Draw(t, "members") {
			members = append(members, fmt.Sprint("10.0.0.", i))
		}
		for i, self := range append(slices.Clone(members), "10.0.1.1", "10.0.1.2") {
			got := suppliers(members, self)
			switch {
			case len(members) == 0 || i == 0:
				if len(got) > 0 {
					t.Fatalf("%s of %d members has suppliers %v", self, len(members), got)
				}
			case len(got) == 0 || got[len(got)-1] != members[0] || slices.Contains(got, self):
				t.Fatalf("%s of %d members has suppliers %v", self, len(members), got)
			}
		}
	})
}
