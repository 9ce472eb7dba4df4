package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/retry"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	budget := retry.NewBudget()

	failure := retry.Failure{Retry: catalogue.RetryNever, NotRun: true, Deadline: now.Add(time.Second)}
	fmt.Println(retry.Decide(now, rng, budget, failure))

	failure.NotRun = false
	d := retry.Decide(now, rng, budget, failure)
	fmt.Println(d)
	fmt.Println(d.Reason.Remedy())
	// Output:
	// retry after 0s (not-run)
	// no retry (may-have-run)
	// ask the service whether the request ran, or send it again with the same Idempotency-Key
}
