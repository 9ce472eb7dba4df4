// Package headers defines the HTTP headers exchanged between processes, and parses and formats their values.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Header names in canonical form.
const (
	// Organisation is the organisation to which a request is accounted.
	Organisation = "Chervilwell-Organisation"
	// Route is the name of the route matched by the frontend.
	Route = "Chervilwell-Route"
	// Run is the RunState of a refused request.
	Run = "Chervilwell-Run"
	// Attempt is the number of attempts made so far for a request, nested calls included.
	Attempt = "Chervilwell-Attempt"
	// Timeout is the time left until the deadline of a request, in milliseconds.
	Timeout = "Chervilwell-Timeout-Ms"
	// GateLoad is the LoadState of a target's admission gate, sent with each answer.
	GateLoad = "Chervilwell-Load"
	// Leaving is "1" on answers of an instance that accepts no new requests.
	Leaving = "Chervilwell-Leaving"
	// IdempotencyKey identifies a request and its resends.
	IdempotencyKey = "Idempotency-Key"
)

// Prefix is the common prefix of internal header names.
const Prefix = "Chervilwell-"

// MaxKeyBytes is the maximum length of an idempotency key in bytes.
const MaxKeyBytes = 255

// MaxAttempts is the highest attempt count accepted from a header; higher ones are reduced to it.
const MaxAttempts = 1000

// MaxTimeout is the longest timeout accepted from a header; longer ones are reduced to it.
const MaxTimeout = 24 * time.Hour

// RunState states whether a refused request may have run.
type RunState string

// Run states.
const (
	// NotRun means that no byte of the request was sent to a target.
	NotRun RunState = "not-run"
	// Unknown means that the request may have run.
	Unknown RunState = "unknown"
)

// ParseRun parses a run state. Any value other than "not-run" is Unknown, so that a request that may have run is never
// taken as not run.
func ParseRun(s string) RunState {
	if s == string(NotRun) {
		return NotRun
	}
	return Unknown
}

// ParseAttempt parses an attempt count. It returns 0 if s is empty or invalid, and at most MaxAttempts.
func ParseAttempt(s string) int {
	if s == "" {
		return 0 // avoids allocating an error
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxAttempts)
}

// FormatAttempt formats an attempt count.
func FormatAttempt(n int) string { return strconv.Itoa(n) }

// ParseTimeout parses the time left in milliseconds and limits it to MaxTimeout. It returns false if s is empty or invalid.
func ParseTimeout(s string) (time.Duration, bool) {
	if s == "" {
		return 0, false // avoids allocating an error
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	if ms > MaxTimeout.Milliseconds() {
		return MaxTimeout, true
	}
	return time.Duration(ms) * time.Millisecond, true
}

// FormatTimeout formats the time left in milliseconds. It rounds down, so that nested calls never extend the deadline.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// LoadState is the load of a target's admission gate.
type LoadState struct {
	// InFlight is the number of requests running at the target.
	InFlight int
	// Limit is the current concurrency limit.
	Limit int
	// Queued is the number of requests waiting for admission.
	Queued int
}

// String formats the state as "inflight/limit/queued".
func (l LoadState) String() string {
	buf := make([]byte, 0, 16)
	buf = strconv.AppendInt(buf, int64(l.InFlight), 10)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(l.Limit), 10)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(l.Queued), 10)
	return string(buf)
}

// ErrLoad is returned for a load header that is not of the form "inflight/limit/queued".
var ErrLoad = errors.New(`load is not of the form "inflight/limit/queued"; ignore it and use the last one known`)

// ParseLoad parses "inflight/limit/queued". It returns ErrLoad if s has another form.
func ParseLoad(s string) (LoadState, error) {
	inFlight, rest, ok := strings.Cut(s, "/")
	if !ok {
		return LoadState{}, ErrLoad
	}
	limit, queued, ok := strings.Cut(rest, "/")
	if !ok {
		return LoadState{}, ErrLoad
	}
	var l LoadState
	for _, part := range []struct {
		text string
		dst  *int
	}{{inFlight, &l.InFlight}, {limit, &l.Limit}, {queued, &l.Queued}} {
		n, err := strconv.ParseUint(part.text, 10, 31)
		if err != nil {
			return LoadState{}, ErrLoad
		}
		*part.dst = int(n)
	}
	return l, nil
}

// StripInternal removes all headers whose names start with Prefix, in any case.
func StripInternal(h http.Header) {
	for name := range h {
		if len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix) {
			delete(h, name)
		}
	}
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers, including those listed in Connection.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
