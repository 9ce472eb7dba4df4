package rig

import (
	"sync"
	"time"
)

// mostRetries is the number of retries of a request that crashes its endpoints that BUDGET lets reach endpoints later than StabilityWindowS
// after the third crash.
const mostRetries = 3

// Crashes records the runs of a request that crashes its endpoints. It is safe for concurrent use.
type Crashes struct {
	mu            sync.Mutex
	runs, crashes []time.Time
}

// Begin records that an endpoint has begun to run the request.
func (c *Crashes) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, time.Now())
}

// Crash crashes the endpoint that runs the request.
func (c *Crashes) Crash(e *Endpoint, request string) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	e.node.rig.Logf("%s crashes endpoint %s", request, e.ID)
	e.Crash()
}

// Count returns the number of crashes so far.
func (c *Crashes) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// Judge reports whether BUDGET was broken: the request reached endpoints in more than mostRetries retries later than StabilityWindowS after the
// third crash.
func (c *Crashes) Judge(r *Rig) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		r.Logf("%d endpoints crashed", len(c.crashes))
		return false
	}
	late, from := 0, c.crashes[2].Add(window)
	for _, at := range c.runs {
		if at.After(from) {
			late++
		}
	}
	r.Logf("%d endpoints crashed; %d retries reached endpoints later than %v after the third crash, %d may", len(c.crashes), late, window, mostRetries)
	return late > mostRetries
}

// RestartCrashed starts crashed endpoints again after downFor, as the platform does, until end.
func (r *Rig) RestartCrashed(start func(*Node) error, downFor time.Duration, end time.Time) {
	down := map[*Endpoint]time.Time{}
	for time.Now().Before(end) {
		for _, n := range r.nodes {
			e := n.Endpoint
			switch since, known := down[e]; {
			case !e.Ended():
			case !known:
				down[e] = time.Now()
			case time.Since(since) >= downFor:
				e.Forget()
				if err := start(n); err != nil {
					r.Logf("endpoint of %s: %v", n.Name, err)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}
