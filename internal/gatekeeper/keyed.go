package gatekeeper

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/once"
	"github.com/chervilwell/chervilwell/snapshot"
)

// maxStoredResponseBytes is the largest response body that is remembered for a key.
const maxStoredResponseBytes = 256 << 10

// maxPollRounds bounds how often the voters are asked for one key while more voters become known.
const maxPollRounds = 4

// storedResponse is the encoding of a remembered response.
type storedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// keyOf returns the key of a request that must run at most once. It returns false if the request has no key or its route
// allows retries.
func keyOf(call *Call, route *snapshot.Route) (once.Key, bool) {
	value := call.Request.Header.Get(headers.IdempotencyKey)
	if value == "" || route.Retry != catalogue.RetryNever {
		return once.Key{}, false
	}
	return once.Key{Organisation: call.Organisation, Route: route.Name, Value: value}, true
}

// fingerprint distinguishes requests with the same key. It excludes the body, which is streamed.
func fingerprint(r *http.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get("Content-Type")} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// doKeyed runs a keyed request, waits for the call that runs it, or returns the remembered response.
func (g *Gatekeeper) doKeyed(call *Call, route *snapshot.Route, key once.Key) (*http.Response, *refusal.Refusal) {
	ctx := call.Request.Context()
	for {
		verdict, running := g.submit(key, call, route)
		if verdict.Kind == once.Poll {
			verdict = g.poll(ctx, key, verdict, route)
		}
		switch verdict.Kind {
		case once.Run:
			return g.execute(call, route, key)
		case once.Replay:
			return replay(call.Request, verdict.Response)
		case once.Refuse:
			return nil, keyRefusal(verdict.Refusal)
		}
		select {
		case <-running:
		case <-ctx.Done():
			return nil, refusal.Unknown(refusal.KeyRunning, "the first request with this key has not ended")
		}
	}
}

// submit submits the key to the table. If this call is to poll or run, the key is marked as running. The channel is closed
// when the call that polls or runs has ended.
func (g *Gatekeeper) submit(key once.Key, call *Call, route *snapshot.Route) (verdict once.Verdict, running chan struct{}) {
	g.keys.withLock(func(t *once.Table, now time.Time) {
		verdict = t.Submit(now, key, fingerprint(call.Request), route.Regions)
		if verdict.Kind == once.Poll || verdict.Kind == once.Run {
			g.keys.runs[key] = make(chan struct{})
		}
		running = g.keys.runs[key]
	})
	return verdict, running
}

// complete changes the table at the end of a poll or run and wakes the calls that wait for it.
func (g *Gatekeeper) complete(key once.Key, change func(t *once.Table, now time.Time)) {
	g.keys.withLock(func(t *once.Table, now time.Time) {
		change(t, now)
		if running, ok := g.keys.runs[key]; ok {
			close(running)
			delete(g.keys.runs, key)
		}
	})
}

// poll asks the voters until the table decides. It returns Run or Refuse.
func (g *Gatekeeper) poll(ctx context.Context, key once.Key, verdict once.Verdict, route *snapshot.Route) once.Verdict {
	for range maxPollRounds {
		verdict = g.pollRound(ctx, key, verdict, route)
		if verdict.Kind != once.Poll {
			break
		}
	}
	if verdict.Kind == once.Run {
		return verdict
	}
	g.complete(key, func(t *once.Table, now time.Time) {
		if verdict.Kind != once.Refuse {
			verdict = t.Close(now, key)
		}
	})
	return verdict
}

// pollRound asks every voter once. It returns Wait if the votes decided nothing.
func (g *Gatekeeper) pollRound(ctx context.Context, key once.Key, verdict once.Verdict, route *snapshot.Route) once.Verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	votes := make(chan *once.Vote, len(verdict.Peers))
	for _, to := range verdict.Peers {
		go func() {
			vote, err := send[once.Vote](ctx, g, to, voteRequestPath, verdict.VoteRequest)
			if err != nil || vote.From.Instance != to {
				votes <- nil
				return
			}
			votes <- &vote
		}()
	}
	for range verdict.Peers {
		vote := <-votes
		if vote == nil {
			continue
		}
		var next once.Verdict
		g.keys.withLock(func(t *once.Table, now time.Time) { next = t.HandleVote(now, key, *vote, route.Regions) })
		if next.Kind != once.Wait {
			return next
		}
	}
	return once.Verdict{Kind: once.Wait}
}

// outcome is the result of a keyed run for its caller.
type outcome struct {
	resp    *http.Response
	refused *refusal.Refusal
}

// execute runs a request whose key is bound to this incarnation. If the caller disconnects, the run continues within the
// route's timeout, so that a resent request gets the first response.
func (g *Gatekeeper) execute(call *Call, route *snapshot.Route, key once.Key) (*http.Response, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Request.Context()), route.Limits.Timeout.Std())
	detached := *call
	detached.Request = call.Request.WithContext(ctx)
	ended := make(chan outcome, 1)
	g.running.Add(1)
	go func() {
		resp, refused := g.start(&detached, route)
		if refused != nil {
			g.complete(key, completionFor(refused, key))
			cancel()
			ended <- outcome{refused: refused}
			return
		}
		ended <- g.storeResponse(key, resp, cancel)
	}()
	select {
	case out := <-ended:
		return out.resp, out.refused
	case <-call.Request.Context().Done():
		go discard(ended)
		return nil, refusal.Unknown(refusal.KeyRunning, "the request still runs; resend it with its key for its answer")
	}
}

// discard closes a response that no caller waits for.
func discard(ended <-chan outcome) {
	if out := <-ended; out.resp != nil {
		out.resp.Body.Close()
	}
}

func completionFor(refused *refusal.Refusal, key once.Key) func(*once.Table, time.Time) {
	if refused.RunState == headers.NotRun {
		return func(t *once.Table, now time.Time) { t.Abort(now, key) }
	}
	return func(t *once.Table, now time.Time) { t.MarkLost(now, key) }
}

// storeResponse reads a response and stores it for resent requests. A body larger than maxStoredResponseBytes is passed on
// without being stored.
func (g *Gatekeeper) storeResponse(key once.Key, resp *http.Response, cancel context.CancelFunc) outcome {
	markLost := func(t *once.Table, now time.Time) { t.MarkLost(now, key) }
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredResponseBytes+1))
	if err != nil {
		resp.Body.Close()
		cancel()
		g.complete(key, markLost)
		return outcome{refused: refusal.Unknown(refusal.InvalidResponse, "target: %v", err)}
	}
	if len(body) > maxStoredResponseBytes {
		g.complete(key, markLost)
		resp.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), rest: resp.Body, cancel: cancel}
		return outcome{resp: resp}
	}
	resp.Body.Close()
	cancel()
	data, err := document.Marshal(storedResponse{Status: resp.StatusCode, Header: resp.Header, Body: body})
	g.complete(key, func(t *once.Table, now time.Time) {
		if err != nil {
			t.MarkLost(now, key)
			return
		}
		t.Finish(now, key, data)
	})
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	return outcome{resp: resp}
}

// joinedBody is the part of a response body already read, followed by the rest.
type joinedBody struct {
	io.Reader
	rest   io.Closer
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *joinedBody) Close() error {
	defer b.cancel()
	return b.rest.Close()
}

// replay returns a remembered response.
func replay(r *http.Request, data []byte) (*http.Response, *refusal.Refusal) {
	var stored storedResponse
	if err := document.Unmarshal(data, &stored); err != nil {
		return nil, refusal.Unknown(refusal.KeyUnknown, "remembered answer: %v", err)
	}
	if stored.Header == nil {
		stored.Header = http.Header{}
	}
	return &http.Response{
		StatusCode: stored.Status, Header: stored.Header, Request: r, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(stored.Body)), ContentLength: int64(len(stored.Body)),
	}, nil
}

// keyRefusal converts a refusal of the table into the caller's refusal.
func keyRefusal(r *once.Refusal) *refusal.Refusal {
	kind := refusal.KeyNotReady
	switch r.Reason {
	case once.KeyTooOld, once.KeyAhead, once.KeyReused:
		kind = refusal.KeyInvalid
	case once.NoMajority:
		kind = refusal.KeyUndecided
	case once.BoundElsewhere:
		kind = refusal.KeyHeldElsewhere
	case once.ResponseLost:
		kind = refusal.KeyUnknown
	}
	out := refusal.Unknown(kind, "%s", r.Reason)
	if r.NotRun {
		out.RunState = headers.NotRun
	}
	out.Remedy = r.Reason.Remedy()
	out.Holder = r.Holder.Instance
	return out
}
