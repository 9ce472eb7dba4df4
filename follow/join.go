package follow

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/rank"
)

// Figures of a start.
const (
	// joinFanout is the number of starting processes that take everything from one. Each of them costs that one's link a whole
	// configuration, so that it is smaller than fanout.
	joinFanout = 4
	// joinWait is how long a starting process waits at one that may be starting too: some reads of a long configuration over narrow
	// links, one after the other.
	joinWait = 2500 * time.Millisecond
)

// join takes everything from a process of the own region if the store is in another one: all who start at once would fill the link
// between the regions with the same configuration. It reports whether it did; it is tried once.
func (f *Follower) join(ctx context.Context) bool {
	if f.cfg.Peers == nil || f.tried || f.Revision() > 0 {
		return false
	}
	f.tried = true
	targets, err := f.cfg.Source.Targets(ctx)
	if err != nil || !f.cfg.Source.Far() {
		return false // the store is read as a whole, and tells what is wrong
	}
	var machines []netip.Addr
	for _, t := range targets {
		if t.Target != nil && t.Target.Region == f.cfg.Region {
			machines = append(machines, t.Target.Addr.Addr())
		}
	}
	order := slices.Compact(f.order(machines)) // a machine may carry entries of several lives
	for _, above := range rank.Ancestors(slices.Index(order, f.cfg.Self.String()), joinFanout) {
		addr, err := netip.ParseAddr(order[above])
		if err == nil && f.joinFrom(ctx, addr) {
			return true
		}
	}
	return false
}

// joinFrom waits until a process knows everything and takes it.
func (f *Follower) joinFrom(ctx context.Context, addr netip.Addr) bool {
	known, err := f.ask(ctx, addr, Question{Wait: joinWait, Patient: true})
	if err == nil && (known.Revision == 0 || known.age() >= f.maxAge()) {
		err = ErrStale
	}
	if err == nil {
		err = f.learn(known)
	}
	if err != nil {
		f.cfg.Log.Info().Stringer("parent", addr).Dur("age", 0).Err(err).Msg(events.ParentShunned)
		return false
	}
	f.hear(known.age())
	f.listed = true
	f.cfg.Log.Info().Stringer("peer", addr).Uint64("revision", known.Revision).Dur("age", known.age()).Msg(events.LearntFromPeer)
	return true
}
