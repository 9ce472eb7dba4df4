package rank

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var names = rapid.SliceOfDistinct(rapid.StringMatching(`[a-z]{1,4}-[0-9]{1,3}`), rapid.ID[string])

// TestOrderIsIndependentOfOtherNames checks that removing names does not change the relative order of the others.
func TestOrderIsIndependentOfOtherNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names.Draw(t, "names")
		order := Sort("fd", all)
		remaining := slices.DeleteFunc(slices.Clone(all), func(string) bool { return rapid.Bool().Draw(t, "removed") })
		want := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return !slices.Contains(remaining, n) })
		if got := Sort("fd", remaining); !slices.Equal(got, want) {
			t.Fatalf("order of %v is %v, want %v", remaining, got, want)
		}
		for i := 1; i < len(order); i++ {
			if !Less("fd", order[i-1], order[i]) {
				t.Fatalf("Less(%q, %q) is false, want true", order[i-1], order[i])
			}
		}
	})
}

// TestTreeIsConsistent checks that Parent and Children agree and that every position has the root as its last ancestor.
func TestTreeIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, fanout := rapid.IntRange(1, 500).Draw(t, "size"), rapid.IntRange(1, 9).Draw(t, "fanout")
		reached := 1
		for position := range size {
			first, end := Children(position, size, fanout)
			if end-first > fanout {
				t.Fatalf("position %d has %d children", position, end-first)
			}
			for child := first; child < end; child++ {
				reached++
				if Parent(child, fanout) != position {
					t.Fatalf("parent of %d is %d, want %d", child, Parent(child, fanout), position)
				}
			}
			if ancestors := Ancestors(position, fanout); position > 0 && ancestors[len(ancestors)-1] != 0 {
				t.Fatalf("ancestors of %d are %v", position, ancestors)
			}
		}
		if reached != size {
			t.Fatalf("%d of %d positions are reachable from the root", reached, size)
		}
	})
}

func TestTakeoverDelayGrowsWithPosition(t *testing.T) {
	if got := TakeoverDelay(time.Second, 200*time.Millisecond, 3); got != 1600*time.Millisecond {
		t.Errorf("position 3 takes over after %v, want 1.6s", got)
	}
}
