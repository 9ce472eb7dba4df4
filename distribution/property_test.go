package distribution

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// injectFault draws one fault or change, applies it and runs the fleet for up to 4 s.
func injectFault(t *rapid.T, f *fleet, revision *uint64, listVersion *uint64) {
	drawInstances := func() []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(f.names), 1, len(f.names)/2, rapid.ID[string]).Draw(t, "instances")
	}
	switch rapid.IntRange(0, 11).Draw(t, "fault") {
	case 0:
		f.setCut(domains[:2], domains[2:], true)
	case 1:
		fd := rapid.SampledFrom(domains).Draw(t, "domain")
		f.setCut([]string{fd}, domains, true)
		f.platformCut[fd] = true
	case 2:
		f.setCut(domains, domains, false)
		clear(f.platformCut)
		f.answerWaitingReads()
	case 3:
		f.loss = 0.2
		f.duplicate, f.corrupt = 0.1, 0.05
	case 4:
		f.loss, f.duplicate, f.corrupt = 0, 0, 0
	case 5:
		for _, name := range drawInstances() {
			f.nodes[name].paused = true
		}
	case 6:
		f.resumeAll()
	case 7:
		for _, name := range drawInstances() {
			f.stop(name)
			f.schedule(time.Duration(f.rng.Int64N(int64(2*time.Second))), func() { f.start(name) })
		}
	case 8:
		f.setPlatformDown(!f.platformDown)
	case 9:
		// The platform returns an earlier catalogue than before.
		f.published = f.versions[f.rng.IntN(len(f.versions))]
		f.answerWaitingReads()
	case 10:
		*listVersion++
		// The list lags: it lacks some running instances.
		f.publishList(rapid.SampledFrom(domains).Draw(t, "domain"), *listVersion, drawInstances()...)
	default:
		*revision++
		f.publish(*revision)
	}
	f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) resumeAll() {
	for _, name := range f.names {
		if n := f.nodes[name]; n.paused {
			f.resume(n)
		}
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.setCut(domains, domains, false)
	clear(f.platformCut)
	f.loss, f.duplicate, f.corrupt = 0, 0, 0
	f.setPlatformDown(false)
	f.resumeAll()
}

// TestFaultsNeverRevertAndHealConverges checks with random mixes of faults that revisions never decrease and routes
// resolve (checked at each application), and that all instances have the latest version of every document after the
// faults end.
func TestFaultsNeverRevertAndHealConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 8).Draw(t, "perDomain"))
		revision, lists := uint64(1), uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			injectFault(t, f, &revision, &lists)
		}
		f.heal()
		f.run(3 * time.Second) // instances that were being replaced have started
		revision++
		f.publish(revision)
		for _, fd := range domains {
			lists++
			f.publishList(fd, lists, f.names...)
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
