package balance

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/mesh"
)

// Limits and weights of what is known of the room of a service in a region.
const (
	// roomWeight is the least EWMA weight of a report, and roomHalfLife the half-life with which the estimates fade
	// without new ones.
	roomWeight   = 0.3
	roomHalfLife = 2 * time.Second
	// A region with bound work is full from fullShare of its slots on: the rest is what an average burst of callers takes. It has
	// room again below roomyShare. Between the two, the share of unbound requests that leaves it stays as it is, so that those
	// that come back do not fill it at once.
	fullShare  = 0.85
	roomyShare = 0.65
	// leavePerSecond and returnPerSecond are the rates at which the share of unbound requests that leaves a region changes. Reports
	// follow a change within a few hundred milliseconds.
	leavePerSecond  = 1.0
	returnPerSecond = 0.25
	// reportedShare is the share from which on it is reported that unbound requests leave.
	reportedShare = 0.25
	// maxRoomStep bounds the time that one report accounts for.
	maxRoomStep = 250 * time.Millisecond
	// displacedCost is the cost, in requests, of an unbound request in a full region: a bound one waits or is refused for it.
	displacedCost = 1.0
	// announcedRefusals is the share of refusals in another region from which on bodies are announced to it. minAnnouncedBytes is
	// the length below which an announcement, and the connection that a refusal ends, cost more than the body.
	announcedRefusals = 0.25
	minAnnouncedBytes = 1500
)

// room is how full the targets of a service in one region are, by all reports of theirs. What a process knows of each target is
// mostly older than the load; it hears of the region with each response.
type room struct {
	region string
	// fill is the number of running and waiting requests divided by that of the slots, refused the share of requests that the gates
	// refused; both are EWMAs as of at.
	fill, refused float64
	at            time.Time
	// leaving is the share of the unbound requests that leaves the region, from 0 to 1. reported is set once this has been reported.
	leaving  float64
	reported bool
}

// RoomChange states that unbound requests begin to leave a region to those that are bound to it, or that the last of them are back.
type RoomChange struct {
	Service, Region string
	// Fill is the number of running and waiting requests per slot.
	Fill    float64
	Leaving bool
}

// decayed returns a value as of now.
func (r *room) decayed(now time.Time, value float64) float64 {
	return value * decay(max(now.Sub(r.at), 0), roomHalfLife)
}

// roomOf returns the room of a service in a region, or nil if nothing is known of it.
func (b *Balancer) roomOf(service, region string) *room {
	for _, r := range b.rooms[service] {
		if r.region == region {
			return r
		}
	}
	return nil
}

// observeRoom adds a response of a target to the room of its service in its region.
func (b *Balancer) observeRoom(now time.Time, t *mesh.Target, load *gate.Load, refused bool) *RoomChange {
	r := b.roomOf(t.Service, t.Region)
	if r == nil {
		if len(b.rooms) > maxTargets {
			clear(b.rooms)
		}
		r = &room{region: t.Region, at: now}
		b.rooms[t.Service] = append(b.rooms[t.Service], r)
	}
	if load.Slots <= 0 || now.Before(r.at) {
		return nil
	}
	sample := 0.0
	if refused {
		sample = 1
	}
	step := min(now.Sub(r.at), maxRoomStep).Seconds()
	fill := min(float64(load.Running+load.Waiting)/float64(load.Slots), 2)
	weight := max(roomWeight, 1-decay(now.Sub(r.at), roomHalfLife)) // the older the estimates are, the less they weigh
	r.fill += weight * (fill - r.fill)
	r.refused += weight * (sample - r.refused)
	r.leaving = r.decayed(now.Add(-maxRoomStep), r.leaving)
	r.at = now
	return b.adjust(now, t.Service, r, step)
}

// adjust changes the share of unbound requests that leaves a region by what the last step in seconds allows.
func (b *Balancer) adjust(now time.Time, service string, r *room, step float64) *RoomChange {
	switch {
	case r.fill >= fullShare && b.roomElsewhere(now, service, r):
		r.leaving = min(r.leaving+leavePerSecond*step, 1)
	case r.fill < roomyShare || !b.roomElsewhere(now, service, r):
		r.leaving = max(r.leaving-returnPerSecond*step, 0)
	}
	if r.reported && r.leaving > 0 || !r.reported && r.leaving < reportedShare {
		return nil
	}
	r.reported = !r.reported
	return &RoomChange{Service: service, Region: r.region, Fill: r.fill, Leaving: r.reported}
}

// roomElsewhere reports whether a service has a region that is less full. One that nothing is known of counts as empty.
func (b *Balancer) roomElsewhere(now time.Time, service string, r *room) bool {
	others := b.rooms[service]
	return len(others) == 1 || slices.ContainsFunc(others, func(other *room) bool {
		return other != r && other.decayed(now, other.fill) < min(r.fill, fullShare)
	})
}

// regionsToLeave returns the regions whose room an unbound request leaves to those that are bound to them.
func (b *Balancer) regionsToLeave(a Attempt) []string {
	if len(a.Route.HomeRegions) > 0 || a.Organisation != nil && len(a.Organisation.HomeRegions) > 0 || a.State.Config == nil {
		return nil
	}
	var out []string
	for _, region := range a.State.Config.BoundRegions(a.Service) {
		if r := b.roomOf(a.Service, region); r != nil && r.leaving > 0 && b.rng.Float64() < r.decayed(a.Now.Add(-maxRoomStep), r.leaving) {
			out = append(out, region)
		}
	}
	return out
}

// announces reports whether a body is announced before it is sent to another region, since the targets there are likely to refuse
// it. Bodies that are refused on arrival would fill the link between the regions when it is needed.
func (b *Balancer) announces(a Attempt, c Choice) bool {
	if c.Distance != OtherRegion || a.Bytes < minAnnouncedBytes {
		return false
	}
	r := b.roomOf(a.Service, c.Target.Region)
	return r != nil && r.decayed(a.Now, r.refused) >= announcedRefusals
}
