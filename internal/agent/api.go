package agent

import (
	"context"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// leaveGrace is how long Leave waits for its notice to be sent.
const leaveGrace = 200 * time.Millisecond

// Joined reports whether the process holds a catalogue that was compared with its peers, so that it may serve.
func (a *Agent) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Phase() == distribution.Joined
}

// Woken tells that the process was paused: it drops its beliefs and compares its documents with its peers' before Joined
// reports true again.
func (a *Agent) Woken() { a.step(distribution.Woken{}) }

// Status returns the process's place in the distribution.
func (a *Agent) Status() distribution.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Status(time.Now())
}

// Revision returns the revision of the catalogue in force, or 0.
func (a *Agent) Revision() uint64 {
	if c := a.cfg.Holder.Load().Config; c != nil {
		return c.Version().Revision
	}
	return 0
}

// Members returns the instances that count as members of a failure domain, in rank order.
func (a *Agent) Members(failureDomain string) []origin.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.core.Members(time.Now(), failureDomain)
	out := make([]origin.Instance, len(members))
	for i, m := range members {
		out[i] = m.Instance
	}
	return out
}

// PublishNotice floods a small notice to all processes. It expires after ttl. The publisher does not receive it itself.
func (a *Agent) PublishNotice(kind, subject string, body []byte, ttl time.Duration) {
	a.step(distribution.Publish{Kind: kind, Subject: subject, Body: body, TTL: ttl})
}

// SubscribeNotice has f called for each new notice of a kind, one at a time. It must return soon.
func (a *Agent) SubscribeNotice(kind string, f func(distribution.Notice)) {
	a.subMu.Lock()
	defer a.subMu.Unlock()
	a.subscribers[kind] = append(a.subscribers[kind], f)
}

// Leave tells the peers that the process is about to stop, and waits a moment for the word to be sent.
func (a *Agent) Leave(ctx context.Context) {
	a.step(distribution.Leave{})
	select {
	case <-time.After(leaveGrace):
	case <-ctx.Done():
	}
}

// Documents returns the documents held, in order of name.
func (a *Agent) Documents() []*document.Document {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Documents()
}
