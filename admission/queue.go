package admission

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

// The classes as indexes, most urgent first.
const (
	critical = iota
	interactive
	background
	classes
)

func classIndex(c catalogue.Class) int {
	switch c {
	case catalogue.Critical:
		return critical
	case catalogue.Background:
		return background
	}
	return interactive
}

// otherFlow is the name of the flow that organisations without a share have in common.
const otherFlow = ""

// entry is a request that waits or runs.
type entry struct {
	request   Request
	flow      *flow
	class     int
	kind      *average
	arrived   time.Time
	started   time.Time
	running   bool
	responded bool
	// charged is the slot-time in seconds charged to the flow when the request was granted.
	charged    float64
	prev, next *entry
}

// flow is an organisation's state in the fair queue. Virtual time is slot-time in seconds divided by weight.
type flow struct {
	name   string
	weight float64
	// start is the virtual time at which the flow's next request starts.
	start    float64
	waiting  [classes][]*entry
	queued   int
	inFlight int
	// service is the mean slot-time of the flow's requests of cost 1.
	service average
}

// head returns the request that the flow would run next and its class after promotion by waiting time.
func (f *flow) head(now time.Time) (*entry, int) {
	var best *entry
	bestClass := classes
	for c := range f.waiting {
		if len(f.waiting[c]) == 0 {
			continue
		}
		e := f.waiting[c][0]
		if promoted := promote(c, now.Sub(e.arrived)); promoted < bestClass || best == nil ||
			(promoted == bestClass && e.arrived.Before(best.arrived)) {
			best, bestClass = e, promoted
		}
	}
	return best, bestClass
}

func promote(class int, waited time.Duration) int {
	return max(critical, class-int(waited/promoteAfter))
}

func (f *flow) remove(e *entry) {
	q := f.waiting[e.class]
	i := slices.Index(q, e)
	f.waiting[e.class] = slices.Delete(q, i, i+1)
	f.queued--
}

// newest returns the least urgent request of the flow that came last.
func (f *flow) newest() *entry {
	for c := classes - 1; c >= 0; c-- {
		if q := f.waiting[c]; len(q) > 0 {
			return q[len(q)-1]
		}
	}
	return nil
}

// fairQueue is a start-time fair queue over organisations, with bounded preference by class.
//
// The flow with the least start tag minus its head's preference goes first. A preference is a constant, so marking every
// request critical moves a flow ahead once by that constant and never changes its rate.
type fairQueue struct {
	flows      map[string]*flow
	backlogged []*flow
	shares     Shares
	virtual    float64
	queued     int
	// preference is the virtual time by which one class goes before the next.
	preference float64
	// credit is the virtual time by which a flow that used less than its share may lag behind the others.
	credit float64
}

func newFairQueue(shares Shares) *fairQueue {
	q := &fairQueue{flows: map[string]*flow{}}
	q.setShares(shares)
	return q
}

// setShares changes the weights. Flows that wait or run keep their place.
func (q *fairQueue) setShares(shares Shares) {
	q.shares = make(Shares, len(shares))
	for name, share := range shares {
		if share > 0 {
			q.shares[name] = share
		}
	}
	for name, f := range q.flows {
		f.weight = q.weight(name)
		if _, known := q.shares[name]; !known && f.queued == 0 && f.inFlight == 0 {
			delete(q.flows, name)
		}
	}
}

func (q *fairQueue) weight(name string) float64 {
	if share, ok := q.shares[name]; ok {
		return share
	}
	return OtherShare
}

func (q *fairQueue) flow(organisation string) *flow {
	if _, known := q.shares[organisation]; !known {
		organisation = otherFlow
	}
	f := q.flows[organisation]
	if f == nil {
		f = &flow{name: organisation, weight: q.weight(organisation)}
		q.flows[organisation] = f
	}
	return f
}

func (q *fairQueue) push(e *entry) {
	f := e.flow
	if f.queued == 0 {
		q.begin(f)
		q.backlogged = append(q.backlogged, f)
	}
	f.waiting[e.class] = append(f.waiting[e.class], e)
	f.queued++
	q.queued++
}

func (q *fairQueue) remove(e *entry) {
	e.flow.remove(e)
	q.queued--
	if e.flow.queued == 0 {
		i := slices.Index(q.backlogged, e.flow)
		q.backlogged = slices.Delete(q.backlogged, i, i+1)
	}
}

// next returns the request to run next, or nil. It stays in the queue.
func (q *fairQueue) next(now time.Time) *entry {
	var best *entry
	var bestKey float64
	for _, f := range q.backlogged {
		e, class := f.head(now)
		key := f.start + float64(class)*q.preference
		if best == nil || key < bestKey || (key == bestKey && e.arrived.Before(best.arrived)) {
			best, bestKey = e, key
		}
	}
	return best
}

// begin brings a flow that did not wait up to the present virtual time, less the credit that it has from using less than
// its share.
func (q *fairQueue) begin(f *flow) { f.start = max(f.start, q.virtual-q.credit) }

// charge accounts the expected slot-time of a request that is granted now.
func (q *fairQueue) charge(e *entry, seconds float64) {
	f := e.flow
	q.virtual = max(q.virtual, q.floor(f.start))
	e.charged = seconds
	f.start += seconds / f.weight
	f.inFlight++
}

// floor returns the least start tag of the waiting flows, at most start.
func (q *fairQueue) floor(start float64) float64 {
	for _, f := range q.backlogged {
		start = min(start, f.start)
	}
	return start
}

// settle replaces the expected slot-time of an ended request by the time it really took.
func (q *fairQueue) settle(e *entry, seconds float64) {
	e.flow.start += (seconds - e.charged) / e.flow.weight
	e.flow.inFlight--
}

// weights returns the sum of the weights of the flows that wait, and of f.
func (q *fairQueue) weights(f *flow) float64 {
	sum := 0.0
	if f.queued == 0 {
		sum = f.weight
	}
	for _, b := range q.backlogged {
		sum += b.weight
	}
	return sum
}

// victim returns the request that gives way to a newcomer of flow f when all places are taken, or nil if f itself is the
// flow that is furthest over its part of the places.
func (q *fairQueue) victim(f *flow, places int) *entry {
	sum := q.weights(f)
	part := func(b *flow) float64 { return max(1, float64(places)*b.weight/sum) }
	var most *flow
	mostOver := max(1, float64(f.queued+1)/part(f))
	for _, b := range q.backlogged {
		if over := float64(b.queued) / part(b); b != f && over > mostOver {
			most, mostOver = b, over
		}
	}
	if most == nil {
		return nil
	}
	return most.newest()
}
