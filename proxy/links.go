package proxy

import (
	"time"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// links holds a pacer for each other region. It is guarded by Frontend.mu.
type links map[string]*pacer.Pacer

// pacerFor returns the pacer of a region and creates it if necessary.
func (l links) pacerFor(region string) *pacer.Pacer {
	p := l[region]
	if p == nil {
		p = &pacer.Pacer{}
		l[region] = p
	}
	return p
}

// linkState returns a function that reports, for the link to a region, the current queueing delay and whether the request
// has to avoid the link. For the local region it returns zero values. The function must be called with f.mu held.
func (f *Frontend) linkState(req *request) func(region string) (delay time.Duration, closed bool) {
	return func(region string) (time.Duration, bool) {
		p := f.links[region]
		if p == nil {
			return 0, false
		}
		wait := p.Wait(clock.Now(), len(req.body))
		if wait > 0 {
			req.linkRetryAfter = wait
		}
		return p.QueueingDelay(), wait > 0
	}
}

// observeLink records the delay of a request that was sent to another region if the request and response are small enough to
// measure it.
func (f *Frontend) observeLink(req *request, t *mesh.Target, distance balance.Distance, o *outcome, took time.Duration) {
	if distance != balance.OtherRegion || o.load == nil {
		return
	}
	if len(req.body)+len(o.body) < pacer.LargeMessageBytes {
		f.links.pacerFor(t.Region).Observe(clock.Now(), took-o.gatekeeperTime)
	}
}
