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

// Picker chooses targets. It serializes the calls of pick.Chooser and passes it the time and a source of randomness. It is
// safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	chooser *pick.Chooser
	rng     *rand.Rand
	// notReadyUntil holds the instances that recently could not bind a key, with the time until which others are preferred.
	notReadyUntil map[string]time.Time
}

// notReadyPeriod is the time for which other instances are preferred to one that could not bind a key.
const notReadyPeriod = time.Second

// NewPicker returns a picker for the frontend of an instance.
func NewPicker(instance, failureDomain string) *Picker {
	return &Picker{
		chooser:       pick.New(pick.Self{Instance: instance, FailureDomain: failureDomain}),
		rng:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		notReadyUntil: map[string]time.Time{},
	}
}

// start picks a target and counts the request as sent to it. The caller must call ended when the request ends.
func (p *Picker) start(state *snapshot.State, route *snapshot.Route, tried []string) (origin.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	choice, err := p.chooser.Pick(now, p.rng, state, route, tried)
	if err != nil {
		return origin.Instance{}, err
	}
	p.chooser.RequestStarted(now, choice.Instance.Name)
	return choice.Instance, nil
}

// startRanked picks the holder that a refusal named, if it is a candidate, or else the first candidate in rank order.
// Candidates are the usable instances, or, if there are none, those that failed recently, since no other instance may run
// the request. The caller must call ended when the request ends.
func (p *Picker) startRanked(state *snapshot.State, route *snapshot.Route, rank func([]string) string, holder string, tried []string) (origin.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	candidates := slices.DeleteFunc(p.chooser.Explain(now, state, route), func(c pick.Candidate) bool {
		return slices.Contains(tried, c.Instance.Name)
	})
	eligible := withVerdict(candidates, pick.Usable)
	if len(eligible) == 0 {
		eligible = withVerdict(candidates, pick.Ejected, pick.Unreachable, pick.Probing, pick.Unresponsive)
	}
	if len(eligible) == 0 {
		return origin.Instance{}, &pick.Refusal{Service: route.Service, Reason: pick.NoneUsable}
	}
	names := make([]string, 0, len(eligible))
	for name := range eligible {
		names = append(names, name)
	}
	if ready := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return now.Before(p.notReadyUntil[n]) }); len(ready) > 0 {
		names = ready
	}
	name := rank(names)
	if _, ok := eligible[holder]; ok {
		name = holder
	}
	p.chooser.RequestStarted(now, name)
	return eligible[name], nil
}

// notReady records that an instance could not bind a key.
func (p *Picker) notReady(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.notReadyUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.notReadyUntil[instance] = now.Add(notReadyPeriod)
}

// withVerdict returns the instances of the candidates with one of the verdicts, by name.
func withVerdict(candidates []pick.Candidate, verdicts ...pick.Reason) map[string]origin.Instance {
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
	p.chooser.RequestEnded(time.Now(), instance, a)
}

// SetLeaving records an instance's announcement that it is leaving, or that it is in service again.
func (p *Picker) SetLeaving(instance string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chooser.SetLeaving(time.Now(), instance, leaving)
}

// Reset discards the observations of the targets' health and load, for example after a pause of the process.
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
