package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
)

// sendWithKey sends a request with a key, or without one if it is empty, to the first process.
func (c *cluster) sendWithKey(t *testing.T, path, key string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.nodes[0].callers.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Id", "id-"+path)
	req.Header.Set("X-Organisation", "forged")
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}

var testOrganisations = []*mesh.Organisation{{Name: "o1", Keys: []string{"k1", "k1b"}}, {Name: "o2", Keys: []string{"k2"}, HomeRegions: []string{"elsewhere"}}}

func TestKeyIsReplacedByItsOrganisation(t *testing.T) {
	for i, name := range []string{"local target", "remote target"} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, mesh.Once)
			c.markLeaving(1 - i)
			c.setConfig(t, 2, mesh.Once, false, testOrganisations...)
			if resp := c.sendWithKey(t, "/a", "k1b"); resp.StatusCode != 200 {
				t.Fatalf("got %d", resp.StatusCode)
			}
			got := c.nodes[i].target.requests()
			if len(got) != 1 || got[0].key != "" || got[0].organisation != "o1" {
				t.Errorf("target received %+v, want organisation o1 and no key", got)
			}
		})
	}
}

func TestKeyDecidesWhetherRequestIsServed(t *testing.T) {
	for _, test := range []struct {
		name, key    string
		public       bool
		want         int
		organisation string
	}{
		{"unknown key", "k9", false, 401, ""},
		{"no key", "", false, 401, ""},
		{"no key on a public route", "", true, 200, ""},
		{"unknown key on a public route", "k9", true, 200, ""},
		{"known key on a public route", "k1", true, 200, "o1"},
		{"no target in the organisation's home regions", "k2", false, 503, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := startCluster(t, mesh.Once)
			c.setConfig(t, 2, mesh.Once, test.public, testOrganisations...)
			if resp := c.sendWithKey(t, "/a", test.key); resp.StatusCode != test.want {
				t.Errorf("got %d, want %d", resp.StatusCode, test.want)
			}
			got := append(c.nodes[0].target.requests(), c.nodes[1].target.requests()...)
			if ran := len(got) == 1; ran != (test.want == 200) || ran && (got[0].key != "" || got[0].organisation != test.organisation) {
				t.Errorf("targets received %+v, want organisation %q and no key", got, test.organisation)
			}
		})
	}
}

func TestRemovedKeyIsRefusedOnKeptConnection(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.setConfig(t, 2, mesh.Once, false, testOrganisations...)
	if resp := c.sendWithKey(t, "/a", "k1"); resp.StatusCode != 200 {
		t.Fatalf("got %d", resp.StatusCode)
	}
	c.setConfig(t, 3, mesh.Once, false, &mesh.Organisation{Name: "o1", Keys: []string{"k1b"}})
	if resp := c.sendWithKey(t, "/b", "k1"); resp.StatusCode != 401 {
		t.Errorf("got %d for a key that was removed, want 401", resp.StatusCode)
	}
}

func TestOutOfDateProcessDoesNotDenyKeys(t *testing.T) {
	for _, test := range []struct {
		name, key    string
		age, revoke  time.Duration
		want         int
		wantResponse bool
	}{
		{"unknown key may have been added", "k9", 4 * time.Second, 0, 503, false},
		{"known key", "k1", 4 * time.Second, 0, 200, true},
		{"known key may have been removed", "k1", 6 * time.Second, 5 * time.Second, 503, false},
		{"known key within the time for removals", "k1", 4 * time.Second, 5 * time.Second, 200, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := startCluster(t, mesh.Once)
			f := c.nodes[0].frontend
			f.cfg.StoreAge, f.cfg.ApplyWithin, f.cfg.RevokeWithin = func() time.Duration { return test.age }, 3*time.Second, test.revoke
			c.setConfig(t, 2, mesh.Once, false, testOrganisations...)
			resp := c.sendWithKey(t, "/a", test.key)
			if resp.StatusCode != test.want || (resp.Header.Get("Retry-After") != "") != (test.want == 503) {
				t.Errorf("got %d, Retry-After %q, want %d", resp.StatusCode, resp.Header.Get("Retry-After"), test.want)
			}
		})
	}
}

// Without organisations nothing of the header changes, whatever the caller sends.
func TestKeysAreForwardedWithoutOrganisations(t *testing.T) {
	c := startCluster(t, mesh.Once)
	c.sendWithKey(t, "/a", "k1")
	got := append(c.nodes[0].target.requests(), c.nodes[1].target.requests()...)
	if len(got) != 1 || got[0].key != "k1" || got[0].organisation != "forged" {
		t.Errorf("target received %+v, want the caller's headers", got)
	}
}

func TestRankOfCallsAndOrganisations(t *testing.T) {
	c := startCluster(t, mesh.Safe)
	c.setConfig(t, 2, mesh.Safe, true, testOrganisations...)
	f := c.nodes[0].frontend
	req := &request{state: f.cfg.Holder.Load(), route: &mesh.Route{Priority: 2}}
	if got := f.rank(req); got != 3 {
		t.Errorf("rank %d while the target runs nothing, want that of the route, 3", got)
	}
	f.cfg.Gatekeeper.active.Add(1)
	defer f.cfg.Gatekeeper.active.Add(-1)
	if got := f.rank(req); got != 0 {
		t.Errorf("rank %d while the target runs a request, want 0", got)
	}
	req.organisation = &mesh.Organisation{Priority: 1}
	if got := f.rank(req); got != 2 {
		t.Errorf("rank %d for an organisation of priority 1, want 2", got)
	}
}
