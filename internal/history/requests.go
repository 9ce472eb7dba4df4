package history

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/bench"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// CheckAnswers checks that no call ended with an answer that does not belong to its request.
func CheckAnswers(calls []bench.Call) error {
	for _, c := range calls {
		if c.Ending == bench.Wrong {
			return errors.Errorf("call %q received a wrong answer via %q", c.ID, c.Via)
		}
	}
	return nil
}

// CheckNotRun checks that no attempt refused as "not run" was run by a target.
func CheckNotRun(calls []bench.Call, runs []standin.Run) error {
	ran := map[string]standin.Run{}
	for _, r := range runs {
		ran[r.Request+"#"+r.Attempt] = r
	}
	for _, c := range calls {
		if r, ok := ran[c.ID+"#"+c.Attempt]; ok && c.Ending == bench.NotRun {
			return errors.Errorf("call %q attempt %q was refused as not run (%q), but ran at %q", c.ID, c.Attempt, c.Reason, r.Target)
		}
	}
	return nil
}

// requestOp is an operation on a request that must not be retried: a run at a target, or a successful answer to a call.
type requestOp struct {
	id  string
	run bool
}

// onceRegister models, for each request, a register that permits at most one run and answers only after it.
var onceRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(op porcupine.Operation) string { return op.Input.(requestOp).id })
	},
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran := state.(bool)
		if input.(requestOp).run {
			return !ran, true
		}
		return ran, ran
	},
}

// CheckAtMostOnce checks that each request that must not be retried runs at most once, and that it ran before its call was
// answered. A run without an end counts as one hour long.
func CheckAtMostOnce(calls []bench.Call, runs []standin.Run) error {
	noRetry := map[string]bool{}
	var ops []porcupine.Operation
	for _, c := range calls {
		if !c.Stream.NoRetry {
			continue
		}
		noRetry[c.ID] = true
		if c.Ending == bench.Good {
			ops = append(ops, porcupine.Operation{Input: requestOp{id: c.ID}, Call: c.Start.UnixNano(), Return: c.Start.Add(c.Latency).UnixNano()})
		}
	}
	count := map[string]int{}
	for _, r := range runs {
		if !noRetry[r.Request] {
			continue
		}
		count[r.Request]++
		end := r.Stop
		if end.IsZero() {
			end = r.Start.Add(time.Hour)
		}
		ops = append(ops, porcupine.Operation{Input: requestOp{id: r.Request, run: true}, Call: r.Start.UnixNano(), Return: end.UnixNano()})
	}
	if porcupine.CheckOperations(onceRegister, ops) {
		return nil
	}
	for id, n := range count {
		if n > 1 {
			return errors.Errorf("request %q ran %d times", id, n)
		}
	}
	return errors.New("a call was answered successfully although its request had not run")
}

// Window is an interval in which a target must receive no new requests, apart from a grace period at its start.
type Window struct {
	From, Until time.Time
}

// CheckNoNewWork checks that no run starts at a target that has been out of service, or draining, for longer than grace.
// The function outOfService returns these intervals of a target.
func CheckNoNewWork(runs []standin.Run, outOfService func(target string) []Window, grace time.Duration) error {
	for _, r := range runs {
		for _, w := range outOfService(r.Target) {
			if r.Start.After(w.From.Add(grace)) && r.Start.Before(w.Until) {
				return errors.Errorf("request %q started at %q, %v after the target was taken out of service", r.Request, r.Target, r.Start.Sub(w.From))
			}
		}
	}
	return nil
}

// CheckGracefulStop checks that a planned stop interrupts no request: no connection is cut, and no request has an unknown
// outcome. Numbered attempts of one request count together: its outcome is unknown only if none of them succeeded.
func CheckGracefulStop(calls []bench.Call) error {
	answered := map[string]bool{}
	for _, c := range calls {
		if c.Ending == bench.Good {
			answered[c.ID] = true
		}
	}
	for _, c := range calls {
		settled := c.Attempt != "" && answered[c.ID]
		if c.Ending == bench.Cut || (c.Ending == bench.Unknown && !settled) {
			return errors.Errorf("call %q was interrupted via %q: %s", c.ID, c.Via, c.Reason)
		}
	}
	return nil
}

// CheckHomeRegions checks that requests bound to regions run only there. The function bound returns the regions of a request,
// or nil if it may run anywhere.
func CheckHomeRegions(runs []standin.Run, regionOf func(target string) string, bound func(request string) []string) error {
	for _, r := range runs {
		homeRegions := bound(r.Request)
		if homeRegions == nil {
			continue
		}
		at := regionOf(r.Target)
		allowed := false
		for _, h := range homeRegions {
			allowed = allowed || h == at
		}
		if !allowed {
			return errors.Errorf("request %q is bound to %v, but ran at %q in %q", r.Request, homeRegions, r.Target, at)
		}
	}
	return nil
}

// CheckColdStart checks that a target whose cold start began at coldStart never runs more requests concurrently than its
// capacity: limits.ColdSlots at first, rising linearly to limits.Slots over limits.ColdPeriod.
func CheckColdStart(runs []standin.Run, target string, coldStart time.Time, limits catalogue.ServiceLimits) error {
	for _, r := range runs {
		age := r.Start.Sub(coldStart)
		if r.Target != target || age < 0 || age >= limits.ColdPeriod.Std() {
			continue
		}
		capacity := limits.ColdSlots + int(float64(limits.Slots-limits.ColdSlots)*age.Seconds()/limits.ColdPeriod.Std().Seconds())
		if n := inFlight(runs, target, coldStart, r.Start); n > capacity {
			return errors.Errorf("target %q ran %d requests concurrently, %v after its cold start; its capacity was %d", target, n, age, capacity)
		}
	}
	return nil
}

// inFlight returns the number of runs in progress at a target at a given time, counting only those started since its cold start.
func inFlight(runs []standin.Run, target string, coldStart, at time.Time) int {
	n := 0
	for _, r := range runs {
		if r.Target == target && !r.Start.Before(coldStart) && !r.Start.After(at) && (r.Stop.IsZero() || r.Stop.After(at)) {
			n++
		}
	}
	return n
}
