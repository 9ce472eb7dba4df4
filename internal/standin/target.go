package standin

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
)

const (
	// coldSlowdown is the factor by which requests take longer at a cold target.
	coldSlowdown = 3
	// collapseSlowdown is the factor by which requests take longer at an overloaded cold target, before they fail.
	collapseSlowdown = 12
	// collapseDuration is the time for which a cold target fails requests after an overload.
	collapseDuration = time.Second
)

// TargetConfig configures a Target.
type TargetConfig struct {
	Name string
	// Limits holds the slots, the connection limit and the cold-start limits.
	Limits catalogue.ServiceLimits
	// Service is the median service time of a warm target.
	Service time.Duration
	// Spread is the standard deviation of the natural logarithm of the service time; 0 gives a constant service time.
	Spread float64
	// Warm makes the target start warm.
	Warm bool
	// DownTime is the time between a crash and the restart of the target.
	DownTime time.Duration
	// HealthLag is the age of the state that the health endpoint reports.
	HealthLag time.Duration
	// ResponseBytes is the minimum size of a response body.
	ResponseBytes int
	// Seed seeds the service times.
	Seed uint64
	// Ledger records the runs; if nil, the target creates its own.
	Ledger *Ledger
	// Listen opens the listener of the target; nil means net.Listen on TCP. After a crash it is called with the address of
	// the first listener.
	Listen func(address string) (net.Listener, error)
}

// TargetCounts holds the counters of a target since its creation.
type TargetCounts struct {
	Runs int64
	// Shed counts requests rejected with 503 because no slot was free or the target was draining; they did not run.
	Shed int64
	// ColdOverloads counts requests that exceeded the capacity of a cold target when the cold start was detectable.
	ColdOverloads int64
	// UndetectableOverloads counts such requests when the cold start was not detectable yet: no connection had been closed
	// and no response of the cold target had ended.
	UndetectableOverloads int64
	// ConnectionsRefused counts connections closed because the connection limit was reached.
	ConnectionsRefused int64
	Crashes            int64
	// PoisonRuns counts runs of requests marked to crash the target.
	PoisonRuns int64
	// MaxInFlight is the largest number of requests that ran at the same time.
	MaxInFlight int
}

// Target emulates a target: slots, connection limit, cold start, load shedding, drain, crashes and a health endpoint with a
// lag. It is an http.Handler, and Start runs it as a server. It is safe for concurrent use.
type Target struct {
	cfg TargetConfig

	mu             sync.Mutex
	rng            *rand.Rand
	inFlight       int
	coldSince      time.Time // zero when warm
	detectable     bool      // whether clients could detect the cold start
	collapsedUntil time.Time // requests fail before this time
	down           bool
	draining       bool
	incarnation    int
	terminated     chan struct{} // closed when the current incarnation ends
	counts         TargetCounts
	samples        []sample
	server         *http.Server
	address        string
	connections    int
	closed         bool
}

// NewTarget returns a target that is not listening yet; see Start.
func NewTarget(cfg TargetConfig) *Target {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.Listen == nil {
		cfg.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	const stream = 0x7a46
	t := &Target{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, stream)), terminated: make(chan struct{})}
	t.incarnation = 1
	if !cfg.Warm {
		t.coldSince = time.Now()
		t.detectable = true
	}
	t.recordSample(time.Now())
	return t
}

// Counts returns the counters of the target.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Ledger returns the ledger that records the runs of the target.
func (t *Target) Ledger() *Ledger { return t.cfg.Ledger }

// Name returns the target's name.
func (t *Target) Name() string { return t.cfg.Name }

// SetDrain starts shedding all new requests, or stops it.
func (t *Target) SetDrain(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on
	t.recordSample(time.Now())
}

// TurnCold starts a cold start that clients can't detect at first: no connection is closed.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Now()
	t.detectable = false
	t.recordSample(t.coldSince)
}

// StartCold starts a cold start that counts as detectable from the beginning, like that of a restarted target.
func (t *Target) StartCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Now()
	t.detectable = true
	t.recordSample(t.coldSince)
}

// Warm ends a cold start immediately.
func (t *Target) Warm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Time{}
	t.collapsedUntil = time.Time{}
	t.recordSample(time.Now())
}

// capacity returns the number of concurrent requests that the target can run. During a cold start it rises linearly from
// ColdSlots to Slots. Must be called with mu held.
func (t *Target) capacity(now time.Time) int {
	limits := t.cfg.Limits
	if t.coldSince.IsZero() {
		return limits.Slots
	}
	elapsed := now.Sub(t.coldSince)
	if elapsed >= limits.ColdPeriod.Std() {
		t.coldSince = time.Time{}
		return limits.Slots
	}
	ramp := float64(limits.Slots-limits.ColdSlots) * elapsed.Seconds() / limits.ColdPeriod.Std().Seconds()
	return limits.ColdSlots + int(ramp)
}

// admission is the decision on a request.
type admission struct {
	admitted    bool // whether the request has a slot; the other fields are zero if not
	poison      bool // whether the request crashes the target
	fail        bool // whether the request fails after its service time
	cold        bool // whether the target was cold
	serviceTime time.Duration
	incarnation int
	terminated  <-chan struct{}
}

// admit acquires a slot for a request, or rejects it. A service time of 0 stands for the configured median.
func (t *Target) admit(now time.Time, poison bool, service time.Duration) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	capacity := t.capacity(now)
	cold := !t.coldSince.IsZero()
	if cold && t.inFlight >= capacity {
		t.recordOverload(now)
	}
	if t.draining || t.inFlight >= t.cfg.Limits.Slots {
		t.counts.Shed++
		return admission{}
	}
	t.inFlight++
	t.counts.Runs++
	t.counts.MaxInFlight = max(t.counts.MaxInFlight, t.inFlight)
	if poison {
		t.counts.PoisonRuns++
	}
	t.recordSample(now)
	a := admission{admitted: true, poison: poison, cold: cold, incarnation: t.incarnation, terminated: t.terminated, serviceTime: t.sampleServiceTime(service)}
	switch {
	case now.Before(t.collapsedUntil):
		a.serviceTime *= collapseSlowdown
		a.fail = true
	case cold:
		a.serviceTime *= coldSlowdown
	}
	return a
}

// recordOverload counts a request above the capacity of a cold target. If the cold start was detectable, it also makes the
// target collapse and restarts the cold start. Must be called with mu held.
func (t *Target) recordOverload(now time.Time) {
	if !t.detectable {
		t.counts.UndetectableOverloads++
		return
	}
	t.counts.ColdOverloads++
	t.collapsedUntil = now.Add(collapseDuration)
	t.coldSince = now
}

// sampleServiceTime returns a random service time with the given median. Must be called with mu held.
func (t *Target) sampleServiceTime(service time.Duration) time.Duration {
	if service <= 0 {
		service = t.cfg.Service
	}
	return time.Duration(float64(service) * math.Exp(t.cfg.Spread*t.rng.NormFloat64()))
}

// release frees the slot of a request. It does nothing if the slot belongs to an earlier incarnation, whose slots were
// freed by the crash.
func (t *Target) release(now time.Time, a admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.incarnation != t.incarnation {
		return
	}
	t.inFlight--
	if a.cold {
		t.detectable = true
	}
	t.recordSample(now)
}
