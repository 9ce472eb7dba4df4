// Package fairshare keeps the virtual times of start-time fair queueing, by which flows with different weights share a resource.
//
// Virtual time is the cost of requests divided by the weight of their flow. A flow that has used less than its share is behind and
// goes first; one that sends many times its share waits behind the others, however much it sends.
//
// The package does no I/O and reads no clock. Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996.
package fairshare

// Flow is the account of one flow.
type Flow struct {
	// Weight is the share of the flow relative to the others; it must be above 0.
	Weight float64
	// Tag is the virtual time at which the flow's next request starts.
	Tag float64
}

// Charge adds the cost of a request, and returns the virtual time at which the request starts. A negative cost corrects an earlier one.
func (f *Flow) Charge(cost float64) float64 {
	start := f.Tag
	f.Tag += cost / f.Weight
	return start
}

// Clock holds the virtual time of a resource. It never goes back.
type Clock struct{ virtual float64 }

// Now returns the virtual time.
func (c *Clock) Now() float64 { return c.virtual }

// Advance moves the virtual time to the tag of a request that starts.
func (c *Clock) Advance(tag float64) { c.virtual = max(c.virtual, tag) }

// Activate moves a flow without waiting requests to the present, so that a time without requests earns it at most credit.
func (c *Clock) Activate(f *Flow, credit float64) { f.Tag = max(f.Tag, c.virtual-credit) }
