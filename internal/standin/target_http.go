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

// Headers with which a caller steers and identifies a request. They travel end to end.
const (
	// RequestHeader names the request in the ledger. The answer repeats it in this header and in each line of its body.
	RequestHeader = "Standin-Request"
	// AttemptHeader numbers a caller's sends of one request in the ledger.
	AttemptHeader = "Standin-Attempt"
	// CrashHeader marks a request that crashes the target that runs it.
	CrashHeader = "Standin-Crash"
	// ServiceHeader overrides the median service time, such as "40ms".
	ServiceHeader = "Standin-Service"
	// BytesHeader overrides the least size of the answer's body.
	BytesHeader = "Standin-Bytes"
	// TargetHeader names the target on its answers.
	TargetHeader = "Standin-Target"
)

// HealthPath is the path of the lagging health endpoint.
const HealthPath = "/standin/health"

// crashAfter is the part of the service time after which a marked request crashes its target.
const crashAfter = 0.5

// maxRequestBody bounds the body that a target reads.
const maxRequestBody = 16 << 20

// ServeHTTP runs a request as the target would.
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
	service, _ := time.ParseDuration(r.Header.Get(ServiceHeader)) // absent or bad: the target's own
	a := t.admit(time.Now(), r.Header.Get(CrashHeader) != "", service)
	w.Header().Set(TargetHeader, t.cfg.Name)
	if !a.taken {
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

// run holds the slot for the service time and answers.
func (t *Target) run(w http.ResponseWriter, r *http.Request, a admission) {
	id := r.Header.Get(RequestHeader)
	index := t.cfg.Ledger.begin(Run{
		Request: id, Attempt: r.Header.Get(AttemptHeader), Target: t.cfg.Name, Life: a.life, Start: time.Now(), Poison: a.poison,
	})
	end := t.work(r, a)
	if end == Answered {
		t.answer(w, r, id)
	}
	now := time.Now()
	t.cfg.Ledger.end(index, now, end)
	t.release(now, a)
	switch end {
	case Crashed:
		panic(http.ErrAbortHandler)
	case Failed:
		http.Error(w, "overloaded in cold start", http.StatusInternalServerError)
	case Stopped:
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
	}
}

// work waits for the service time, cancellation, the deadline or the end of the target's life.
func (t *Target) work(r *http.Request, a admission) End {
	ctx := r.Context()
	if left, ok := headers.ParseTimeout(r.Header.Get(headers.Timeout)); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	took := a.took
	if a.poison {
		took = time.Duration(float64(took) * crashAfter)
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-a.lifeOver:
		return Crashed
	case <-ctx.Done():
		return t.stopped(a)
	case <-timer.C:
	}
	switch {
	case a.poison:
		t.Crash()
		return Crashed
	case a.fails:
		return Failed
	}
	return Answered
}

// stopped tells a cancelled run from one whose connection broke because the target went down.
func (t *Target) stopped(a admission) End {
	select {
	case <-a.lifeOver:
		return Crashed
	default:
		return Stopped
	}
}

// answer writes a body of whole lines, each with the name of the request.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string) {
	size := t.cfg.AnswerBytes
	if n, err := strconv.Atoi(r.Header.Get(BytesHeader)); err == nil {
		size = min(max(n, 0), maxRequestBody)
	}
	body := AnswerBody(id, size)
	w.Header().Set(RequestHeader, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a caller that went away needs no answer
}

// AnswerBody returns the body of the answer to a request: whole lines with its name, of at least size bytes.
func AnswerBody(id string, size int) []byte {
	line := fmt.Appendf(nil, "%s\n", id)
	return bytes.Repeat(line, max(1, (size+len(line)-1)/len(line)))
}

// Health is what the health endpoint tells: the target's state of HealthLag ago.
type Health struct {
	State    string `json:"state"`
	InFlight int    `json:"inFlight"`
}

// sample is the state of a target at one moment.
type sample struct {
	at     time.Time
	health Health
}

// observe adds a sample and drops those that the health endpoint can't need any more. The caller holds the lock.
func (t *Target) observe(now time.Time) {
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
	shown := t.shown(now)
	if shown > len(t.samples)/2 {
		t.samples = slices.Delete(t.samples, 0, shown)
	}
}

// shown returns the index of the sample that the health endpoint tells. The caller holds the lock.
func (t *Target) shown(now time.Time) int {
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
		health = t.samples[t.shown(time.Now())].health
	}
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(health) // a prober that went away needs no answer
}
