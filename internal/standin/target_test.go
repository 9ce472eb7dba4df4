package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
)

var testLimits = catalogue.ServiceLimits{Slots: 4, Connections: 2, ColdSlots: 1, ColdPeriod: catalogue.Duration(10 * time.Second)}

func testTarget(warm bool) *Target {
	return NewTarget(TargetConfig{Name: "t1", Limits: testLimits, Service: 10 * time.Millisecond, Warm: warm, DownTime: time.Second, HealthLag: 5 * time.Second})
}

// call runs one request and returns its status and body; the status is 0 if the connection was aborted.
func call(t *Target, ctx context.Context, header http.Header) (status int, body string) {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
	r.Header = header
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	t.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// request returns the header of a request with the given ID and further pairs of names and values.
func request(id string, pairs ...string) http.Header {
	h := http.Header{RequestHeader: {id}}
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// callAll runs n concurrent requests and returns the number of responses by status.
func callAll(t *Target, n int) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[int]int{}
	for range n {
		wg.Go(func() {
			status, _ := call(t, context.Background(), request("many"))
			mu.Lock()
			out[status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

func TestTargetRunsAndSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := testTarget(true)
		if status, body := call(target, context.Background(), request("a", BytesHeader, "5")); status != 200 || body != "a\na\na\n" {
			t.Fatalf("got %d %q", status, body)
		}
		if got := callAll(target, 6); got[200] != 4 || got[503] != 2 {
			t.Fatalf("statuses %v", got)
		}
		if runs := target.Ledger().Runs("many"); len(runs) != 4 || runs[0].Outcome != Answered {
			t.Fatalf("runs %+v", runs)
		}
	})
}

func TestColdTargetCollapsesUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := testTarget(false)
		if got := callAll(target, 1); got[200] != 1 {
			t.Fatalf("one request: %v", got)
		}
		if got := callAll(target, 3); got[500] != 2 || target.Counts().ColdOverloads != 2 {
			t.Fatalf("three requests: %v, counts %+v", got, target.Counts())
		}
		time.Sleep(11 * time.Second)
		if got := callAll(target, 4); got[200] != 4 {
			t.Fatalf("after the cold period: %v", got)
		}
		target.TurnCold()
		callAll(target, 2)
		if c := target.Counts(); c.UndetectableOverloads != 1 || c.ColdOverloads != 2 {
			t.Fatalf("counts %+v", c)
		}
	})
}

func TestTargetHonoursCancellationAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := testTarget(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		call(target, ctx, request("cancelled"))
		call(target, context.Background(), request("late", headers.Timeout, "2"))
		for _, id := range []string{"cancelled", "late"} {
			if runs := target.Ledger().Runs(id); len(runs) != 1 || runs[0].Outcome != Stopped {
				t.Errorf("%s: %+v", id, runs)
			}
		}
	})
}

func TestMarkedRequestCrashesTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := testTarget(true)
		bystander := make(chan int)
		go func() {
			status, _ := call(target, context.Background(), request("bystander", ServiceHeader, "1m"))
			bystander <- status
		}()
		synctest.Wait()
		if status, _ := call(target, context.Background(), request("bad", CrashHeader, "1")); status != 0 {
			t.Fatalf("marked request got %d", status)
		}
		if status := <-bystander; status != 0 {
			t.Fatalf("bystander got %d", status)
		}
		if status, _ := call(target, context.Background(), request("down")); status != 0 {
			t.Fatalf("target that is down: status %d", status)
		}
		time.Sleep(2 * time.Second)
		if got := callAll(target, 2); got[200] != 1 || got[500] != 1 {
			t.Fatalf("after the restart: %v, want a cold target", got)
		}
		if runs := target.Ledger().Runs("bystander"); runs[0].Outcome != Crashed {
			t.Fatalf("bystander %+v", runs)
		}
	})
}

func TestHealthEndpointReportsWithLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := testTarget(true)
		target.SetDrain(false)
		time.Sleep(6 * time.Second)
		target.SetDrain(true)
		for _, want := range []string{"warm", "draining"} {
			w := httptest.NewRecorder()
			target.ServeHTTP(w, httptest.NewRequest(http.MethodGet, HealthPath, nil))
			var h Health
			if err := json.Unmarshal(w.Body.Bytes(), &h); err != nil || h.State != want {
				t.Fatalf("got %+v %v, want %s", h, err, want)
			}
			time.Sleep(6 * time.Second)
		}
	})
}

func TestServerLimitsConnectionsAndCrashes(t *testing.T) {
	target := testTarget(true)
	address, err := target.Start("")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	var conns []net.Conn
	for range testLimits.Connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	extra, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer extra.Close()
	if _, err := extra.Read(make([]byte, 1)); err == nil {
		t.Fatal("a connection above the limit stayed open")
	}
	target.Crash()
	for _, conn := range conns {
		_, _ = io.ReadAll(conn) // returns when the crash has closed the connection
	}
	if c := target.Counts(); c.ConnectionsRefused != 1 || c.Crashes != 1 {
		t.Fatalf("counts %+v", c)
	}
}
