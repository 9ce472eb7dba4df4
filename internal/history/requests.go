package history

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/bench"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// Answers checks that every caller got the whole answer to its own request or was told otherwise.
func Answers(calls []bench.Call) error {
	for _, c := range calls {
		if c.Ending == bench.Wrong {
			return errors.Errorf("call %q got an answer that is not its own, via %q", c.ID, c.Via)
		}
	}
	return nil
}

// NotRun checks that a refusal that says "not run" is true, by the attempt's runs.
func NotRun(calls []bench.Call, runs []standin.Run) error {
	ran := map[string]standin.Run{}
	for _, r := range runs {
		ran[r.Request+"#"+r.Attempt] = r
	}
	for _, c := range calls {
		if r, ok := ran[c.ID+"#"+c.Attempt]; ok && c.Ending == bench.NotRun {
			return errors.Errorf("call %q attempt %q was told %q, but ran at %q", c.ID, c.Attempt, c.Reason, r.Target)
		}
	}
	return nil
}

// keyOp is an operation on a request that must not be repeated: its run, or an answer to one of its callers.
type keyOp struct {
	id  string
	run bool
}

// onceRegister is a register of each request: it runs at most once, and is answered only after it ran.
var onceRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(op porcupine.Operation) string { return op.Input.(keyOp).id })
	},
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran := state.(bool)
		if input.(keyOp).run {
			return !ran, true
		}
		return ran, ran
	},
}

// AtMostOnce checks that a request that must not be repeated runs at most once, and that it ran before its caller was
// answered.
func AtMostOnce(calls []bench.Call, runs []standin.Run) error {
	never := map[string]bool{}
	var ops []porcupine.Operation
	for _, c := range calls {
		if !c.Stream.Never {
			continue
		}
		never[c.ID] = true
		if c.Ending == bench.Good {
			ops = append(ops, porcupine.Operation{Input: keyOp{id: c.ID}, Call: c.Start.UnixNano(), Return: c.Start.Add(c.Latency).UnixNano()})
		}
	}
	count := map[string]int{}
	for _, r := range runs {
		if !never[r.Request] {
			continue
		}
		count[r.Request]++
		stop := r.Stop
		if stop.IsZero() {
			stop = r.Start.Add(time.Hour)
		}
		ops = append(ops, porcupine.Operation{Input: keyOp{id: r.Request, run: true}, Call: r.Start.UnixNano(), Return: stop.UnixNano()})
	}
	if porcupine.CheckOperations(onceRegister, ops) {
		return nil
	}
	for id, n := range count {
		if n > 1 {
			return errors.Errorf("request %q ran %d times", id, n)
		}
	}
	return errors.New("a caller was answered for a request that had not run")
}

// Window is a time in which a place takes no new work.
type Window struct {
	From, Until time.Time
}

// NoNewWork checks that no run starts at a target while its place has been out of service, or leaving, for longer than grace.
func NoNewWork(runs []standin.Run, out func(target string) []Window, grace time.Duration) error {
	for _, r := range runs {
		for _, w := range out(r.Target) {
			if r.Start.After(w.From.Add(grace)) && r.Start.Before(w.Until) {
				return errors.Errorf("request %q started at %q, %v after it was taken out", r.Request, r.Target, r.Start.Sub(w.From))
			}
		}
	}
	return nil
}

// GracefulStop checks that a planned stop cuts no request: no connection breaks off, and no request is left in doubt. A
// caller's numbered sends of one request count together: the request is in doubt if none of them was answered.
func GracefulStop(calls []bench.Call) error {
	answered := map[string]bool{}
	for _, c := range calls {
		if c.Ending == bench.Good {
			answered[c.ID] = true
		}
	}
	for _, c := range calls {
		settled := c.Attempt != "" && answered[c.ID]
		if c.Ending == bench.Cut || (c.Ending == bench.Unknown && !settled) {
			return errors.Errorf("call %q was cut via %q: %s", c.ID, c.Via, c.Reason)
		}
	}
	return nil
}

// HomeRegions checks that requests bound to regions run nowhere else. The bound function returns the regions of a request, or
// nil if it may run anywhere.
func HomeRegions(runs []standin.Run, regionOf func(target string) string, bound func(request string) []string) error {
	for _, r := range runs {
		homes := bound(r.Request)
		if homes == nil {
			continue
		}
		at := regionOf(r.Target)
		allowed := false
		for _, h := range homes {
			allowed = allowed || h == at
		}
		if !allowed {
			return errors.Errorf("request %q is bound to %v, but ran at %q in %q", r.Request, homes, r.Target, at)
		}
	}
	return nil
}

// ColdBearing checks that a target in a cold start that began at cold runs no more at once than it bears: the cold slots,
// rising to all slots over the cold period.
func ColdBearing(runs []standin.Run, target string, cold time.Time, limits catalogue.ServiceLimits) error {
	for _, r := range runs {
		age := r.Start.Sub(cold)
		if r.Target != target || age < 0 || age >= limits.ColdPeriod.Std() {
			continue
		}
		bears := limits.ColdSlots + int(float64(limits.Slots-limits.ColdSlots)*age.Seconds()/limits.ColdPeriod.Std().Seconds())
		if n := inFlight(runs, target, cold, r.Start); n > bears {
			return errors.Errorf("target %q runs %d at once, %v after its cold start; it bears %d", target, n, age, bears)
		}
	}
	return nil
}

// inFlight counts the runs at a target at one moment, of those that began after its cold start.
func inFlight(runs []standin.Run, target string, cold, at time.Time) int {
	n := 0
	for _, r := range runs {
		if r.Target == target && !r.Start.Before(cold) && !r.Start.After(at) && (r.Stop.IsZero() || r.Stop.After(at)) {
			n++
		}
	}
	return n
}
