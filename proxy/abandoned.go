package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
)

// abandonment records when a request or call was abandoned: its caller left, or its response was no longer needed.
type abandonment struct {
	ctx context.Context
	// at is the time at which ctx was cancelled, or nil.
	at   atomic.Pointer[time.Time]
	stop func() bool
}

// watchAbandonment records when ctx is cancelled. The end of its deadline does not count. The caller must call stop.
func watchAbandonment(ctx context.Context) *abandonment {
	a := &abandonment{ctx: ctx}
	a.stop = context.AfterFunc(ctx, func() {
		now := clock.Now()
		a.at.Store(&now)
	})
	return a
}

// since returns the time at which the request was abandoned, or false if it was not.
func (a *abandonment) since() (time.Time, bool) {
	if !errors.Is(a.ctx.Err(), context.Canceled) {
		return time.Time{}, false
	}
	if at := a.at.Load(); at != nil {
		return *at, true
	}
	return clock.Now(), true
}

// after returns the part of the period from start to end that lies after t.
func after(t, start, end time.Time) time.Duration {
	if t.Before(start) {
		t = start
	}
	return max(end.Sub(t), 0)
}
