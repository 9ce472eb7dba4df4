// Package duty runs what a process does at intervals, and waits between.
package duty

import (
	"context"
	"time"
)

// Every calls f at each interval, first after one interval, until the context ends, and returns the context's error. Ticks
// that come while f runs are dropped but one. The time passed is that of the call, which may be late.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f(time.Now())
		}
	}
}

// Sleep waits for d or until ctx ends, and returns the context's error then.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
