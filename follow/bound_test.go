package follow

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// boundWithin is Config.ApplyWithin of the tests of the bound: from the moment at which a process can reach the store, or any
// process that has a change, it has the change within this time.
const boundWithin = 3 * time.Second

// useOneProcessor limits the test to one processor: with several, timers that fire at the same time in a synctest bubble crash the
// race detector of Go 1.26.
func useOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// runBound runs test with a fleet that has been up for some seconds.
func runBound(t *testing.T, size int, test func(fl *fleet)) {
	t.Helper()
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := newFleet(ctx, size, func(fl *fleet) { fl.applyWithin = boundWithin })
		time.Sleep(5 * time.Second)
		test(fl)
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

func (fl *fleet) setCut(cut bool, addrs ...netip.Addr) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, addr := range addrs {
		fl.cut[addr] = cut
	}
}

// connect opens an idle connection from every process to each of the callees.
func (fl *fleet) connect(callees ...netip.Addr) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for addr := range fl.followers {
		for _, callee := range callees {
			if addr != callee && fl.open[[2]netip.Addr{addr, callee}] == 0 {
				fl.open[[2]netip.Addr{addr, callee}] = 1
			}
		}
	}
}

func (fl *fleet) has(addr netip.Addr, domain string) bool {
	return fl.followers[addr].cfg.Holder.Load().OutOfService[domain]
}

// Guards against time-outs in series: a parent, the root and its standby that do not respond, each within its own time-out,
// together must not delay a change beyond the time within which it has to be in force.
func TestSilentRelaysInSeriesDoNotDelayChange(t *testing.T) {
	for silent := 1; silent <= 4; silent++ {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			runBound(t, 2*fanout+6, func(fl *fleet) {
				dead := fl.ranked()[:silent] // the root, the standby and parents
				fl.connect(dead...)
				fl.setCut(true, dead...)
				fl.store.put("out/x", "{}")
				time.Sleep(boundWithin)
				for addr := range fl.followers {
					if !slices.Contains(dead, addr) && !fl.has(addr, "x") {
						t.Errorf("%v does not have the change", addr)
					}
				}
			})
		})
	}
}

// Guards against calls begun during a cut that keep a process from the state for their whole time-out after the cut has ended.
func TestCallsBegunDuringCutDoNotDelayRecovery(t *testing.T) {
	const roundTrip = 400 * time.Millisecond // of one of the processes behind the cut
	for phase := range 8 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			runBound(t, 2*fanout+6, func(fl *fleet) {
				cut := fl.ranked()[30:34]
				fl.connect(append(fl.ranked()[:4], netip.Addr{})...)
				fl.setCut(true, cut...)
				fl.mu.Lock()
				fl.roundTrip[cut[0]] = roundTrip
				fl.mu.Unlock()
				fl.store.put("out/x", "{}")
				time.Sleep(12*time.Second + time.Duration(phase)*430*time.Millisecond)
				fl.setCut(false, cut...)
				time.Sleep(boundWithin)
				for _, addr := range cut {
					if !fl.has(addr, "x") {
						t.Errorf("%v does not have the change", addr)
					}
				}
			})
		})
	}
}

// Guards against time-outs shorter than the round trip of a process with a full link: every call is given up and its connection
// closed although the response is on its way.
func TestFullLinkDoesNotDelayChange(t *testing.T) {
	for _, roundTrip := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			runBound(t, 2*fanout+6, func(fl *fleet) {
				full := fl.ranked()[40]
				fl.mu.Lock()
				fl.roundTrip[full] = roundTrip
				clear(fl.open)
				fl.mu.Unlock()
				for i := range 6 {
					time.Sleep(time.Duration(i) * 470 * time.Millisecond)
					domain := fmt.Sprintf("x%d", i)
					fl.store.put("out/"+domain, "{}")
					time.Sleep(boundWithin)
					if !fl.has(full, domain) {
						t.Errorf("%v does not have change %d", full, i)
					}
				}
			})
		})
	}
}

// Guards against an age that leaves out the time for which a response was on its way, so that a process with a full link refreshes its
// state too late. A process that lacks a change has had no contact with the store since, and its age must say so.
func TestAgeCoversTimeOnTheWay(t *testing.T) {
	runBound(t, 2*fanout+6, func(fl *fleet) {
		full := fl.ranked()[40:44]
		fl.mu.Lock()
		for i, addr := range full {
			fl.roundTrip[addr] = time.Duration(i+1) * 300 * time.Millisecond
		}
		clear(fl.open)
		fl.mu.Unlock()
		for i := range 20 {
			domain, put := fmt.Sprintf("x%d", i), time.Now()
			fl.store.put("out/"+domain, "{}")
			for range 60 {
				time.Sleep(10 * time.Millisecond)
				for _, addr := range full {
					age, since := fl.followers[addr].Age(), time.Since(put)
					if !fl.has(addr, domain) && age < since {
						t.Fatalf("%v lacks the change of %v ago, and its age is %v", addr, since, age)
					}
				}
			}
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
		}
	})
}

// Guards against a combination of failures that exceeds the bound, whichever it is: cuts of random groups that overlap, full links
// and changes, in a random order. A process has each change within the bound, counted from the change or from the end of the
// last cut that it was behind.
func TestChangeReachesEveryProcessWithinBound(t *testing.T) {
	for seed := range uint64(*boundSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runBound(t, 2*fanout+6, func(fl *fleet) { testBound(t, fl, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// testBound plays half a minute of random events, one tick after the other.
func testBound(t *testing.T, fl *fleet, rng *rand.Rand) {
	t.Helper()
	const tick, length = 100 * time.Millisecond, 30 * time.Second
	order := fl.ranked()
	cutUntil := map[netip.Addr]time.Time{}
	reachable := map[netip.Addr]time.Time{} // end of the last cut
	changes := map[string]time.Time{}
	fl.connect(append(order[:4:4], netip.Addr{})...)
	fl.mu.Lock()
	for _, i := range rng.Perm(len(order))[:4] {
		fl.roundTrip[order[i]] = time.Duration(rng.IntN(400)) * time.Millisecond
	}
	fl.mu.Unlock()
	for start := time.Now(); time.Since(start) < length; time.Sleep(tick) {
		now := time.Now()
		for addr, until := range cutUntil {
			if !now.Before(until) {
				fl.setCut(false, addr)
				delete(cutUntil, addr)
				reachable[addr] = now
			}
		}
		if rng.IntN(40) == 0 {
			group, until := rng.Perm(len(order))[:1+rng.IntN(8)], now.Add(time.Duration(rng.IntN(8000))*time.Millisecond)
			if rng.IntN(2) == 0 {
				group = append(group, rng.Perm(3)...) // the root, its standby and a parent
			}
			for _, i := range group {
				fl.setCut(true, order[i])
				cutUntil[order[i]] = until
			}
		}
		if rng.IntN(20) == 0 {
			domain := fmt.Sprintf("x%d", len(changes))
			fl.store.put("out/"+domain, "{}")
			changes[domain] = now
		}
		for domain, put := range changes {
			for _, addr := range order {
				since := put
				if reachable[addr].After(put) {
					since = reachable[addr]
				}
				if _, behind := cutUntil[addr]; !behind && now.Sub(since) > boundWithin && !fl.has(addr, domain) {
					t.Errorf("at %v: %v does not have the change of %v, counted from %v", now.Sub(start), addr, put.Sub(start), since.Sub(start))
					delete(changes, domain)
					break
				}
			}
		}
	}
}

var boundSeeds = flag.Int("seeds", 12, "number of random histories of TestChangeReachesEveryProcessWithinBound and TestRestoresInSeriesConverge")
