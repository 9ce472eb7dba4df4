package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/refusal"
)

// Entry is what a gate knows of a request.
type Entry struct {
	Organisation string
	Class        catalogue.Class
	Deadline     time.Time
}

// Outcome is what became of an admitted request.
type Outcome struct {
	// Latency is the time from admission to the end of the answer.
	Latency time.Duration
	// Failed says that the target did not give a whole answer or answered that it is overloaded.
	Failed bool
}

// Gate decides which requests the target runs.
type Gate interface {
	// Enter waits until the request may run. The function returned must be called once, when it has ended.
	Enter(ctx context.Context, e Entry) (func(Outcome), *refusal.Refusal)
	// Load returns the load of the target.
	Load() headers.LoadState
	// Configure puts limits and shares in force.
	Configure(limits catalogue.ServiceLimits, organisations map[string]*catalogue.Organisation)
	// TurnCold returns to the limit of a target in cold start.
	TurnCold()
}

// slotGate admits up to a number of requests and lets a bounded number wait in order of arrival.
type slotGate struct {
	mu       sync.Mutex
	limits   catalogue.ServiceLimits
	inFlight int
	waiting  []chan struct{}
}

// NewSlotGate returns a gate that counts slots only.
func NewSlotGate() Gate { return &slotGate{} }

func (g *slotGate) Configure(limits catalogue.ServiceLimits, _ map[string]*catalogue.Organisation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.wake()
}

func (g *slotGate) TurnCold() {}

func (g *slotGate) Enter(ctx context.Context, _ Entry) (func(Outcome), *refusal.Refusal) {
	g.mu.Lock()
	if g.inFlight < g.limits.Slots {
		g.inFlight++
		g.mu.Unlock()
		return g.leave, nil
	}
	if len(g.waiting) >= g.limits.Queue {
		g.mu.Unlock()
		return nil, refusal.New(refusal.QueueFull, "%d requests wait", g.limits.Queue)
	}
	turn := make(chan struct{})
	g.waiting = append(g.waiting, turn)
	g.mu.Unlock()
	select {
	case <-turn:
		return g.leave, nil
	case <-ctx.Done():
		return nil, g.abandon(turn)
	}
}

func (g *slotGate) abandon(turn chan struct{}) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, c := range g.waiting {
		if c == turn {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return refusal.New(refusal.TooLate, "deadline passed in the queue")
		}
	}
	g.inFlight--
	g.wake()
	return refusal.New(refusal.TooLate, "deadline passed in the queue")
}

func (g *slotGate) leave(Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.wake()
}

func (g *slotGate) wake() {
	for len(g.waiting) > 0 && g.inFlight < g.limits.Slots {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
		g.inFlight++
	}
}

func (g *slotGate) Load() headers.LoadState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return headers.LoadState{InFlight: g.inFlight, Limit: g.limits.Slots, Queued: len(g.waiting)}
}
