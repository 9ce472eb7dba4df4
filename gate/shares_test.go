package gate

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// Load pattern: one organisation sends 7.5 times its usual, so that a target that runs 25 requests a second gets 31; nine others send
// their usual, three quarters of their shares. Guards against organisations that pay for the demand of another one: of the requests
// within their shares, with bursts of creditTime, at least 98% are served, and the slots stay busy.
func TestOrganisationBeyondItsShareDoesNotStarveOthers(t *testing.T) {
	served, total := playHotOrganisation(true)
	for name, s := range served {
		if name != "hot" && s < 0.98 {
			t.Errorf("%s: %.3f of its requests served, want 0.98", name, s)
		}
	}
	if total < 0.9 {
		t.Errorf("slots were busy for %.3f of the time, want 0.9", total)
	}
	if got, _ := playHotOrganisation(false); got["o0"] >= 0.9 {
		t.Errorf("without shares %.3f are served, so that the load shows nothing", got["o0"])
	}
}

// playHotOrganisation returns the fraction of the requests within its share that are served by organisation, and of the slots' time
// used.
func playHotOrganisation(shares bool) (served map[string]float64, busy float64) {
	const (
		slots     = 5
		run       = 200 * time.Millisecond
		objective = 800 * time.Millisecond
		duration  = 60 * time.Second
		others    = 9
		usual     = 1.875 // of each of the others, per second
		hotRate   = 7.5 * usual
		share     = slots / 0.2 / (others + 1) // requests per second
	)
	s := newSimulation(slots)
	rng := rand.New(rand.NewPCG(3, 4))
	offered, ran, within := map[string]float64{}, map[string]float64{}, map[string]*rate.Limiter{}
	var used time.Duration
	at := epoch
	for at.Before(epoch.Add(duration)) {
		at = at.Add(time.Duration(rng.ExpFloat64() / (others*usual + hotRate) * float64(time.Second)))
		s.advance(at)
		name := "hot"
		if p := rng.Float64() * (others*usual + hotRate); p < others*usual {
			name = "o" + strconv.Itoa(int(p/usual))
		}
		r := s.request(1, objective, 4*time.Second)
		if shares {
			r.Flow, r.Weight = name, 1.0/(others+1)
		}
		took := time.Duration(float64(run) * (0.5 + rng.Float64()))
		if within[name] == nil {
			within[name] = rate.NewLimiter(share, int(share*creditTime.Seconds()))
		}
		counts := within[name].AllowN(at, 1)
		if counts {
			offered[name]++
		}
		s.offer(r, took, func(runs bool, _ time.Time) {
			if runs {
				used += took
			}
			if runs && counts {
				ran[name]++
			}
		})
	}
	for name, n := range offered {
		offered[name] = ran[name] / n
	}
	return offered, used.Seconds() / (slots * duration.Seconds())
}

// A request that is refused while it waits costs its organisation nothing.
func TestRequestThatDoesNotRunIsNotCharged(t *testing.T) {
	g := New(1)
	offer := func(flow string) *Request {
		r := &Request{Route: "r", Priority: 1, Flow: flow, Weight: 1, SoftDeadline: epoch.Add(time.Second), Deadline: epoch.Add(time.Second), Start: func(bool) {}}
		g.Offer(epoch, r)
		return r
	}
	offer("a")
	waiting := offer("b")
	tag := g.shares.flows["b"].Tag
	if !g.Cancel(waiting) || g.shares.flows["b"].Tag >= tag {
		t.Errorf("tag %v after the cancellation, %v before", g.shares.flows["b"].Tag, tag)
	}
	for i := range 2 * maxFlows {
		r := offer(strconv.Itoa(i))
		g.Cancel(r)
	}
	if n := len(g.shares.flows); n > maxFlows {
		t.Errorf("%d flows are kept, want at most %d", n, maxFlows)
	}
}
