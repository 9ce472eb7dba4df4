// Package headers names the HTTP headers that processes exchange and reads and writes their typed values.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Names of the headers, in canonical form.
const (
	// Organisation names the organisation that a request is accounted to.
	Organisation = "Chervilwell-Organisation"
	// Route names the route that the frontend matched.
	Route = "Chervilwell-Route"
	// Run says on a refusal whether the request may have run.
	Run = "Chervilwell-Run"
	// Attempt is the number of attempts made so far for the request, over all nested calls.
	Attempt = "Chervilwell-Attempt"
	// Timeout is the time that the request has left, in milliseconds.
	Timeout = "Chervilwell-Timeout-Ms"
	// Load is the load of an admission, on its answers.
	Load = "Chervilwell-Load"
	// Leaving is "1" on answers of an instance that takes no new work.
	Leaving = "Chervilwell-Leaving"
	// IdempotencyKey marks a resend of an earlier request.
	IdempotencyKey = "Idempotency-Key"
)

// Prefix starts the names of all headers that belong to the system.
const Prefix = "Chervilwell-"

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 255

// MaxAttempts bounds the attempt count that is believed.
const MaxAttempts = 1000

// MaxTimeout bounds the time left that is believed.
const MaxTimeout = 24 * time.Hour

// RunState says whether a refused request may have reached a target.
type RunState string

// The run states.
const (
	// NotRun says that no byte of the request went to a target.
	NotRun RunState = "not-run"
	// Unknown says that the request may have run.
	Unknown RunState = "unknown"
)

// ParseRun reads a run state. Everything but "not-run" is Unknown.
func ParseRun(s string) RunState {
	if s == string(NotRun) {
		return NotRun
	}
	return Unknown
}

// ParseAttempt reads an attempt count. An absent or bad one is 0.
func ParseAttempt(s string) int {
	if s == "" {
		return 0 // spares the allocation of an error
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxAttempts)
}

// FormatAttempt writes an attempt count.
func FormatAttempt(n int) string { return strconv.Itoa(n) }

// ParseTimeout reads the time left. It reports false if the value is absent or bad.
func ParseTimeout(s string) (time.Duration, bool) {
	if s == "" {
		return 0, false // spares the allocation of an error
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

// FormatTimeout writes the time left, rounded down so that a chain of calls never gains time.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// LoadState is what an admission says of itself with each answer.
type LoadState struct {
	// InFlight is the number of requests that the target runs.
	InFlight int
	// Limit is the number that it may run now.
	Limit int
	// Queued is the number of requests that wait.
	Queued int
}

// String writes the state as "inflight/limit/queued".
func (l LoadState) String() string {
	buf := make([]byte, 0, 16)
	buf = strconv.AppendInt(buf, int64(l.InFlight), 10)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(l.Limit), 10)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(l.Queued), 10)
	return string(buf)
}

// ErrLoad says that a load header is not of the form "inflight/limit/queued".
var ErrLoad = errors.New(`load is not of the form "inflight/limit/queued"; ignore it and use the last one known`)

// ParseLoad reads "inflight/limit/queued".
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

// StripInternal removes every header of the system.
func StripInternal(h http.Header) {
	for name := range h {
		if len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix) {
			delete(h, name)
		}
	}
}

// hopByHop are the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the headers that belong to one connection, also those that Connection lists.
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
