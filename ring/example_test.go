package ring_test

import (
	"context"
	"fmt"

	"github.com/chervilwell/chervilwell/ring"
)

func Example() {
	r := ring.New[string](2, ring.DropOldest)
	for _, word := range []string{"one", "two", "three"} {
		r.Put(word)
	}
	first, _ := r.Get(context.Background())
	fmt.Println(first, r.Len(), r.Dropped())
	// Output: two 1 1
}
