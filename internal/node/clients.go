package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/connlimit"
)

// Shares of the machine that clients may take.
const (
	// bodyShare and headShare are the fractions of the memory for the bodies of requests and responses, and for heads of unusual length at
	// the listeners of callers and of other processes each.
	bodyShare = 0.2
	headShare = 0.04
	// callerMemoryShare and peerMemoryShare are the fractions of the memory for the connections of callers and of other processes.
	callerMemoryShare = 0.12
	peerMemoryShare   = 0.13
	// callerDescriptorShare and peerDescriptorShare are the fractions of the descriptors for them. Each of their requests may need another
	// one, for a connection to the target or to another process; the rest is for the store and for listeners.
	callerDescriptorShare = 0.26
	peerDescriptorShare   = 0.2
	// readyMemoryShare, metricsMemoryShare and operatorDescriptorShare are those for readiness probes and for metrics. A request for metrics
	// takes some eight times the memory of a probe. Each listener takes minOperatorConns at least.
	readyMemoryShare        = 0.01
	metricsMemoryShare      = readyMemoryShare / 8
	operatorDescriptorShare = 0.02
	operatorHeadShare       = 0.01
	minOperatorConns        = 4
	// stateShare is the fraction of the memory for responses that hold the state, minStateMemory its minimum in bytes.
	stateShare     = 0.08
	minStateMemory = 8 << 20
	// defaultMemoryBytes and defaultDescriptors apply if the settings have none.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 4096
	// minBodyMemory is the least memory for bodies, in bytes.
	minBodyMemory = 12 << 20
	// headTimeoutSlack is the time that the network may take for a head beside the caller, with two lost packets.
	headTimeoutSlack = 2 * time.Second
	// maxOperatorHeadBytes is the longest head of a readiness probe or of an operator's request, in bytes.
	maxOperatorHeadBytes = 16 << 10
	// hopHeadBytes is what a process may add to a caller's head, in bytes.
	hopHeadBytes = 8 << 10
	// smallMessageBytes is the size up to which a message needs no room among the longer bodies.
	smallMessageBytes = 8 << 10
	// maxMessageBytes is the longest message of another process, messageTimeout the time in which it has to arrive.
	maxMessageBytes = 1 << 20
	messageTimeout  = 5 * time.Second
	// pauseForConn is the time for which a client must have paused in the middle of a body before its request is ended in favour of others.
	pauseForConn = time.Second
)

func memoryOr(bytes int64) float64 {
	if bytes <= 0 {
		return defaultMemoryBytes
	}
	return float64(bytes)
}

// bodyMemory returns the memory for bodies of a machine with the given memory, both in bytes.
func bodyMemory(bytes int64) int64 { return max(int64(bodyShare*memoryOr(bytes)), minBodyMemory) }

// stateMemory returns the memory for responses that hold the state, of a machine with the given memory, both in bytes.
func stateMemory(bytes int64) int64 { return max(int64(stateShare*memoryOr(bytes)), minStateMemory) }

// reserveState reserves memory for a response that holds the state. It disconnects clients that do not read theirs if there is none.
func (n *Node) reserveState(ctx context.Context, bytes int64) (release func(), ok bool) {
	if bytes <= smallMessageBytes {
		return func() {}, true
	}
	if !n.states.TryAcquire(bytes) {
		return nil, false
	}
	done := func() {}
	if client := connlimit.ClientOf(ctx); client != nil {
		done = n.states.Deliver(client, bytes, nil).Close
	}
	return func() { done(); n.states.Release(bytes) }, true
}

// maxConns returns the largest number of connections at a listener with the given shares of a machine.
func maxConns(memoryBytes int64, descriptors int, memoryShare, descriptorShare float64) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return max(int(min(descriptorShare*float64(descriptors), memoryShare*memoryOr(memoryBytes)/connlimit.ConnBytes)), 1)
}

// clientListener describes a listener that clients can reach.
type clientListener struct {
	// memoryShare, headShare and descriptorShare are its fractions of the machine.
	memoryShare, headShare, descriptorShare float64
	into                                    **connlimit.Listener
	limits                                  func() connlimit.Limits
	// endRequest is connlimit.Config.EndRequest.
	endRequest func() bool
}

// callerListener describes the listener of callers.
func (n *Node) callerListener() clientListener {
	return clientListener{
		memoryShare: callerMemoryShare, headShare: headShare, descriptorShare: callerDescriptorShare,
		into: &n.callers, limits: n.callerLimits, endRequest: n.endRequest(bodyroom.FromCallers),
	}
}

// peerListener describes the listener of other processes.
func (n *Node) peerListener() clientListener {
	return clientListener{
		memoryShare: peerMemoryShare, headShare: headShare, descriptorShare: peerDescriptorShare,
		into: &n.peers, limits: n.peerLimits, endRequest: n.endRequest(bodyroom.FromProcesses),
	}
}

// operatorListener describes a listener of readiness probes or of operators.
func operatorListener(memoryShare float64, into **connlimit.Listener) clientListener {
	return clientListener{
		memoryShare: memoryShare, headShare: operatorHeadShare, descriptorShare: operatorDescriptorShare,
		into: into, limits: operatorLimits, endRequest: func() bool { return false },
	}
}

// endRequest returns a function that ends a request of an origin whose sender has paused, and reports whether there was one.
func (n *Node) endRequest(origin bodyroom.Origin) func() bool {
	return func() bool { return n.bodies.EndStalled(origin, pauseForConn) }
}

// limitClients bounds the connections of a listener.
func (n *Node) limitClients(inner net.Listener, c clientListener) *connlimit.Listener {
	s := n.settings
	l := connlimit.New(inner, connlimit.Config{
		MaxConns: max(maxConns(s.MemoryBytes, s.Descriptors, c.memoryShare, c.descriptorShare), minOperatorConns), HeadMemory: int64(c.headShare * memoryOr(s.MemoryBytes)),
		Limits: c.limits, EndRequest: c.endRequest,
	})
	*c.into = l
	return l
}

// callerLimits returns the limits of callers in force.
func (n *Node) callerLimits() connlimit.Limits {
	l := connlimit.Limits{HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, SilentTimeout: headTimeout, IdleTimeout: idleTimeout}
	config := n.holder.Load().Config
	if config == nil {
		return l
	}
	if config.Limits.HeadBytes > 0 {
		l.HeadBytes = config.Limits.HeadBytes
	}
	if config.Limits.HeadTimeout > 0 {
		l.HeadTimeout = config.Limits.HeadTimeout + headTimeoutSlack
	}
	if config.Limits.IdleTimeout > 0 {
		l.IdleTimeout, l.SilentTimeout = config.Limits.IdleTimeout, max(config.Limits.IdleTimeout, headTimeout)
	}
	return l
}

// peerLimits returns the limits of other processes. Their times do not depend on those of callers.
func (n *Node) peerLimits() connlimit.Limits {
	l := n.callerLimits()
	l.HeadBytes += hopHeadBytes
	l.HeadTimeout, l.SilentTimeout, l.IdleTimeout = headTimeout, headTimeout, idleTimeout
	return l
}

// operatorLimits returns the limits of readiness probes and of operators who read metrics.
func operatorLimits() connlimit.Limits {
	return connlimit.Limits{HeadBytes: maxOperatorHeadBytes, HeadTimeout: headTimeout, SilentTimeout: headTimeout, IdleTimeout: idleTimeout}
}

// receiveMessage returns a handler that receives the body of a message of another process, within the memory for bodies, before it calls
// next. Without room, or if the sender pauses while others need it, the answer is 503.
func (n *Node) receiveMessage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := n.bodies.Receive(r.Body, bodyroom.FromProcesses, http.NewResponseController(w).SetReadDeadline)
		defer body.Close()
		if err := body.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
			return // the connection is closed
		}
		sized, limit := r.ContentLength > 0, int64(maxMessageBytes)
		if sized {
			limit = min(limit, r.ContentLength)
		}
		data, more, err := body.ReadUpTo(limit, sized, smallMessageBytes)
		switch {
		case err != nil:
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		case more || r.ContentLength > limit:
			w.Header().Set("Connection", "close")
			http.Error(w, "message is too long; run the same version everywhere", http.StatusRequestEntityTooLarge)
			return
		}
		if err := body.SetReadDeadline(time.Time{}); err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		next.ServeHTTP(w, r)
	})
}

// clientCollector collects the metrics of what clients use.
type clientCollector struct{ node *Node }

var (
	bodyBytesDesc    = prometheus.NewDesc("chervilwell_body_bytes", "Memory held by bodies of requests and responses.", nil, nil)
	bodyLimitDesc    = prometheus.NewDesc("chervilwell_body_limit_bytes", "Memory that bodies of requests and responses may hold.", nil, nil)
	bodyRefusedDesc  = prometheus.NewDesc("chervilwell_body_refused_total", "Attempts to hold a body when there was no memory for it.", nil, nil)
	bodyStalledDesc  = prometheus.NewDesc("chervilwell_body_stalled_total", "Requests ended in the middle of the body, since their senders paused while others needed the room.", nil, nil)
	stateBytesDesc   = prometheus.NewDesc("chervilwell_state_response_bytes", "Memory held by responses with the state for other processes.", nil, nil)
	stateLimitDesc   = prometheus.NewDesc("chervilwell_state_response_limit_bytes", "Memory that responses with the state may hold.", nil, nil)
	stateRefusedDesc = prometheus.NewDesc("chervilwell_state_response_refused_total", "Responses with the state that were refused for want of memory.", nil, nil)
	unreadDesc       = prometheus.NewDesc("chervilwell_response_unread_total", "Responses ended since their clients read nothing while others needed the memory or the connection.", nil, nil)
	connsDesc        = prometheus.NewDesc("chervilwell_client_connections", "Open connections of clients.", []string{"listener"}, nil)
	connsLimitDesc   = prometheus.NewDesc("chervilwell_client_connections_limit", "Largest number of connections of clients.", []string{"listener"}, nil)
	headBytesDesc    = prometheus.NewDesc("chervilwell_head_bytes", "Memory held by heads of unusual length.", []string{"listener"}, nil)
	headLimitDesc    = prometheus.NewDesc("chervilwell_head_limit_bytes", "Memory that heads of unusual length may hold.", []string{"listener"}, nil)
	connsClosedDesc  = prometheus.NewDesc("chervilwell_client_connections_closed_total", "Connections of clients closed by a limit.", []string{"listener", "cause"}, nil)
)

// Describe implements prometheus.Collector.
func (c clientCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		bodyBytesDesc, bodyLimitDesc, bodyRefusedDesc, bodyStalledDesc, stateBytesDesc, stateLimitDesc, stateRefusedDesc, unreadDesc, connsDesc, connsLimitDesc, headBytesDesc, headLimitDesc, connsClosedDesc,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c clientCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	u := c.node.bodies.Usage()
	gauge(bodyBytesDesc, float64(u.Held))
	gauge(bodyLimitDesc, float64(u.Bytes))
	counter(bodyRefusedDesc, u.Refused)
	counter(bodyStalledDesc, u.Stalled)
	s := c.node.states.Usage()
	gauge(stateBytesDesc, float64(s.Held))
	gauge(stateLimitDesc, float64(s.Bytes))
	counter(stateRefusedDesc, s.Refused)
	counter(unreadDesc, u.Unread+s.Unread)
	for name, l := range map[string]*connlimit.Listener{"callers": c.node.callers, "peers": c.node.peers, "ready": c.node.ready, "metrics": c.node.metrics} {
		if l == nil {
			continue
		}
		conns, heads, closed := l.Usage()
		gauge(connsDesc, float64(conns), name)
		gauge(connsLimitDesc, float64(l.MaxConns()), name)
		gauge(headBytesDesc, float64(heads), name)
		gauge(headLimitDesc, float64(l.HeadMemory()), name)
		counter(connsClosedDesc, closed.Displaced, name, "displaced")
		counter(connsClosedDesc, closed.Refused, name, "refused")
		counter(connsClosedDesc, closed.LongHead, name, "long-head")
		counter(connsClosedDesc, closed.HeadMemory, name, "head-memory")
		counter(connsClosedDesc, closed.Unread, name, "unread")
	}
}
