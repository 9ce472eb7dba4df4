package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// Request and response headers of the stand-in target. They are passed end to end.
const (
	// RequestHeader is the request ID for the ledger. The response contains it in this header and in each line of its body.
	RequestHeader = "Standin-Request"
	// AttemptHeader is the number of the caller's attempt at one request, for the ledger.
	AttemptHeader = "Standin-Attempt"
	// CrashHeader, if not empty, marks a request that crashes the target that runs it.
	CrashHeader = "Standin-Crash"
	// ServiceHeader overrides the median service time, in the format of time.ParseDuration, for example "40ms".
	ServiceHeader = "Standin-Service"
	// BytesHeader overrides the minimum size of the response body, in bytes.
	BytesHeader = "Standin-Bytes"
	// TargetHeader is the name of the target, in responses.
	TargetHeader = "Standin-Target"
)

// HealthPath is the path of the health endpoint, which reports the state of HealthLag ago.
const HealthPath = "/standin/health"

// crashFraction is the fraction of the service time after which a marked request crashes its target.
const crashFraction = 0.5

// maxRequestBody is the maximum size of a request body and of a response body requested by BytesHeader, in bytes.
const maxRequestBody = 16 << 20

// ServeHTTP runs a request, rejects it with 503 if no slot is free, or aborts the connection if the target is down.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	if t.isDown() {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBody)); err != nil {
		http.Error(w, "body can't be read", http.StatusBadRequest)
		return
	}
	service, _ := time.ParseDuration(r.Header.Get(ServiceHeader)) // 0 if absent or invalid: the configured median
	a := t.admit(time.Now(), r.Header.Get(CrashHeader) != "", service)
	w.Header().Set(TargetHeader, t.cfg.Name)
	if !a.admitted {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	t.run(w, r, a)
}

func (t *Target) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// run occupies the slot for the service time, sends the response and records the run.
func (t *Target) run(w http.ResponseWriter, r *http.Request, a admission) {
	id := r.Header.Get(RequestHeader)
	index := t.cfg.Ledger.recordStart(Run{
		Request: id, Attempt: r.Header.Get(AttemptHeader), Target: t.cfg.Name, Incarnation: a.incarnation, Start: time.Now(), Poison: a.poison,
	})
	outcome := t.execute(r, a)
	if outcome == Answered {
		t.answer(w, r, id)
	}
	now := time.Now()
	t.cfg.Ledger.recordEnd(index, now, outcome)
	t.release(now, a)
	switch outcome {
	case Crashed:
		panic(http.ErrAbortHandler)
	case Failed:
		http.Error(w, "overloaded in cold start", http.StatusInternalServerError)
	case Stopped:
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
	}
}

// execute waits until the service time has passed, the request is cancelled, its deadline has passed or the target crashes,
// whichever is first. A request marked to crash the target does so after crashFraction of the service time.
func (t *Target) execute(r *http.Request, a admission) Outcome {
	ctx := r.Context()
	if left, ok := headers.ParseTimeout(r.Header.Get(headers.Timeout)); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	serviceTime := a.serviceTime
	if a.poison {
		serviceTime = time.Duration(float64(serviceTime) * crashFraction)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-a.terminated:
		return Crashed
	case <-ctx.Done():
		return t.stoppedOrCrashed(a)
	case <-timer.C:
	}
	switch {
	case a.poison:
		t.Crash()
		return Crashed
	case a.fail:
		return Failed
	}
	return Answered
}

// stoppedOrCrashed returns Crashed if the context of the run ended because the target crashed, and otherwise Stopped.
func (t *Target) stoppedOrCrashed(a admission) Outcome {
	select {
	case <-a.terminated:
		return Crashed
	default:
		return Stopped
	}
}

// answer sends a response with the body ResponseBody.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string) {
	size := t.cfg.ResponseBytes
	if n, err := strconv.Atoi(r.Header.Get(BytesHeader)); err == nil {
		size = min(max(n, 0), maxRequestBody)
	}
	body := ResponseBody(id, size)
	w.Header().Set(RequestHeader, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// ResponseBody returns the response body for the request ID: complete lines that each contain the ID, at least one line and at
// least size bytes.
func ResponseBody(id string, size int) []byte {
	line := fmt.Appendf(nil, "%s\n", id)
	return bytes.Repeat(line, max(1, (size+len(line)-1)/len(line)))
}

// Health is the response of the health endpoint: the state of the target HealthLag ago.
type Health struct {
	// State is "warm", "cold", "draining" or "down".
	State string `json:"state"`
	// InFlight is the number of running requests.
	InFlight int `json:"inFlight"`
}

// sample is the state of a target at a point in time.
type sample struct {
	at     time.Time
	health Health
}

// recordSample adds a sample of the current state. It removes samples that the health endpoint no longer needs once they are
// more than half of all. Must be called with mu held.
func (t *Target) recordSample(now time.Time) {
	state := "warm"
	switch {
	case t.down:
		state = "down"
	case t.draining:
		state = "draining"
	case !t.coldSince.IsZero():
		state = "cold"
	}
	t.samples = append(t.samples, sample{at: now, health: Health{State: state, InFlight: t.inFlight}})
	visible := t.visibleSample(now)
	if visible > len(t.samples)/2 {
		t.samples = slices.Delete(t.samples, 0, visible)
	}
}

// visibleSample returns the index of the sample that the health endpoint reports: the newest that is older than HealthLag.
// Must be called with mu held.
func (t *Target) visibleSample(now time.Time) int {
	until := now.Add(-t.cfg.HealthLag)
	i, _ := slices.BinarySearchFunc(t.samples, until, func(s sample, at time.Time) int {
		if s.at.After(at) {
			return 1
		}
		return -1
	})
	return max(0, i-1)
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	health := Health{State: "warm"}
	if len(t.samples) > 0 {
		health = t.samples[t.visibleSample(time.Now())].health
	}
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(health) // fails only if the client has disconnected
}
