package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/quarantine"
	"github.com/chervilwell/chervilwell/snapshot"
)

// noticePath is the path of quarantine notices between the gatekeepers of a service.
const noticePath = "/.chervilwell/quarantine"

// Limits of crash detection.
const (
	// maxDigestBytes is the largest body that is read before its request is admitted, to include its content in the
	// fingerprint.
	maxDigestBytes = 64 << 10
	// probeTimeout bounds the connection attempt that checks whether the target is up.
	probeTimeout = 100 * time.Millisecond
)

// crashTracker assigns crashes of the target to the requests in flight. It serializes the calls of the list.
type crashTracker struct {
	mu   sync.Mutex
	list *quarantine.List
	// trial is a semaphore held by the one suspect that runs or is about to.
	trial chan struct{}
}

// trackedRun is the crash-tracking state of one request.
type trackedRun struct {
	quarantine.Run
	atHome  bool
	onTrial bool
}

// withLock calls f with c.mu held, passing the list and the current time.
func (c *crashTracker) withLock(f func(l *quarantine.List, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.list, time.Now())
}

// checkQuarantine refuses a quarantined request. A suspect waits here, at its home, until no other suspect runs.
func (g *Gatekeeper) checkQuarantine(call *Call, route *snapshot.Route) (*trackedRun, *refusal.Refusal) {
	digest, refused := bodyDigest(call.Request)
	if refused != nil {
		return nil, refused
	}
	run := &trackedRun{Run: quarantine.Run{Fingerprint: quarantine.FingerprintOf(identity(call, route, digest))}}
	var verdict quarantine.Verdict
	g.crashTracker.withLock(func(l *quarantine.List, now time.Time) { verdict = l.Lookup(now, run.Fingerprint) })
	switch verdict {
	case quarantine.Quarantined:
		return nil, refusal.New(refusal.Quarantined, "the request crashed its targets")
	case quarantine.Suspect:
		return run, g.awaitTrial(call.Request.Context(), route, run)
	}
	return run, nil
}

// identity returns what identifies a request over the attempts of its caller. digest is that of its body. The host does not count: it may
// be the address of the instance to which the attempt was sent.
func identity(call *Call, route *snapshot.Route, digest uint64) quarantine.Request {
	return quarantine.Request{
		Organisation: call.Organisation, Service: route.Service, Route: route.Name, Method: call.Request.Method, Target: call.Request.URL.RequestURI(),
		Key: call.Request.Header.Get(headers.IdempotencyKey), BodyDigest: digest,
	}
}

// awaitTrial waits until the suspect may run if this instance is its home, and refuses it otherwise.
func (g *Gatekeeper) awaitTrial(ctx context.Context, route *snapshot.Route, run *trackedRun) *refusal.Refusal {
	if home := g.homeInstance(route, run.Fingerprint); home != g.config.Instance {
		refused := refusal.New(refusal.Suspected, "the request was in flight when a target crashed; it runs at %q only", home)
		refused.Holder = home
		return refused
	}
	select {
	case g.crashTracker.trial <- struct{}{}:
		run.atHome, run.onTrial = true, true
		return nil
	case <-ctx.Done():
		return refusal.New(refusal.TooLate, "another suspect runs")
	}
}

// homeInstance returns the home of a suspect among the route's instances in service, according to the current snapshot.
func (g *Gatekeeper) homeInstance(route *snapshot.Route, f quarantine.Fingerprint) string {
	state := g.config.Holder.Load()
	var names []string
	for _, inst := range state.Endpoints.ForService(route.Service) {
		c := state.Config
		if route.Allows(c.RegionOf(inst.FailureDomain)) && c.DomainInService(inst.FailureDomain) && c.InstanceInService(inst.Name) {
			names = append(names, inst.Name)
		}
	}
	return quarantine.Home(f, names)
}

// bodyDigest reads a body of at most maxDigestBytes and returns its hash. A larger body is streamed, and its length is
// hashed instead.
func bodyDigest(r *http.Request) (uint64, *refusal.Refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return 0, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxDigestBytes {
		return xxhash.Sum64String(fmt.Sprint(r.ContentLength)), nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return 0, failure(r.Context(), mapReadError(err), false)
	}
	r.Body = &bufferedBody{Reader: bytes.NewReader(data), Closer: r.Body}
	return xxhash.Sum64(data), nil
}

// mapReadError turns an exceeded deadline of the connection into context.DeadlineExceeded.
func mapReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// bufferedBody is a request body that has been read completely.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// beginRun counts an admitted request as in flight. It refuses the request if a crash made it a suspect in the meantime.
func (g *Gatekeeper) beginRun(run *trackedRun) *refusal.Refusal {
	var verdict quarantine.Verdict
	g.crashTracker.withLock(func(l *quarantine.List, now time.Time) { verdict = l.Begin(now, &run.Run, run.atHome) })
	if verdict == quarantine.Unsuspected || (verdict == quarantine.Suspect && run.atHome) {
		return nil
	}
	return refusal.New(refusal.Suspected, "the request was in flight when a target crashed; resend it")
}

// endRun ends a request that was counted as in flight.
func (g *Gatekeeper) endRun(run *trackedRun, result admission.Result, wrote bool) {
	var notice quarantine.Notice
	how := quarantine.Inconclusive
	switch {
	case !wrote && result != admission.OK:
		how = quarantine.NotRun
	case result == admission.OK:
		how = quarantine.Answered
	case wrote && (result == admission.Crashed || result == admission.Cancelled):
		how = quarantine.Unanswered
	}
	g.crashTracker.withLock(func(l *quarantine.List, now time.Time) { notice = l.End(now, &run.Run, how) })
	g.endTrial(run)
	if !notice.Empty() {
		go g.broadcast(notice)
	}
}

// endTrial lets the next suspect run.
func (g *Gatekeeper) endTrial(run *trackedRun) {
	if run.onTrial {
		run.onTrial = false
		<-g.crashTracker.trial
	}
}

// handleBrokenConn checks whether the target has crashed after a connection broke on which the request was written. If so,
// it sends a notice to the service's instances before the caller gets a response.
func (g *Gatekeeper) handleBrokenConn(run *trackedRun) {
	g.crashTracker.mu.Lock()
	if run.Crashed() || !g.targetDown() {
		g.crashTracker.mu.Unlock()
		return
	}
	notice := g.crashTracker.list.Crashed(time.Now(), rand.Uint64(), g.config.Instance)
	g.crashTracker.mu.Unlock()
	if g.config.Trail != nil {
		quarantined := len(notice.Quarantined())
		g.config.Trail.Add(audit.Record{
			Kind: audit.Quarantine, Subject: "target of instance " + g.config.Instance,
			Detail: fmt.Sprintf("crashed; %d requests suspected, %d quarantined", len(notice.Records)-quarantined, quarantined),
			Remedy: "look for the cause in the target's log",
		})
	}
	g.broadcast(notice)
}

// targetDown reports whether the target accepts no connections or has closed all idle connections that were open.
func (g *Gatekeeper) targetDown() bool {
	closed, open := g.pool.Load().CloseStale()
	if closed > 0 && open == 0 {
		return true
	}
	conn, err := net.DialTimeout("tcp", g.config.TargetAddr, probeTimeout)
	if err != nil {
		return true
	}
	conn.Close()
	return false
}

// broadcast sends a notice to the service's other instances and waits until each has replied or messageTimeout has passed.
func (g *Gatekeeper) broadcast(notice quarantine.Notice) {
	var wg sync.WaitGroup
	for _, inst := range g.config.Holder.Load().Endpoints.ForService(g.config.Service) {
		if inst.Name != g.config.Instance {
			wg.Go(func() { _, _ = send[quarantine.Notice](context.Background(), g, inst.Name, noticePath, notice) })
		}
	}
	wg.Wait()
}

func (g *Gatekeeper) handleNotice(body []byte, from certs.Identity) (any, error) {
	var notice quarantine.Notice
	if err := document.Unmarshal(body, &notice); err != nil {
		return nil, err
	}
	if notice.From != from.Instance {
		return nil, errWrongSender
	}
	g.crashTracker.withLock(func(l *quarantine.List, now time.Time) { l.Apply(now, notice) })
	return quarantine.Notice{From: g.config.Instance}, nil
}
