package bench

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/internal/standin"
)

// Verdict summarises calls and compares the responses that callers received with the requests that targets ran.
type Verdict struct {
	Calls int
	// Good counts calls with the ending Good.
	Good int
	// Endings counts all calls by ending.
	Endings map[Ending]int
	// Cut counts calls with the ending Cut, Unknown or Wrong.
	Cut int
	// DoubleRuns counts calls of streams with NoRetry set that ran more than once.
	DoubleRuns int
	// FalseNotRun counts calls with the ending NotRun that ran.
	FalseNotRun int
	// Latency holds the latencies of good calls.
	Latency *Latency
}

// NewVerdict compares calls with the runs that the ledger of the targets holds for them.
func NewVerdict(calls []Call, ledger *standin.Ledger) Verdict {
	v := Verdict{Endings: map[Ending]int{}, Latency: NewLatency()}
	for _, c := range calls {
		v.add(c, len(ledger.Runs(c.ID)))
	}
	return v
}

// add adds one call that ran the given number of times.
func (v *Verdict) add(c Call, runs int) {
	v.Calls++
	v.Endings[c.Ending]++
	switch c.Ending {
	case Good:
		v.Good++
		v.Latency.Record(c.Latency)
	case Cut, Unknown, Wrong:
		v.Cut++
	case NotRun:
		if runs > 0 {
			v.FalseNotRun++
		}
	}
	if c.Stream.NoRetry && runs > 1 {
		v.DoubleRuns++
	}
}

// Success returns the fraction of calls, from 0 to 1, with the ending Good; 0 without calls.
func (v *Verdict) Success() float64 {
	if v.Calls == 0 {
		return 0
	}
	return float64(v.Good) / float64(v.Calls)
}

// FailureDetails counts the calls without the ending Good by second of their start (after start), stream, instance, ending
// and reason.
func FailureDetails(calls []Call, start time.Time) map[string]int {
	out := map[string]int{}
	for _, c := range calls {
		if c.Ending != Good {
			out[fmt.Sprintf("%02ds %s via %s: %s %s", int(c.Start.Sub(start)/time.Second), c.Stream.Name, c.Via, c.Ending, c.Reason)]++
		}
	}
	return out
}

// EndingCounts counts calls by stream, ending and kind of refusal.
func EndingCounts(calls []Call) map[string]int {
	out := map[string]int{}
	for _, c := range calls {
		out[fmt.Sprintf("%s %s %s", c.Stream.Name, c.Ending, c.Kind)]++
	}
	return out
}

// SuccessCurve returns the fraction of calls with the ending Good for each second of their start, counted from start.
// Seconds without calls have no point.
func SuccessCurve(name string, calls []Call, start time.Time) Series {
	var all, good []int
	for _, c := range calls {
		second := max(0, int(c.Start.Sub(start)/time.Second))
		for len(all) <= second {
			all, good = append(all, 0), append(good, 0)
		}
		all[second]++
		if c.Ending == Good {
			good[second]++
		}
	}
	s := Series{Name: name}
	for i := range all {
		if all[i] > 0 {
			s.Points = append(s.Points, Point{X: float64(i), Y: float64(good[i]) / float64(all[i])})
		}
	}
	return s
}
