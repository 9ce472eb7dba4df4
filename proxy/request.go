package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// request is a caller's request with its routing decisions. Frontend.mu guards tried, arrivals, retryAfter and
// linkRetryAfter.
type request struct {
	incoming *http.Request
	state    *mesh.State
	route    *mesh.Route
	// caller is the service that sent the request.
	caller string
	// organisation is that of the caller's key, or nil.
	organisation *mesh.Organisation
	// admitted is set once the request is counted towards the quota of its organisation.
	admitted bool
	service  string
	arrived  time.Time
	// softDeadline is the end of the latency objective. It counts from the caller's first attempt.
	softDeadline time.Time
	deadline     time.Time
	body         []byte
	// rest is the part of the body that has not been read, or nil.
	rest   *bodyroom.Arrival
	length int64
	// received is set once the whole body has been received.
	received bool
	// fingerprint identifies the request over the attempts of its caller. It is set once the body has been read.
	fingerprint quarantine.Fingerprint
	// head is the fingerprint of the request without its body. It is set if the body was too long to be read completely.
	head quarantine.Fingerprint
	// atHome is set if the present attempt is that of a suspect at its home.
	atHome bool
	// setReadDeadline sets the deadline of reads from rest. It is set if rest is.
	setReadDeadline func(time.Time) error
	// tried holds the IDs of the targets of all attempts. arrivals counts the attempts that reached a target, refusals those
	// that did not.
	tried      []string
	arrivals   int
	refusals   int
	retryAfter time.Duration
	// linkRetryAfter is the time after which a link that was closed to the request is expected to accept it.
	linkRetryAfter time.Duration
	// mayHaveRun is set if an attempt ended without confirmation that it had not run.
	mayHaveRun bool
	// failedResponse is a target's failure response. It is returned if no other target gives a better one.
	failedResponse *outcome
}

// plan sets the deadlines and the service of a request. It does not read the body.
func (f *Frontend) plan(req *request) {
	timeout := defaultDeadline
	if ms, err := strconv.ParseFloat(req.incoming.Header.Get(f.cfg.Names.Deadline), 64); err == nil && ms > 0 {
		timeout = time.Duration(min(ms, float64(maxDeadline.Milliseconds())) * float64(time.Millisecond))
	}
	req.deadline = req.arrived.Add(min(timeout, req.route.Timeout))
	f.mu.Lock()
	defer f.mu.Unlock()
	req.softDeadline = req.arrived.Add(req.route.Objective - f.deadlines.waited(req.route.Name, timeout))
	if req.route.Objective <= 0 {
		req.softDeadline = req.deadline
	}
	req.service = f.split(req.route).next(req.route.Parts)
	f.budget(req.service).RecordRequest(req.arrived, f.cfg.RetryBudget)
}

// readBody reads the body if it is at most maxBufferedBody long, so that it can be sent again. The start of a longer one may
// be in req.body; req.rest is the remainder. It returns bodyroom.ErrFull if there is no room for the body. The caller must call
// closeBody at the end of the request.
func (f *Frontend) readBody(w http.ResponseWriter, req *request) (closeBody func(), err error) {
	r := req.incoming
	req.length = r.ContentLength
	if r.ContentLength == 0 {
		req.received = true
		return func() {}, nil
	}
	if limit := req.state.Config.Limits.BodyBytes; limit > 0 && r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body := f.bodies().Receive(r.Body, bodyroom.FromCallers, http.NewResponseController(w).SetReadDeadline)
	req.setReadDeadline = body.SetReadDeadline
	if err := req.setReadDeadline(time.Now().Add(remaining(req.deadline))); err != nil {
		return body.Close, err
	}
	if r.ContentLength > maxBufferedBody {
		req.rest = body
		return body.Close, nil
	}
	sized, limit := r.ContentLength > 0, int64(maxBufferedBody)
	if sized {
		limit = r.ContentLength
	}
	if sized && limit > smallBody && !f.bodies().Fits(limit) {
		return body.Close, bodyroom.ErrFull
	}
	more := false
	req.body, more, err = body.ReadUpTo(limit, sized, smallBody)
	if err != nil {
		return body.Close, err
	}
	if more {
		req.rest = body
		return body.Close, nil
	}
	req.length, req.received = int64(len(req.body)), true
	return body.Close, req.setReadDeadline(time.Time{})
}

// bodies returns the memory for bodies.
func (f *Frontend) bodies() *bodyroom.Room { return f.cfg.Gatekeeper.bodies }

// refuseBody refuses a request whose body was not read. No byte of it has been sent.
func (f *Frontend) refuseBody(w http.ResponseWriter, req *request, err error) {
	f.cfg.Log.Debug().Err(err).Str("request", req.incoming.Header.Get(f.cfg.Names.RequestID)).Msg(events.RequestBodyIncomplete)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		f.refuseLongBody(w, req)
		return
	}
	o := noResponse(notRun, reasonCancelled)
	if errors.Is(err, bodyroom.ErrFull) || errors.Is(err, bodyroom.ErrStalled) {
		o.reason, o.retryAfter = bodyReason(err), roomRetryAfter
		w.Header().Set("Connection", "close")
	}
	f.refuse(w, req, o)
}

// refuseLongBody answers a request whose body is longer than the configuration allows.
func (f *Frontend) refuseLongBody(w http.ResponseWriter, req *request) {
	f.cfg.Metrics.observeRequest(kindNames[req.route.Kind], "413", reasonBodyTooLong, clock.Now().Sub(req.arrived))
	respondText(w, req.incoming, http.StatusRequestEntityTooLarge, "body is longer than the configuration allows")
}

// bodyReason returns the reason of a refusal for want of memory.
func bodyReason(err error) string {
	if errors.Is(err, bodyroom.ErrStalled) {
		return reasonStalled
	}
	return reasonNoRoom
}

// recordAttempt records the outcome of an attempt that did not end the request.
func (req *request) recordAttempt(o *outcome) {
	switch o.run {
	case ran:
		if req.failedResponse != nil && req.failedResponse.stream != nil {
			req.failedResponse.stream.Close()
		}
		req.failedResponse = o
	case unknown:
		req.mayHaveRun = true
	case notRun:
	}
}

// final returns the outcome for the caller after the last attempt: a target's failure response if there was one, otherwise
// last, as unknown if any attempt may have run.
func (req *request) final(last *outcome) *outcome {
	if req.failedResponse != nil {
		return req.failedResponse
	}
	if last.run == notRun && req.mayHaveRun {
		last.run = unknown
	}
	return last
}

// call builds the call for an attempt at one target.
func (f *Frontend) call(req *request, t *mesh.Target, atHome bool) *call {
	h := make(http.Header, len(req.incoming.Header)+4)
	for name, values := range req.incoming.Header {
		h[name] = values
	}
	headers.StripHopByHop(h)
	for _, name := range [...]string{f.cfg.Names.ExpectTarget, f.cfg.Names.CallerService, f.cfg.Names.Deadline, hopHeader, hopQuarantineHeader, "Expect"} {
		delete(h, name)
	}
	if req.state.Config.HasOrganisations() {
		f.setOrganisation(h, req.organisation)
	}
	c := &call{
		method: req.incoming.Method, uri: req.incoming.RequestURI, host: req.incoming.Host, header: h, body: req.body, rest: req.rest, length: req.length,
		setReadDeadline: req.setReadDeadline, lifetime: req.incoming.Context(),
		targetID: t.ID, startedMs: t.StartedMs, route: req.route.Name, priority: f.rank(req),
		retryable: req.route.Kind.Retryable(), caller: req.caller, softDeadline: req.softDeadline, deadline: req.deadline,
		fingerprint: req.hopFingerprint(), atHome: atHome,
	}
	if atHome {
		c.notice = f.crashes().about(req.fingerprint)
	}
	return c
}
