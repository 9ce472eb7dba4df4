package history

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/internal/bench"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// breakHeader names the fault that the broken carrier commits for a request.
const breakHeader = "X-Break"

// breaker is a carrier that breaks promises for the requests that ask for it.
type breaker struct {
	inner frontend.Carrier
	mesh  *atomic.Pointer[mesh]
}

// Do implements frontend.Carrier.
func (b *breaker) Do(s *frontend.Shipment) (*http.Response, *refusal.Refusal) {
	switch how, name, _ := strings.Cut(s.Request.Header.Get(breakHeader), ":"); how {
	case "crossed":
		return b.crossed(s)
	case "false-not-run":
		return b.falseNotRun(s)
	case "twice":
		return b.twice(s)
	case "direct":
		return b.direct(s, name)
	}
	return b.inner.Do(s)
}

// crossed gives one request another's answer.
func (b *breaker) crossed(s *frontend.Shipment) (*http.Response, *refusal.Refusal) {
	resp, refused := b.inner.Do(s)
	if refused == nil {
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(bytes.ReplaceAll(body, []byte("crossed"), []byte("another"))))
	}
	return resp, refused
}

// falseNotRun says that a request did not run, after it ran.
func (b *breaker) falseNotRun(s *frontend.Shipment) (*http.Response, *refusal.Refusal) {
	resp, refused := b.inner.Do(s)
	if refused != nil {
		return nil, refused
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return nil, refusal.New(refusal.Timeout, "not true")
}

// twice sends a request two times.
func (b *breaker) twice(s *frontend.Shipment) (*http.Response, *refusal.Refusal) {
	body, _ := io.ReadAll(s.Request.Body)
	first := *s
	first.Request = s.Request.Clone(s.Request.Context())
	first.Request.Body = io.NopCloser(bytes.NewReader(body))
	if resp, refused := b.inner.Do(&first); refused == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.Request.Body = io.NopCloser(bytes.NewReader(body))
	return b.inner.Do(s)
}

// direct goes past admission to the target of the instance named.
func (b *breaker) direct(s *frontend.Shipment, name string) (*http.Response, *refusal.Refusal) {
	for _, n := range b.mesh.Load().Nodes {
		if n.Instance.Name != name {
			continue
		}
		out := s.Request.Clone(s.Request.Context())
		out.URL = &url.URL{Scheme: "http", Host: n.Target.Address(), Path: s.Request.URL.Path}
		out.RequestURI = ""
		resp, err := http.DefaultTransport.RoundTrip(out)
		if err != nil {
			return nil, refusal.Unknown(refusal.Unreachable, "%v", err)
		}
		return resp, nil
	}
	return nil, refusal.New(refusal.NoTarget, "no instance %q", name)
}

// do sends n calls of a stream at once, broken as given, and returns them.
func (m *mesh) do(s bench.Stream, name, how string, n int) []bench.Call {
	s.Header = http.Header{breakHeader: {how}, standin.ServiceHeader: {"300ms"}}
	s.Name = name
	var mu sync.Mutex
	var wait sync.WaitGroup
	var calls []bench.Call
	for i := range n {
		wait.Go(func() {
			c := m.load.Do(context.Background(), &s, name+"-"+string(rune('a'+i)), 0)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
	wait.Wait()
	return calls
}

// TestBrokenRequestsAreCaught puts a broken carrier in the place of the real one, and an abrupt stop in the place of the
// graceful one, and expects the check of each promise to catch its own.
func TestBrokenRequestsAreCaught(t *testing.T) {
	var current atomic.Pointer[mesh]
	m := newMesh(t, bench.MeshOptions{Seed: 1, Carrier: func(inner frontend.Carrier) frontend.Carrier {
		return &breaker{inner: inner, mesh: &current}
	}})
	current.Store(m)
	caught := func(promise string, err error) {
		t.Helper()
		if err == nil {
			t.Errorf("what breaks %q was not caught", promise)
		} else {
			t.Logf("%s caught: %v", promise, err)
		}
	}
	clean := func(promise string, err error) {
		t.Helper()
		if err != nil {
			t.Errorf("%s: a good run was reported: %v", promise, err)
		}
	}
	good := m.do(stock, "good", "", 2)
	clean("whole answers", Answers(good))
	clean("true not-run", NotRun(good, m.Ledger.All()))
	clean("graceful stop", GracefulStop(good))

	caught("whole answers", Answers(m.do(stock, "crossed", "crossed", 2)))
	caught("true not-run", NotRun(m.do(stock, "liar", "false-not-run", 2), m.Ledger.All()))
	caught("at most once", AtMostOnce(m.do(ticket, "twice", "twice", 2), m.Ledger.All()))
	m.do(bound, "bound", "direct:nbb-la-lagerstand-1", 1)
	caught("home regions", HomeRegions(m.Ledger.All(), m.regionOf, homes))

	cold := m.In("nbb-pa")[0]
	cold.Target.Chill()
	began := time.Now()
	m.do(stock, "flood", "direct:"+cold.Instance.Name, 8)
	caught("cold start", ColdBearing(m.Ledger.All(), cold.Target.Name(), began, m.Limits(cold.Instance.Service)))
	caught("cold overloads", coldOverloads(m.Counts()))

	out := Window{From: time.Now().Add(-stopLimit - time.Second), Until: time.Now().Add(time.Minute)}
	m.do(stock, "late", "direct:"+leaving+"-lagerstand-1", 1)
	caught("no new work", NoNewWork(m.Ledger.All(), windows(out), stopLimit))

	var killed sync.WaitGroup
	killed.Go(func() {
		time.Sleep(100 * time.Millisecond)
		m.Nodes[0].Kill()
	})
	caught("graceful stop", GracefulStop(m.do(stock, "abrupt", "", 4)))
	killed.Wait()
}
