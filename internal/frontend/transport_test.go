package frontend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/origin"
)

// TestLocalReasonReplacesPeerCancellation checks the refusal that a caller receives if the peer noticed first that this
// process had cancelled the request. Guards against reporting "cancelled" where the deadline passed.
func TestLocalReasonReplacesPeerCancellation(t *testing.T) {
	expired, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	cancelled, cancelRequest := context.WithCancel(context.Background())
	cancelRequest()
	for _, c := range []struct {
		name string
		ctx  context.Context
		peer *refusal.Refusal
		want refusal.Kind
		run  headers.RunState
	}{
		{"deadline passed", expired, refusal.Unknown(refusal.Cancelled, "gone"), refusal.Timeout, headers.Unknown},
		{"deadline passed in the queue", expired, refusal.New(refusal.Cancelled, "gone"), refusal.Timeout, headers.NotRun},
		{"request cancelled", cancelled, refusal.Unknown(refusal.Cancelled, "gone"), refusal.Cancelled, headers.Unknown},
		{"not cancelled here", context.Background(), refusal.Unknown(refusal.Cancelled, "gone"), refusal.Cancelled, headers.Unknown},
		{"another reason", expired, refusal.New(refusal.TargetDown, "down"), refusal.TargetDown, headers.NotRun},
	} {
		request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "/order/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		a := &Attempt{Target: origin.Instance{Name: "nbb-la-1"}, Request: request}
		if got := a.localReason(c.peer); got.Kind != c.want || got.RunState != c.run {
			t.Errorf("%s: %s, run %s; want %s, run %s", c.name, got.Kind, got.RunState, c.want, c.run)
		}
	}
}
