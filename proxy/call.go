// Package proxy carries requests: from callers through the frontend of their own instance to the gatekeeper beside the chosen
// target, and through that to the target.
//
// A refusal that says that a request has not run is made only by a process that knows it: the frontend while no byte has left,
// the gatekeeper while it holds the request, or the target itself.
package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/intake"
	"github.com/chervilwell/chervilwell/mesh"
)

// Names are the headers that callers and targets of the mesh use.
type Names struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// Deadline holds the milliseconds that are left.
	Deadline string
	// Signature is the target's mark on an answer of its own.
	Signature string
	// ExpectTarget names the only target that may run the request.
	ExpectTarget string
	// NotRun marks a target's refusal to run a request.
	NotRun string
	// CallerService names the service beside which the request began.
	CallerService string
	// TargetID names the target on answers to health checks.
	TargetID string
	// ColdFor holds, on answers to health checks, the milliseconds for which the target stays cold.
	ColdFor string
}

// call is one attempt on its way to a target's gatekeeper.
type call struct {
	method, uri, host string
	header            http.Header
	// body is the whole body, or the part of it read so far if rest holds more.
	body   []byte
	rest   io.Reader
	length int64
	// ask makes the body wait for the peer's word that its link has room.
	ask bool

	targetID    string
	born        int64
	route       string
	priority    int
	repeatable  bool
	caller      string
	useful, end time.Time
}

// run says whether a request ran.
type run uint8

const (
	// ran: the target answered.
	ran run = iota
	// notRun: the target did not run the request and never will.
	notRun
	// unknown: the request may have run.
	unknown
)

// Reasons of refusals and failures, as they stand in logs and metrics.
const (
	reasonNone        = "-"
	reasonBusy        = "busy"
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
	reasonTooLong     = "body-too-long"
)

// outcome is what became of a call.
type outcome struct {
	run    run
	reason string
	// arrived reports whether the target saw the request.
	arrived bool
	status  int
	header  http.Header
	// body is the whole body unless stream is set.
	body   []byte
	stream io.ReadCloser
	length int64

	// target names the target of the attempt; err is why there is no answer, for the log.
	target string
	err    error

	load *intake.Load
	// took is the running time at the target, held the whole time in the gatekeeper's process.
	took, held time.Duration
	back       time.Duration
	leaving    bool
	// revision is the store's revision that the gatekeeper knows.
	revision uint64
}

// refused is an outcome without an answer.
func refused(r run, reason string) *outcome { return &outcome{run: r, reason: reason} }

// ended returns why an attempt failed: because its context ended, if it did, or for the reason given.
func ended(ctx context.Context, otherwise string) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reasonTimeout
	case ctx.Err() != nil:
		return reasonCancelled
	}
	return otherwise
}

// maxWhole is the longest answer that is read whole before its first byte is passed on.
const maxWhole = 1 << 20

// readWhole reads the body of an answer if it is not too long, so that one that breaks off is known before its head is sent.
func readWhole(resp *http.Response, o *outcome) error {
	o.length = resp.ContentLength
	if resp.ContentLength > maxWhole {
		o.stream = resp.Body
		return nil
	}
	var data []byte
	var err error
	if resp.ContentLength >= 0 {
		data = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, data)
		if err == nil {
			// The end is read too, since it frees the connection.
			_, err = resp.Body.Read(make([]byte, 1))
			if err == io.EOF {
				err = nil
			}
		}
	} else {
		data, err = io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	}
	if err != nil {
		resp.Body.Close()
		return err
	}
	o.body = data
	if resp.ContentLength < 0 && len(data) == maxWhole {
		o.body, o.stream = nil, &prefixed{Reader: io.MultiReader(bytes.NewReader(data), resp.Body), Closer: resp.Body}
		return nil
	}
	o.length = int64(len(data))
	return resp.Body.Close()
}

// prefixed is a body whose beginning was read already.
type prefixed struct {
	io.Reader
	io.Closer
}

// matches reports whether a target is the one that the call is for.
func (c *call) matches(t *mesh.Target) bool { return t != nil && t.ID == c.targetID }
