package frontend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/retry"
)

// retryBudgets holds the retry budget of each service and serializes the pure decisions on it.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
	rng     *rand.Rand
}

func (b *retryBudgets) succeeded(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Succeeded()
}

func (b *retryBudgets) decide(service string, f retry.Failure) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(service)
	return retry.Decide(time.Now(), b.rng, budget, f)
}

// left returns the number of retries that the budget of a service allows now.
func (b *retryBudgets) left(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Left()
}

// of returns the budget of a service. The caller holds the lock.
func (b *retryBudgets) of(service string) *retry.Budget {
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
