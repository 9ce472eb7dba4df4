package follow

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/rank"
)

// Limits of joining.
const (
	// joinFanout is the number of members that fetch the full state from one member of the tree of a start. It is smaller than
	// fanout, because each of them costs the peer's link a full configuration.
	joinFanout = 4
	// joinWait is the time to wait for a peer that may be starting too. It covers some reads of a long configuration over
	// narrow links, one after the other.
	joinWait = 2500 * time.Millisecond
	// joinConnectTimeout is the time allowed for a connection to such a peer, before the next one is tried.
	joinConnectTimeout = 300 * time.Millisecond
	// joinRetryTime is the time for which refused calls to such peers are repeated, every joinRetryInterval: processes that start
	// together open their listeners within some tenths of a second.
	joinRetryTime     = 300 * time.Millisecond
	joinRetryInterval = 25 * time.Millisecond
)

// join fetches the full state from a process of this region: if all processes that start together read the store, they would wait for
// its link, and for the one between the regions, which carry the same entries for each of them. A sample of the targets names the
// members of a tree that supplies the state; the first of them lists the store. join reports whether it succeeded. It does nothing if
// called again before a listing of the store has failed.
func (f *Follower) join(ctx context.Context) bool {
	if f.cfg.Peers == nil || f.joinTried || !f.empty() {
		return false
	}
	f.joinTried = true
	sample, err := f.cfg.Source.Sample(ctx)
	if err != nil {
		return false // the caller lists the store, which returns the error
	}
	var members []string
	for _, t := range sample {
		if t.Target != nil && t.Target.Region == f.cfg.Region {
			members = append(members, t.Target.Addr.Addr().String())
		}
	}
	members = slices.Compact(rank.Sort(f.cfg.Region, members)) // an instance may have entries of several incarnations
	retryUntil := clock.Now().Add(joinRetryTime)
	for _, supplier := range suppliers(members, f.cfg.Self.String()) {
		addr, err := netip.ParseAddr(supplier)
		if err == nil && f.joinFrom(ctx, addr, retryUntil) {
			return true
		}
	}
	return false
}

// suppliers returns the members of the tree, in rank order, from which a process fetches the full state, nearest first. It is empty for the
// first member. A process that is no member fetches it from a member that has no other members to supply.
func suppliers(members []string, self string) []string {
	var positions []int
	if position := slices.Index(members, self); position >= 0 {
		positions = rank.Ancestors(position, joinFanout)
	} else if len(members) > 0 {
		leaf := rank.Parent(len(members)-1, joinFanout) + 1
		leaf += int(rank.Score("join", self) % uint64(len(members)-leaf))
		positions = append([]int{leaf}, rank.Ancestors(leaf, joinFanout)...)
	}
	out := make([]string, 0, len(positions))
	for _, p := range positions {
		out = append(out, members[p])
	}
	return out
}

// joinFrom waits until the process at addr has the full state and applies it. It reports whether it succeeded. A call that fails is
// repeated until retryUntil, since the process may be about to start.
func (f *Follower) joinFrom(ctx context.Context, addr netip.Addr, retryUntil time.Time) bool {
	start, q := clock.Now(), PollRequest{Wait: joinWait, WaitIfStale: true, ConnectWithin: joinConnectTimeout}
	update, err := f.fetch(ctx, addr, q)
	for err != nil && ctx.Err() == nil && clock.Now().Before(retryUntil) {
		_ = periodic.Sleep(ctx, f.jitter(joinRetryInterval))
		update, err = f.fetch(ctx, addr, q)
	}
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
