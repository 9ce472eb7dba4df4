package mesh

import (
	"net/netip"
	"testing"
	"time"
)

// restored returns a position in the second epoch.
func restored(revision uint64) Position { return Position{Epoch: 2, Revision: revision} }

func incarnation(id string, startedMs int64, leaving bool) *Target {
	t := target(id, leaving)
	t.StartedMs = startedMs
	return t
}

// ready returns the IDs of the targets that may receive requests.
func (s *State) ready() string {
	ids := ""
	for _, t := range s.Targets("s") {
		if s.Usable(t) {
			ids += t.ID
		}
	}
	return ids
}

func TestPositionOrder(t *testing.T) {
	for _, test := range []struct {
		a, b Position
		want bool
	}{
		{at(2), at(1), true}, {at(1), at(1), false}, {at(1), at(2), false}, {restored(1), at(2), true}, {at(2), restored(1), false},
	} {
		if got := test.a.After(test.b); got != test.want {
			t.Errorf("%v after %v: %v", test.a, test.b, got)
		}
	}
}

// Guards against updates of one epoch that are taken for news in another: revisions repeat.
func TestUpdatesOfOtherEpochsAreIgnored(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "a", Revision: 5, Target: target("a", false)}}, at(5))
	r.Replace(epoch, []Entry{{Key: "a", Revision: 3, Target: target("a", false)}}, restored(3))
	if r.Position() != restored(3) {
		t.Fatalf("position %v after the restore", r.Position())
	}
	if r.Apply(epoch, []Entry{{Key: "a", Revision: 6, Target: target("a", true)}}, at(6)) || r.Replace(epoch, nil, at(9)) {
		t.Error("an update of the former epoch changed the replica")
	}
	if r.Apply(epoch, []Entry{{Key: "a", Revision: 4, Target: target("a", true)}}, Position{Epoch: 3, Revision: 4}) {
		t.Error("changes of a later epoch were applied without its listing")
	}
	if !r.Apply(epoch, []Entry{{Key: "a", Revision: 4, Target: target("a", true)}}, restored(4)) || r.State().ready() != "" {
		t.Error("a change of the epoch was not applied, at a revision of the former epoch")
	}
	if _, full := r.Since(epoch, at(4)); !full {
		t.Error("no full listing for a position in another epoch")
	}
}

// Guards against a configuration that comes back older from a restored store (CONFIG), here and at processes that follow this one.
func TestRestoredConfigIsNotOlder(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "c", Revision: 8, Config: config(t, 7), Raw: []byte("7")}}, at(8))
	r.Replace(epoch, []Entry{{Key: "c", Revision: 2, Config: config(t, 5), Raw: []byte("5")}}, restored(6))
	changes, _ := r.Since(epoch, Position{})
	if got := r.State().Config.Version; got != 7 || len(changes) != 1 || string(changes[0].Raw) != "7" {
		t.Errorf("version %d is in force after 7; others are sent %v", got, changes)
	}
	r.Replace(epoch, nil, restored(7))
	if r.State().Config.Version != 7 {
		t.Error("no configuration is in force after a listing without one")
	}
	r.Apply(epoch, []Entry{{Key: "c", Revision: 8, Config: config(t, 9), Raw: []byte("9")}}, restored(8))
	if got := r.State().Config.Version; got != 9 {
		t.Errorf("version %d is in force after 9 was published at a revision of the former epoch", got)
	}
}

// Guards against requests to a target that has drained, or was removed, and stands as ready in the copy (DRAIN), and against the loss
// of one that the copy lacks.
func TestRestoredTargetsAreNotOlder(t *testing.T) {
	r := NewReplica()
	for i, e := range []Entry{
		{Target: incarnation("drained", 1, false)},
		{Target: incarnation("left", 1, false)},
		{Target: incarnation("gone", 1, false)},
		{Target: incarnation("again", 1, false)},
		{Target: incarnation("drained", 1, true)},
		{Target: incarnation("left", 1, true)},
		{Key: "left"},
		{Key: "gone"},
		{Target: incarnation("again", 2, false)},
		{Target: incarnation("new", 1, false)},
	} {
		if e.Target != nil {
			e.Key = e.Target.ID
			e.Target.Addr = addrOf(e.Key)
		}
		e.Revision = uint64(i + 1)
		r.Apply(epoch, []Entry{e}, at(e.Revision))
	}
	var listing []Entry
	for i, id := range []string{"drained", "left", "gone", "again"} {
		t := incarnation(id, 1, false)
		t.Addr = addrOf(id)
		listing = append(listing, Entry{Key: id, Revision: uint64(i + 1), Target: t})
	}
	r.Replace(epoch, listing, restored(4))
	if got := r.State().ready(); got != "againnew" || r.State().TargetAt(addrOf("again")).StartedMs != 2 {
		t.Errorf("ready after the restore: %q, want what was known", got)
	}
	child := NewReplica()
	changes, _ := r.Since(epoch, Position{})
	var entries []Entry
	for _, c := range changes {
		entries = append(entries, c.Entry)
	}
	child.Replace(epoch, entries, restored(4))
	if got := child.State().ready(); got != "againnew" {
		t.Errorf("ready at a process that has started since: %q", got)
	}
	after := epoch.Add(ExpiryGrace)
	for _, replica := range []*Replica{r, child} {
		if next := replica.NextExpiry(); !next.Equal(after) || !replica.Expire(after) || !replica.NextExpiry().IsZero() {
			t.Errorf("next expiry %v", next)
		}
	}
	// The store still lists "gone" and "again" of the first incarnation, and not "new". A target that has drained stays out.
	if got := r.State().ready(); got != "againgone" {
		t.Errorf("ready after the grace period: %q, want what the store lists", got)
	}
}

// Guards against requests to a failure domain that was taken out of service after the copy was made (EVAC), and against one that is
// taken out again although it is back.
func TestRestoredOutOfServiceIsNotOlder(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "out/back", Revision: 1, OutOfService: "back"}}, at(1))
	r.Apply(epoch, []Entry{{Key: "out/back", Revision: 2}, {Key: "out/out", Revision: 3, OutOfService: "out"}}, at(3))
	r.Replace(epoch, []Entry{{Key: "out/back", Revision: 1, OutOfService: "back"}}, restored(1))
	if out := r.State().OutOfService; out["back"] || !out["out"] {
		t.Errorf("out of service after the restore: %v", out)
	}
	// Both changes are written again.
	r.Apply(epoch.Add(time.Second), []Entry{{Key: "out/out", Revision: 2, OutOfService: "out"}, {Key: "out/back", Revision: 3}}, restored(3))
	r.Expire(epoch.Add(ExpiryGrace))
	if out := r.State().OutOfService; out["back"] || !out["out"] || !r.NextExpiry().IsZero() {
		t.Errorf("out of service after the changes were written again: %v", out)
	}
	r.Apply(epoch.Add(time.Second), []Entry{{Key: "out/out", Revision: 4}}, restored(4))
	if r.State().OutOfService["out"] {
		t.Error("a failure domain that returns to service is still out")
	}
}

// addrOf returns an address of a target's own.
func addrOf(id string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, id[0], id[1]}), 80)
}

// Guards against a grace period that ends too early because the store was restored twice: the changes are written again after the
// second time only.
func TestSecondRestoreStartsGracePeriodAgain(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "a", Revision: 1, Target: target("a", false)}, {Key: "out/d", Revision: 2, OutOfService: "elsewhere"}}, at(2))
	r.Replace(epoch, nil, restored(1))
	second := epoch.Add(2 * time.Second)
	r.Replace(second, nil, Position{Epoch: 3, Revision: 1})
	r.Expire(epoch.Add(ExpiryGrace))
	if s := r.State(); s.ready() != "a" || !s.OutOfService["elsewhere"] {
		t.Errorf("ready %q, out of service %v before the end of the second grace period", s.ready(), s.OutOfService)
	}
	if r.Expire(second.Add(ExpiryGrace)); r.State().ready() != "" {
		t.Error("a target that the store does not list is kept after the second grace period")
	}
}

// Guards against an entry of a restored copy that takes effect although the store has removed it again: a listing that lacks it arrives
// while it is not in effect yet.
func TestListingRemovesEntryNotInEffectYet(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "a", Revision: 1, Target: target("a", false)}, {Key: "out/d", Revision: 2, OutOfService: "d"}}, at(2))
	r.Apply(epoch, []Entry{{Key: "out/d", Revision: 3}}, at(3))
	copied := []Entry{{Key: "a", Revision: 1, Target: target("a", false)}, {Key: "out/d", Revision: 2, OutOfService: "d"}}
	r.Replace(epoch, copied, restored(2))
	r.Replace(epoch.Add(time.Second), copied[:1], restored(3)) // removed at revision 3
	r.Expire(epoch.Add(ExpiryGrace))
	if r.State().OutOfService["d"] {
		t.Error("an entry that the store does not have is in effect")
	}
}

// Guards against a removal that never reaches the processes that follow this one: it was received with a full state, before it takes
// effect.
func TestPendingRemovalOfFullStateIsPassedOn(t *testing.T) {
	source, middle, follower := NewReplica(), NewReplica(), NewReplica()
	listing := []Entry{{Key: "a", Revision: 1, Target: target("a", false)}, {Key: "b", Revision: 2, Target: target("b", false)}}
	for _, r := range []*Replica{source, middle, follower} {
		r.Apply(epoch, listing, at(2))
	}
	source.StoreRecovered(epoch)
	source.Apply(epoch, []Entry{{Key: "b", Revision: 3}}, at(3)) // may be an expiry
	full, _ := source.Since(epoch, Position{})
	middle.Replace(epoch, entriesOf(full), source.Position())
	changes, isFull := middle.Since(epoch, follower.Position())
	if isFull {
		t.Fatal("the test needs changes, not the full state")
	}
	follower.Apply(epoch, entriesOf(changes), middle.Position())
	for name, r := range map[string]*Replica{"source": source, "middle": middle, "follower": follower} {
		r.Expire(epoch.Add(ExpiryGrace))
		if got := r.State().ready(); got != "a" {
			t.Errorf("%s: %q are ready after the removal, want a", name, got)
		}
	}
}

// entriesOf returns the entries of changes.
func entriesOf(changes []Change) []Entry {
	out := make([]Entry, 0, len(changes))
	for _, c := range changes {
		out = append(out, c.Entry)
	}
	return out
}
