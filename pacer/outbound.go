package pacer

import (
	"slices"
	"time"
)

// Limits of large responses.
const (
	// outboundShare is the fraction of a machine's link that large responses may use. The rest is for small responses, calls, state
	// and the headers of packets; with less than that the link queues.
	outboundShare = 0.75
	// partBytes is the size in bytes of the parts in which large responses are sent, so that a more urgent one need not wait for
	// the end of another.
	partBytes = 16 << 10
	// outboundWindow limits the data in flight ahead of the link, expressed as its transfer time. Small messages wait for it and
	// one part at most.
	outboundWindow = 20 * time.Millisecond
	// maxBacklog limits the responses that wait for the link, expressed as their transfer time. A caller that is told to come
	// back later is served sooner than behind a longer backlog.
	maxBacklog = 2 * time.Second
	// stallTime is the time after which a response that has not asked for its next part counts as stalled: several round trips
	// between regions, or the transfer of a few large responses over the receiver's own link.
	stallTime = 300 * time.Millisecond
	// defaultResponseBytes is the length assumed for the responses of a route without samples.
	defaultResponseBytes = 64 << 10
	// responseWeight is the EWMA weight of one response in the mean length of its route.
	responseWeight = 0.05
	// maxResponseRoutes bounds the routes with a mean length. All of them are dropped when the bound is reached.
	maxResponseRoutes = 4096
)

// Response is a large response on its way out.
type Response struct {
	// Priority is the priority of the request; 0 is the most urgent. SoftDeadline is the end of its latency objective.
	Priority     int
	SoftDeadline time.Time
	// Grant is called once for each Ask, with the number of bytes that may be sent now.
	Grant func(bytes int)

	left   int64
	asking bool
	// grantedAt is the time of the last grant.
	grantedAt time.Time
}

// Outbound schedules the large responses that leave over a machine's link, so that small messages do not queue behind them. Responses
// are sent in parts: those of the most urgent priority first, then those that can still arrive within their objective, then those whose
// objective ends first. It is not safe for concurrent use. The zero value has no limit.
//
// Invariant: the parts granted exceed what the link has carried by at most outboundWindow and one part.
type Outbound struct {
	rate float64
	// freeAt is the time at which the link will have carried all granted parts.
	freeAt time.Time
	// responses holds the responses between Add and Remove.
	responses []*Response
	// expected is the total size in bytes of the responses of requests in progress.
	expected float64
	// means holds the mean length of the large responses of each route.
	means map[string]float64
}

// NewOutbound returns an Outbound for a link with the given rate in bytes per second. It has no limit if rate is unknown (0) or
// at least WideLinkRate.
func NewOutbound(rate float64) *Outbound {
	if rate <= 0 || rate >= WideLinkRate {
		return &Outbound{}
	}
	return &Outbound{rate: outboundShare * rate, means: map[string]float64{}}
}

// SpareOutboundRate returns what large responses leave of a link, both in bytes per second; 0 if the rate is unknown.
func SpareOutboundRate(rate float64) float64 {
	if rate >= WideLinkRate {
		return rate
	}
	return (1 - outboundShare) * rate
}

// Bounded reports whether large responses are scheduled.
func (o *Outbound) Bounded() bool { return o.rate > 0 }

// Used reports whether there has been a large response or a request that expects one.
func (o *Outbound) Used() bool { return o.expected > 0 || len(o.means) > 0 }

// Rate returns the rate in bytes per second that large responses may use, or 0 if it is not limited.
func (o *Outbound) Rate() float64 { return o.rate }

// Waiting returns the number of responses that are being sent or wait.
func (o *Outbound) Waiting() int { return len(o.responses) }

// MeanBytes returns the mean length of the large responses of a route in bytes.
func (o *Outbound) MeanBytes(route string) float64 {
	if mean, ok := o.means[route]; ok {
		return mean
	}
	return defaultResponseBytes
}

// Observe records the length of a large response of a route.
func (o *Outbound) Observe(route string, bytes int64) {
	mean, ok := o.means[route]
	if !ok {
		if len(o.means) >= maxResponseRoutes {
			clear(o.means)
		}
		mean = float64(bytes)
	}
	o.means[route] = mean + responseWeight*(float64(bytes)-mean)
}

// TransferTime returns the time for which the link carries a response of the given length.
func (o *Outbound) TransferTime(bytes float64) time.Duration {
	if !o.Bounded() {
		return 0
	}
	return time.Duration(bytes / o.rate * float64(time.Second))
}

// Wait returns the time after which the link is expected to be free for a further response that can arrive within its objective.
func (o *Outbound) Wait(now time.Time) time.Duration { return o.wait(now, false) }

// wait returns the time after which the link is expected to be free for a response that can, or can't, arrive within its objective.
func (o *Outbound) wait(now time.Time, late bool) time.Duration {
	bytes := o.expected
	for _, r := range o.responses {
		if (late || !o.isLate(now, r)) && !r.stalled(now) {
			bytes += float64(r.left)
		}
	}
	return max(o.freeAt.Sub(now), 0) + o.TransferTime(bytes)
}

// Fits reports whether the response of a request that is expected to end its run after run would arrive by latest. If late is set, the
// request will miss its objective in any case, and responses within theirs precede its own. If the response does not fit, Fits returns the
// time after which it is expected to.
func (o *Outbound) Fits(now time.Time, bytes float64, run time.Duration, latest time.Time, late bool) (bool, time.Duration) {
	if !o.Bounded() {
		return true, 0
	}
	wait := o.wait(now, late)
	excess := max(now.Add(max(wait, run)+o.TransferTime(bytes)).Sub(latest), wait-maxBacklog)
	return excess <= 0, max(min(excess, wait), 0)
}

// Expect records that a request is in progress whose response is expected to have the given length. Forget must be called with the same
// length when the response is added, or will not come.
func (o *Outbound) Expect(bytes float64) { o.expected += bytes }

// Forget ends what Expect has recorded.
func (o *Outbound) Forget(bytes float64) { o.expected = max(o.expected-bytes, 0) }

// Add adds a response of the given length in bytes. Remove must be called once it has been sent, or will not be.
func (o *Outbound) Add(r *Response, bytes int64) {
	r.left = bytes
	o.responses = append(o.responses, r)
}

// Remove removes a response, and grants the link to others.
func (o *Outbound) Remove(now time.Time, r *Response) {
	o.responses = slices.DeleteFunc(o.responses, func(other *Response) bool { return other == r })
	o.Tick(now)
}

// Ask asks for the next part of a response. Its Grant is called once the link is free for it.
func (o *Outbound) Ask(now time.Time, r *Response) {
	r.asking = true
	o.Tick(now)
}

// Tick grants the link to the responses that have asked for it while it is free.
func (o *Outbound) Tick(now time.Time) {
	for o.freeAt.Sub(now) <= outboundWindow {
		r := o.next(now)
		if r == nil {
			return
		}
		bytes := int64(partBytes)
		if r.left > 0 {
			bytes = min(r.left, partBytes)
		}
		r.left = max(r.left-bytes, 0)
		r.asking, r.grantedAt = false, now
		if o.freeAt.Before(now) {
			o.freeAt = now
		}
		o.freeAt = o.freeAt.Add(o.TransferTime(float64(bytes)))
		r.Grant(int(bytes))
	}
}

// NextTick returns the next time at which Tick has to be called, or the zero time if there is none.
func (o *Outbound) NextTick(now time.Time) time.Time {
	if o.next(now) == nil {
		return time.Time{}
	}
	return o.freeAt.Add(-outboundWindow)
}

// next returns the response that asks for the link and precedes the others, or nil.
func (o *Outbound) next(now time.Time) *Response {
	var first *Response
	for _, r := range o.responses {
		if r.asking && (first == nil || o.precedes(now, r, first)) {
			first = r
		}
	}
	return first
}

// precedes reports whether a is sent before b.
func (o *Outbound) precedes(now time.Time, a, b *Response) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if late := o.isLate(now, a); late != o.isLate(now, b) {
		return !late
	}
	return a.SoftDeadline.Before(b.SoftDeadline)
}

// stalled reports whether the receiver of a response does not read it, so that it does not use the link at present.
func (r *Response) stalled(now time.Time) bool {
	return !r.asking && !r.grantedAt.IsZero() && now.Sub(r.grantedAt) > stallTime
}

// isLate reports whether a response would miss its objective even if the link carried nothing else.
func (o *Outbound) isLate(now time.Time, r *Response) bool {
	return now.Add(o.TransferTime(float64(r.left))).After(r.SoftDeadline)
}
