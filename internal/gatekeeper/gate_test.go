package gatekeeper

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/refusal"
)

// Guards against a request that runs, or keeps its slot, if the slot is granted as its caller leaves.
func TestGrantCrossesDepartureOfQueuedRequest(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the request does not continue between the grant and the departure
	a := &admitter{}
	a.configure(catalogue.ServiceLimits{
		Slots: 1, Connections: 1, Queue: 10, ColdSlots: 1, ColdPeriod: catalogue.Duration(time.Second), Drain: catalogue.Duration(time.Second),
	}, map[string]*catalogue.Organisation{"o": {Name: "o", Share: 1}})
	deadline := time.Now().Add(time.Minute)
	noBody := func() *refusal.Refusal { return nil }
	for range 20 {
		ctx, cancel := context.WithDeadline(t.Context(), deadline)
		defer cancel()
		first, refused := a.acquire(ctx, "o", catalogue.Interactive, noBody)
		if refused != nil {
			t.Fatal(refused)
		}
		second, leave := context.WithCancel(ctx)
		ended := make(chan *refusal.Refusal)
		go func() {
			permit, refused := a.acquire(second, "o", catalogue.Interactive, noBody)
			if permit != nil {
				permit.finish(admission.OK)
			}
			ended <- refused
		}()
		for a.state().Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		first.finish(admission.OK)
		leave()
		if refused := <-ended; refused == nil || refused.Kind != refusal.Cancelled {
			t.Errorf("got %v, want a refusal as cancelled", refused)
		}
		if n := a.state().InFlight; n != 0 {
			t.Fatalf("%d requests still count as running", n)
		}
	}
}
