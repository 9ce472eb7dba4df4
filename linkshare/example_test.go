package linkshare_test

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/linkshare"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	link := linkshare.Pool{From: "obb", To: "nbb"}
	account := linkshare.NewAccount(now, "obb-muc-1")
	rate := linkshare.InstanceRate(3_750_000, 0.3, 10)
	account.SetAllocations(now, []linkshare.Allocation{{Pool: link, Organisation: "haulier-a", BytesPerSecond: rate}})

	now = now.Add(linkshare.StartDelay + linkshare.Depth)
	ok, _ := account.Take(now, link, "haulier-a", 50_000)
	fmt.Println(ok)
	ok, wait := account.Take(now, link, "haulier-a", 16_384)
	fmt.Println(ok, wait.Round(time.Millisecond))
	// Output:
	// true
	// false 90ms
}
