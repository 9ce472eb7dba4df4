package proxy

import "time"

// patiences holds, for each route, the longest deadline that callers of late have given a request. Callers of one route begin
// with the same; one that comes back after a refusal has less left, and its objective has begun to run before.
type patiences map[string]time.Duration

const (
	// forgetPatience is the part of the longest deadline that is forgotten with each request, so that a change is followed.
	forgetPatience = 0.001
	// returned is the part of the longest deadline that has to be spent for a request to count as one that came back.
	returned = 0.05
	// maxPatiences bounds the routes remembered.
	maxPatiences = 4096
)

// spent returns the time that the caller of a request with a deadline has waited already.
func (p patiences) spent(route string, deadline time.Duration) time.Duration {
	longest := p[route]
	longest = max(longest-time.Duration(forgetPatience*float64(longest)), deadline)
	if len(p) >= maxPatiences {
		clear(p)
	}
	p[route] = longest
	if spent := longest - deadline; float64(spent) > returned*float64(longest) {
		return spent
	}
	return 0
}
