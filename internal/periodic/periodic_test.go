package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

func TestEveryCallsUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		err := Every(ctx, time.Second, func(now time.Time) { calls = append(calls, now.Sub(start)) })
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Every returned %v, want context.DeadlineExceeded", err)
		}
		if len(calls) != 3 || calls[0] != time.Second || calls[2] != 3*time.Second {
			t.Errorf("called at %v", calls)
		}
	})
}
