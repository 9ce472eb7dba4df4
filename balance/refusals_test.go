package balance

import (
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
)

// Load pattern: the home region of requests with bodies of 4 KB refuses them. Callers in the other region announce bodies before they send
// them, since each refused one crosses the link in vain. Failure: responses stop (the region is cut off, its processes are killed), and
// an older one arrives late; it changes nothing, and what was known fades within seconds.
func TestBodiesAreAnnouncedToRegionThatRefuses(t *testing.T) {
	s, b := state("n1", "f1", "f2"), newBalancer()
	a := attempt(s, 4000)
	a.Route = &mesh.Route{Name: "r", Objective: time.Second, Timeout: time.Second, HomeRegions: []string{"far"}}
	respond := func(at time.Time, id string, result Result) {
		run(b, at, byID(s, id), Completion{Result: result, Load: &gate.Load{Running: 18, Slots: 18}})
	}
	check := func(at time.Time, bytes int, want bool, what string) {
		t.Helper()
		a.Now, a.Bytes = at, bytes
		if choice, ok := b.Pick(a); !ok || choice.ExpectContinue != want {
			t.Errorf("%s: announced %v, want %v", what, choice.ExpectContinue, want)
		}
	}
	respond(epoch, "f1", Succeeded)
	check(epoch, 4000, false, "no request is refused")
	now := epoch.Add(100 * time.Millisecond)
	respond(now, "f1", Refused)
	check(now, 4000, true, "another target has refused a request")
	check(now, 300, false, "the body is shorter than the announcement")
	respond(epoch, "f2", Succeeded)
	check(now, 4000, true, "an older response arrived late")
	check(now.Add(3*time.Second), 4000, false, "the last response is seconds old")
	now = now.Add(4 * time.Second)
	respond(now, "f1", Refused)
	for i := range 20 {
		respond(now.Add(time.Duration(i)*time.Millisecond), "f2", Succeeded)
	}
	check(now.Add(20*time.Millisecond), 4000, false, "requests are admitted again")
	if b.refusalsOf("s", "near") != nil {
		t.Error("refusals are known of a region without responses")
	}
}
