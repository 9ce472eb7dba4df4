package admission

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/fairshare"
)

// Indexes of the classes, most urgent first.
const (
	critical = iota
	interactive
	background
	numClasses
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

// otherFlow is the name of the flow shared by all organisations without a share of their own.
const otherFlow = ""

// entry is a request that waits or runs.
type entry struct {
	request   Request
	flow      *flow
	class     int
	kind      *ewma
	arrived   time.Time
	started   time.Time
	running   bool
	responded bool
	// charged is the slot-time in seconds charged to the flow when the request was granted.
	charged    float64
	prev, next *entry
}

// flow is the state of one organisation in the fair queue. Virtual time is slot-time in seconds divided by weight.
type flow struct {
	fairshare.Flow
	name     string
	waiting  [numClasses][]*entry
	queued   int
	inFlight int
	// serviceTime is the mean slot-time of the flow's requests of cost 1.
	serviceTime ewma
}

// head returns the next request of the flow to run, and its class after promotion by waiting time.
func (f *flow) head(now time.Time) (*entry, int) {
	var best *entry
	bestClass := numClasses
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

// newest returns the most recent request in the flow's least urgent class that has any; nil if none waits.
func (f *flow) newest() *entry {
	for c := numClasses - 1; c >= 0; c-- {
		if q := f.waiting[c]; len(q) > 0 {
			return q[len(q)-1]
		}
	}
	return nil
}

// fairQueue is a start-time fair queue over organisations, with a bounded preference by class.
//
// The flow with the lowest start tag, adjusted by the class of its head, is served first. The preference is a constant: an
// organisation that marks every request critical moves ahead once by that constant, and its rate does not change.
type fairQueue struct {
	flows      map[string]*flow
	backlogged []*flow
	shares     Shares
	clock      fairshare.Clock
	queued     int
	// classPreference is the virtual time by which a class is preferred to the next one.
	classPreference float64
	// idleCredit is the virtual time by which a flow that used less than its share may lag behind the others.
	idleCredit float64
}

func newFairQueue(shares Shares) *fairQueue {
	q := &fairQueue{flows: map[string]*flow{}}
	q.setShares(shares)
	return q
}

// setShares changes the weights. Flows with waiting or running requests keep their start tags.
func (q *fairQueue) setShares(shares Shares) {
	q.shares = make(Shares, len(shares))
	for name, share := range shares {
		if share > 0 {
			q.shares[name] = share
		}
	}
	for name, f := range q.flows {
		f.Weight = q.weight(name)
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
		f = &flow{name: organisation, Flow: fairshare.Flow{Weight: q.weight(organisation)}}
		q.flows[organisation] = f
	}
	return f
}

func (q *fairQueue) push(e *entry) {
	f := e.flow
	if f.queued == 0 {
		q.activate(f)
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

// next returns the next request to run without removing it; nil if the queue is empty.
func (q *fairQueue) next(now time.Time) *entry {
	var best *entry
	var bestKey float64
	for _, f := range q.backlogged {
		e, class := f.head(now)
		key := f.Tag + float64(class)*q.classPreference
		if best == nil || key < bestKey || (key == bestKey && e.arrived.Before(best.arrived)) {
			best, bestKey = e, key
		}
	}
	return best
}

// activate advances a flow without waiting requests to the current virtual time, less the credit for having used less
// than its share.
func (q *fairQueue) activate(f *flow) { q.clock.Activate(&f.Flow, q.idleCredit) }

// charge adds the expected slot-time of a request that is granted now.
func (q *fairQueue) charge(e *entry, seconds float64) {
	f := e.flow
	q.clock.Advance(q.minStartTag(f.Tag))
	e.charged = seconds
	f.Charge(seconds)
	f.inFlight++
}

// minStartTag returns the lowest start tag of the waiting flows, at most startTag.
func (q *fairQueue) minStartTag(startTag float64) float64 {
	for _, f := range q.backlogged {
		startTag = min(startTag, f.Tag)
	}
	return startTag
}

// settle replaces the expected slot-time of an ended request by its actual slot-time.
func (q *fairQueue) settle(e *entry, seconds float64) {
	e.flow.Charge(seconds - e.charged)
	e.flow.inFlight--
}

// activeWeight returns the sum of the weights of the waiting flows and of f.
func (q *fairQueue) activeWeight(f *flow) float64 {
	sum := 0.0
	if f.queued == 0 {
		sum = f.Weight
	}
	for _, b := range q.backlogged {
		sum += b.Weight
	}
	return sum
}

// victim returns the request to drop from a full queue for a new one of flow f, or nil if f itself exceeds its part of
// the queue the most.
func (q *fairQueue) victim(f *flow, capacity int) *entry {
	sum := q.activeWeight(f)
	fairPart := func(b *flow) float64 { return max(1, float64(capacity)*b.Weight/sum) }
	var worst *flow
	worstRatio := max(1, float64(f.queued+1)/fairPart(f))
	for _, b := range q.backlogged {
		if ratio := float64(b.queued) / fairPart(b); b != f && ratio > worstRatio {
			worst, worstRatio = b, ratio
		}
	}
	if worst == nil {
		return nil
	}
	return worst.newest()
}
