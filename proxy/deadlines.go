package proxy

import "time"

// callerDeadlines holds, for each route, the longest deadline that callers have recently given a request. All callers of a
// route start with the same deadline. A caller that retries after a refusal has less time left, and its latency objective
// started with its first attempt.
type callerDeadlines map[string]time.Duration

const (
	// deadlineDecay is the fraction by which the longest deadline shrinks with each request, so that it follows a change of
	// the callers' deadline.
	deadlineDecay = 0.001
	// minWaitedFraction is the fraction of the longest deadline that has to be spent for a request to count as a caller's
	// retry.
	minWaitedFraction = 0.05
	// maxDeadlines is the maximum number of routes in the map.
	maxDeadlines = 4096
)

// waited returns the time that the caller of a request with the given deadline has already waited.
func (p callerDeadlines) waited(route string, deadline time.Duration) time.Duration {
	longest := p[route]
	longest = max(longest-time.Duration(deadlineDecay*float64(longest)), deadline)
	if len(p) >= maxDeadlines {
		clear(p)
	}
	p[route] = longest
	if waited := longest - deadline; float64(waited) > minWaitedFraction*float64(longest) {
		return waited
	}
	return 0
}
