// Package follow keeps the mesh state of a process up to date with the store.
//
// The processes of a region form a relay tree. Those with wider links come first, and among equals the order is that of rendezvous
// hashing, so that it is the same for all processes that know of the same instances and links. A process has as many children as its
// link can send a long change to in time. The root of the tree watches the store, or, if the store is in another region, long-polls
// the root there. The others long-poll their parent. All polls are answered with patches, which are much smaller than the entries that
// the store sends. If the root does not respond, its standby, the first process in that order from another failure domain, takes its
// place, and the others poll the standby. If none of these responds, or if their state is too old, the other processes read the store
// in turn.
//
// These steps are taken one after the other, each with a time-out of its own. The time within which a change arrives does not
// depend on their sum: once the last known contact with the store is too old, a process also reads the store and random peers, at
// the same time and without waiting for earlier calls, until one of them has a newer contact.
package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/mesh"
)

// Errors of a Source.
var (
	// ErrCompacted is returned if the store no longer has the history after the given revision. The caller must list again.
	ErrCompacted = errors.New("store no longer has the history after this revision; list all entries again")
	// ErrUnavailable is returned if the store did not respond or returned an error status. The caller keeps its state and
	// retries.
	ErrUnavailable = errors.New("store is unavailable; keeping the current state and retrying after a back-off")
)

// Source reads the store. Its errors wrap ErrCompacted or ErrUnavailable, are those of the context, or report a malformed
// response.
type Source interface {
	// List returns all entries, and the position to watch from.
	List(ctx context.Context) ([]mesh.Entry, mesh.Position, error)
	// Sample returns the entries of a part of the targets, the same part for all processes, or of all if these are few. They name
	// peers that can supply the rest. The entries may be some seconds old.
	Sample(ctx context.Context) ([]mesh.Entry, error)
	// Remote reports whether the store called so far is in another region.
	Remote() bool
	// Receiving reports whether a response of List or Watch is arriving. Over a narrow link this may take seconds, and another call
	// would delay it.
	Receiving() bool
	// Watch returns the entries changed after a position as soon as there are any, or none after wait, and the position
	// reached.
	Watch(ctx context.Context, after mesh.Position, wait time.Duration) ([]mesh.Entry, mesh.Position, error)
}

// Peers calls other processes.
type Peers interface {
	// Fetch returns the encoded state update of the process at addr.
	Fetch(ctx context.Context, addr netip.Addr, q PollRequest) ([]byte, error)
}

// PollRequest asks a process for the changes after a position.
type PollRequest struct {
	After mesh.Position
	// Wait is the time for which the peer may hold the request open until there is a change.
	Wait time.Duration
	// WaitIfStale makes the peer wait even if its state is too old to be followed, since it may be about to read the store.
	WaitIfStale bool
	// Age is the time since the last contact with the store that the requester knows of. The peer does not wait if it knows of a
	// newer one.
	Age time.Duration
	// Links are the reports of links for the peer: first that of the requester, then those of others if the peer has other ones.
	// LinksDigest identifies those that the requester knows.
	Links       []linkReport
	LinksDigest uint64
	// ConnectWithin is the time allowed for a new connection; 0 means that of the client.
	ConnectWithin time.Duration
}

// Limits and intervals of the follower. The shares are fractions of Config.ApplyWithin.
const (
	// waitShare is the wait of a watch or poll. A watch that has stopped delivering events is thus replaced in time.
	waitShare = 0.35
	// maxAgeShare is the age up to which a parent's state is followed. It leaves time to read the store instead, and lies
	// above waitShare, so that a parent is not stale merely because the store has no changes.
	maxAgeShare = 0.55
	// overdueShare is the age from which the next store response is overdue: by then a watch has ended and its result was
	// relayed.
	overdueShare = 0.4
	// stalePollShare is the wait at a peer that may be reading the store, used if the parent's state is stale. It covers
	// several versions of a long configuration over a narrow link. A process does not rely on the remaining time for its own
	// store read: the refresher makes one meanwhile.
	stalePollShare = 0.33
	// ejectionTime is the time for which a parent is not polled after a failure.
	ejectionTime = 3 * time.Second
	// awayTime is the time for which another region is known to be away from the store.
	awayTime = time.Minute
	// fanout is the largest number of children of a parent, and that of one whose link is unknown. Each child sends it one request per
	// waitShare. minFanout is the smallest one.
	fanout    = 24
	minFanout = 4
	// longChange is the size in bytes of a long change, as sent between processes. A parent has as many children as its link sends
	// such a change to within longChangeShare.
	longChange      = 64 << 10
	longChangeShare = 0.1
	// watchPause is the pause after a watch that ended early before the next one, which batches further changes and bounds the
	// rate of calls. It is a small part of ApplyWithin.
	watchPause = 150 * time.Millisecond
	// pollPause is the pause after an update from a parent before the next poll, which batches changes in quick succession.
	pollPause = 50 * time.Millisecond
	// maxEmptyReplies is the number of consecutive replies without waiting and without changes at which a parent is ejected.
	maxEmptyReplies = 3
	// minBackoff and maxBackoff bound the pauses between calls to an unavailable store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// minExpiryOutage is the length of a store outage from which on entries of live targets may have expired. Entries outlive
	// shorter outages.
	minExpiryOutage = 2 * time.Second
	// slowReply is the time on the way from which on a reply is logged as slow.
	slowReply = 200 * time.Millisecond
)

// storeName is the name of the store as a source of the state in logs.
const storeName = "store"

// Config holds the dependencies and settings of a Follower.
type Config struct {
	Source Source
	// Peers may be nil; the process then reads the store itself.
	Peers  Peers
	Holder *mesh.Holder
	// Decode decodes an entry from the bytes stored in the store.
	Decode func(key string, revision uint64, raw []byte) (mesh.Entry, error)
	// Self is the address of this instance, Region its region.
	Self   netip.Addr
	Region string
	// LinkRate returns the rate, in bytes per second, that the link of this instance has for the state of other processes; 0 if
	// unknown. It may be nil.
	LinkRate func() float64
	// Reserve reserves memory for a response of a number of bytes to the request with the given context; release returns it. The request is
	// refused if there is none. Reserve may be nil.
	Reserve func(ctx context.Context, bytes int64) (release func(), ok bool)
	// ApplyWithin is the time within which a change has to be in force.
	ApplyWithin time.Duration
	// Changed, if not nil, is called after each change of the state.
	Changed func(*mesh.State)
	Log     zerolog.Logger
	// Metrics may be nil.
	Metrics *Metrics
	// Rand is used with the follower's mutex held, so that it need not be safe for concurrent use.
	Rand *rand.Rand
}

// Follower keeps the mesh state up to date. Serve must be called once only.
type Follower struct {
	cfg Config

	mu      sync.Mutex
	replica *mesh.Replica
	// changed is closed and replaced at each change of the state and each contact with the store.
	changed chan struct{}
	// encoding holds a value while an update is being encoded.
	encoding chan struct{}
	// fullBytes is the length of the encoding of the last update with the full state. It is guarded by encoding.
	fullBytes int64
	// patches holds the patches encoded last.
	patches map[patchID]cbor.RawMessage
	// links holds what is known of the links of all processes.
	links *links
	// lastContact is the time of the last known contact with the store, of this process or the peers that it follows: the state is
	// complete as of that time. It is never later than the response was sent, however long that was on its way.
	lastContact time.Time
	// unavailableSince is the start of the current store outage, at first the time of New; zero if the store responds or is not called.
	unavailableSince time.Time

	// synced is set once the state is complete as of some position, and cleared if the store no longer has the history after
	// it.
	synced atomic.Bool
	// joinTried is set once this process has tried to take the full state from a peer instead of the store.
	joinTried bool
	// listFailed is set while this process has no state because the store could not be listed.
	listFailed bool
	// emptyReplies counts consecutive replies of the parent without waiting and without changes.
	emptyReplies int
	// ejected maps parents that failed to the end of their ejection.
	ejected map[netip.Addr]time.Time
	// awayUntil maps the regions that are away from the store to the time until which they are assumed to be.
	awayUntil map[string]time.Time
	// lastReply is the time of the last response of another process, at first the time of New.
	lastReply time.Time
}

// New returns a follower with an empty state.
func New(cfg Config) *Follower {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	f := &Follower{
		cfg: cfg, replica: mesh.NewReplica(), changed: make(chan struct{}), encoding: make(chan struct{}, 1), unavailableSince: clock.Now(),
		ejected: map[netip.Addr]time.Time{}, awayUntil: map[string]time.Time{}, links: newLinks(cfg.Self),
		patches: map[patchID]cbor.RawMessage{},
	}
	f.lastReply = f.unavailableSince
	f.lastContact = f.unavailableSince.Add(-f.maxAge()) // no peer follows a process without contact with the store
	return f
}

// Serve updates the state until ctx ends and returns the context's error. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	go f.refresh(ctx)
	go f.exchangeAsRoot(ctx)
	backoff := minBackoff
	listed := false // the last successful call was a listing
	for ctx.Err() == nil {
		if parent, ok := f.parent(); ok {
			f.pollParent(ctx, parent)
			continue
		}
		if !f.synced.Load() && f.join(ctx) {
			continue
		}
		wasSynced := f.synced.Load()
		if wasSynced && (!f.mayReadStore() || f.cfg.Source.Receiving()) {
			f.refreshFromPeer(ctx) // a process that polls nobody would take itself for isolated
			_ = periodic.Sleep(ctx, f.share(refreshIntervalShare))
			continue
		}
		err := f.readStore(ctx)
		switch {
		case err == nil && wasSynced:
			backoff, listed = minBackoff, false
			continue
		case err == nil:
			listed = true
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrCompacted):
			f.synced.Store(false)
			if !listed {
				continue
			}
			// The listing did not help, and the next one may not either.
		default:
			f.storeFailed(err)
			f.joinTried = false
		}
		_ = periodic.Sleep(ctx, f.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// Position returns the position of the store up to which the state is complete.
func (f *Follower) Position() mesh.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Position()
}

// empty reports whether there is no state yet.
func (f *Follower) empty() bool { return f.Position().Revision == 0 }

// fetch returns the changes that the process at addr has after the revision of this one. The time on the way counts towards the
// age of the update.
func (f *Follower) fetch(ctx context.Context, addr netip.Addr, q PollRequest) (*stateUpdate, error) {
	start := clock.Now()
	q.After, q.Age = f.Position(), f.Age()
	f.updateLinks()
	q.Links, q.LinksDigest = f.links.forPeer(addr), f.links.digest()
	data, err := f.cfg.Peers.Fetch(ctx, addr, q)
	if err != nil {
		return nil, err
	}
	f.noteReply()
	update, err := decodeStateUpdate(data)
	if err != nil {
		return nil, err
	}
	f.links.merge(update.Links)
	f.links.notePeer(addr, update.LinksDigest)
	took := clock.Now().Sub(start)
	f.logSlowReply(addr.String(), took, update.held(), update.Revision)
	f.noteReceived(fromPeer, addr.String(), len(data), start, update.position())
	update.AgeUs += max(took-update.held(), 0).Microseconds()
	return update, nil
}

// updateLinks brings the reports of links in line with the local link and the list of instances.
func (f *Follower) updateLinks() {
	if f.cfg.LinkRate != nil {
		f.links.setOwn(linkClass(f.cfg.LinkRate()))
	}
	if state := f.cfg.Holder.Load(); state.Position.Revision > 0 {
		f.links.retain(state)
	}
}

// logSlowReply logs a reply that took much longer than the peer, or the store, held the request.
func (f *Follower) logSlowReply(from string, took, held time.Duration, revision uint64) {
	if took-held >= slowReply {
		f.cfg.Log.Info().Str("from", from).Dur("took", took).Dur("held", held).Uint64("revision", revision).Msg(events.SlowReply)
	}
}

// noteContact records a contact of a peer with the store that lies age in the past. A recent one ends an outage. It must be
// called with f.mu held.
func (f *Follower) noteContact(now time.Time, age time.Duration) {
	f.advanceContact(now.Add(-age))
	if age < f.maxAge() {
		f.endOutage(now)
	}
}

// advanceContact records a contact with the store at a time. It must be called with f.mu held.
func (f *Follower) advanceContact(at time.Time) {
	if at.After(f.lastContact) {
		f.lastContact = at
	}
}

// endOutage ends the current store outage, if any, and returns its length. After a long one, removals that the store reports may
// be expiries. It must be called with f.mu held.
func (f *Follower) endOutage(now time.Time) time.Duration {
	if f.unavailableSince.IsZero() {
		return 0
	}
	outage := now.Sub(f.unavailableSince)
	f.unavailableSince = time.Time{}
	if f.replica.Position().Revision > 0 && outage >= minExpiryOutage {
		f.replica.StoreRecovered(now)
	}
	return outage
}

// notify wakes the requests that wait for a change. It must be called with f.mu held.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Age returns the time since the last known contact with the store.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(clock.Now())
}

// age returns the time since the last known contact with the store. It must be called with f.mu held.
func (f *Follower) age(now time.Time) time.Duration { return now.Sub(f.lastContact) }

// share returns a fraction of the time within which a change has to be in force.
func (f *Follower) share(fraction float64) time.Duration {
	return time.Duration(fraction * float64(f.cfg.ApplyWithin))
}

// maxAge returns the age from which on the state of a process is not followed.
func (f *Follower) maxAge() time.Duration { return f.share(maxAgeShare) }

// readStore lists the store if the state is not synced, and otherwise watches it once.
func (f *Follower) readStore(ctx context.Context) error {
	if !f.synced.Load() {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// String returns the name of the service in the supervisor's logs.
func (f *Follower) String() string { return "follower" }

// list replaces the state by a full listing of the store.
func (f *Follower) list(ctx context.Context) error {
	start := clock.Now()
	entries, position, err := f.cfg.Source.List(ctx)
	if err != nil {
		return f.logFailedCall(start, err)
	}
	f.logSlowReply(storeName, clock.Now().Sub(start), 0, position.Revision)
	f.noteReceived(fromStore, storeName, contentBytes(entries), start, position)
	f.commit(storeName, func(now time.Time) bool {
		if position.Epoch >= f.replica.Position().Epoch {
			f.storeResponded(now, start)
		}
		return f.replace(now, storeName, entries, position)
	})
	f.synced.Store(true)
	return nil
}

// watch waits for changes in the store and applies them. It returns in time for the next expiry.
func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after := f.replica.Position()
	// Children may be waiting for a contact with the store, which is overdue from overdueShare on.
	wait := max(min(f.share(waitShare), f.share(overdueShare)-f.age(clock.Now())), 0)
	if next := f.replica.NextExpiry(); !next.IsZero() {
		wait = min(wait, max(next.Sub(clock.Now()), 0)+time.Millisecond)
	}
	f.mu.Unlock()
	start := clock.Now()
	entries, position, err := f.cfg.Source.Watch(ctx, after, wait)
	if err != nil {
		return f.logFailedCall(start, err)
	}
	took := clock.Now().Sub(start)
	f.logSlowReply(storeName, took, wait, position.Revision)
	f.noteReceived(fromStore, storeName, contentBytes(entries), start, position)
	contact := start // the response with changes may have been sent at once
	if len(entries) == 0 && took >= wait {
		contact = start.Add(wait)
	}
	f.commit(storeName, func(now time.Time) bool {
		if position.Epoch == f.replica.Position().Epoch {
			f.storeResponded(now, contact)
		}
		return f.replica.Apply(now, entries, position)
	})
	if len(entries) > 0 || took < wait {
		_ = periodic.Sleep(ctx, watchPause)
	}
	return nil
}

// replace applies a full listing from source and reports whether anything changed. It must be called with f.mu held.
func (f *Follower) replace(now time.Time, source string, entries []mesh.Entry, at mesh.Position) bool {
	known := f.replica.Position()
	switch {
	case known.After(at):
		f.cfg.Log.Info().Str("source", source).Uint64("epoch", at.Epoch).Uint64("revision", at.Revision).Uint64("before", known.Epoch).
			Uint64("known", known.Revision).Msg(events.ListingIgnored)
	case known.Revision > 0 && at.Epoch > known.Epoch:
		f.cfg.Log.Warn().Str("source", source).Uint64("epoch", at.Epoch).Uint64("revision", at.Revision).Uint64("before", known.Epoch).
			Uint64("known", known.Revision).Msg(events.StoreRestored)
	}
	return f.replica.Replace(now, entries, at)
}

// logFailedCall logs a call to the store that did not succeed and returns its error.
func (f *Follower) logFailedCall(start time.Time, err error) error {
	f.cfg.Log.Info().Dur("took", clock.Now().Sub(start)).Dur("age", f.Age()).Err(err).Msg(events.StoreCallFailed)
	return err
}

// commit applies change to the replica and puts the resulting state in force. The source is the peer that supplied the change,
// or the store. The change also records the contact with the store, so that no peer is told of a contact without the changes that
// came with it.
func (f *Follower) commit(source string, change func(now time.Time) bool) {
	f.mu.Lock()
	now, contactBefore := clock.Now(), f.lastContact
	changed := change(now)
	changed = f.replica.Expire(now) || changed
	var state *mesh.State
	if before := f.cfg.Holder.Load(); changed || f.replica.Position().After(before.Position) {
		state = f.replica.State()
		f.logChanges(source, before, state)
		f.cfg.Holder.Store(state)
	}
	if state != nil || f.lastContact.After(contactBefore) {
		f.notify()
	}
	f.mu.Unlock()
	if state != nil && f.cfg.Changed != nil {
		f.cfg.Changed(state)
	}
}

// logChanges logs the differences between two states, of which the later one came from source.
func (f *Follower) logChanges(source string, before, after *mesh.State) {
	log, revision := &f.cfg.Log, after.Position.Revision
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		log.Info().Uint64("config", after.Config.Version).Int("routes", len(after.Config.Routes)).
			Uint64("revision", revision).Str("source", source).Msg(events.ConfigInForce)
	}
	for domain := range after.OutOfService {
		if !before.OutOfService[domain] {
			log.Info().Str("domain", domain).Uint64("revision", revision).Msg(events.DomainOut)
		}
	}
	for domain := range before.OutOfService {
		if !after.OutOfService[domain] {
			log.Info().Str("domain", domain).Uint64("revision", revision).Msg(events.DomainBack)
		}
	}
	mesh.Compare(before, after, func(old, now *mesh.Target) {
		switch {
		case now == nil:
			log.Info().Str("target", old.ID).Str("service", old.Service).Stringer("addr", old.Addr).Str("domain", old.FailureDomain).
				Uint64("revision", revision).Msg(events.TargetGone)
		case now.Leaving:
			log.Info().Str("target", now.ID).Str("service", now.Service).Stringer("addr", now.Addr).Str("domain", now.FailureDomain).
				Uint64("revision", revision).Msg(events.TargetLeaving)
		default:
			log.Info().Str("target", now.ID).Str("service", now.Service).Stringer("addr", now.Addr).Str("domain", now.FailureDomain).
				Uint64("revision", revision).Msg(events.TargetListed)
		}
	})
}

// storeResponded records a response of the store, sent at the time of contact or later, and ends an outage. It must be called with
// f.mu held.
func (f *Follower) storeResponded(now, contact time.Time) {
	f.advanceContact(contact)
	if outage := f.endOutage(now); outage > 0 {
		f.cfg.Log.Info().Dur("silent", outage).Msg(events.StoreRecovered)
	}
}

// storeFailed records a failed call to the store and starts an outage.
func (f *Follower) storeFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Position().Revision == 0 && !f.listFailed {
		f.listFailed = true
		f.notify()
	}
	if f.unavailableSince.IsZero() {
		f.unavailableSince = clock.Now()
		f.cfg.Log.Warn().Uint64("revision", f.replica.Position().Revision).Err(err).Msg(events.StoreNotResponding)
	}
}

// jitter returns a random duration between half and one and a half times d, so that processes do not call at the same time.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * (0.5 + f.cfg.Rand.Float64()))
}

func (f *Follower) randomAddr(addrs []netip.Addr) netip.Addr {
	f.mu.Lock()
	defer f.mu.Unlock()
	return addrs[f.cfg.Rand.IntN(len(addrs))]
}
