package frontend

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
)

// A request that is safe to retry is sent to another target in time if its target does not respond. Any other request is not
// retried: it ends with its deadline and run state unknown.
func TestRetryOnUnresponsiveTarget(t *testing.T) {
	release := make(chan struct{})
	f := newFleet(t, func(i int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 0 {
				<-release
				return
			}
			_, _ = io.WriteString(w, "answered")
		})
	}, "obb-muc", "nbb-la")
	t.Cleanup(func() { close(release) })
	f.catalogue.Revision++
	for i := range f.catalogue.Routes {
		f.catalogue.Routes[i].Limits.Timeout = catalogue.Duration(600 * time.Millisecond)
	}
	f.publish()
	if resp, body := call(t, "GET", f.members[0].url+"/stock/x", ""); resp.StatusCode != http.StatusOK || body != "answered" {
		t.Errorf("retryable request: %d %s", resp.StatusCode, body)
	}
	resp, body := call(t, "GET", f.members[0].url+"/order/x", "")
	if resp.Header.Get(headers.Run) != string(headers.Unknown) || !strings.Contains(body, "timeout") {
		t.Errorf("request that must not be retried: %v %s", resp.Header, body)
	}
}
