package ring_test

import (
	"context"
	"fmt"

	"github.com/chervilwell/chervilwell/ring"
)

func Example() {
	r := ring.New[string](2, ring.DropOldest)
	for _, item := range []string{"one", "two", "three"} {
		r.Put(item)
	}
	first, _ := r.Get(context.Background())
	fmt.Println(first, r.Len(), r.Dropped())
	// Output: two 1 1
}
