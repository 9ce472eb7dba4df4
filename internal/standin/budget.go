package standin

import "golang.org/x/time/rate"

// SetBudget replaces the read budget, in calls per second over all readers; 0 means unlimited. The burst is one second of
// the budget, and at least 1.
func (p *Platform) SetBudget(readsPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = nil
	if readsPerSecond > 0 {
		p.budget = rate.NewLimiter(rate.Limit(readsPerSecond), max(1, int(readsPerSecond)))
	}
}
