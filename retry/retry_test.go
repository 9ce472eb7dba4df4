package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/catalogue"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestDecide(t *testing.T) {
	far := epoch.Add(time.Second)
	cases := []struct {
		name string
		f    Failure
		want Reason
	}{
		{"never retried, not run", Failure{Retry: catalogue.RetryNever, NotRun: true, Deadline: far}, NotRun},
		{"never retried, unknown", Failure{Retry: catalogue.RetryNever, Deadline: far}, MayHaveRun},
		{"safe, unknown", Failure{Retry: catalogue.RetrySafe, Deadline: far}, Idempotent},
		{"policy unset, unknown", Failure{Deadline: far}, MayHaveRun},
		{"body consumed", Failure{Retry: catalogue.RetrySafe, BodyConsumed: true, Deadline: far}, BodyConsumed},
		{"final", Failure{Retry: catalogue.RetrySafe, Final: true, Deadline: far}, FinalAnswer},
		{"spent", Failure{Retry: catalogue.RetrySafe, Retries: MaxRetries, Deadline: far}, AttemptsSpent},
		{"deadline near", Failure{Retry: catalogue.RetrySafe, Deadline: epoch.Add(time.Millisecond)}, DeadlineTooNear},
	}
	for _, c := range cases {
		d := Decide(epoch, rand.New(rand.NewPCG(1, 2)), NewBudget(), c.f)
		if d.Reason != c.want || d.Retry != (c.want == NotRun || c.want == Idempotent) {
			t.Errorf("%s: %v, want %s", c.name, d, c.want)
		}
	}
}

func TestTimeoutShrinksWithEachHop(t *testing.T) {
	deadline, left := epoch.Add(100*time.Millisecond), 100*time.Millisecond
	for range MaxDepth {
		next := Timeout(deadline.Add(-left), deadline, SameRegion)
		if next >= left {
			t.Fatalf("timeout %v after %v", next, left)
		}
		left = next
	}
	if got := Timeout(deadline, deadline, AcrossRegions); got != 0 {
		t.Fatalf("timeout %v at the deadline", got)
	}
}

// call simulates a chain of processes, of which each fails at random, and counts the runs of the last one.
func call(t *rapid.T, depth int, b []*Budget, count Count, runs *int) (ok bool, spent Count) {
	for {
		if depth == 0 {
			*runs++
			ok = rapid.Bool().Draw(t, "ok")
		} else {
			ok, spent = call(t, depth-1, b, count, runs)
			count = count.Merge(spent)
		}
		if ok {
			b[depth].RecordSuccess()
			return true, count
		}
		d := Decide(epoch, rand.New(rand.NewPCG(1, 2)), b[depth], Failure{
			Retry: catalogue.RetrySafe, Retries: count, Deadline: epoch.Add(time.Second),
		})
		count = d.Retries
		if !d.Retry {
			return false, count
		}
	}
}

// Nested calls up to MaxDepth must not make more retries together than a single call.
func TestNestedCallsShareTheirRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budgets []*Budget
		for range MaxDepth {
			budgets = append(budgets, NewBudget())
		}
		runs := 0
		call(t, MaxDepth-1, budgets, 0, &runs)
		if runs > 1+MaxRetries {
			t.Fatalf("%d runs", runs)
		}
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, r := NewBudget(), rand.New(rand.NewPCG(1, 2))
		successes, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess()
				successes++
				continue
			}
			if Decide(epoch, r, b, Failure{Retry: catalogue.RetrySafe, Deadline: epoch.Add(time.Second)}).Retry {
				retries++
			}
		}
		if float64(retries) > Burst+Ratio*float64(successes)+1e-9 {
			t.Fatalf("%d retries after %d successes", retries, successes)
		}
	})
}

func TestAttemptTimeout(t *testing.T) {
	cases := []struct {
		name    string
		left    time.Duration
		policy  catalogue.RetryPolicy
		retries Count
		want    time.Duration
	}{
		{"safe", 800 * time.Millisecond, catalogue.RetrySafe, 0, 400 * time.Millisecond},
		{"never", 800 * time.Millisecond, catalogue.RetryNever, 0, 800 * time.Millisecond},
		{"last", 800 * time.Millisecond, catalogue.RetrySafe, MaxRetries, 800 * time.Millisecond},
		{"short", 150 * time.Millisecond, catalogue.RetrySafe, 0, 150 * time.Millisecond},
		{"past", -time.Second, catalogue.RetrySafe, 0, 0},
	}
	for _, c := range cases {
		if got := AttemptTimeout(epoch, epoch.Add(c.left), c.policy, c.retries); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
