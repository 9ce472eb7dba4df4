package rank_test

import (
	"fmt"

	"github.com/chervilwell/chervilwell/rank"
)

func Example() {
	order := rank.Sort("obb-muc", []string{"obb-muc-1", "obb-muc-2", "obb-muc-3"})
	fmt.Println("readers:", len(rank.Readers(order, 2)), "parent of place 2:", rank.Parent(2, 4))
	// Output: readers: 2 parent of place 2: 0
}
