package proxy

import "time"

// callerDeadlines holds, for each route, the longest deadline that callers of late have given a request. Callers of one route begin
// with the same; one that comes back after a refusal has less left, and its objective has begun to run before.
type callerDeadlines map[string]time.Duration

const (
	// forgetDeadline is the part of the longest deadline that is forgotten with each request, so that a change is followed.
	forgetDeadline = 0.001
	// returned is the part of the longest deadline that has to be spent for a request to count as one that came back.
	returned = 0.05
	// maxDeadlines bounds the routes remembered.
	maxDeadlines = 4096
)

// spent returns the time that the caller of a request with a deadline has waited already.
func (p callerDeadlines) spent(route string, deadline time.Duration) time.Duration {
	longest := p[route]
	longest = max(longest-time.Duration(forgetDeadline*float64(longest)), deadline)
	if len(p) >= maxDeadlines {
		clear(p)
	}
	p[route] = longest
	if spent := longest - deadline; float64(spent) > returned*float64(longest) {
		return spent
	}
	return 0
}
