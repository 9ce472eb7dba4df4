package distribution

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/membership"
)

// newSettledFleet returns a fleet that has revision 1 and whose roles have settled.
func newSettledFleet(t *testing.T, perDomain int) *fleet {
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

// TestRolesAreTakenOver stops the readers and the puller: a change must still reach all other instances within five
// seconds.
func TestRolesAreTakenOver(t *testing.T) {
	f := newSettledFleet(t, 12)
	failed := append(f.withRole(RoleReader), f.withRole(RolePuller)...)
	if len(failed) != 3 {
		t.Fatalf("instances with roles are %v, want two readers and one puller", failed)
	}
	for _, name := range failed {
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

// TestPausedProcessComparesFirst checks that a process is not joined after a pause until it has compared versions with
// its peers, and that it then has the change that it missed.
func TestPausedProcessComparesFirst(t *testing.T) {
	f := newSettledFleet(t, 6)
	n := f.nodes[f.names[0]]
	n.paused = true
	f.publish(2)
	f.run(20 * time.Second)
	f.resume(n)
	n.backlog = nil
	f.step(n, n.incarnation, Tick{})
	if n.Phase() == Joined && n.Version(catalogueName).Revision < 2 {
		t.Error("the process joined with its documents from before the pause without comparing versions")
	}
	requireConverged(t, f, 2, 3*time.Second)
}

// TestIsolatedProcessServesAgainAfterPause checks that a process that can reach neither peers nor the platform after a
// pause joins again with the documents that it has.
func TestIsolatedProcessServesAgainAfterPause(t *testing.T) {
	f := newSettledFleet(t, 1)
	n := f.nodes[f.names[0]]
	f.setCut([]string{n.inst.FailureDomain}, domains, true)
	f.platformCut[n.inst.FailureDomain] = true
	n.paused = true
	f.run(10 * time.Second)
	f.resume(n)
	f.run(5 * time.Second)
	if n.Phase() != Joined || n.Version(catalogueName).Revision != 1 {
		t.Errorf("after the pause: %+v", n.Status(f.now))
	}
}

// TestLeaveNoticeReachesAllInstances checks that the notice of a leaving instance reaches all others and overrides a
// lagging list, and that the next incarnation of the instance counts as a member again.
func TestLeaveNoticeReachesAllInstances(t *testing.T) {
	f := newSettledFleet(t, 10)
	leaver := f.nodes[f.names[5]]
	f.step(leaver, leaver.incarnation, Leave{})
	f.run(time.Second)
	f.stop(leaver.inst.Name)
	f.publishList(leaver.inst.FailureDomain, 2, f.names...)
	f.run(2 * time.Second)
	for _, name := range f.names {
		n := f.nodes[name]
		if n == leaver {
			continue
		}
		if m := n.members.Get(leaver.inst.Name); m != nil && n.members.IsMember(f.now, m) {
			t.Errorf("%s still counts the instance that left as a member", name)
		}
		if len(n.notices) != 1 {
			t.Errorf("%s got %d notices, want 1", name, len(n.notices))
		}
	}
	f.start(leaver.inst.Name)
	f.run(membership.LeaveTTL)
	for _, name := range f.names {
		n := f.nodes[name]
		if m := n.members.Get(leaver.inst.Name); m == nil || !n.members.IsMember(f.now, m) {
			t.Errorf("%s does not count the next incarnation of the instance as a member", name)
		}
	}
}

// TestBadCatalogueIsRefusedWhole publishes a catalogue with a dangling route: no instance may apply it, the previous one
// stays in force, and the next valid one is applied.
func TestBadCatalogueIsRefusedWhole(t *testing.T) {
	f := newSettledFleet(t, 4)
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
	f.answerWaitingReads()
	f.run(3 * time.Second)
	refusals := 0
	for _, name := range f.names {
		n := f.nodes[name]
		if v := n.Version(catalogueName); v.Revision != 1 {
			t.Errorf("%s has revision %d", name, v.Revision)
		}
		for _, r := range n.reports {
			if r.Kind == ReportRefused && r.Remedy != "" {
				refusals++
			}
		}
	}
	if refusals == 0 {
		t.Error("no report of the refusal")
	}
	f.publish(3)
	requireConverged(t, f, 3, 2*time.Second)
}

// TestOneRevisionWithTwoContents checks that a second content of a revision is refused and reported.
func TestOneRevisionWithTwoContents(t *testing.T) {
	f := newSettledFleet(t, 2)
	other := makeCatalogue(9)
	var entries []document.Entry
	other.All(func(e document.Entry) bool { entries = append(entries, e); return true })
	doc, err := document.New(catalogue.DocumentName, 1, other.Chunks(), entries)
	if err != nil {
		t.Fatal(err)
	}
	before := f.nodes[f.names[0]].Version(catalogueName)
	f.published = doc
	f.answerWaitingReads()
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

// TestRollingUpgrade restarts the instances one by one with the next protocol version; changes must reach all instances
// halfway through and at the end.
func TestRollingUpgrade(t *testing.T) {
	f := newSettledFleet(t, 8)
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

// TestOldProtocolIsRefused checks that a peer with a protocol version below the minimum is not answered, and is reported
// once.
func TestOldProtocolIsRefused(t *testing.T) {
	f := newSettledFleet(t, 1)
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

// TestJoinDuringOutage checks that replaced processes join from their peers while the platform is down, that none joins
// if no peer has a catalogue either, and that all join once the platform is up again.
func TestJoinDuringOutage(t *testing.T) {
	f := newSettledFleet(t, 6)
	f.publish(2)
	requireConverged(t, f, 2, 2*time.Second)
	f.setPlatformDown(true)
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
			t.Fatalf("%s is %s although no peer has a catalogue", name, phase)
		}
	}
	f.setPlatformDown(false)
	requireConverged(t, f, 2, 15*time.Second)
}

// TestRemoteRegionReadsPlatformAsFallback cuts the failure domains near the platform off from it: the other region must read
// the platform instead and relay the change to them.
func TestRemoteRegionReadsPlatformAsFallback(t *testing.T) {
	f := newSettledFleet(t, 6)
	f.platformCut["obb-muc"], f.platformCut["obb-ro"] = true, true
	f.answerWaitingReads()
	f.publish(2)
	requireConverged(t, f, 2, 20*time.Second)
}

// TestStartWithoutSeeds starts a fleet whose seeds are all down: processes find each other through the platform's list,
// and at most half of them may read the manifest.
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

// TestReplacedProcessJoinsFromItsFailureDomain replaces processes of a failure domain that is ahead of the seeds
// elsewhere: none may join with an older revision than its neighbours have.
func TestReplacedProcessJoinsFromItsFailureDomain(t *testing.T) {
	const aheadDomain = "nbb-pa"
	f := newSettledFleet(t, 8)
	others := []string{"obb-muc", "obb-ro", "nbb-la"}
	f.setCut([]string{aheadDomain}, others, true)
	for _, fd := range others {
		f.platformCut[fd] = true
	}
	f.publish(2)
	f.run(6 * time.Second)
	f.setCut([]string{aheadDomain}, others, false)
	f.platformCut[aheadDomain] = true
	replaced := []string{aheadDomain + "-1", aheadDomain + "-2", aheadDomain + "-3", aheadDomain + "-4"}
	for _, name := range replaced {
		f.start(name)
	}
	joined := map[string]bool{}
	for range 200 {
		f.run(10 * time.Millisecond)
		for _, name := range replaced {
			n := f.nodes[name]
			if joined[name] || n.Phase() != Joined {
				continue
			}
			joined[name] = true
			if got := n.Version(catalogueName).Revision; got != 2 {
				t.Errorf("%s joined with revision %d, its neighbours have 2", name, got)
			}
		}
	}
	if len(joined) != len(replaced) {
		t.Errorf("only %v joined within two seconds", joined)
	}
}

// TestReplacedProcessJoinsWithoutNeighbours replaces a process whose neighbours are listed but stopped: it must join with
// the documents of other failure domains.
func TestReplacedProcessJoinsWithoutNeighbours(t *testing.T) {
	f := newSettledFleet(t, 4)
	for _, name := range []string{"nbb-pa-0", "nbb-pa-1", "nbb-pa-2"} {
		f.stop(name)
	}
	f.start("nbb-pa-3")
	f.run(5 * time.Second)
	if n := f.nodes["nbb-pa-3"]; n.Phase() != Joined || n.Version(catalogueName).Revision != 1 {
		t.Errorf("after the replacement: %+v", n.Status(f.now))
	}
}
