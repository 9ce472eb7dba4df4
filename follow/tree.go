package follow

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/rank"
)

// parent returns the nearest process above this one in the tree of the region that is not shunned.
func (f *Follower) parent() (netip.Addr, bool) {
	if f.cfg.Peers == nil || !f.listed {
		return netip.Addr{}, false
	}
	order := rank.Sort(f.cfg.Region, f.names())
	place := slices.Index(order, f.cfg.Self.String())
	now := clock.Now()
	for _, above := range rank.Ancestors(place, fanout) {
		addr, err := netip.ParseAddr(order[above])
		if err == nil && now.After(f.shunned[addr]) {
			return addr, true
		}
	}
	return netip.Addr{}, false
}

// names returns the machines of the region, this one too.
func (f *Follower) names() []string {
	names := []string{f.cfg.Self.String()}
	for _, addr := range f.cfg.Holder.Load().Machines(f.cfg.Region) {
		if addr != f.cfg.Self {
			names = append(names, addr.String())
		}
	}
	return names
}

// askParent waits at a parent for changes and shuns it if it fails or knows too little.
func (f *Follower) askParent(ctx context.Context, parent netip.Addr) {
	asked, wait, before, word := clock.Now(), f.share(waitShare), f.Revision(), f.Age()
	known, err := f.ask(ctx, parent, wait)
	if err == nil && known.age() < f.maxAge() {
		f.hear(known.age())
		if err = f.learn(known); err == nil && f.Revision() > before {
			_ = duty.Sleep(ctx, breath)
			return
		}
		took := clock.Now().Sub(asked)
		if err == nil && (took >= wait/2 || known.age()+breath < word+took) {
			f.hasty = 0
			return // it waited, or has a newer word of the store
		}
		if f.hasty++; err == nil && f.hasty < maxHasty {
			return // the parent may just have heard from the store
		}
		if err == nil {
			err = ErrHasty
		}
	}
	if ctx.Err() != nil {
		return
	}
	var age time.Duration
	if known != nil {
		age = known.age()
	}
	f.cfg.Log.Info().Str("parent", parent.String()).Dur("age", age).Err(err).Msg(events.ParentShunned)
	f.shunned[parent] = clock.Now().Add(shun)
}
