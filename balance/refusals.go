package balance

import (
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// Limits and weights of the refusals in other regions.
const (
	// refusalWeight is the least EWMA weight of a response, and refusalHalfLife the half-life with which the share fades without new
	// ones.
	refusalWeight   = 0.3
	refusalHalfLife = 2 * time.Second
	// announcedRefusals is the share of refusals in another region from which on bodies are announced to it. minAnnouncedBytes is
	// the length below which an announcement, and the connection that a refusal ends, cost more than the body.
	announcedRefusals = 0.25
	minAnnouncedBytes = 1500
)

// refusals is the share of a service's requests that the gates in one region refuse, by the responses of all its targets there. What a
// process knows of a single target is mostly older than the load; it hears of the region with each response.
type refusals struct {
	region string
	// share is an EWMA as of at.
	share float64
	at    time.Time
}

// current returns the share as of now.
func (r *refusals) current(now time.Time) float64 {
	return r.share * decay(max(now.Sub(r.at), 0), refusalHalfLife)
}

// refusalsOf returns the refusals of a service in a region, or nil if nothing is known of them.
func (b *Balancer) refusalsOf(service, region string) *refusals {
	for _, r := range b.refusals[service] {
		if r.region == region {
			return r
		}
	}
	return nil
}

// observeRefusal adds a response of a target's gate to the refusals of its service in its region.
func (b *Balancer) observeRefusal(now time.Time, t *mesh.Target, refused bool) {
	r := b.refusalsOf(t.Service, t.Region)
	if r == nil {
		if len(b.refusals) > maxTargets {
			clear(b.refusals)
		}
		r = &refusals{region: t.Region, at: now}
		b.refusals[t.Service] = append(b.refusals[t.Service], r)
	}
	if now.Before(r.at) {
		return
	}
	sample := 0.0
	if refused {
		sample = 1
	}
	weight := max(refusalWeight, 1-decay(now.Sub(r.at), refusalHalfLife)) // the older the share is, the less it weighs
	r.share += weight * (sample - r.share)
	r.at = now
}

// announces reports whether a body is announced before it is sent to another region, since the targets there are likely to refuse
// it. Bodies that are refused on arrival would fill the link between the regions when it is needed.
func (b *Balancer) announces(a Attempt, c Choice) bool {
	if c.Distance != OtherRegion || a.Bytes < minAnnouncedBytes {
		return false
	}
	r := b.refusalsOf(a.Service, c.Target.Region)
	return r != nil && r.current(a.Now) >= announcedRefusals
}
