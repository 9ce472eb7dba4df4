package follow

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/rank"
)

// deputy returns the place of the process that reads the store when the root does not: the first in another failure domain, since
// the root's may be lost as a whole.
func (f *Follower) deputy(order []string) int {
	state := f.cfg.Holder.Load()
	domain := func(name string) string {
		addr, err := netip.ParseAddr(name)
		if err != nil {
			return ""
		}
		return state.FailureDomainOf(addr)
	}
	root := domain(order[0])
	for place := 1; place < len(order); place++ {
		if domain(order[place]) != root {
			return place
		}
	}
	return min(1, len(order)-1)
}

// parent returns the nearest process above this one in the tree of the region that is not shunned, or the root's deputy.
func (f *Follower) parent() (netip.Addr, bool) {
	if f.cfg.Peers == nil || !f.listed {
		return netip.Addr{}, false
	}
	order := f.order(f.cfg.Holder.Load().Machines(f.cfg.Region))
	place := slices.Index(order, f.cfg.Self.String())
	now := clock.Now()
	chain := rank.Ancestors(place, fanout)
	if deputy := f.deputy(order); place > 0 && place != deputy {
		chain = append(chain, deputy)
	}
	for _, above := range chain {
		addr, err := netip.ParseAddr(order[above])
		if err == nil && now.After(f.shunned[addr]) {
			return addr, true
		}
	}
	return netip.Addr{}, false
}

// order ranks machines of the region and this one, which may be among them.
func (f *Follower) order(machines []netip.Addr) []string {
	names := []string{f.cfg.Self.String()}
	for _, addr := range machines {
		if addr != f.cfg.Self {
			names = append(names, addr.String())
		}
	}
	return rank.Sort(f.cfg.Region, names)
}

// question returns what to ask a parent: where the store's word is late, for news that may come any moment, and one that was shunned
// for an answer at once, so that little time is lost if it is still silent.
func (f *Follower) question(parent netip.Addr) Question {
	if f.Age() >= f.share(lateShare) {
		return Question{Wait: f.share(rescueShare), Patient: true}
	}
	if _, ok := f.shunned[parent]; ok {
		return Question{}
	}
	return Question{Wait: f.share(waitShare)}
}

// askParent waits at a parent for changes and shuns it if it fails or knows too little.
func (f *Follower) askParent(ctx context.Context, parent netip.Addr) {
	asked, q, word := clock.Now(), f.question(parent), f.Age()
	known, err := f.ask(ctx, parent, q)
	if err == nil && !q.Patient && known.age() >= f.maxAge() {
		q = Question{Wait: f.share(rescueShare), Patient: true}
		known, err = f.ask(ctx, parent, q)
	}
	var age time.Duration
	if err == nil {
		age = known.age()
		err = f.accept(ctx, parent, q, known, clock.Now().Sub(asked), word)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	f.cfg.Log.Info().Str("parent", parent.String()).Dur("age", age).Err(err).Msg(events.ParentShunned)
	f.shunned[parent] = clock.Now().Add(shun)
}

// Typed errors of a parent that is not followed.
var (
	// ErrHasty says that a peer answered at once without anything new, which would be asked for again without end.
	ErrHasty = errors.New("peer answers without waiting and has nothing new; check its version")
	// ErrStale says that a peer has had no word of the store for too long.
	ErrStale = errors.New("peer has heard nothing of the store for too long; another one or the store is asked")
)

// accept takes in what a parent told after some time, when the store's last word known here was of some age. An error says why the
// parent is not followed further.
func (f *Follower) accept(ctx context.Context, parent netip.Addr, q Question, known *knowledge, took, word time.Duration) error {
	if known.age() >= f.maxAge() {
		return ErrStale
	}
	if _, ok := f.shunned[parent]; ok {
		delete(f.shunned, parent)
		f.hasty = maxHasty - 1 // it has yet to show that it waits
	}
	f.hear(known.age())
	before := f.Revision()
	if err := f.learn(known); err != nil {
		return err
	}
	switch {
	case f.Revision() > before:
		_ = duty.Sleep(ctx, breath)
	case q.Wait == 0:
		// It answers again; the next question shows whether it waits.
	case took >= q.Wait/2 || known.age()+breath < word+took:
		f.hasty = 0 // it waited, or has a newer word of the store
	default:
		// The parent may just have heard from the store, but not every time.
		if f.hasty++; f.hasty >= maxHasty {
			return ErrHasty
		}
	}
	return nil
}
