// Package proxy forwards requests from callers through the frontend of their own instance to the gatekeeper beside the
// chosen target, and from there to the target.
//
// A refusal states that the request has not run. Only a process that can be certain of this returns one: the frontend while
// no byte has been sent, the gatekeeper while it holds the request, or the target itself.
package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// HeaderNames holds the names of the HTTP headers used by callers and targets.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; targets echo it in the response.
	RequestID string
	// Deadline holds the time left to answer the request, in milliseconds.
	Deadline string
	// Signature is set by the target on the responses that it produced itself.
	Signature string
	// ExpectTarget names the only target that may run the request.
	ExpectTarget string
	// NotRun is set by the target on a response to a request that it refused to run.
	NotRun string
	// CallerService names the service from whose instance the request was sent.
	CallerService string
	// TargetID names the target in responses to health checks.
	TargetID string
	// ColdFor holds, in responses to health checks, the time in milliseconds for which the target remains cold.
	ColdFor string
	// Key holds the caller's key. It is not passed on if the configuration has organisations.
	Key string
	// Organisation names the organisation of the request in the request to the target.
	Organisation string
}

// call is one attempt of a request, sent to the gatekeeper of a target.
type call struct {
	method, uri, host string
	header            http.Header
	// body is the whole body, or the part read so far if rest is set.
	body   []byte
	rest   *bodyroom.Arrival
	length int64
	// setReadDeadline sets the deadline of reads from rest. It is set if rest is.
	setReadDeadline func(time.Time) error
	// lifetime ends when the response has been sent to the caller.
	lifetime context.Context
	// expectContinue delays the body until the peer has confirmed that its link has capacity.
	expectContinue bool

	targetID string
	// startedMs is the start of the target's incarnation in Unix milliseconds.
	startedMs int64
	route     string
	priority  int
	retryable bool
	caller    string
	// fingerprint identifies the request over the attempts of its caller.
	fingerprint quarantine.Fingerprint
	// prefix is what the fingerprint covers of a long body. digest is that of the body if it is not in memory when the call runs.
	prefix quarantine.Prefix
	digest *quarantine.Digest
	// passing reads body and rest if they pass on their way through digest.
	passing io.Reader
	// atHome is set if the frontend knows the request as a suspect and has chosen its home. notice is what it knows.
	atHome bool
	notice *quarantine.Notice
	// softDeadline is the end of the latency objective.
	softDeadline, deadline time.Time
	// fromPeer is set by the gatekeeper if the call came from another process. transfer is the time for which the response is expected
	// to occupy the machine's link, or 0 if it is not scheduled.
	fromPeer bool
	transfer time.Duration
}

// run states whether a request ran.
type run uint8

const (
	// ran means that the target returned a response.
	ran run = iota
	// notRun means that the target did not run the request and will not run it.
	notRun
	// unknown means that the request may have run.
	unknown
)

// Reasons of refusals and failures, as used in logs and metrics.
const (
	reasonNone        = "-"
	reasonBusy        = "busy"
	reasonRateLimited = "rate-limited"
	reasonLeaving     = "leaving"
	reasonMoved       = "moved"
	reasonTargetDown  = "target-down"
	reasonShed        = "shed"
	reasonBroken      = "broken"
	reasonUnsigned    = "unsigned"
	reasonTimeout     = "timeout"
	reasonCancelled   = "cancelled"
	reasonUnreachable = "unreachable"
	reasonPeerBroken  = "peer-broken"
	reasonNoTarget    = "no-target"
	reasonLinkBusy    = "link-busy"
	reasonNoConfig    = "no-configuration"
	reasonNoRoute     = "no-route"
	reasonBodyTooLong = "body-too-long"
	reasonSuspected   = "suspected"
	reasonQuarantined = "quarantined"
	reasonUnknownKey  = "unknown-key"
	reasonStaleKeys   = "stale-keys"
	reasonNoRoom      = "no-room"
	reasonStalled     = "stalled"
	reasonOverQuota   = "over-quota"
)

// outcome is the result of a call.
type outcome struct {
	run    run
	reason string
	// arrived reports whether the target received the request.
	arrived bool
	status  int
	header  http.Header
	// body is the whole body of the response unless stream is set, which is read from a connection of the pool via.
	body   []byte
	stream io.ReadCloser
	via    *httppool.Pool
	length int64

	// target is the ID of the target of the attempt; err is the cause of a missing response, for the log.
	target string
	err    error

	load *gate.Load
	// took is the service time at the target; gatekeeperTime is the total time spent in the gatekeeper's process, took
	// included.
	took, gatekeeperTime time.Duration
	retryAfter           time.Duration
	// leaving is set by a process that accepts no new calls, targetLeaving if the target states that it is leaving.
	leaving, targetLeaving bool
	// revision is the store revision of the gatekeeper's state.
	revision uint64
	// notice is what the gatekeeper knows of the request if it has been in flight at a crash, or nil.
	notice *quarantine.Notice
}

// noResponse returns an outcome without a response.
func noResponse(r run, reason string) *outcome { return &outcome{run: r, reason: reason} }

// failureReason returns why an attempt failed: the timeout or cancellation of ctx if it has ended, otherwise fallback.
func failureReason(ctx context.Context, fallback string) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reasonTimeout
	case ctx.Err() != nil:
		return reasonCancelled
	}
	return fallback
}

// maxBufferedResponse is the size in bytes up to which a response is read completely before its first byte is forwarded.
const maxBufferedResponse = 1 << 20

// maxBufferedResponses is the total size in bytes of the response bodies longer than smallResponse that a process holds for its own
// callers, and again for other processes.
const maxBufferedResponses = 8 << 20

// smallResponse is the size in bytes up to which a response needs no room among the larger ones, so that these can't keep it from
// being read completely.
const smallResponse = 8 << 10

// responseRoom limits the total size of the response bodies held in memory. It is safe for concurrent use.
type responseRoom struct {
	free *semaphore.Weighted
	// shared is the memory for all bodies of the process.
	shared *bodyroom.Room
}

func newResponseRoom(shared *bodyroom.Room) responseRoom {
	return responseRoom{semaphore.NewWeighted(maxBufferedResponses), shared}
}

// acquire takes room for a number of bytes until ctx ends, and reports whether there was any.
func (r responseRoom) acquire(ctx context.Context, bytes int64) bool {
	if !r.free.TryAcquire(bytes) {
		return false
	}
	if !r.shared.TryAcquire(bytes) {
		r.free.Release(bytes)
		return false
	}
	context.AfterFunc(ctx, func() { r.free.Release(bytes); r.shared.Release(bytes) })
	return true
}

// buffer reads the body of resp into o unless it is longer than maxBufferedResponse or there is no room for it, so that a truncated
// response is detected before its head is forwarded. The room is released when held ends, at the end of the caller's request. It returns
// an error if the body can't be read; the body is closed then.
func (r responseRoom) buffer(held context.Context, resp *http.Response, o *outcome) error {
	o.length = resp.ContentLength
	if o.length > maxBufferedResponse || o.length > smallResponse && !r.acquire(held, o.length) {
		o.stream = resp.Body
		return nil
	}
	var data []byte
	var whole bool
	var err error
	if o.length >= 0 {
		data, whole = make([]byte, o.length), true
		_, err = io.ReadFull(resp.Body, data)
		if err == nil {
			// Read up to EOF, which releases the connection.
			_, err = resp.Body.Read(make([]byte, 1))
			if err == io.EOF {
				err = nil
			}
		}
	} else {
		data, whole, err = r.readUnsized(held, resp.Body)
	}
	if err != nil {
		resp.Body.Close()
		return err
	}
	if !whole {
		o.stream = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), resp.Body), Closer: resp.Body}
		return nil
	}
	o.body, o.length = data, int64(len(data))
	return resp.Body.Close()
}

// readUnsized reads a body without a length. It stops, and reports that the body is not whole, at maxBufferedResponse and where there is no
// room for more.
func (r responseRoom) readUnsized(held context.Context, body io.Reader) (data []byte, whole bool, err error) {
	data = make([]byte, 0, smallResponse)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(data) < cap(data) {
			continue
		}
		larger := min(2*cap(data), maxBufferedResponse)
		if larger == cap(data) || !r.acquire(held, int64(larger-cap(data))) {
			return data, false, nil
		}
		data = append(make([]byte, 0, larger), data...)
	}
}

// prefixedBody is a body whose beginning has already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// incarnation returns the incarnation that the call is meant for.
func (c *call) incarnation() incarnation { return incarnation{id: c.targetID, startedMs: c.startedMs} }

// matches reports whether t is the target of the call. t may be nil.
func (c *call) matches(t *mesh.Target) bool { return t != nil && t.ID == c.targetID }
