package proxy

import (
	"time"

	"github.com/chervilwell/chervilwell/balance"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// links holds a pacer for each other region. The frontend's lock guards it.
type links map[string]*pacer.Pacer

func (l links) to(region string) *pacer.Pacer {
	p := l[region]
	if p == nil {
		p = &pacer.Pacer{}
		l[region] = p
	}
	return p
}

// toll says what a request of some size meets on the way to a region: the delay there now, and whether it has to keep off the link.
// The own region has none.
func (f *Frontend) toll(req *request) func(region string) (delay time.Duration, closed bool) {
	return func(region string) (time.Duration, bool) {
		p := f.links[region]
		if p == nil {
			return 0, false
		}
		wait := p.Wait(clock.Now(), len(req.body))
		if wait > 0 {
			req.linkBack = wait
		}
		return p.Delay(), wait > 0
	}
}

// crossed notes a request that was sent to another region, with the delay that it met if it is small enough to show it.
func (f *Frontend) crossed(req *request, t *mesh.Target, place balance.Place, o *outcome, took time.Duration) {
	if place != balance.OtherRegion || o.load == nil {
		return
	}
	if len(req.body)+len(o.body) < pacer.Large {
		f.links.to(t.Region).Observe(clock.Now(), took-o.held)
	}
}
