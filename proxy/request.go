package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/mesh"
)

// request is a caller's request with what was decided for it. The frontend's lock guards tried, arrivals and back.
type request struct {
	in       *http.Request
	state    *mesh.State
	route    *mesh.Route
	service  string
	arrived  time.Time
	useful   time.Time
	end      time.Time
	body     []byte
	rest     io.Reader
	length   int64
	tried    []string
	arrivals int
	refusals int
	back     time.Duration
	// linkBack is the time after which a link that was closed to the request lets it pass.
	linkBack time.Duration
	// mayHaveRun is set once an attempt ended without the word that it had not run.
	mayHaveRun bool
	// failure is a target's answer that was a failure; it stands if no other target gives a better one.
	failure *outcome
}

// plan decides what needs no look at the body.
func (f *Frontend) plan(req *request) {
	deadline := assumedDeadline
	if ms, err := strconv.ParseFloat(req.in.Header.Get(f.cfg.Names.Deadline), 64); err == nil && ms > 0 {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	req.end = req.arrived.Add(min(deadline, req.route.Timeout))
	f.mu.Lock()
	defer f.mu.Unlock()
	req.useful = req.arrived.Add(req.route.Objective - f.deadlines.spent(req.route.Name, deadline))
	if req.route.Objective <= 0 {
		req.useful = req.end
	}
	req.service = f.split(req.route).next(req.route.Parts)
	f.budget(req.service).Request(req.arrived, f.cfg.Repeats)
}

// readBody reads a body that is not too long, so that it can be sent again.
func (f *Frontend) readBody(w http.ResponseWriter, req *request) error {
	r := req.in
	req.length = r.ContentLength
	if r.ContentLength == 0 {
		return nil
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(left(req.end))); err != nil {
		return err
	}
	if r.ContentLength > maxBuffered {
		req.rest = r.Body
		return nil
	}
	var err error
	if r.ContentLength > 0 {
		req.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, req.body)
	} else {
		req.body, err = io.ReadAll(io.LimitReader(r.Body, maxBuffered))
		if len(req.body) == maxBuffered {
			req.rest = r.Body
			return err
		}
		req.length = int64(len(req.body))
	}
	if err != nil {
		return err
	}
	return http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// keep remembers what an attempt that did not help leaves behind.
func (req *request) keep(o *outcome) {
	switch o.run {
	case ran:
		if req.failure != nil && req.failure.stream != nil {
			req.failure.stream.Close()
		}
		req.failure = o
	case unknown:
		req.mayHaveRun = true
	case notRun:
	}
}

// final returns what the caller is told after the last attempt: a target's own answer if there was one, and that the request
// may have run if any attempt may have.
func (req *request) final(last *outcome) *outcome {
	if req.failure != nil {
		return req.failure
	}
	if last.run == notRun && req.mayHaveRun {
		last.run = unknown
	}
	return last
}

// call builds the attempt at one target.
func (f *Frontend) call(req *request, t *mesh.Target) *call {
	h := make(http.Header, len(req.in.Header)+4)
	for name, values := range req.in.Header {
		h[name] = values
	}
	headers.StripHopByHop(h)
	for _, name := range [...]string{f.cfg.Names.ExpectTarget, f.cfg.Names.CallerService, f.cfg.Names.Deadline, hopHeader, "Expect"} {
		delete(h, name)
	}
	return &call{
		method: req.in.Method, uri: req.in.RequestURI, host: req.in.Host, header: h, body: req.body, rest: req.rest, length: req.length,
		targetID: t.ID, born: t.Born, route: req.route.Name, priority: req.route.Priority,
		repeatable: req.route.Kind.Repeatable(), caller: f.cfg.Service, useful: req.useful, end: req.end,
	}
}
