package fairshare_test

import (
	"fmt"

	"github.com/chervilwell/chervilwell/fairshare"
)

// A flow that sends many requests gets later tags than one that sends few.
func Example() {
	var clock fairshare.Clock
	many, few := &fairshare.Flow{Weight: 1}, &fairshare.Flow{Weight: 1}
	for range 3 {
		clock.Activate(many, 0)
		fmt.Println("many:", many.Charge(1))
	}
	clock.Activate(few, 0)
	fmt.Println("few:", few.Charge(1))
	// Output:
	// many: 0
	// many: 1
	// many: 2
	// few: 0
}
