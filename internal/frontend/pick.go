package frontend

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/platform"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Picker serializes the calls of the pure chooser and gives it time and randomness. It is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	chooser *pick.Chooser
	rng     *rand.Rand
}

// NewPicker returns a picker for the process of an instance.
func NewPicker(instance, failureDomain string) *Picker {
	return &Picker{
		chooser: pick.New(pick.Self{Instance: instance, FailureDomain: failureDomain}),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// start picks a target and counts the request as sent to it. Call ended when it is over.
func (p *Picker) start(state *snapshot.State, route *snapshot.Route, tried []string) (platform.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	choice, err := p.chooser.Pick(now, p.rng, state, route, tried)
	if err != nil {
		return platform.Instance{}, err
	}
	p.chooser.Started(now, choice.Instance.Name)
	return choice.Instance, nil
}

// startRanked picks the holder that a refusal named, if it is usable, or else the usable instance that rank puts first.
func (p *Picker) startRanked(state *snapshot.State, route *snapshot.Route, rank func([]string) string, holder string, tried []string) (platform.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	usable := map[string]platform.Instance{}
	var names []string
	for _, c := range p.chooser.Explain(now, state, route) {
		if c.Verdict == pick.Usable && !slices.Contains(tried, c.Instance.Name) {
			usable[c.Instance.Name] = c.Instance
			names = append(names, c.Instance.Name)
		}
	}
	if len(names) == 0 {
		return platform.Instance{}, &pick.Refusal{Service: route.Service, Reason: pick.NoneUsable}
	}
	name := rank(names)
	if _, ok := usable[holder]; ok {
		name = holder
	}
	p.chooser.Started(now, name)
	return usable[name], nil
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
