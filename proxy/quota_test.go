package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quota"
)

// fakeQuotas returns the same decision for all requests and counts them.
type fakeQuotas struct {
	decision quota.Decision

	mu                sync.Mutex
	admitted, refunds int
}

func (q *fakeQuotas) Admit(*mesh.Config, *mesh.Organisation) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted++
	return q.decision
}

func (q *fakeQuotas) Refund(*mesh.Organisation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refunds++
}

func TestQuotaDecidesWhetherRequestIsServed(t *testing.T) {
	limit := mesh.Quota{PerSecond: 10, Burst: 10}
	organisations := []*mesh.Organisation{
		{Name: "o1", Keys: []string{"k1"}, Quota: limit}, {Name: "o2", Keys: []string{"k2"}, Quota: limit, HomeRegions: []string{"elsewhere"}}, {Name: "o3", Keys: []string{"k3"}},
	}
	over := quota.Decision{Cause: quota.OverQuota, Wait: 500 * time.Millisecond}
	for _, test := range []struct {
		name, key                       string
		decision                        quota.Decision
		want, runs, asked, wantRefunded int
	}{
		{"within the quota", "k1", quota.Decision{}, http.StatusOK, 1, 1, 0},
		{"over the quota", "k1", over, http.StatusTooManyRequests, 0, 1, 0},
		{"refused later", "k2", quota.Decision{}, http.StatusServiceUnavailable, 0, 1, 1},
		{"without a quota", "k3", over, http.StatusOK, 1, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, quotas := startCluster(t, mesh.Once), &fakeQuotas{decision: test.decision}
			c.nodes[0].frontend.cfg.Quotas = quotas
			c.setConfig(t, 2, mesh.Once, false, organisations...)
			resp := c.sendWithKey(t, "/a", test.key)
			if resp.StatusCode != test.want {
				t.Errorf("got %d, want %d", resp.StatusCode, test.want)
			}
			back, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if test.want == http.StatusTooManyRequests && (err != nil || back <= 0 || back > 0.5) {
				t.Errorf("Retry-After is %q, want up to 0.5", resp.Header.Get("Retry-After"))
			}
			if got := len(c.nodes[0].target.requests()) + len(c.nodes[1].target.requests()); got != test.runs {
				t.Errorf("%d requests ran, want %d", got, test.runs)
			}
			quotas.mu.Lock()
			defer quotas.mu.Unlock()
			if quotas.admitted != test.asked || quotas.refunds != test.wantRefunded {
				t.Errorf("asked %d times with %d refunds, want %d and %d", quotas.admitted, quotas.refunds, test.asked, test.wantRefunded)
			}
		})
	}
}
