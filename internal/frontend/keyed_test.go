package frontend

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/pick"
)

// newKey returns an idempotency key with the current time of the gatekeepers' clocks.
func (f *fleet) newKey() string {
	id := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(time.Duration(f.clockOffset.Load())).UnixMilli()
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(ms))
	copy(id[:6], stamp[2:])
	return id.String()
}

// advanceUntilKeyAccepted advances the clocks until a keyed request is accepted, and returns its key.
func (f *fleet) advanceUntilKeyAccepted(body string) string {
	f.t.Helper()
	for range 400 {
		f.clockOffset.Add(int64(time.Second))
		key := f.newKey()
		if resp, _ := call(f.t, "POST", f.members[0].url+"/order/x", body, headers.IdempotencyKey, key); resp.StatusCode == http.StatusOK {
			return key
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("no keyed request was accepted")
	return ""
}

func TestKeyedRequestRunsOnceAndRetryGetsItsAnswer(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la", "obb-muc")
	key := f.advanceUntilKeyAccepted("salt")
	if count.Load() != 1 {
		t.Fatalf("%d runs", count.Load())
	}
	for _, m := range f.members {
		resp, body := call(t, "POST", m.url+"/order/x", "salt", headers.IdempotencyKey, key)
		if resp.StatusCode != http.StatusOK || body != "salt" {
			t.Fatalf("retry got %d %v %s", resp.StatusCode, resp.Header, body)
		}
	}
	resp, body := call(t, "POST", f.members[0].url+"/order/other", "salt", headers.IdempotencyKey, key)
	if resp.StatusCode != http.StatusBadRequest {
		t.Fatalf("another request with the key got %d %s", resp.StatusCode, body)
	}
	if count.Load() != 1 {
		t.Fatalf("%d runs", count.Load())
	}
}

func TestRetryJoinsRunAbandonedByItsCaller(t *testing.T) {
	var runs atomic.Int64
	running, finish := make(chan struct{}, 1), make(chan struct{})
	handler := func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/order/slow" {
				runs.Add(1)
				running <- struct{}{}
				<-finish
			}
			_, _ = io.WriteString(w, "booked")
		})
	}
	f := newFleet(t, handler, "obb-muc", "nbb-la")
	f.advanceUntilKeyAccepted("")
	key := f.startAndAbandon(running)
	close(finish)
	resp, body := call(t, "POST", f.members[1].url+"/order/slow", "", headers.IdempotencyKey, key)
	if resp.StatusCode != http.StatusOK || body != "booked" || runs.Load() != 1 {
		t.Fatalf("retry got %d %s after %d runs", resp.StatusCode, body, runs.Load())
	}
}

// startAndAbandon sends a slow keyed request until the target runs it, lets it time out and returns its key. An executor
// that started too recently refuses keys.
func (f *fleet) startAndAbandon(running <-chan struct{}) string {
	f.t.Helper()
	for range 400 {
		key := f.newKey()
		resp, body := call(f.t, "POST", f.members[0].url+"/order/slow", "", headers.IdempotencyKey, key, headers.Timeout, "2000")
		if resp.StatusCode < http.StatusBadRequest || resp.Header.Get(headers.Run) != "unknown" {
			f.t.Fatalf("first got %d %v %s", resp.StatusCode, resp.Header, body)
		}
		select {
		case <-running:
			return key
		default:
		}
		if !strings.Contains(body, `"kind":"key-not-ready"`) {
			f.t.Fatalf("first got %s", body)
		}
		f.clockOffset.Add(int64(time.Second))
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("no keyed request ran")
	return ""
}

func TestKeyRefusalsDoNotEjectTargets(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la")
	for range 30 { // the incarnations are too recent to accept keys
		resp, body := call(t, "POST", f.members[0].url+"/order/x", "salt", headers.IdempotencyKey, f.newKey())
		if !strings.Contains(body, `"kind":"key-not-ready"`) {
			t.Fatalf("got %d %s", resp.StatusCode, body)
		}
	}
	state := f.members[0].holder.Load()
	for _, c := range f.members[0].frontend.config.Picker.Explain(time.Now(), state, state.Config.Route("order")) {
		if c.Verdict != pick.Usable {
			t.Fatalf("%s is %s", c.Instance.Name, c.Verdict)
		}
	}
}
