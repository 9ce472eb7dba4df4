package balance

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
)

// boundState returns a state with two targets in each of the regions near and far, and a route bound to near beside attempt's route.
func boundState(t *testing.T) *mesh.State {
	t.Helper()
	s := state("n1", "n2", "f1", "f2")
	config, err := mesh.NewConfig(1, []*mesh.Route{{
		Name: "bound", Host: "h", Prefix: "/", Timeout: time.Second, MaxTargets: 1, HomeRegions: []string{"near"},
		Parts: []mesh.WeightedService{{Service: "s", Weight: 1}},
	}}, []*mesh.Service{{Name: "s"}}, mesh.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	s.Config = config
	return s
}

// report reports the load of a region's targets every 50 ms for a time and returns its end.
func report(b *Balancer, s *mesh.State, ids []string, at time.Time, lasting time.Duration, running int, result Result) time.Time {
	for end := at.Add(lasting); at.Before(end); at = at.Add(50 * time.Millisecond) {
		for _, id := range ids {
			run(b, at, byID(s, id), Completion{Result: result, Load: &gate.Load{Running: running, Slots: 18, Free: 18 - running}})
		}
	}
	return at
}

func farShare(t *testing.T, b *Balancer, a Attempt) int {
	t.Helper()
	got := shares(t, b, a)
	return got["f1"] + got["f2"]
}

// Load pattern: a region in which bound requests are at home is full (17 of 18 slots) while the other one has room. Unbound requests,
// such as calls of 28 ms with an objective of 120 ms, leave it before anything waits, and are back seconds after it has room. In between
// (14 of 18 slots) neither begins.
func TestUnboundWorkLeavesFullRegionToBoundWork(t *testing.T) {
	s, b := boundState(t), newBalancer()
	near, far := []string{"n1", "n2"}, []string{"f1", "f2"}
	a := attempt(s, 0)
	a.Route.Objective = 120 * time.Millisecond
	a.Now = report(b, s, far, epoch, time.Second, 9, Succeeded)
	a.Now = report(b, s, near, a.Now, 3*time.Second, 14, Succeeded)
	if got := farShare(t, b, a); got > 50 {
		t.Errorf("at 14 of 18 slots %d of 1000 unbound requests leave", got)
	}
	a.Now = report(b, s, far, a.Now, time.Second, 9, Succeeded)
	a.Now = report(b, s, near, a.Now, 3*time.Second, 17, Succeeded)
	if got := farShare(t, b, a); got < 900 {
		t.Errorf("at 17 of 18 slots %d of 1000 unbound requests leave", got)
	}
	bound := a
	bound.Route = s.Config.Routes[0]
	if got := farShare(t, b, bound); got > 0 {
		t.Errorf("%d of 1000 bound requests leave", got)
	}
	a.Now = report(b, s, near, a.Now, 3*time.Second, 14, Succeeded)
	if got := farShare(t, b, a); got < 900 {
		t.Errorf("once they have left, %d of 1000 stay away at 14 of 18 slots", got)
	}
	a.Now = report(b, s, near, a.Now, 5*time.Second, 9, Succeeded)
	if got := farShare(t, b, a); got > 50 {
		t.Errorf("at 9 of 18 slots %d of 1000 still leave", got)
	}
}

// Load pattern: both regions are full. Unbound requests stay, since bytes between regions would gain nothing.
func TestUnboundWorkStaysIfOtherRegionIsFull(t *testing.T) {
	s, b := boundState(t), newBalancer()
	a := attempt(s, 0)
	a.Now = epoch
	for range 20 {
		a.Now = report(b, s, []string{"f1", "f2"}, a.Now, 50*time.Millisecond, 18, Succeeded)
		a.Now = report(b, s, []string{"n1", "n2"}, a.Now, 50*time.Millisecond, 17, Succeeded)
	}
	if got := farShare(t, b, a); got > 50 {
		t.Errorf("%d of 1000 unbound requests leave", got)
	}
}

// Load pattern: the home region of requests with bodies of 4 KB refuses half of them. Callers in the other region announce bodies before
// they send them, since each refused one crosses the link in vain; seconds after the last refusal they don't.
func TestBodiesAreAnnouncedToRegionThatRefuses(t *testing.T) {
	s, b := boundState(t), newBalancer()
	far := []string{"f1", "f2"}
	a := attempt(s, 4000)
	a.Route = &mesh.Route{Name: "r", Objective: time.Second, Timeout: time.Second, HomeRegions: []string{"far"}}
	announced := func() bool {
		choice, ok := b.Pick(a)
		return ok && choice.ExpectContinue
	}
	a.Now = report(b, s, far, epoch, time.Second, 9, Succeeded)
	if announced() {
		t.Error("a body is announced to targets with room")
	}
	a.Now = report(b, s, far[:1], a.Now, 50*time.Millisecond, 18, Refused)
	if !announced() {
		t.Error("no body is announced after a refusal")
	}
	a.Bytes = 300
	if announced() {
		t.Error("a body is announced that is shorter than the announcement")
	}
	a.Bytes, a.Now = 4000, a.Now.Add(3*time.Second)
	if announced() {
		t.Error("a body is announced seconds after the last refusal")
	}
}

// Failure: reports of a region stop (its processes are cut off or were killed), and an old one arrives late. What was known expires, and
// the late one changes nothing.
func TestRoomExpiresWithoutReports(t *testing.T) {
	s, b := boundState(t), newBalancer()
	a := attempt(s, 0)
	a.Now = report(b, s, []string{"n1", "n2"}, epoch, 3*time.Second, 18, Refused)
	b.observeRoom(epoch, byID(s, "n1"), &gate.Load{Running: 0, Slots: 18}, false)
	if r := b.roomOf("s", "near"); r.fill < fullShare || !r.at.After(epoch) {
		t.Errorf("a late report changed the room to %+v", *r)
	}
	if got := farShare(t, b, a); got < 900 {
		t.Errorf("%d of 1000 unbound requests leave", got)
	}
	a.Now = a.Now.Add(10 * time.Second)
	if got := farShare(t, b, a); got > 50 {
		t.Errorf("10 s after the last report %d of 1000 unbound requests leave", got)
	}
}

// Load pattern: a region is full for 3 s and then half empty. One line for operators says that requests leave, one that they are back.
func TestRoomChangesAreReportedOnce(t *testing.T) {
	s, b := boundState(t), newBalancer()
	target := byID(s, "n1")
	var changes []bool
	for i := range 200 {
		running, at := 18, epoch.Add(time.Duration(i)*50*time.Millisecond)
		if i >= 60 {
			running = 9
		}
		if change := b.observeRoom(at, target, &gate.Load{Running: running, Slots: 18}, false); change != nil {
			changes = append(changes, change.Leaving)
		}
	}
	if len(changes) != 2 || !changes[0] || changes[1] {
		t.Errorf("reported %v", changes)
	}
}
