package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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

func TestOperatorsTakeTheirShareOfTheMachine(t *testing.T) {
	for _, c := range []struct {
		memory         int64
		descriptors    int
		ready, metrics int
		states         int64
	}{
		{0, 0, 81, 10, 256 << 20 * 8 / 100},
		{96 << 20, 200, 4, 4, minStateMemory},
		{134 << 20, 3900, 42, 5, 134 << 20 * 8 / 100},
	} {
		n := New(&platform.Settings{MemoryBytes: c.memory, Descriptors: c.descriptors}, Options{}, zerolog.Nop())
		if got := n.limitClients(nil, operatorListener(readyMemoryShare, &n.ready)).MaxConns(); got != c.ready {
			t.Errorf("%+v: %d connections of probes", c, got)
		}
		if got := n.limitClients(nil, operatorListener(metricsMemoryShare, &n.metrics)).MaxConns(); got != c.metrics {
			t.Errorf("%+v: %d connections for metrics", c, got)
		}
		if got := stateMemory(c.memory); got != c.states {
			t.Errorf("%+v: %d bytes for states", c, got)
		}
	}
}

// Guards against states that are sent without bound, and against small updates that are refused for them.
func TestStatesNeedRoom(t *testing.T) {
	n := New(&platform.Settings{}, Options{}, zerolog.Nop())
	release, ok := n.reserveState(t.Context(), stateMemory(0))
	if !ok {
		t.Fatal("no memory")
	}
	if _, ok := n.reserveState(t.Context(), smallMessageBytes+1); ok {
		t.Error("memory beyond the bound")
	}
	if _, ok := n.reserveState(t.Context(), smallMessageBytes); !ok {
		t.Error("a small update is refused")
	}
	release()
	if _, ok := n.reserveState(t.Context(), stateMemory(0)); !ok {
		t.Error("memory is not returned")
	}
}

func TestLimitsOfTheConfigurationAreInForce(t *testing.T) {
	n := New(&platform.Settings{}, Options{}, zerolog.Nop())
	if got, want := n.callerLimits(), (connlimit.Limits{HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, SilentTimeout: headTimeout, IdleTimeout: idleTimeout}); got != want {
		t.Errorf("without a configuration: %+v", got)
	}
	config, err := mesh.NewConfig(1, nil, nil, mesh.Limits{HeadBytes: 1000, HeadTimeout: time.Second, IdleTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	n.holder.Store(&mesh.State{Config: config})
	if got, want := n.callerLimits(), (connlimit.Limits{HeadBytes: 1000, HeadTimeout: time.Second + headTimeoutSlack, SilentTimeout: time.Minute, IdleTimeout: time.Minute}); got != want {
		t.Errorf("callers: %+v", got)
	}
	if got, want := n.peerLimits(), (connlimit.Limits{HeadBytes: 1000 + hopHeadBytes, HeadTimeout: headTimeout, SilentTimeout: headTimeout, IdleTimeout: idleTimeout}); got != want {
		t.Errorf("other processes: %+v", got)
	}
}

// Guards against messages of other processes, which any client can send, that are bounded one by one but not together.
func TestMessagesNeedRoom(t *testing.T) {
	n := New(&platform.Settings{}, Options{}, zerolog.Nop())
	server := httptest.NewServer(n.receiveMessage(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})))
	t.Cleanup(server.Close)
	check := func(length int64, sized bool, want int) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", int(length))))
		if err != nil {
			t.Fatal(err)
		}
		if !sized {
			req.ContentLength = -1
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if n, _ := io.Copy(io.Discard, resp.Body); resp.StatusCode != want || want == http.StatusOK && n != length {
			t.Errorf("%d bytes, sized %v: status %d, %d bytes", length, sized, resp.StatusCode, n)
		}
	}
	for _, sized := range []bool{true, false} {
		check(10, sized, http.StatusOK)
		check(maxMessageBytes-1, sized, http.StatusOK)
		check(maxMessageBytes+1, sized, http.StatusRequestEntityTooLarge)
	}
	room := bodyMemory(0)
	if !n.bodies.TryAcquire(room) {
		t.Fatalf("room is not given back: %+v", n.bodies.Usage())
	}
	check(10, true, http.StatusOK)
	check(2*smallMessageBytes, true, http.StatusServiceUnavailable)
}
