package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/pacer"
)

// expectResponse reserves the machine's link for the response to a download of another process. It returns the outcome if the response
// is expected to arrive too late, or nil. The caller must call forget once the call has ended.
func (k *Gatekeeper) expectResponse(state *mesh.State, c *call) (forget func(), o *outcome) {
	if !k.schedulesResponse(state, c) {
		return func() {}, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now, bytes := clock.Now(), k.outbound.MeanBytes(c.route)
	c.transfer = k.outbound.TransferTime(bytes)
	run, latest, late := k.gate.Expect(now, k.gateRequest(c))
	if latest = latest.Add(c.transfer); latest.After(c.deadline) { // the gate's limit leaves time for the response only within the objective
		latest = c.deadline
	}
	if fits, retryAfter := k.outbound.Fits(now, bytes, run, latest, late); !fits {
		o := noResponse(notRun, reasonLinkBusy)
		o.retryAfter = max(retryAfter, minRetryAfter)
		k.logLinkBusy(now)
		return func() {}, o
	}
	k.outbound.Expect(bytes)
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.outbound.Forget(bytes)
	}, nil
}

// schedulesResponse reports whether the response to a call is a large one that leaves over a narrow link.
func (k *Gatekeeper) schedulesResponse(state *mesh.State, c *call) bool {
	if !c.fromPeer || !k.outbound.Bounded() || state.Config == nil || !state.Config.SendsDownloads(k.cfg.Service) {
		return false
	}
	path, _, _ := strings.Cut(c.uri, "?")
	route := state.Config.Match(c.host, path)
	return route != nil && route.Kind == mesh.Download
}

// logLinkBusy logs that the link is busy, at most once in linkBusyInterval. It must be called with k.mu held.
func (k *Gatekeeper) logLinkBusy(now time.Time) {
	if now.Sub(k.linkBusyLogged) < linkBusyInterval {
		return
	}
	k.linkBusyLogged = now
	k.cfg.Log.Info().Dur("wait", k.outbound.Wait(now)).Int("responses", k.outbound.Waiting()).Msg(events.LinkBusy)
}

// linkBusyInterval is the minimum interval between two log lines that report a busy link.
const linkBusyInterval = time.Second

// pacedWriter writes the body of a large response in parts, each when the machine's link is free for it.
type pacedWriter struct {
	http.ResponseWriter
	ctx      context.Context
	keeper   *Gatekeeper
	response *pacer.Response
	granted  chan int
	// room is the number of bytes that may be written now.
	room int
	// waited is the time for which the response has waited for the link.
	waited time.Duration
}

// paced returns a writer for the response to a call, which is w unless the response is large and leaves over a narrow link. Writing fails
// once the deadline of the call is over, also if the receiver does not read. The caller must call done after the response has been written.
func (k *Gatekeeper) paced(ctx context.Context, w http.ResponseWriter, c *call, o *outcome) (_ http.ResponseWriter, done func()) {
	if o.run != ran || o.length < pacer.LargeMessageBytes || !k.schedulesResponse(k.cfg.Holder.Load(), c) {
		return w, func() {}
	}
	p := &pacedWriter{ResponseWriter: w, ctx: ctx, keeper: k, granted: make(chan int, 1)}
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(remaining(c.deadline) + responseSlack)); err != nil {
		return w, func() {}
	}
	p.response = &pacer.Response{Priority: c.priority, SoftDeadline: c.softDeadline, Grant: func(bytes int) { p.granted <- bytes }}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbound.Observe(c.route, o.length)
	k.outbound.Add(p.response, o.length)
	return p, p.done
}

// Write implements io.Writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := p.await(); err != nil {
			return written, err
		}
		n, err := p.ResponseWriter.Write(b[written:min(written+p.room, len(b))])
		written += n
		p.room -= n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// await waits until the link is free for the next part. It returns an error if the caller leaves.
func (p *pacedWriter) await() error {
	if p.room > 0 {
		return nil
	}
	start := clock.Now()
	p.keeper.askLink(p.response)
	select {
	case p.room = <-p.granted:
		p.waited += clock.Now().Sub(start)
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// done removes the response from the link's schedule.
func (p *pacedWriter) done() {
	_ = http.NewResponseController(p.ResponseWriter).SetWriteDeadline(time.Time{}) // fails only on a connection that has ended
	k := p.keeper
	k.cfg.Metrics.linkWait.Observe(p.waited.Seconds())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbound.Remove(clock.Now(), p.response)
	k.scheduleLink()
}

func (k *Gatekeeper) askLink(r *pacer.Response) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbound.Ask(clock.Now(), r)
	k.scheduleLink()
}

// scheduleLink sets the timer for the next Tick of the link. It must be called with k.mu held.
func (k *Gatekeeper) scheduleLink() {
	at := k.outbound.NextTick(clock.Now())
	if at.IsZero() {
		return
	}
	wait := max(remaining(at), 0) + time.Millisecond
	if k.linkTimer != nil {
		k.linkTimer.Reset(wait)
		return
	}
	k.linkTimer = time.AfterFunc(wait, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.outbound.Tick(clock.Now())
		k.scheduleLink()
	})
}
