package frontend

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Picker serializes the calls of the pure chooser and gives it time and randomness. It is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	chooser *pick.Chooser
	rng     *rand.Rand
	// unready holds the instances that lately could not bind a key, with the end of the time for which others come first.
	unready map[string]time.Time
}

// unreadyTime is the time for which an instance that could not bind a key comes after the others.
const unreadyTime = time.Second

// NewPicker returns a picker for the process of an instance.
func NewPicker(instance, failureDomain string) *Picker {
	return &Picker{
		chooser: pick.New(pick.Self{Instance: instance, FailureDomain: failureDomain}),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		unready: map[string]time.Time{},
	}
}

// start picks a target and counts the request as sent to it. Call ended when it is over.
func (p *Picker) start(state *snapshot.State, route *snapshot.Route, tried []string) (origin.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	choice, err := p.chooser.Pick(now, p.rng, state, route, tried)
	if err != nil {
		return origin.Instance{}, err
	}
	p.chooser.Started(now, choice.Instance.Name)
	return choice.Instance, nil
}

// startRanked picks the holder that a refusal named, if it can be used, or else the usable instance that rank puts first. If
// none is usable it takes those that failed lately, since no other instance will do instead.
func (p *Picker) startRanked(state *snapshot.State, route *snapshot.Route, rank func([]string) string, holder string, tried []string) (origin.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	candidates := slices.DeleteFunc(p.chooser.Explain(now, state, route), func(c pick.Candidate) bool {
		return slices.Contains(tried, c.Instance.Name)
	})
	found := among(candidates, pick.Usable)
	if len(found) == 0 {
		found = among(candidates, pick.Ejected, pick.Unreachable, pick.Probing, pick.Silent)
	}
	if len(found) == 0 {
		return origin.Instance{}, &pick.Refusal{Service: route.Service, Reason: pick.NoneUsable}
	}
	names := make([]string, 0, len(found))
	for name := range found {
		names = append(names, name)
	}
	if ready := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return now.Before(p.unready[n]) }); len(ready) > 0 {
		names = ready
	}
	name := rank(names)
	if _, ok := found[holder]; ok {
		name = holder
	}
	p.chooser.Started(now, name)
	return found[name], nil
}

// notReady notes that an instance could not bind a key.
func (p *Picker) notReady(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.unready, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.unready[instance] = now.Add(unreadyTime)
}

// among returns the instances of the candidates with one of the verdicts, by name.
func among(candidates []pick.Candidate, verdicts ...pick.Reason) map[string]origin.Instance {
	out := map[string]origin.Instance{}
	for _, c := range candidates {
		if slices.Contains(verdicts, c.Verdict) {
			out[c.Instance.Name] = c.Instance
		}
	}
	return out
}

func (p *Picker) ended(instance string, a pick.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chooser.Ended(time.Now(), instance, a)
}

// SetLeaving records an instance's own word that it is leaving or back.
func (p *Picker) SetLeaving(instance string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chooser.SetLeaving(time.Now(), instance, leaving)
}

// Reset forgets what is known of the targets, as after a pause of the process.
func (p *Picker) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chooser.Reset()
}

// Explain returns the verdict on every instance of the route's service at the time now.
func (p *Picker) Explain(now time.Time, state *snapshot.State, route *snapshot.Route) []pick.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chooser.Explain(now, state, route)
}
