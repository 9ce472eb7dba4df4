package membership_test

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/membership"
	"github.com/chervilwell/chervilwell/origin"
)

func Example() {
	now := time.Unix(0, 0)
	view := membership.New(origin.Instance{Name: "muc-1", FailureDomain: "muc"}, 1)
	view.ApplyList(now, []origin.Instance{{Name: "muc-2", FailureDomain: "muc", State: origin.Live}}, nil)
	fmt.Println(len(view.Order(now, "muc")))
	view.RecordLeave(now, "muc-2", 7) // an announced leave overrides the list
	fmt.Println(len(view.Order(now, "muc")))
	// Output:
	// 2
	// 1
}
