package follow

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// Guards against states that are sent to any number of requesters at once, and against encoding those that can't be sent.
func TestStateNeedsMemory(t *testing.T) {
	var reserved []int64
	released, free := 0, true
	f := New(Config{
		Holder: &mesh.Holder{}, Self: instanceAddr(0), Region: "r", Source: endpoint{fleet: &fleet{store: newStore()}}, ApplyWithin: boundWithin,
		Reserve: func(_ context.Context, bytes int64) (func(), bool) {
			reserved = append(reserved, bytes)
			return func() { released++ }, free
		},
	})
	e, err := decode(instanceAddr(1).String(), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.replica.Apply(time.Now(), []mesh.Entry{e}, mesh.Position{Revision: 1})
	ask := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, (&PollRequest{}).target(), nil))
		return w
	}
	w := ask()
	if update, err := decodeStateUpdate(w.Body.Bytes()); err != nil || !update.Full {
		t.Fatalf("%+v, %v", update, err)
	}
	if length := int64(w.Body.Len()); len(reserved) != 2 || reserved[1] != length || f.fullBytes != length || released != 2 {
		t.Errorf("reserved %v, released %d, response of %d bytes", reserved, released, length)
	}
	reserved, free = nil, false
	if w := ask(); w.Code != http.StatusServiceUnavailable || len(reserved) != 1 {
		t.Errorf("without memory: status %d, reserved %v", w.Code, reserved)
	}
	if len(f.encoding) != 0 {
		t.Error("no further update can be encoded")
	}
}
