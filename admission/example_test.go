package admission_test

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/catalogue"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	limits := catalogue.ServiceLimits{Slots: 20, Connections: 120, Queue: 40, ColdSlots: 1, ColdPeriod: catalogue.Duration(20 * time.Second)}
	gate := admission.New(now, limits, admission.Shares{"haulier-a": 0.4, "haulier-b": 0.3})

	first := gate.Offer(now, admission.Request{ID: 1, Organisation: "haulier-a", Class: catalogue.Interactive})
	second := gate.Offer(now, admission.Request{ID: 2, Organisation: "haulier-b", Class: catalogue.Interactive})
	fmt.Println(first.Verdict, second.Verdict)

	changes := gate.Finish(now.Add(30*time.Millisecond), 1, admission.Outcome{Result: admission.OK})
	fmt.Println(changes.Granted)
	// Output:
	// admitted queued
	// [2]
}
