package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/connlimit"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/platform"
)

func TestClientsTakeTheirShareOfTheMachine(t *testing.T) {
	for _, c := range []struct {
		memory         int64
		descriptors    int
		callers, peers int
		bodies         int64
	}{
		{0, 0, 983, 819, 256 << 20 / 5},
		{96 << 20, 200, 52, 40, 96 << 20 / 5},
		{96 << 20, 4000, 368, 399, 96 << 20 / 5},
		{16 << 20, 4000, 61, 66, minBodyMemory},
	} {
		if got := maxConns(c.memory, c.descriptors, callerMemoryShare, callerDescriptorShare); got != c.callers {
			t.Errorf("%+v: %d connections of callers", c, got)
		}
		if got := maxConns(c.memory, c.descriptors, peerMemoryShare, peerDescriptorShare); got != c.peers {
			t.Errorf("%+v: %d connections of other processes", c, got)
		}
		if got := bodyMemory(c.memory); got != c.bodies {
			t.Errorf("%+v: %d bytes for bodies", c, got)
		}
	}
}

func TestLimitsOfTheConfigurationAreInForce(t *testing.T) {
	n := New(&platform.Settings{}, Options{}, zerolog.Nop())
	if got, want := n.callerLimits(), (connlimit.Limits{HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, IdleTimeout: idleTimeout}); got != want {
		t.Errorf("without a configuration: %+v", got)
	}
	config, err := mesh.NewConfig(1, nil, nil, mesh.Limits{HeadBytes: 1000, HeadTimeout: time.Second, IdleTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	n.holder.Store(&mesh.State{Config: config})
	if got, want := n.callerLimits(), (connlimit.Limits{HeadBytes: 1000, HeadTimeout: time.Second + headTimeoutSlack, IdleTimeout: time.Minute}); got != want {
		t.Errorf("callers: %+v", got)
	}
	if got, want := n.peerLimits(), (connlimit.Limits{HeadBytes: 1000 + hopHeadBytes, HeadTimeout: headTimeout, IdleTimeout: idleTimeout}); got != want {
		t.Errorf("other processes: %+v", got)
	}
}
