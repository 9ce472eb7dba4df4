package frontend

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// echo returns a target that responds with the request body and counts the requests.
func echo(count *atomic.Int64) func(int) http.Handler {
	return func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			w.Header().Set("X-Attempt", r.Header.Get(headers.Attempt))
			w.Header().Set("X-Organisation", r.Header.Get(headers.Organisation))
			w.Header().Set(headers.Run, "not-run") // a target must not set the run state
			_, _ = io.Copy(w, r.Body)
		})
	}
}

func call(t *testing.T, method, url, body string, extra ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headers.Organisation, "haulier-a")
	for i := 0; i < len(extra); i += 2 {
		req.Header.Set(extra[i], extra[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(got)
}

func TestServesFromLocalAndRemoteTargets(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la")
	for _, path := range []string{"/stock/x", "/order/y"} {
		resp, body := call(t, "POST", f.members[0].url+path, "salt")
		if resp.StatusCode != http.StatusOK || body != "salt" || resp.Header.Get(headers.Run) != "" {
			t.Fatalf("%s: %d %q %v", path, resp.StatusCode, body, resp.Header)
		}
	}
	f.catalogue.Revision++
	f.catalogue.Regions[0].FailureDomains[0].State = "out"
	f.publish()
	resp, body := call(t, "POST", f.members[0].url+"/order/y", "salt", headers.Attempt, "0")
	if resp.StatusCode != http.StatusOK || body != "salt" || resp.Header.Get("X-Attempt") != "1" {
		t.Fatalf("through the other instance: %d %q %v", resp.StatusCode, body, resp.Header)
	}
	if resp.Header.Get("X-Organisation") != "haulier-a" || resp.Header.Get(headers.GateLoad) != "" {
		t.Fatalf("headers %v", resp.Header)
	}
	if count.Load() != 3 {
		t.Fatalf("targets ran %d requests, want 3", count.Load())
	}
}

func TestRefusalsStateKindRunAndRemedy(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, echo(&count), "obb-muc", "nbb-la")
	for _, c := range []struct {
		name, method, path, body string
		extra                    []string
		member, status           int
		kind                     string
	}{
		{"no organisation", "GET", "/stock/x", "", []string{headers.Organisation, ""}, 0, 403, "no-organisation"},
		{"unknown organisation", "GET", "/stock/x", "", []string{headers.Organisation, "haulier-z"}, 0, 403, "no-organisation"},
		{"no route", "GET", "/nothing", "", nil, 0, 404, "no-route"},
		{"wrong region", "POST", "/home/x", "salt", nil, 1, 421, "wrong-region"},
		{"body too large", "POST", "/stock/x", strings.Repeat("x", 1<<20+1), nil, 0, 413, "body-too-large"},
		{"upgrade", "GET", "/stock/x", "", []string{"Connection", "upgrade", "Upgrade", "websocket"}, 0, 501, "no-upgrade"},
		{"dot segment", "GET", "/stock/%2e%2e/home/x", "", nil, 0, 400, "bad-request"},
		{"long key", "GET", "/stock/x", "", []string{headers.IdempotencyKey, strings.Repeat("k", 256)}, 0, 400, "key-invalid"},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, body := call(t, c.method, f.members[c.member].url+c.path, c.body, c.extra...)
			if resp.StatusCode != c.status || resp.Header.Get(headers.Run) != "not-run" {
				t.Fatalf("%d %v %s", resp.StatusCode, resp.Header, body)
			}
			if !strings.Contains(body, `"kind":"`+c.kind+`"`) || !strings.Contains(body, `"remedy":"`) {
				t.Fatalf("body %s", body)
			}
		})
	}
	if count.Load() != 0 {
		t.Fatalf("targets ran %d refused requests", count.Load())
	}
}
