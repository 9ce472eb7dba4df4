// Package budget bounds the repeats that a process sends to a service, so that all processes together stay within a part of
// the service's requests.
//
// The package is pure: the caller passes the time.
package budget

import "time"

// Terms bound the repeats.
type Terms struct {
	// Ratio is the number of repeats allowed for each request of the process within Window.
	Ratio float64
	// Slack is the number of repeats allowed in each Window besides.
	Slack  float64
	Window time.Duration
}

// cells is the number of steps in which a window slides.
const cells = 10

// cell counts what happened in one step.
type cell struct {
	step              int64
	requests, repeats float64
}

// Budget counts the requests and repeats for one service. It is not safe for concurrent use.
//
// Invariant: over any Window the repeats allowed stay within Slack and Ratio times the requests of that window.
type Budget struct{ ring [cells + 1]cell }

// Request notes a request, of which a first arrival is expected.
func (b *Budget) Request(now time.Time, t Terms) { b.at(now, t).requests++ }

// Spend reports whether one more repeat is allowed, and counts it if so.
func (b *Budget) Spend(now time.Time, t Terms) bool {
	step := stepOf(now, t)
	var requests, repeats float64
	for i := range b.ring {
		if c := &b.ring[i]; c.step > step-cells-1 && c.step <= step {
			repeats += c.repeats
			if c.step > step-cells {
				requests += c.requests
			}
		}
	}
	if repeats+1 > t.Slack+t.Ratio*requests {
		return false
	}
	b.at(now, t).repeats++
	return true
}

func stepOf(now time.Time, t Terms) int64 { return now.UnixNano() / int64(t.Window/cells) }

func (b *Budget) at(now time.Time, t Terms) *cell {
	step := stepOf(now, t)
	c := &b.ring[step%int64(len(b.ring))]
	if c.step != step {
		*c = cell{step: step}
	}
	return c
}
