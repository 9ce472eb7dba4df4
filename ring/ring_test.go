package ring

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
)

func TestPoliciesOfAFullRing(t *testing.T) {
	for _, tt := range []struct {
		name   string
		policy Policy
		want   []int
	}{{"drop oldest", DropOldest, []int{3, 4}}, {"refuse", Refuse, []int{1, 2}}} {
		r := New[int](2, tt.policy)
		for i := 1; i <= 4; i++ {
			if kept := r.Put(i); kept != (i <= 2) {
				t.Errorf("%s: put %d reported %v", tt.name, i, kept)
			}
		}
		if r.Len() != 2 || r.Dropped() != 2 {
			t.Errorf("%s: %d queued, %d dropped", tt.name, r.Len(), r.Dropped())
		}
		for _, want := range tt.want {
			if got, ok := r.TryGet(); !ok || got != want {
				t.Errorf("%s: got %d %v, want %d", tt.name, got, ok, want)
			}
		}
		if _, ok := r.TryGet(); ok {
			t.Errorf("%s: an empty ring gave an item", tt.name)
		}
	}
}

// TestGetMissesNothing checks that several takers get every item, also where one signal stands for several items.
func TestGetMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items, takers = 100, 4
		r := New[int](items, Refuse)
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan int, items)
		for range takers {
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
			t.Errorf("%d of %d items were taken", len(got), items)
		}
		cancel()
		if _, err := New[int](1, Refuse).Get(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("get after the end of its context: %v", err)
		}
	})
}
