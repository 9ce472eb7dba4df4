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

// answerBytes is the largest body of an answer that is remembered.
const answerBytes = 256 << 10

// maxPolls bounds how often the seats are asked for one key while their list grows.
const maxPolls = 4

// storedAnswer is a remembered answer.
type storedAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// keyOf returns the key of a request that is run at most once under it.
func keyOf(call *Call, route *snapshot.Route) (once.Key, bool) {
	value := call.Request.Header.Get(headers.IdempotencyKey)
	if value == "" || route.Repeat != catalogue.Never {
		return once.Key{}, false
	}
	return once.Key{Organisation: call.Organisation, Route: route.Name, Value: value}, true
}

// fingerprint tells requests apart that come with the same key. It does not look at the body, which streams.
func fingerprint(r *http.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get("Content-Type")} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// doKeyed runs a keyed request, joins the one that runs, or gives its remembered answer.
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
			return replay(call.Request, verdict.Answer)
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

// submit asks the table, and notes that this call polls or runs. Else the channel ends with the call that does.
func (g *Gatekeeper) submit(key once.Key, call *Call, route *snapshot.Route) (verdict once.Verdict, running chan struct{}) {
	g.keys.use(func(t *once.Table, now time.Time) {
		verdict = t.Submit(now, key, fingerprint(call.Request), route.Regions)
		if verdict.Kind == once.Poll || verdict.Kind == once.Run {
			g.keys.runs[key] = make(chan struct{})
		}
		running = g.keys.runs[key]
	})
	return verdict, running
}

// settle changes the table at the end of a poll or run and lets joined calls go on.
func (g *Gatekeeper) settle(key once.Key, change func(t *once.Table, now time.Time)) {
	g.keys.use(func(t *once.Table, now time.Time) {
		change(t, now)
		if running, ok := g.keys.runs[key]; ok {
			close(running)
			delete(g.keys.runs, key)
		}
	})
}

// poll asks the seats until the table decides. It returns Run or Refuse.
func (g *Gatekeeper) poll(ctx context.Context, key once.Key, verdict once.Verdict, route *snapshot.Route) once.Verdict {
	for range maxPolls {
		verdict = g.pollOnce(ctx, key, verdict, route)
		if verdict.Kind != once.Poll {
			break
		}
	}
	if verdict.Kind == once.Run {
		return verdict
	}
	g.settle(key, func(t *once.Table, now time.Time) {
		if verdict.Kind != once.Refuse {
			verdict = t.Close(now, key)
		}
	})
	return verdict
}

// pollOnce asks every seat once. It returns Wait if the votes decided nothing.
func (g *Gatekeeper) pollOnce(ctx context.Context, key once.Key, verdict once.Verdict, route *snapshot.Route) once.Verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	votes := make(chan *once.Vote, len(verdict.Peers))
	for _, to := range verdict.Peers {
		go func() {
			vote, err := send[once.Vote](ctx, g, to, askPath, verdict.Ask)
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
		g.keys.use(func(t *once.Table, now time.Time) { next = t.Count(now, key, *vote, route.Regions) })
		if next.Kind != once.Wait {
			return next
		}
	}
	return once.Verdict{Kind: once.Wait}
}

// outcome is the end of a keyed run as its caller gets it.
type outcome struct {
	resp    *http.Response
	refused *refusal.Refusal
}

// execute runs a request whose key is bound to this life. The run goes on when its caller leaves, within the route's timeout,
// so that a resend gets the first answer.
func (g *Gatekeeper) execute(call *Call, route *snapshot.Route, key once.Key) (*http.Response, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Request.Context()), route.Limits.Timeout.Std())
	detached := *call
	detached.Request = call.Request.WithContext(ctx)
	ended := make(chan outcome, 1)
	g.running.Add(1)
	go func() {
		resp, refused := g.start(&detached, route)
		if refused != nil {
			g.settle(key, settlementOf(refused, key))
			cancel()
			ended <- outcome{refused: refused}
			return
		}
		ended <- g.remember(key, resp, cancel)
	}()
	select {
	case out := <-ended:
		return out.resp, out.refused
	case <-call.Request.Context().Done():
		go discard(ended)
		return nil, refusal.Unknown(refusal.KeyRunning, "the request still runs; resend it with its key for its answer")
	}
}

// discard closes an answer that nobody waits for.
func discard(ended <-chan outcome) {
	if out := <-ended; out.resp != nil {
		out.resp.Body.Close()
	}
}

func settlementOf(refused *refusal.Refusal, key once.Key) func(*once.Table, time.Time) {
	if refused.Run == headers.NotRun {
		return func(t *once.Table, now time.Time) { t.Withdraw(now, key) }
	}
	return func(t *once.Table, now time.Time) { t.Lose(now, key) }
}

// remember reads an answer and keeps it for resends. A larger one than answerBytes is passed on and not kept.
func (g *Gatekeeper) remember(key once.Key, resp *http.Response, cancel context.CancelFunc) outcome {
	lose := func(t *once.Table, now time.Time) { t.Lose(now, key) }
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerBytes+1))
	if err != nil {
		resp.Body.Close()
		cancel()
		g.settle(key, lose)
		return outcome{refused: refusal.Unknown(refusal.BrokenAnswer, "target: %v", err)}
	}
	if len(body) > answerBytes {
		g.settle(key, lose)
		resp.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), rest: resp.Body, cancel: cancel}
		return outcome{resp: resp}
	}
	resp.Body.Close()
	cancel()
	data, err := document.Marshal(storedAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body})
	g.settle(key, func(t *once.Table, now time.Time) {
		if err != nil {
			t.Lose(now, key)
			return
		}
		t.Finish(now, key, data)
	})
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	return outcome{resp: resp}
}

// joinedBody is the read start of an answer and its rest.
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

// replay returns a remembered answer.
func replay(r *http.Request, data []byte) (*http.Response, *refusal.Refusal) {
	var answer storedAnswer
	if err := document.Unmarshal(data, &answer); err != nil {
		return nil, refusal.Unknown(refusal.KeyUnknown, "remembered answer: %v", err)
	}
	if answer.Header == nil {
		answer.Header = http.Header{}
	}
	return &http.Response{
		StatusCode: answer.Status, Header: answer.Header, Request: r, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(answer.Body)), ContentLength: int64(len(answer.Body)),
	}, nil
}

// keyRefusal turns the table's refusal into what the caller gets.
func keyRefusal(r *once.Refusal) *refusal.Refusal {
	kind := refusal.KeyNotReady
	switch r.Reason {
	case once.KeyTooOld, once.KeyAhead, once.KeyReused:
		kind = refusal.KeyInvalid
	case once.NoMajority:
		kind = refusal.KeyUndecided
	case once.HeldElsewhere:
		kind = refusal.KeyElsewhere
	case once.AnswerLost:
		kind = refusal.KeyUnknown
	}
	out := refusal.Unknown(kind, "%s", r.Reason)
	if r.NotRun {
		out.Run = headers.NotRun
	}
	out.Remedy = r.Reason.Remedy()
	out.Holder = r.Holder.Instance
	return out
}
