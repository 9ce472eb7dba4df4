package gate

import (
	"time"

	"github.com/chervilwell/chervilwell/fairshare"
)

// creditTime is the time whose part of the target an organisation may catch up on after it has used less than its share. Quotas commonly
// allow bursts of as long.
const creditTime = time.Second

// maxFlows is the number of organisations at which those that are not behind any more are forgotten. They begin at the present again.
const maxFlows = 1024

// shares orders the requests of organisations that wait for the same target, so that one that sends many times its share does not
// keep out the others. Requests without organisations have no tag, and keep their order of arrival.
type shares struct {
	clock fairshare.Clock
	// credit is the virtual time by which an organisation may be behind the others. If the weights of all sum to 1, it is the
	// slot-time of the target in creditTime.
	credit float64
	flows  map[string]*fairshare.Flow
}

func newShares(slots int) shares {
	return shares{credit: creditTime.Seconds() * float64(slots), flows: map[string]*fairshare.Flow{}}
}

// flow returns the account of a request's organisation at the present, or nil if it has none.
func (s *shares) flow(r *Request) *fairshare.Flow {
	if r.Weight <= 0 {
		return nil
	}
	f := s.flows[r.Flow]
	if f == nil {
		if len(s.flows) >= maxFlows {
			s.forget()
		}
		f = &fairshare.Flow{Tag: s.clock.Now()}
		s.flows[r.Flow] = f
	}
	f.Weight = r.Weight
	s.clock.Activate(f, s.credit)
	return f
}

// forget drops the accounts that hold no more than the present.
func (s *shares) forget() {
	for name, f := range s.flows {
		if f.Tag <= s.clock.Now() {
			delete(s.flows, name)
		}
	}
}

// tag sets the virtual time at which a request would start, without charging it.
func (s *shares) tag(r *Request) {
	if r.Weight <= 0 {
		return
	}
	r.tag = s.clock.Now()
	if f := s.flows[r.Flow]; f != nil {
		r.tag = max(r.tag-s.credit, f.Tag)
	}
}

// charge charges a request that runs or is queued to its organisation, at its expected running time.
func (s *shares) charge(r *Request) {
	if f := s.flow(r); f != nil {
		f.Charge(r.runTime.Seconds())
	}
}

// refund takes back the charge of a request that does not run.
func (s *shares) refund(r *Request) {
	if f := s.flow(r); f != nil {
		f.Charge(-r.runTime.Seconds())
	}
}

// started moves the virtual time to a request that starts.
func (s *shares) started(r *Request) {
	if r.Weight > 0 {
		s.clock.Advance(r.tag)
	}
}
