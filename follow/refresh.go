package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/periodic"
)

// Limits and intervals of the refresher. The shares are fractions of Config.ApplyWithin.
const (
	// refreshShare is the age from which on the state is refreshed. It lies above the age at which a failed parent is detected
	// and its replacement polled.
	refreshShare = 0.6
	// refreshIntervalShare is the pause between two calls of the refresher.
	refreshIntervalShare = 0.1
	// refreshSpreadShare is the time over which processes that become stale at the same time spread their first store reads, so
	// that most of them get the state from a peer that has read it.
	refreshSpreadShare = 0.15
	// storeReadShare is the time after which the store is first read again although the last read has not returned.
	storeReadShare = 0.25
	// maxStoreReads and maxPeerReads bound the calls of the refresher at any time.
	maxStoreReads = 2
	maxPeerReads  = 3
	// pollsPerPeer is the number of polls of one peer in a row.
	pollsPerPeer = 2
)

// refresh reads the store and random peers while the last known contact with the store is older than refreshShare, no matter what
// the calls of Serve are waiting for. It returns when ctx ends.
func (f *Follower) refresh(ctx context.Context) {
	var storeReads, peerReads errgroup.Group
	storeReads.SetLimit(maxStoreReads)
	peerReads.SetLimit(maxPeerReads)
	for ctx.Err() == nil {
		if f.empty() { // Serve reads the first state
			_ = periodic.Sleep(ctx, f.share(refreshIntervalShare))
			continue
		}
		if fresh := f.share(refreshShare) - f.Age(); fresh > 0 {
			_ = periodic.Sleep(ctx, fresh)
			continue
		}
		nextStoreRead := clock.Now().Add(f.randomUpTo(f.share(refreshSpreadShare)))
		for backoff := f.share(storeReadShare); ctx.Err() == nil && f.Age() >= f.share(refreshShare); {
			if now := clock.Now(); now.Before(nextStoreRead) || !f.mayReadStore() || f.cfg.Source.Receiving() {
				peerReads.TryGo(func() error { f.refreshFromPeer(ctx); return nil })
			} else {
				storeReads.TryGo(func() error { f.refreshFromStore(ctx); return nil })
				nextStoreRead = now.Add(f.jitter(backoff))
				backoff = min(2*backoff, f.maxReadBackoff())
			}
			_ = periodic.Sleep(ctx, f.jitter(f.share(refreshIntervalShare)))
		}
	}
}

// maxReadBackoff returns the longest pause between two reads of the store. A process to which no other responds depends on the store.
func (f *Follower) maxReadBackoff() time.Duration {
	if f.isolated() {
		return f.share(storeReadShare)
	}
	return f.share(maxReadBackoffShare)
}

// refreshFromStore reads the changes of the store, or all of it if the changes are no longer available.
func (f *Follower) refreshFromStore(ctx context.Context) {
	err := f.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		err = f.list(ctx)
	}
	if err != nil && ctx.Err() == nil {
		f.storeFailed(err)
	}
}

// refreshFromPeer polls a random process, and again if the state is still too old after its reply: the connection is open now, and
// the peer replies as soon as it has a newer contact with the store.
func (f *Follower) refreshFromPeer(ctx context.Context) {
	addrs := f.cfg.Holder.Load().InstanceAddrs("")
	if f.cfg.Peers == nil || len(addrs) == 0 {
		return
	}
	peer := f.randomAddr(addrs)
	if peer == f.cfg.Self {
		return
	}
	for range pollsPerPeer {
		update, err := f.fetch(ctx, peer, PollRequest{Wait: f.share(stalePollShare), WaitIfStale: true})
		if err != nil {
			return // the next call picks another peer
		}
		f.useUpdate(peer, update)
		if f.Age() < f.share(refreshShare) {
			return
		}
	}
}

// useUpdate applies an update that no step of Serve waits for, unless the state here is newer.
func (f *Follower) useUpdate(peer netip.Addr, update *stateUpdate) {
	before := f.Position()
	if before.After(update.position()) || update.position() == before && update.age() >= f.Age() {
		return
	}
	if err := f.applyUpdate(peer, update); err != nil {
		f.cfg.Log.Warn().Stringer("from", peer).Err(err).Msg(events.PeerMalformed)
		return
	}
	f.cfg.Log.Info().Stringer("peer", peer).Uint64("revision", update.Revision).Dur("age", update.age()).Msg(events.StateReadFromPeer)
}

// randomUpTo returns a random duration below d.
func (f *Follower) randomUpTo(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.cfg.Rand.Float64() * float64(d))
}
