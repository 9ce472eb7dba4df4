package follow

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/rank"
)

// standby returns the position of the process that reads the store if the root does not. It is the first one in another
// failure domain than the root's, since a failure domain may fail as a whole, or else the second.
func (f *Follower) standby(order []string) int {
	state := f.cfg.Holder.Load()
	domain := func(name string) string {
		addr, err := netip.ParseAddr(name)
		if err != nil {
			return ""
		}
		return state.FailureDomainOf(addr)
	}
	root := domain(order[0])
	for position := 1; position < len(order); position++ {
		if domain(order[position]) != root {
			return position
		}
	}
	return min(1, len(order)-1)
}

// parent returns the nearest ancestor in the relay tree of the region that is not ejected, or else the root's standby, or else a gateway.
// It returns false if this process has to read the store.
func (f *Follower) parent() (netip.Addr, bool) {
	if f.cfg.Peers == nil || !f.synced.Load() {
		return netip.Addr{}, false
	}
	order := f.order(f.cfg.Holder.Load().InstanceAddrs(f.cfg.Region))
	position := slices.Index(order, f.cfg.Self.String())
	now := clock.Now()
	candidates := f.ancestors(order, position)
	if standby := f.standby(order); position > 0 && position != standby {
		candidates = append(candidates, standby)
	}
	names := make([]string, 0, len(candidates)+2)
	for _, candidate := range candidates {
		names = append(names, order[candidate])
	}
	for _, name := range append(names, f.gateways()...) {
		addr, err := netip.ParseAddr(name)
		if err == nil && now.After(f.ejected[addr]) {
			return addr, true
		}
	}
	return netip.Addr{}, false
}

// gateways returns the root and its standby of each other region if the store is in another region: the changes that a process sends are
// much smaller than the entries that the store sends. Regions away from the store are left out.
func (f *Follower) gateways() []string {
	if !f.cfg.Source.Remote() {
		return nil
	}
	var out []string
	state, now := f.cfg.Holder.Load(), clock.Now()
	for _, region := range state.Regions() {
		if region == f.cfg.Region || now.Before(f.awayUntil[region]) {
			continue
		}
		order := f.byLink(region, state.InstanceAddrs(region))
		out = append(out, order[0])
		if standby := f.standby(order); standby > 0 {
			out = append(out, order[standby])
		}
	}
	return out
}

// noteAway records that a process of another region is away from the store too.
func (f *Follower) noteAway(peer netip.Addr) {
	state := f.cfg.Holder.Load()
	for _, region := range state.Regions() {
		if slices.Contains(state.InstanceAddrs(region), peer) {
			f.awayUntil[region] = clock.Now().Add(awayTime)
		}
	}
}

// order ranks the instances of the region together with this one, which addrs may or may not contain.
func (f *Follower) order(addrs []netip.Addr) []string {
	if !slices.Contains(addrs, f.cfg.Self) {
		addrs = append(slices.Clone(addrs), f.cfg.Self)
	}
	return f.byLink(f.cfg.Region, addrs)
}

// byLink ranks instances of a region, those with wider links first.
func (f *Follower) byLink(region string, addrs []netip.Addr) []string {
	names := make([]string, len(addrs))
	for i, addr := range addrs {
		names[i] = addr.String()
	}
	order := rank.Sort(region, names)
	if classes := f.links.classes(); len(classes) > 0 {
		slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(classes[b], classes[a]) })
	}
	return order
}

// Order returns the instances of a region in the order of its relay tree. It contains this instance if that is in the region.
func (f *Follower) Order(region string) []netip.Addr {
	addrs := f.cfg.Holder.Load().InstanceAddrs(region)
	names := f.byLink(region, addrs)
	if region == f.cfg.Region {
		names = f.order(addrs)
	}
	out := make([]netip.Addr, 0, len(names))
	for _, name := range names {
		if addr, err := netip.ParseAddr(name); err == nil {
			out = append(out, addr)
		}
	}
	return out
}

// exchangeAsRoot polls a random process at each waitShare while this process is the first of its region. Reports of links otherwise travel
// along the tree only, so that two processes that both count themselves as the first would each keep a tree of its own.
func (f *Follower) exchangeAsRoot(ctx context.Context) {
	for periodic.Sleep(ctx, f.jitter(f.share(waitShare))) == nil {
		state := f.cfg.Holder.Load()
		addrs := state.InstanceAddrs("")
		if f.cfg.Peers == nil || f.cfg.LinkRate == nil || f.empty() || len(addrs) == 0 {
			continue
		}
		peer, first := f.randomAddr(addrs), f.order(state.InstanceAddrs(f.cfg.Region))[0]
		if first != f.cfg.Self.String() || peer == f.cfg.Self {
			continue
		}
		_, _ = f.fetch(ctx, peer, PollRequest{}) // for the reports that come with the reply
	}
}

// ranksBefore reports whether the sender of a report ranks before this process in the region's order.
func (f *Follower) ranksBefore(r linkReport) bool {
	addr, ok := netip.AddrFromSlice(r.Addr)
	if !ok {
		return false
	}
	order := f.order(f.cfg.Holder.Load().InstanceAddrs(f.cfg.Region))
	position := slices.Index(order, addr.String())
	return position >= 0 && position < slices.Index(order, f.cfg.Self.String())
}

// ancestors returns the positions from the parent of the instance at position up to the root of the tree of a region's order.
func (f *Follower) ancestors(order []string, position int) []int {
	parents := make([]int, position+1)
	for parent, child := 0, 1; child <= position; parent++ {
		for range f.children(order[parent]) {
			if child > position {
				break
			}
			parents[child] = parent
			child++
		}
	}
	var out []int
	for p := position; p > 0; {
		p = parents[p]
		out = append(out, p)
	}
	return out
}

// children returns the largest number of children of an instance.
func (f *Follower) children(name string) int {
	addr, err := netip.ParseAddr(name)
	if err != nil {
		return fanout
	}
	class := f.links.class(addr)
	if class == 0 {
		return fanout
	}
	sent := int(linkClassRate(class) * f.share(longChangeShare).Seconds() / longChange)
	return min(max(sent, minFanout), fanout)
}

// pollRequest returns the request to send to a parent. If contact with the store is overdue, the peer may wait although its
// state is stale. A parent that was ejected has to reply at once, so that little time is lost if it still does not respond.
func (f *Follower) pollRequest(parent netip.Addr) PollRequest {
	if f.Age() >= f.share(overdueShare) {
		return PollRequest{Wait: f.share(stalePollShare), WaitIfStale: true}
	}
	if _, ok := f.ejected[parent]; ok {
		return PollRequest{}
	}
	return PollRequest{Wait: f.share(waitShare)}
}

// pollParent polls a parent for changes and ejects it if the call fails or its update is not accepted.
func (f *Follower) pollParent(ctx context.Context, parent netip.Addr) {
	start, q, contactAge := clock.Now(), f.pollRequest(parent), f.Age()
	update, err := f.fetchInTime(ctx, parent, q)
	if err == nil && !q.WaitIfStale && update.age() >= f.maxAge() {
		q = PollRequest{Wait: f.share(stalePollShare), WaitIfStale: true}
		update, err = f.fetchInTime(ctx, parent, q)
	}
	var age time.Duration
	if err == nil {
		age = update.age()
		err = f.acceptUpdate(ctx, parent, q, update, clock.Now().Sub(start), contactAge)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	f.cfg.Log.Info().Stringer("parent", parent).Dur("age", age).Dur("took", clock.Now().Sub(start)).Err(err).Msg(events.ParentNotUsed)
	f.ejected[parent] = clock.Now().Add(ejectionTime)
}

// fetchInTime returns the update of a peer, or ErrLate if none has arrived within exchangeSlack beyond the requested wait. The call
// then goes on, and its update is applied when it arrives: over a full link, a later call would take as long.
func (f *Follower) fetchInTime(ctx context.Context, peer netip.Addr, q PollRequest) (*stateUpdate, error) {
	type reply struct {
		update *stateUpdate
		err    error
	}
	replies, late := make(chan reply), make(chan struct{})
	go func() {
		update, err := f.fetch(ctx, peer, q)
		select {
		case replies <- reply{update, err}:
		case <-late:
			if err == nil {
				f.useUpdate(peer, update)
			}
		case <-ctx.Done():
		}
	}()
	timer := time.NewTimer(q.Wait + exchangeSlack)
	defer timer.Stop()
	select {
	case r := <-replies:
		return r.update, r.err
	case <-timer.C:
		close(late)
		return nil, ErrLate
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Errors for which a parent is ejected.
var (
	// ErrLate is returned if a peer has not replied in time. Its reply is still used when it arrives.
	ErrLate = errors.New("peer has not replied in time; polling another peer or reading the store as well")
	// ErrNoWait is returned if a peer repeatedly replies at once without changes, which would be polled in a tight loop.
	ErrNoWait = errors.New("peer replies without waiting and has no changes; check its version")
	// ErrStale is returned if a peer has had no contact with the store for longer than maxAge, or none since a restore of the store.
	ErrStale = errors.New("peer's last contact with the store is too old; polling another peer or reading the store")
)

// acceptUpdate applies the update of a parent. The request took the given time, and contactAge was the age of the last known
// contact with the store when it was sent. The caller ejects the parent on an error.
func (f *Follower) acceptUpdate(ctx context.Context, parent netip.Addr, q PollRequest, update *stateUpdate, took, contactAge time.Duration) error {
	before := f.Position()
	if update.Away && slices.Contains(f.gateways(), parent.String()) {
		f.noteAway(parent)
	}
	if update.age() >= f.maxAge() || update.Epoch < before.Epoch {
		return ErrStale
	}
	if _, ok := f.ejected[parent]; ok {
		delete(f.ejected, parent)
		f.emptyReplies = maxEmptyReplies - 1 // the next reply without waiting ejects it again
	}
	if err := f.applyUpdate(parent, update); err != nil {
		return err
	}
	switch {
	case f.Position().After(before):
		_ = periodic.Sleep(ctx, pollPause)
	case len(update.Links) > 0:
		// The parent replied since it ranks otherwise than this process knew.
	case q.Wait == 0:
		// This request did not ask the parent to wait; the next one does.
	case took >= q.Wait/2 || update.age()+pollPause < contactAge+took:
		f.emptyReplies = 0 // the parent waited, or has a newer contact with the store
	default:
		// A contact with the store just before the request is a valid reason to reply at once, but not every time.
		if f.emptyReplies++; f.emptyReplies >= maxEmptyReplies {
			return ErrNoWait
		}
	}
	return nil
}
