package quarantine_test

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/quarantine"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	list := quarantine.New("obb-muc-1")
	f := quarantine.FingerprintOf(quarantine.Request{Organisation: "haulier-a", Service: "orders", Route: "order", Method: "POST", Target: "/orders", Key: "k1"})

	run := &quarantine.Run{Fingerprint: f}
	list.Begin(now, run, false)
	notice := list.Crashed(now, 1, "obb-muc-1")
	list.End(now, run, quarantine.Unanswered)
	fmt.Println(len(notice.Records), list.Lookup(now, f) == quarantine.Suspect)

	now = now.Add(time.Second)
	run = &quarantine.Run{Fingerprint: f}
	list.Begin(now, run, true)
	notice = list.Crashed(now, 2, "obb-muc-1")
	list.End(now, run, quarantine.Unanswered)
	fmt.Println(len(notice.Quarantined()), list.Lookup(now, f).Remedy())
	// Output:
	// 1 true
	// 1 do not send the request again; it crashed its targets
}
