package ring

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
)

func TestPoliciesOfFullRing(t *testing.T) {
	for _, tt := range []struct {
		name   string
		policy Policy
		want   []int
	}{{"drop oldest", DropOldest, []int{3, 4}}, {"refuse", Refuse, []int{1, 2}}} {
		r := New[int](2, tt.policy)
		for i := 1; i <= 4; i++ {
			if kept := r.Put(i); kept != (i <= 2) {
				t.Errorf("%s: Put(%d) = %v", tt.name, i, kept)
			}
		}
		if r.Len() != 2 || r.Dropped() != 2 {
			t.Errorf("%s: Len() = %d, Dropped() = %d, want 2 and 2", tt.name, r.Len(), r.Dropped())
		}
		for _, want := range tt.want {
			if got, ok := r.TryGet(); !ok || got != want {
				t.Errorf("%s: TryGet() = %d, %v, want %d", tt.name, got, ok, want)
			}
		}
		if _, ok := r.TryGet(); ok {
			t.Errorf("%s: TryGet on an empty ring returned an item", tt.name)
		}
	}
}

// TestGetWakesReceivers checks that several receivers get all items, although one wake-up token may stand for several items.
func TestGetWakesReceivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items, receivers = 100, 4
		r := New[int](items, Refuse)
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan int, items)
		for range receivers {
			go func() {
				for {
					item, err := r.Get(ctx)
					if err != nil {
						return
					}
					got <- item
				}
			}()
		}
		for i := range items {
			r.Put(i)
		}
		synctest.Wait()
		if len(got) != items {
			t.Errorf("receivers got %d of %d items", len(got), items)
		}
		cancel()
		if _, err := New[int](1, Refuse).Get(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Get with a cancelled context returned error %v", err)
		}
	})
}
