package distribution

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faults draws one fault or change and lets some time pass.
func faults(t *rapid.T, f *fleet, revision *uint64, listVersion *uint64) {
	pick := func() []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(f.names), 1, len(f.names)/2, rapid.ID[string]).Draw(t, "instances")
	}
	switch rapid.IntRange(0, 11).Draw(t, "fault") {
	case 0:
		f.sever(domains[:2], domains[2:], true)
	case 1:
		fd := rapid.SampledFrom(domains).Draw(t, "domain")
		f.sever([]string{fd}, domains, true)
		f.cutStore[fd] = true
	case 2:
		f.sever(domains, domains, false)
		clear(f.cutStore)
		f.wakeReads()
	case 3:
		f.loss = 0.2
		f.duplicate, f.corrupt = 0.1, 0.05
	case 4:
		f.loss, f.duplicate, f.corrupt = 0, 0, 0
	case 5:
		for _, name := range pick() {
			f.nodes[name].paused = true
		}
	case 6:
		f.wakeAll()
	case 7:
		for _, name := range pick() {
			f.stop(name)
			f.at(time.Duration(f.rng.Int64N(int64(2*time.Second))), func() { f.start(name) })
		}
	case 8:
		f.setDown(!f.down)
	case 9:
		// The platform answers with an earlier catalogue than it did before.
		f.published = f.versions[f.rng.IntN(len(f.versions))]
		f.wakeReads()
	case 10:
		*listVersion++
		// The list lags: it lacks some instances that live.
		f.list(rapid.SampledFrom(domains).Draw(t, "domain"), *listVersion, pick()...)
	default:
		*revision++
		f.publish(*revision)
	}
	f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) wakeAll() {
	for _, name := range f.names {
		if n := f.nodes[name]; n.paused {
			f.wake(n)
		}
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.sever(domains, domains, false)
	clear(f.cutStore)
	f.loss, f.duplicate, f.corrupt = 0, 0, 0
	f.setDown(false)
	f.wakeAll()
}

// TestFaultsNeverRevertAndHealConverges checks under random mixes of faults that revisions never fall and routes resolve
// (checked at each application), and that after the faults ended all instances hold the last version of everything.
func TestFaultsNeverRevertAndHealConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 8).Draw(t, "perDomain"))
		revision, lists := uint64(1), uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			faults(t, f, &revision, &lists)
		}
		f.heal()
		f.run(3 * time.Second) // instances that were being replaced are back
		revision++
		f.publish(revision)
		for _, fd := range domains {
			lists++
			f.list(fd, lists, f.names...)
		}
		requireConverged(t, f, revision, 20*time.Second)
		for _, name := range f.names {
			applied := f.nodes[name].applied
			for i := 1; i < len(applied); i++ {
				if applied[i] <= applied[i-1] {
					t.Fatalf("%s applied revisions %v", name, applied)
				}
			}
		}
	})
}
