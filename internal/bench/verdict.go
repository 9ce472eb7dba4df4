package bench

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/internal/standin"
)

// Verdict compares what callers were told with what ran.
type Verdict struct {
	Calls   int
	Good    int
	Endings map[Ending]int
	// Cut counts calls that were broken off or told that they may have run.
	Cut int
	// DoubleRuns counts calls that must not be repeated and ran more than once.
	DoubleRuns int
	// FalseNotRun counts calls that were told that they did not run, but ran.
	FalseNotRun int
	Latency     *Latency
}

// Judge compares calls with the ledger.
func Judge(calls []Call, ledger *standin.Ledger) Verdict {
	v := Verdict{Endings: map[Ending]int{}, Latency: NewLatency()}
	for _, c := range calls {
		v.add(c, len(ledger.Runs(c.ID)))
	}
	return v
}

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
	if c.Stream.Never && runs > 1 {
		v.DoubleRuns++
	}
}

// Success returns the part of calls that ended well.
func (v *Verdict) Success() float64 {
	if v.Calls == 0 {
		return 0
	}
	return float64(v.Good) / float64(v.Calls)
}

// Details counts the calls that did not end well by stream, ending and second of their start.
func Details(calls []Call, start time.Time) map[string]int {
	out := map[string]int{}
	for _, c := range calls {
		if c.Ending != Good {
			out[fmt.Sprintf("%02ds %s via %s: %s %s", int(c.Start.Sub(start)/time.Second), c.Stream.Name, c.Via, c.Ending, c.Reason)]++
		}
	}
	return out
}

// Summary counts calls by stream, ending and kind of refusal.
func Summary(calls []Call) map[string]int {
	out := map[string]int{}
	for _, c := range calls {
		out[fmt.Sprintf("%s %s %s", c.Stream.Name, c.Ending, c.Kind)]++
	}
	return out
}

// SuccessCurve returns the part of calls that ended well for each second of their start.
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
