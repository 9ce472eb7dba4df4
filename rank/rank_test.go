package rank

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var names = rapid.SliceOfDistinct(rapid.StringMatching(`[a-z]{1,4}-[0-9]{1,3}`), rapid.ID[string])

// TestOrderOfTwoIsStable checks that removing or adding names changes the order of no others.
func TestOrderOfTwoIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names.Draw(t, "names")
		order := Sort("fd", all)
		some := slices.DeleteFunc(slices.Clone(all), func(string) bool { return rapid.Bool().Draw(t, "gone") })
		want := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return !slices.Contains(some, n) })
		if got := Sort("fd", some); !slices.Equal(got, want) {
			t.Fatalf("order of %v is %v, want %v", some, got, want)
		}
		for i := 1; i < len(order); i++ {
			if !Less("fd", order[i-1], order[i]) {
				t.Fatalf("%q is not before %q", order[i-1], order[i])
			}
		}
	})
}

// TestTreeIsConsistent checks that parents and children agree and that every place leads to the root.
func TestTreeIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, fanout := rapid.IntRange(1, 500).Draw(t, "size"), rapid.IntRange(1, 9).Draw(t, "fanout")
		reached := 1
		for place := range size {
			first, end := Children(place, size, fanout)
			if end-first > fanout {
				t.Fatalf("place %d has %d children", place, end-first)
			}
			for child := first; child < end; child++ {
				reached++
				if Parent(child, fanout) != place {
					t.Fatalf("parent of %d is %d, want %d", child, Parent(child, fanout), place)
				}
			}
			if a := Ancestors(place, fanout); place > 0 && a[len(a)-1] != 0 {
				t.Fatalf("ancestors of %d are %v", place, a)
			}
		}
		if reached != size {
			t.Fatalf("%d of %d places are reached", reached, size)
		}
	})
}

func TestStepInGrows(t *testing.T) {
	if got := StepIn(time.Second, 200*time.Millisecond, 3); got != 1600*time.Millisecond {
		t.Errorf("third place steps in after %v", got)
	}
}
