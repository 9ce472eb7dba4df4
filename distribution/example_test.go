package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/origin"
)

// A process that starts has no documents. It first asks its seeds.
func Example() {
	core := distribution.New(distribution.Config{
		Self:        origin.Instance{Name: "muc-2", FailureDomain: "muc", PeerAddr: "10.0.0.2:7000"},
		Incarnation: 1, Seeds: []string{"10.0.0.1:7000"}, HasSource: true, FleetSize: 200,
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	now := time.Unix(0, 0)
	for _, action := range core.Step(now, distribution.Tick{}) {
		if send, ok := action.(distribution.Send); ok {
			fmt.Println("ask", send.To.Addr, send.Message.Ask != nil)
		}
	}
	fmt.Println(core.Phase())
	// Output:
	// ask 10.0.0.1:7000 true
	// joining
}
