package frontend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/retry"
)

// retryBudgets holds the retry budget of each service. It serializes calls of package retry, which does no locking.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
	rng     *rand.Rand
}

func (b *retryBudgets) succeeded(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).RecordSuccess()
}

func (b *retryBudgets) decide(service string, f retry.Failure) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.get(service)
	return retry.Decide(time.Now(), b.rng, budget, f)
}

// remaining returns the number of retries that a service's budget allows now.
func (b *retryBudgets) remaining(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Remaining()
}

// get returns the budget of a service, creating it if needed. It must be called with b.mu held.
func (b *retryBudgets) get(service string) *retry.Budget {
	if b.budgets == nil {
		b.budgets = map[string]*retry.Budget{}
		b.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	budget, ok := b.budgets[service]
	if !ok {
		budget = retry.NewBudget()
		b.budgets[service] = budget
	}
	return budget
}
