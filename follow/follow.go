// Package follow keeps a process's state up to date with what is published: from the store where it answers, and from another
// process where it doesn't.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/mesh"
)

// Typed errors of a Source.
var (
	// ErrCompacted says that the history after the revision is gone; list instead.
	ErrCompacted = errors.New("history of the store is gone; list everything anew")
	// ErrAway says that the store gave no answer; serve what is known and try again.
	ErrAway = errors.New("store gives no answer; serving what is known, retry after a backoff")
)

// Source reads what is published. Its errors wrap ErrCompacted or ErrAway, or are the context's.
type Source interface {
	// List returns all facts, and the revision from which to watch.
	List(ctx context.Context) ([]mesh.Fact, uint64, error)
	// Watch returns the facts that changed after a revision as soon as there is one, or none after the wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]mesh.Fact, uint64, error)
}

// Peers reads what other processes know.
type Peers interface {
	// Ask returns the facts of some other process if it knows a later revision than after.
	Ask(ctx context.Context, after uint64) ([]mesh.Fact, uint64, error)
}

// Figures of the follower.
const (
	// watchShare is the part of the time within which a change has to be in force that a watch waits at the store: one that went
	// deaf is replaced in time.
	watchShare = 0.5
	// gather is the pause after a change before the next watch, in which further changes come together. It is a small part of the
	// time within which a change has to be in force.
	gather = 250 * time.Millisecond
	// firstRetry and maxRetry bound the pauses between calls to a store that does not answer.
	firstRetry = 100 * time.Millisecond
	maxRetry   = time.Second
	// askAfter is how long the store may be silent before another process is asked, askEvery the pause between such questions.
	askAfter = 400 * time.Millisecond
	askEvery = 500 * time.Millisecond
	// lapseAfter is the silence of the store from which on entries of live targets may have lapsed; they outlast shorter ones.
	lapseAfter = 2 * time.Second
)

// Config says what a follower works with.
type Config struct {
	Source Source
	Peers  Peers
	Holder *mesh.Holder
	// ApplyWithin is the time within which a change has to be in force.
	ApplyWithin time.Duration
	// Changed is called after each change of the state.
	Changed func(*mesh.State)
	Log     zerolog.Logger
	Rand    *rand.Rand
}

// Follower keeps the state. Run it once.
type Follower struct {
	cfg Config

	mu   sync.Mutex
	book *mesh.Book
	// silentSince is when the store stopped answering; zero while it answers.
	silentSince time.Time
}

// New returns a follower that knows nothing.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, book: mesh.NewBook(), silentSince: clock.Now()}
}

// Facts returns what is known and up to which revision, for other processes.
func (f *Follower) Facts() (map[string]mesh.Fact, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Facts(), f.book.Revision()
}

// Serve follows the store until ctx ends. It is a suture service.
func (f *Follower) Serve(ctx context.Context) error {
	go f.askPeers(ctx)
	retry := firstRetry
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		switch {
		case err == nil:
			listed, retry = true, firstRetry
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrCompacted):
			listed = false
			continue
		}
		f.lost(err)
		pause(ctx, time.Duration(float64(retry)*(0.5+f.cfg.Rand.Float64())))
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

// String names the service in the supervisor's logs.
func (f *Follower) String() string { return "follower" }

func (f *Follower) list(ctx context.Context) error {
	facts, revision, err := f.cfg.Source.List(ctx)
	if err != nil {
		return err
	}
	f.found()
	f.take(func(now time.Time) bool { return f.book.Replace(now, facts, revision) })
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after, wait := f.book.Revision(), time.Duration(watchShare*float64(f.cfg.ApplyWithin))
	if next := f.book.NextExpiry(); !next.IsZero() {
		wait = min(wait, max(next.Sub(clock.Now()), 0)+time.Millisecond)
	}
	f.mu.Unlock()
	facts, revision, err := f.cfg.Source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	f.found()
	f.take(func(now time.Time) bool { return f.book.Apply(now, facts, revision) })
	if len(facts) > 0 {
		pause(ctx, gather)
	}
	return nil
}

// take changes the book and puts the new state in force.
func (f *Follower) take(change func(now time.Time) bool) {
	f.mu.Lock()
	now := clock.Now()
	changed := change(now)
	changed = f.book.Expire(now) || changed
	var state *mesh.State
	if before := f.cfg.Holder.Load(); changed || before.Revision < f.book.Revision() {
		state = f.book.State()
		f.report(before, state)
		f.cfg.Holder.Store(state)
	}
	f.mu.Unlock()
	if state != nil && f.cfg.Changed != nil {
		f.cfg.Changed(state)
	}
}

func (f *Follower) report(before, after *mesh.State) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		f.cfg.Log.Info().Uint64("config", after.Config.Version).Int("routes", len(after.Config.Routes)).
			Uint64("revision", after.Revision).Msg("configuration is in force")
	}
}

// found notes that the store answered.
func (f *Follower) found() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silentSince.IsZero() {
		return
	}
	now := clock.Now()
	silent := now.Sub(f.silentSince)
	f.cfg.Log.Info().Dur("silent", silent).Msg("store answers")
	if f.book.Revision() > 0 && silent >= lapseAfter {
		f.book.Returned(now)
	}
	f.silentSince = time.Time{}
}

// lost notes that the store did not answer.
func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silentSince.IsZero() {
		f.silentSince = clock.Now()
		f.cfg.Log.Warn().Err(err).Uint64("revision", f.book.Revision()).Msg("store does not answer")
	}
}

// askPeers asks other processes while the store is silent.
func (f *Follower) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, askEvery)
		f.mu.Lock()
		silent, after := f.silentSince, f.book.Revision()
		f.mu.Unlock()
		if f.cfg.Peers == nil || silent.IsZero() || clock.Now().Sub(silent) < askAfter {
			continue
		}
		facts, revision, err := f.cfg.Peers.Ask(ctx, after)
		if err != nil || revision <= after {
			f.cfg.Log.Debug().Err(err).Uint64("theirs", revision).Msg("peer knows nothing newer")
			continue
		}
		f.cfg.Log.Info().Uint64("revision", revision).Msg("took what a peer knows")
		f.take(func(now time.Time) bool { return f.book.Replace(now, facts, revision) })
	}
}

// pause waits for a time or for the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
