package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

// noticePath is the path of notices between the gatekeepers of a service.
const noticePath = "/.chervilwell/quarantine"

// Limits of the search for crashing requests.
const (
	// digestBytes is the largest body that is read before its request is admitted, to tell it from others.
	digestBytes = 64 << 10
	// probeTimeout bounds the connection that tells a crashed target from a cut request.
	probeTimeout = 100 * time.Millisecond
)

// crashes ties crashes of the target to the requests in flight. It serializes the pure list.
type crashes struct {
	mu   sync.Mutex
	list *quarantine.List
	// last is when the last crash was noticed; the requests that began before belong to it.
	last time.Time
	// trial holds the one suspect that runs or is about to.
	trial chan struct{}
}

// suspicion is what is known of one request that is about to run.
type suspicion struct {
	fingerprint quarantine.Fingerprint
	home        bool
	onTrial     bool
	begun       time.Time
}

// use calls f with the list and the present time.
func (c *crashes) use(f func(l *quarantine.List, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.list, time.Now())
}

// vet refuses a request that crashes targets. A suspect waits here, at its home, until no other one runs.
func (g *Gatekeeper) vet(call *Call, route *snapshot.Route) (*suspicion, *refusal.Refusal) {
	digest, refused := bodyDigest(call.Request)
	if refused != nil {
		return nil, refused
	}
	s := &suspicion{fingerprint: quarantine.Of(quarantine.Request{
		Organisation: call.Organisation, Route: route.Name, Method: call.Request.Method, Target: call.Request.URL.RequestURI(),
		Key: call.Request.Header.Get(headers.IdempotencyKey), BodyDigest: digest,
	})}
	var verdict quarantine.Verdict
	g.crashes.use(func(l *quarantine.List, now time.Time) { verdict = l.Judge(now, s.fingerprint) })
	switch verdict {
	case quarantine.Quarantined:
		return nil, refusal.New(refusal.Quarantined, "the request crashed its targets")
	case quarantine.Suspect:
		return s, g.tryHome(call.Request.Context(), route, s)
	}
	return s, nil
}

// tryHome lets a suspect wait for its turn if this instance is its home.
func (g *Gatekeeper) tryHome(ctx context.Context, route *snapshot.Route, s *suspicion) *refusal.Refusal {
	if home := g.homeOf(route, s.fingerprint); home != g.config.Instance {
		refused := refusal.New(refusal.Suspected, "the request was in flight when a target crashed; it runs at %q only", home)
		refused.Holder = home
		return refused
	}
	select {
	case g.crashes.trial <- struct{}{}:
		s.home, s.onTrial = true, true
		return nil
	case <-ctx.Done():
		return refusal.New(refusal.TooLate, "another suspect runs")
	}
}

// homeOf returns the instance at which a suspect of the route runs, by the snapshot in force.
func (g *Gatekeeper) homeOf(route *snapshot.Route, f quarantine.Fingerprint) string {
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

// bodyDigest reads a small body and tells it from others. A larger one is told apart by its length alone and streams.
func bodyDigest(r *http.Request) (uint64, *refusal.Refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return 0, nil
	}
	if r.ContentLength < 0 || r.ContentLength > digestBytes {
		return xxhash.Sum64String(fmt.Sprint(r.ContentLength)), nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return 0, failure(r.Context(), readError(err), false)
	}
	r.Body = &readBody{Reader: bytes.NewReader(data), Closer: r.Body}
	return xxhash.Sum64(data), nil
}

// readError names the deadline of a connection by that of its request.
func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// readBody is a body that was read whole.
type readBody struct {
	io.Reader
	io.Closer
}

// begin counts an admitted request as in flight, unless it became known as a crasher meanwhile.
func (g *Gatekeeper) beginRun(s *suspicion) *refusal.Refusal {
	var verdict quarantine.Verdict
	s.begun = time.Now()
	g.crashes.use(func(l *quarantine.List, now time.Time) { verdict = l.Begin(now, s.fingerprint, s.home) })
	if verdict == quarantine.Free || (verdict == quarantine.Suspect && s.home) {
		return nil
	}
	return refusal.New(refusal.Suspected, "the request was in flight when a target crashed; resend it")
}

// endRun ends a request that was counted as in flight.
func (g *Gatekeeper) endRun(s *suspicion, result admission.Result) {
	var notice quarantine.Notice
	g.crashes.use(func(l *quarantine.List, now time.Time) { notice = l.End(now, s.fingerprint, result == admission.OK) })
	g.release(s)
	if !notice.Empty() {
		go g.tell(notice)
	}
}

// release lets the next suspect run.
func (g *Gatekeeper) release(s *suspicion) {
	if s.onTrial {
		s.onTrial = false
		<-g.crashes.trial
	}
}

// cut looks into a connection that broke after the request was written: if the target has crashed, the service's instances
// are told before the caller is.
func (g *Gatekeeper) cut(s *suspicion) {
	g.crashes.mu.Lock()
	if s.begun.Before(g.crashes.last) || !g.targetDown() {
		g.crashes.mu.Unlock()
		return
	}
	now := time.Now()
	g.crashes.last = now
	notice := g.crashes.list.Crashed(now)
	g.crashes.mu.Unlock()
	if g.config.Trail != nil {
		g.config.Trail.Add(audit.Record{
			Kind: audit.Quarantine, Subject: "target of instance " + g.config.Instance,
			Detail: fmt.Sprintf("crashed; %d requests suspected, %d quarantined", len(notice.Suspects), len(notice.Quarantined)),
			Remedy: "look for the cause in the target's log",
		})
	}
	g.tell(notice)
}

// targetDown reports whether the target takes no connections or has closed all that were open.
func (g *Gatekeeper) targetDown() bool {
	dead, alive := g.pool.Load().Check()
	if dead > 0 && alive == 0 {
		return true
	}
	conn, err := net.DialTimeout("tcp", g.config.TargetAddr, probeTimeout)
	if err != nil {
		return true
	}
	conn.Close()
	return false
}

// tell sends a notice to the service's other instances and waits until they have it or the time for messages is over.
func (g *Gatekeeper) tell(notice quarantine.Notice) {
	var wg sync.WaitGroup
	for _, inst := range g.config.Holder.Load().Endpoints.ForService(g.config.Service) {
		if inst.Name != g.config.Instance {
			wg.Go(func() { _, _ = send[quarantine.Notice](context.Background(), g, inst.Name, noticePath, notice) })
		}
	}
	wg.Wait()
}

func (g *Gatekeeper) takeNotice(body []byte, from certs.Identity) (any, error) {
	var notice quarantine.Notice
	if err := document.Unmarshal(body, &notice); err != nil {
		return nil, err
	}
	if notice.From != from.Instance {
		return nil, errNotSender
	}
	g.crashes.use(func(l *quarantine.List, now time.Time) { l.Apply(now, notice) })
	return quarantine.Notice{From: g.config.Instance}, nil
}
