package follow

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/rank"
)

// Limits of joining.
const (
	// joinFanout is the number of starting processes that fetch the full state from one peer. It is smaller than fanout,
	// because each of them costs the peer's link a full configuration.
	joinFanout = 4
	// joinWait is the time to wait for a peer that may be starting too. It covers some reads of a long configuration over
	// narrow links, one after the other.
	joinWait = 2500 * time.Millisecond
	// joinConnectTimeout is the time allowed for a connection to such a peer, before the next one is tried.
	joinConnectTimeout = 300 * time.Millisecond
)

// join fetches the full state from a process of this region if the store is in another one: otherwise all processes that start
// together would fill the link between the regions with the same configuration. It reports whether it succeeded, and does
// nothing if called again.
func (f *Follower) join(ctx context.Context) bool {
	if f.cfg.Peers == nil || f.joinTried || !f.empty() {
		return false
	}
	f.joinTried = true
	targets, err := f.cfg.Source.Targets(ctx)
	if err != nil || !f.cfg.Source.Remote() {
		return false // the caller lists the store, which returns the error
	}
	var addrs []netip.Addr
	for _, t := range targets {
		if t.Target != nil && t.Target.Region == f.cfg.Region {
			addrs = append(addrs, t.Target.Addr.Addr())
		}
	}
	order := slices.Compact(f.order(addrs)) // an instance may have entries of several incarnations
	for _, ancestor := range rank.Ancestors(slices.Index(order, f.cfg.Self.String()), joinFanout) {
		addr, err := netip.ParseAddr(order[ancestor])
		if err == nil && f.joinFrom(ctx, addr) {
			return true
		}
	}
	return false
}

// joinFrom waits until the process at addr has the full state and applies it. It reports whether it succeeded.
func (f *Follower) joinFrom(ctx context.Context, addr netip.Addr) bool {
	start := clock.Now()
	update, err := f.fetch(ctx, addr, PollRequest{Wait: joinWait, WaitIfStale: true, ConnectWithin: joinConnectTimeout})
	if err == nil && (update.Revision == 0 || update.age() >= f.maxAge()) {
		err = ErrStale
	}
	if err == nil {
		err = f.applyUpdate(addr, update)
	}
	if err != nil {
		f.cfg.Log.Info().Stringer("parent", addr).Dur("age", 0).Dur("took", clock.Now().Sub(start)).Err(err).Msg(events.ParentNotUsed)
		return false
	}
	f.synced.Store(true)
	f.cfg.Log.Info().Stringer("peer", addr).Uint64("revision", update.Revision).Dur("age", update.age()).Msg(events.StateReadFromPeer)
	return true
}
