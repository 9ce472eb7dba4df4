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

// faultHeader names the fault that faultyTransport injects for a request.
const faultHeader = "X-Break"

// faultyTransport is a transport that injects the fault named in faultHeader.
type faultyTransport struct {
	inner frontend.Transport
	mesh  *atomic.Pointer[mesh]
}

// Do implements frontend.Transport.
func (t *faultyTransport) Do(a *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	switch fault, name, _ := strings.Cut(a.Request.Header.Get(faultHeader), ":"); fault {
	case "crossed":
		return t.wrongAnswer(a)
	case "false-not-run":
		return t.falseNotRun(a)
	case "twice":
		return t.sendTwice(a)
	case "direct":
		return t.sendDirect(a, name)
	}
	return t.inner.Do(a)
}

// wrongAnswer replaces the request's ID in the answer, so that it appears to answer another request.
func (t *faultyTransport) wrongAnswer(a *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	resp, refused := t.inner.Do(a)
	if refused == nil {
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(bytes.ReplaceAll(body, []byte("crossed"), []byte("another"))))
	}
	return resp, refused
}

// falseNotRun refuses a request as not run after it ran.
func (t *faultyTransport) falseNotRun(a *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	resp, refused := t.inner.Do(a)
	if refused != nil {
		return nil, refused
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return nil, refusal.New(refusal.Timeout, "ran in spite of this refusal")
}

// sendTwice sends a request two times and returns the second answer.
func (t *faultyTransport) sendTwice(a *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	body, _ := io.ReadAll(a.Request.Body)
	first := *a
	first.Request = a.Request.Clone(a.Request.Context())
	first.Request.Body = io.NopCloser(bytes.NewReader(body))
	if resp, refused := t.inner.Do(&first); refused == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.Request.Body = io.NopCloser(bytes.NewReader(body))
	return t.inner.Do(a)
}

// sendDirect sends a request to the target of the named instance, bypassing admission.
func (t *faultyTransport) sendDirect(a *frontend.Attempt, name string) (*http.Response, *refusal.Refusal) {
	for _, n := range t.mesh.Load().Nodes {
		if n.Instance.Name != name {
			continue
		}
		out := a.Request.Clone(a.Request.Context())
		out.URL = &url.URL{Scheme: "http", Host: n.Target.Address(), Path: a.Request.URL.Path}
		out.RequestURI = ""
		resp, err := http.DefaultTransport.RoundTrip(out)
		if err != nil {
			return nil, refusal.Unknown(refusal.Unreachable, "%v", err)
		}
		return resp, nil
	}
	return nil, refusal.New(refusal.NoTarget, "no instance %q", name)
}

// send sends n calls of a stream concurrently, with the given fault if not empty, and returns them.
func (m *mesh) send(s bench.Stream, name, fault string, n int) []bench.Call {
	s.Header = http.Header{faultHeader: {fault}, standin.ServiceHeader: {"300ms"}}
	s.Name = name
	var mu sync.Mutex
	var wg sync.WaitGroup
	var calls []bench.Call
	for i := range n {
		wg.Go(func() {
			c := m.load.Do(context.Background(), &s, name+"-"+string(rune('a'+i)), 0)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
	wg.Wait()
	return calls
}

// TestBrokenRequestsAreCaught replaces the transport by a faulty one, and a graceful stop by an abrupt one, and expects each
// check to report the violation of its own guarantee.
func TestBrokenRequestsAreCaught(t *testing.T) {
	var current atomic.Pointer[mesh]
	m := newMesh(t, bench.MeshOptions{Seed: 1, Transport: func(inner frontend.Transport) frontend.Transport {
		return &faultyTransport{inner: inner, mesh: &current}
	}})
	current.Store(m)
	expectViolation := func(guarantee string, err error) {
		t.Helper()
		if err == nil {
			t.Errorf("violation of %q was not reported", guarantee)
		} else {
			t.Logf("%s: violation reported as expected: %v", guarantee, err)
		}
	}
	expectNone := func(guarantee string, err error) {
		t.Helper()
		if err != nil {
			t.Errorf("%s: violation reported for a correct run: %v", guarantee, err)
		}
	}
	good := m.send(stock, "good", "", 2)
	expectNone("whole answers", CheckAnswers(good))
	expectNone("true not-run", CheckNotRun(good, m.Ledger.All()))
	expectNone("graceful stop", CheckGracefulStop(good))

	expectViolation("whole answers", CheckAnswers(m.send(stock, "crossed", "crossed", 2)))
	expectViolation("true not-run", CheckNotRun(m.send(stock, "not-run", "false-not-run", 2), m.Ledger.All()))
	expectViolation("at most once", CheckAtMostOnce(m.send(ticket, "twice", "twice", 2), m.Ledger.All()))
	m.send(bound, "bound", "direct:nbb-la-lagerstand-1", 1)
	expectViolation("home regions", CheckHomeRegions(m.Ledger.All(), m.regionOf, homeRegions))

	coldNode := m.NodesIn("nbb-pa")[0]
	coldNode.Target.StartCold()
	coldStart := time.Now()
	m.send(stock, "flood", "direct:"+coldNode.Instance.Name, 8)
	expectViolation("cold start", CheckColdStart(m.Ledger.All(), coldNode.Target.Name(), coldStart, m.Limits(coldNode.Instance.Service)))
	expectViolation("cold overloads", checkColdOverloads(m.Counts()))

	outOfService := Window{From: time.Now().Add(-stopLimit - time.Second), Until: time.Now().Add(time.Minute)}
	m.send(stock, "late", "direct:"+drainedDomain+"-lagerstand-1", 1)
	expectViolation("no new work", CheckNoNewWork(m.Ledger.All(), windows(outOfService), stopLimit))

	var killed sync.WaitGroup
	killed.Go(func() {
		time.Sleep(100 * time.Millisecond)
		m.Nodes[0].Kill()
	})
	expectViolation("graceful stop", CheckGracefulStop(m.send(stock, "abrupt", "", 4)))
	killed.Wait()
}
