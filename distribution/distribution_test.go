package distribution

import (
	"strings"
	"testing"
	"time"
)

// requireConverged runs the fleet until all instances have the catalogue revision and the latest lists, and returns the
// time this took. It fails if it takes longer than limit.
func requireConverged(t fataler, f *fleet, revision uint64, limit time.Duration) time.Duration {
	start := f.now
	for f.now.Sub(start) < limit {
		if len(f.lagging(revision)) == 0 {
			return f.now.Sub(start)
		}
		f.run(20 * time.Millisecond)
	}
	if list := f.lagging(revision); len(list) > 0 {
		n := f.nodes[list[0]]
		t.Fatalf("%d instances are behind revision %d after %v: %v; first: %+v", len(list), revision, limit, list[:min(len(list), 8)], n.Status(f.now))
	}
	return limit
}

func TestFleetConvergesAtStartAndOnChanges(t *testing.T) {
	f := newFleet(t, 1, 25)
	took := requireConverged(t, f, 1, 10*time.Second)
	t.Logf("start of %d instances: %v, %d reads", len(f.names), took, f.reads)
	f.run(5 * time.Second)
	reads := f.reads
	clear(f.bytes)
	for revision := uint64(2); revision <= 11; revision++ {
		f.publish(revision)
		took := requireConverged(t, f, revision, time.Second)
		t.Logf("revision %d: %v", revision, took)
		f.run(time.Second)
	}
	t.Logf("reads for 10 changes: %d; bytes between regions: %v", f.reads-reads, f.bytes)
}

// TestStormStaysInBudget replaces every process at once, twice: in each storm the reads of the platform must not exceed a
// tenth of the number of instances, and all instances must be up to date within five seconds.
func TestStormStaysInBudget(t *testing.T) {
	f := newFleet(t, 2, 50)
	requireConverged(t, f, 1, 10*time.Second)
	f.run(5 * time.Second)
	for storm := range 2 {
		before := f.reads
		clear(f.readKinds)
		for _, name := range f.names {
			f.stop(name)
			f.schedule(time.Duration(f.rng.Int64N(int64(200*time.Millisecond))), func() { f.start(name) })
		}
		f.run(200 * time.Millisecond)
		took := requireConverged(t, f, 1, 5*time.Second)
		f.run(5 * time.Second)
		reads := f.reads - before
		t.Logf("storm %d: %v, %d reads: %v", storm, took, reads, f.readKinds)
		if reads > len(f.names)/10 {
			t.Log(strings.Join(f.readLog[before:], "\n"))
			t.Errorf("storm %d: %d reads by %d instances", storm, reads, len(f.names))
		}
	}
}

// TestChangesReachAllUnderChurn checks that each catalogue change is applied everywhere within a second while the lists
// change, too: neither a change batched for the link nor a new child must wait for a heartbeat.
func TestChangesReachAllUnderChurn(t *testing.T) {
	for _, seed := range []uint64{0, 5} {
		f := newFleet(t, seed, 50)
		requireConverged(t, f, 1, 10*time.Second)
		f.run(3 * time.Second)
		lists := uint64(1)
		for revision := uint64(2); revision <= 16; revision++ {
			f.publish(revision)
			for range 10 {
				f.run(90 * time.Millisecond)
				if f.rng.IntN(4) == 0 {
					lists++
					f.publishList(domains[f.rng.IntN(len(domains))], lists, f.names[:len(f.names)-f.rng.IntN(10)]...)
				}
			}
			for _, name := range f.names {
				if f.nodes[name].Version(catalogueName).Revision < revision {
					t.Errorf("seed %d: %s lacks revision %d after 900 ms", seed, name, revision)
				}
			}
		}
	}
}
