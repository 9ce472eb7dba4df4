// Package periodic runs functions periodically and provides a sleep that ends with a context.
package periodic

import (
	"context"
	"time"
)

// Every calls f at each interval, the first time after one interval, until ctx ends, and returns the error of ctx. At most
// one tick is kept while f runs. The argument of f is the time of the call, which may be later than the tick.
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

// Sleep waits for d and returns nil, or the error of ctx if ctx ends first. If d is not positive, it returns ctx.Err() at once.
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
