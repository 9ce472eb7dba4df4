package agent

import (
	"context"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// leaveSendDelay is how long AnnounceLeaving waits for its messages to be sent.
const leaveSendDelay = 200 * time.Millisecond

// Joined reports whether the process has a catalogue and has compared it with its peers, which is required for serving.
func (a *Agent) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Phase() == distribution.Joined
}

// Resume must be called after the process was paused. It discards the state that may be stale; Joined returns false until the
// documents have been compared with those of peers.
func (a *Agent) Resume() { a.step(distribution.Resumed{}) }

// Status returns the state of the process in the distribution.
func (a *Agent) Status() distribution.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Status(time.Now())
}

// Revision returns the revision of the catalogue in force, or 0 if there is none.
func (a *Agent) Revision() uint64 {
	if c := a.cfg.Holder.Load().Config; c != nil {
		return c.Version().Revision
	}
	return 0
}

// Members returns the instances that are currently members of a failure domain, in rank order.
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

// PublishNotice sends a small notice to all other processes. It expires after ttl. Subscribers of this process do not receive
// it.
func (a *Agent) PublishNotice(kind, subject string, body []byte, ttl time.Duration) {
	a.step(distribution.Publish{Kind: kind, Subject: subject, Body: body, TTL: ttl})
}

// SubscribeNotice registers f, which is called once for each new notice of the given kind. Calls are sequential for all
// subscribers, so f must return quickly.
func (a *Agent) SubscribeNotice(kind string, f func(distribution.Notice)) {
	a.subMu.Lock()
	defer a.subMu.Unlock()
	a.subscribers[kind] = append(a.subscribers[kind], f)
}

// AnnounceLeaving notifies the peers that the process is about to stop. It then waits for leaveSendDelay, or until ctx is done,
// so that the messages can be sent.
func (a *Agent) AnnounceLeaving(ctx context.Context) {
	a.step(distribution.Leave{})
	select {
	case <-time.After(leaveSendDelay):
	case <-ctx.Done():
	}
}

// Documents returns the current documents, sorted by name.
func (a *Agent) Documents() []*document.Document {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Documents()
}
