package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
)

var epoch = time.Unix(1_000_000, 0)

// at returns a position in the first epoch.
func at(revision uint64) Position { return Position{Epoch: 1, Revision: revision} }

func route(name, host, prefix string, parts ...WeightedService) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxTargets: 2, Parts: parts}
}

func config(t *testing.T, version uint64) *Config {
	t.Helper()
	c, err := NewConfig(version, []*Route{
		route("all", "a.example", "/", WeightedService{"s", 1}), route("long", "a.example", "/x/y/", WeightedService{"s", 1}), route("short", "a.example", "/x/", WeightedService{"s", 1}),
	}, []*Service{{Name: "s"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestMatchLongestPrefix(t *testing.T) {
	c := config(t, 1)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:80", "/x/yz", "short"},
		{"A.Example", "/", "all"},
		{"b.example", "/x/y/z", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	services := []*Service{{Name: "s"}}
	for name, r := range map[string]*Route{
		"unknown service": route("r", "h", "/", WeightedService{"other", 1}),
		"negative weight": route("r", "h", "/", WeightedService{"s", -1}),
		"no weight":       route("r", "h", "/", WeightedService{"s", 0}),
		"no service":      route("r", "h", "/"),
		"bare prefix":     route("r", "h", "/x", WeightedService{"s", 1}),
		"no host":         route("r", "", "/", WeightedService{"s", 1}),
		"no timeout":      {Name: "r", Host: "h", Prefix: "/", MaxTargets: 1, Parts: []WeightedService{{"s", 1}}},
	} {
		if _, err := NewConfig(1, []*Route{r}, services, Limits{}); !errors.Is(err, ErrConfig) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func target(id string, leaving bool) *Target {
	return &Target{ID: id, Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "d", Leaving: leaving, Slots: 1}
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "c", Revision: 5, Config: config(t, 7)}}, at(5))
	r.Apply(epoch, []Entry{{Key: "c", Revision: 6, Config: config(t, 6)}}, at(6))
	if got := r.State().Config.Version; got != 7 {
		t.Errorf("version %d is in force after 7", got)
	}
	if r.Replace(epoch, []Entry{{Key: "c", Revision: 2, Config: config(t, 2)}}, at(4)) {
		t.Error("a listing older than the replica changed it")
	}
}

func TestInvalidEntryKeepsOthers(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "a", Revision: 1, Target: target("a", false)}, {Key: "b", Revision: 2, Target: target("b", false)}}, at(2))
	r.Apply(epoch, []Entry{{Key: "a", Revision: 3}}, at(3))
	if got := r.State().Targets("s"); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("got %v", got)
	}
}

func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "a", Revision: 1, Target: target("a", false)}}, at(1))
	r.Apply(epoch, []Entry{{Key: "a", Revision: 2}}, at(2))
	if len(r.State().Targets("s")) != 0 {
		t.Error("a removed target is still listed")
	}
}

func TestExpiredTargetIsKeptForGracePeriod(t *testing.T) {
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "a", Revision: 1, Target: target("a", false)}, {Key: "b", Revision: 1, Target: target("b", true)}}, at(1))
	r.StoreRecovered(epoch)
	r.Replace(epoch, nil, at(5))
	if got := r.State().Targets("s"); len(got) != 1 || got[0].ID != "a" {
		t.Fatalf("after the outage: got %v, want only the live target", got)
	}
	if !r.NextExpiry().Equal(epoch.Add(ExpiryGrace)) {
		t.Errorf("expires at %v", r.NextExpiry())
	}
	if !r.Expire(epoch.Add(ExpiryGrace)) || len(r.State().Targets("s")) != 0 {
		t.Error("a target that was not listed again is still there after its grace period")
	}
}

func TestSinceReturnsChangesAndRemovals(t *testing.T) {
	r := NewReplica()
	otherAddr := target("c", false)
	otherAddr.Addr = netip.MustParseAddrPort("10.0.0.2:80")
	r.Apply(epoch, []Entry{{Key: "a", Revision: 1, Target: target("a", false), Raw: []byte("a")}, {Key: "b", Revision: 2, Target: target("b", false), Raw: []byte("b")}}, at(2))
	r.Apply(epoch, []Entry{{Key: "a", Revision: 3}, {Key: "c", Revision: 4, Target: otherAddr, Raw: []byte("c")}}, at(4))
	changes, full := r.Since(epoch, at(2))
	if full || len(changes) != 2 {
		t.Fatalf("got %v, full %v", changes, full)
	}
	if _, full := r.Since(epoch, at(1)); !full {
		t.Error("no full listing for a revision before the kept history")
	}
	child := NewReplica()
	all, _ := r.Since(epoch, at(0))
	var entries []Entry
	for _, c := range all {
		entries = append(entries, c.Entry)
	}
	child.Replace(epoch, entries, r.Position())
	if got := child.State().Targets("s"); len(got) != 2 {
		t.Errorf("state of the child: got %v, want 2 targets", got)
	}
}

// Guards against a removed target, or a failure domain back in service, that returns with an update from before its removal: with
// several sources an update may arrive after a later one.
func TestLateUpdateDoesNotRestoreRemovedEntry(t *testing.T) {
	r := NewReplica()
	listed := []Entry{{Key: "out/d", Revision: 2, OutOfService: "d"}}
	r.Apply(epoch, listed, at(2))
	r.Apply(epoch, []Entry{{Key: "out/d", Revision: 3}}, at(3))
	if r.Apply(epoch, listed, at(2)); r.State().OutOfService["d"] {
		t.Error("the update of revision 2 restored an entry that was removed at revision 3")
	}
	if r.Position() != at(3) {
		t.Errorf("position %v, want revision 3", r.Position())
	}
}

func TestLatestIncarnationOwnsAddress(t *testing.T) {
	old, now := target("old", false), target("new", false)
	old.StartedMs, now.StartedMs = 1, 2
	r := NewReplica()
	r.Apply(epoch, []Entry{{Key: "n", Revision: 1, Target: now}, {Key: "o", Revision: 2, Target: old}}, at(2))
	state := r.State()
	if got := state.TargetAt(now.Addr); got.ID != "new" {
		t.Errorf("got %s", got.ID)
	}
	// After a cold start of all targets the entries of earlier incarnations have not expired yet. They must not receive
	// requests.
	if got := state.Targets("s"); len(got) != 1 || got[0].ID != "new" {
		t.Errorf("targets of the service: %v", got)
	}
}

func TestShareOfOrganisations(t *testing.T) {
	quota := func(rate float64) Quota { return Quota{PerSecond: rate, Burst: rate} }
	config, err := NewConfig(1, nil, nil, Limits{}, &Organisation{Name: "a", Quota: quota(30)}, &Organisation{Name: "b", Quota: quota(10)}, &Organisation{Name: "c"})
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]float64{"a": 0.75, "b": 0.25, "c": 0.5, "unknown": 0.5} {
		if got := config.ShareOf(name); got != want {
			t.Errorf("share of %s is %v, want %v", name, got, want)
		}
	}
	without, err := NewConfig(1, nil, nil, Limits{}, &Organisation{Name: "a"}, &Organisation{Name: "b"})
	if err != nil || without.ShareOf("a") != 0.5 {
		t.Errorf("share without quotas is %v, want 0.5 (%v)", without.ShareOf("a"), err)
	}
}
