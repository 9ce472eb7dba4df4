package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/quarantine"
)

// HeldPath is the path at which operators read which requests are held.
const HeldPath = "/quarantine"

// HeldRequest is a request that is suspected of crashing targets, or refused since it has crashed them.
type HeldRequest struct {
	Fingerprint string `json:"fingerprint"`
	// State is "suspected" or "quarantined".
	State string `json:"state"`
	// Crashes is the number of targets that crashed while the request ran.
	Crashes int `json:"crashes"`
	// Since is the time since which this process has known of it, Until the time at which it is released.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Request describes the request.
	Request string `json:"request"`
}

// Held returns the requests that this process knows as suspected or quarantined: quarantined ones first.
func (k *Gatekeeper) Held() []HeldRequest {
	var held []quarantine.Held
	k.crashes.withList(func(l *quarantine.List, now time.Time) { held = l.Held(now) })
	out := make([]HeldRequest, 0, len(held))
	for _, h := range held {
		out = append(out, HeldRequest{
			Fingerprint: h.Fingerprint.String(), State: stateNames[h.Verdict], Crashes: h.Crashes, Since: h.Since, Until: h.Until, Request: h.Label,
		})
	}
	return out
}

// stateNames holds the names of the states of held requests.
var stateNames = map[quarantine.Verdict]string{quarantine.Suspect: reasonSuspected, quarantine.Quarantined: reasonQuarantined}

// HeldHandler returns the handler of HeldPath. It responds with a JSON array of HeldRequest.
func HeldHandler(k *Gatekeeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(k.Held()) // the only error is that of a client that has left
	})
}

// HeldRequests returns the metric of held requests by state.
func (k *Gatekeeper) HeldRequests() []prometheus.Collector {
	gauge := func(state string, count func(suspects, quarantined int) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chervilwell_held_requests", Help: "Requests that are suspected of crashing targets, or refused since they have crashed them.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 {
			var n int
			k.crashes.withList(func(l *quarantine.List, now time.Time) { n = count(l.Counts(now)) })
			return float64(n)
		})
	}
	return []prometheus.Collector{
		gauge(reasonSuspected, func(suspects, _ int) int { return suspects }),
		gauge(reasonQuarantined, func(_, quarantined int) int { return quarantined }),
	}
}
