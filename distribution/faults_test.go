package distribution

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/membership"
)

// started returns a fleet that holds revision 1 and whose roles have settled.
func started(t *testing.T, perDomain int) *fleet {
	f := newFleet(t, 3, perDomain)
	requireConverged(t, f, 1, 10*time.Second)
	f.run(5 * time.Second)
	return f
}

// withRole returns the instances that have a role.
func (f *fleet) withRole(role Role) []string {
	var out []string
	for _, name := range f.names {
		if f.nodes[name].Status(f.now).Role == role {
			out = append(out, name)
		}
	}
	return out
}

// TestRolesAreTakenOver kills the readers and the puller: a change still reaches everyone else within five seconds.
func TestRolesAreTakenOver(t *testing.T) {
	f := started(t, 12)
	killed := append(f.withRole(RoleReader), f.withRole(RolePuller)...)
	if len(killed) != 3 {
		t.Fatalf("roles are held by %v, want two readers and one puller", killed)
	}
	for _, name := range killed {
		f.stop(name)
	}
	f.publish(2)
	f.run(5 * time.Second)
	for _, name := range f.names {
		if n := f.nodes[name]; !n.stopped && n.Version(catalogueName).Revision != 2 {
			t.Errorf("%s lacks the change: %+v", name, n.Status(f.now))
		}
	}
}

// TestPausedProcessComparesFirst checks that a process that wakes up is not joined until it compared versions with its
// peers, and then holds what it missed.
func TestPausedProcessComparesFirst(t *testing.T) {
	f := started(t, 6)
	n := f.nodes[f.names[0]]
	n.paused = true
	f.publish(2)
	f.run(20 * time.Second)
	f.wake(n)
	n.backlog = nil
	f.step(n, n.life, Tick{})
	if n.Phase() == Joined && n.Version(catalogueName).Revision < 2 {
		t.Error("the process serves what it held before its pause without having compared")
	}
	requireConverged(t, f, 2, 3*time.Second)
}

// TestIsolatedProcessServesAgainAfterPause checks that a process whose peers and platform are gone returns to service with
// what it holds.
func TestIsolatedProcessServesAgainAfterPause(t *testing.T) {
	f := started(t, 1)
	n := f.nodes[f.names[0]]
	f.sever([]string{n.inst.FailureDomain}, domains, true)
	f.cutStore[n.inst.FailureDomain] = true
	n.paused = true
	f.run(10 * time.Second)
	f.wake(n)
	f.run(5 * time.Second)
	if n.Phase() != Joined || n.Version(catalogueName).Revision != 1 {
		t.Errorf("after the pause: %+v", n.Status(f.now))
	}
}

// TestLeavingIsKnownEverywhere checks that an instance's word reaches all within a second and outlives a list that lags.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	f := started(t, 10)
	leaver := f.nodes[f.names[5]]
	f.step(leaver, leaver.life, Leave{})
	f.run(time.Second)
	f.stop(leaver.inst.Name)
	f.list(leaver.inst.FailureDomain, 2, f.names...)
	f.run(2 * time.Second)
	for _, name := range f.names {
		n := f.nodes[name]
		if n == leaver {
			continue
		}
		if m := n.members.Get(leaver.inst.Name); m != nil && n.members.Member(f.now, m) {
			t.Errorf("%s still counts the instance that left", name)
		}
		if len(n.notices) != 1 {
			t.Errorf("%s got %d notices, want 1", name, len(n.notices))
		}
	}
	f.start(leaver.inst.Name)
	f.run(membership.LeftFor)
	for _, name := range f.names {
		n := f.nodes[name]
		if m := n.members.Get(leaver.inst.Name); m == nil || !n.members.Member(f.now, m) {
			t.Errorf("%s does not count the next life of the instance", name)
		}
	}
}

// TestBadCatalogueIsRefusedWhole publishes a catalogue with a dangling route: nobody holds it, the former one stays, and
// the next good one is taken.
func TestBadCatalogueIsRefusedWhole(t *testing.T) {
	f := started(t, 4)
	good := makeCatalogue(2)
	var entries []document.Entry
	good.All(func(e document.Entry) bool {
		if e.Key != "service/lagerstand-2" {
			entries = append(entries, e)
		}
		return true
	})
	bad, err := document.New(catalogue.DocumentName, 2, good.Chunks(), entries)
	if err != nil {
		t.Fatal(err)
	}
	f.published = bad
	for i, d := range bad.ChunkDigests() {
		f.chunks[d] = bad.ChunkEntries(i)
	}
	f.wakeReads()
	f.run(3 * time.Second)
	refused := 0
	for _, name := range f.names {
		n := f.nodes[name]
		if v := n.Version(catalogueName); v.Revision != 1 {
			t.Errorf("%s holds revision %d", name, v.Revision)
		}
		for _, r := range n.reports {
			if r.Kind == ReportRefused && r.Remedy != "" {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Error("no report of the refusal")
	}
	f.publish(3)
	requireConverged(t, f, 3, 2*time.Second)
}

// TestOneRevisionWithTwoContents checks that the second content of a revision is refused and reported.
func TestOneRevisionWithTwoContents(t *testing.T) {
	f := started(t, 2)
	other := makeCatalogue(9)
	var entries []document.Entry
	other.All(func(e document.Entry) bool { entries = append(entries, e); return true })
	doc, err := document.New(catalogue.DocumentName, 1, other.Chunks(), entries)
	if err != nil {
		t.Fatal(err)
	}
	before := f.nodes[f.names[0]].Version(catalogueName)
	f.published = doc
	f.wakeReads()
	f.run(2 * time.Second)
	conflicts := 0
	for _, name := range f.names {
		if f.nodes[name].Version(catalogueName) != before {
			t.Errorf("%s changed its content", name)
		}
		for _, r := range f.nodes[name].reports {
			if r.Kind == ReportConflict {
				conflicts++
			}
		}
	}
	if conflicts == 0 {
		t.Error("no report of the conflict")
	}
}

// TestRollingUpgrade runs half of the fleet with the next version of the protocol, then all of it.
func TestRollingUpgrade(t *testing.T) {
	f := started(t, 8)
	for i, name := range f.names {
		f.protocol[name] = ProtocolVersion + 1
		f.stop(name)
		f.start(name)
		f.run(100 * time.Millisecond)
		if i == len(f.names)/2 {
			f.publish(2)
			requireConverged(t, f, 2, 5*time.Second)
		}
	}
	f.publish(3)
	requireConverged(t, f, 3, 5*time.Second)
}

// TestOldProtocolIsRefused checks that a peer below the oldest version is not answered, and is reported once.
func TestOldProtocolIsRefused(t *testing.T) {
	f := started(t, 1)
	n := f.nodes[f.names[0]]
	old := Received{From: Address{Name: f.names[1], Addr: f.names[1]}, Message: Message{Protocol: MinProtocolVersion - 1, Ask: &Ask{}}}
	reports := 0
	for range 3 {
		for _, a := range n.Step(f.now, old) {
			switch a.(type) {
			case Report:
				reports++
			case Send:
				t.Error("an old peer was answered")
			}
		}
	}
	if reports != 1 {
		t.Errorf("%d reports, want 1", reports)
	}
}

// TestJoinDuringOutage checks that a replaced process joins from its peers while the platform is down, and holds nothing
// while neither answers.
func TestJoinDuringOutage(t *testing.T) {
	f := started(t, 6)
	f.publish(2)
	requireConverged(t, f, 2, 2*time.Second)
	f.setDown(true)
	for _, name := range f.names[:12] {
		f.stop(name)
		f.start(name)
	}
	requireConverged(t, f, 2, 5*time.Second)
	for _, name := range f.names {
		f.stop(name)
		f.start(name)
	}
	f.run(20 * time.Second)
	for _, name := range f.names {
		if phase := f.nodes[name].Phase(); phase != Joining {
			t.Fatalf("%s is %s though nobody holds a catalogue", name, phase)
		}
	}
	f.setDown(false)
	requireConverged(t, f, 2, 15*time.Second)
}

// TestReadersAwayFromThePlatformStepIn cuts the failure domains near the platform off from it: the region away from it reads
// instead and hands the change back.
func TestReadersAwayFromThePlatformStepIn(t *testing.T) {
	f := started(t, 6)
	f.cutStore["obb-muc"], f.cutStore["obb-ro"] = true, true
	f.wakeReads()
	f.publish(2)
	requireConverged(t, f, 2, 20*time.Second)
}

// TestStartWithoutSeeds starts a fleet whose seeds never run: processes find each other by the platform's list, and most
// read no more than that.
func TestStartWithoutSeeds(t *testing.T) {
	f := newFleet(t, 4, 12)
	for _, name := range f.seeds {
		f.stop(name)
	}
	f.names = f.names[len(f.seeds):]
	requireConverged(t, f, 1, 60*time.Second)
	manifests := f.readKinds["distribution.WatchManifest"]
	if manifests > len(f.names)/2 {
		t.Errorf("%d reads of the manifest by %d instances", manifests, len(f.names))
	}
	t.Logf("%v after %v", f.readKinds, f.now.Sub(time.Unix(1_000_000, 0)))
}

// TestReplacedProcessAsksItsNeighbours replaces processes of a failure domain that is ahead of the seeds elsewhere: none serves with
// less than its neighbours hold.
func TestReplacedProcessAsksItsNeighbours(t *testing.T) {
	const ahead = "nbb-pa"
	f := started(t, 8)
	rest := []string{"obb-muc", "obb-ro", "nbb-la"}
	f.sever([]string{ahead}, rest, true)
	for _, fd := range rest {
		f.cutStore[fd] = true
	}
	f.publish(2)
	f.run(6 * time.Second)
	f.sever([]string{ahead}, rest, false)
	f.cutStore[ahead] = true
	replaced := []string{ahead + "-1", ahead + "-2", ahead + "-3", ahead + "-4"}
	for _, name := range replaced {
		f.start(name)
	}
	began := map[string]bool{}
	for range 200 {
		f.run(10 * time.Millisecond)
		for _, name := range replaced {
			n := f.nodes[name]
			if began[name] || n.Phase() != Joined {
				continue
			}
			began[name] = true
			if got := n.Version(catalogueName).Revision; got != 2 {
				t.Errorf("%s serves revision %d, its neighbours 2", name, got)
			}
		}
	}
	if len(began) != len(replaced) {
		t.Errorf("only %v joined within two seconds", began)
	}
}

// TestReplacedProcessServesWithoutNeighbours replaces a process whose neighbours are listed but dead: it serves what the others hold.
func TestReplacedProcessServesWithoutNeighbours(t *testing.T) {
	f := started(t, 4)
	for _, name := range []string{"nbb-pa-0", "nbb-pa-1", "nbb-pa-2"} {
		f.stop(name)
	}
	f.start("nbb-pa-3")
	f.run(5 * time.Second)
	if n := f.nodes["nbb-pa-3"]; n.Phase() != Joined || n.Version(catalogueName).Revision != 1 {
		t.Errorf("after the replacement: %+v", n.Status(f.now))
	}
}
