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

// Behaviour of a cold target.
const (
	// coldFactor is how many times longer a cold target takes for a request.
	coldFactor = 3
	// collapseFactor is how many times longer an overloaded cold target takes, before it fails the request.
	collapseFactor = 12
	// collapseTime is how long an overload makes a cold target fail what it is given.
	collapseTime = time.Second
)

// TargetConfig sets up a Target.
type TargetConfig struct {
	Name   string
	Limits catalogue.ServiceLimits
	// Service is the median time of a request at a warm target.
	Service time.Duration
	// Spread is the standard deviation of the logarithm of the service time; 0 gives a constant time.
	Spread float64
	// Warm lets the target start warm.
	Warm bool
	// DownTime is the time that the target stays down after a crash.
	DownTime time.Duration
	// HealthLag is the age of what the health endpoint tells.
	HealthLag time.Duration
	// AnswerBytes is the least size of an answer's body.
	AnswerBytes int
	Seed        uint64
	// Ledger records the runs; nil gives the target one of its own.
	Ledger *Ledger
	// Listen opens the target's listener; nil stands for a free port of 127.0.0.1. After a crash it is called with the
	// address that the first listener had.
	Listen func(address string) (net.Listener, error)
}

// TargetCounts are what a target has counted since it was made.
type TargetCounts struct {
	Runs int64
	// Shed counts requests answered with 503 for want of a slot or because the target drains; they did not run.
	Shed int64
	// ColdOverloads counts requests given to a cold target above what it bears, after a sign of the cold start.
	ColdOverloads int64
	// UnsignalledOverloads counts such requests before any sign: no connection had closed and no answer had ended.
	UnsignalledOverloads int64
	// ConnectionsRefused counts connections above the limit.
	ConnectionsRefused int64
	Crashes            int64
	// PoisonRuns counts runs of requests that are marked to crash the target.
	PoisonRuns  int64
	MaxInFlight int
}

// Target emulates a target: slots, connections, cold start, shedding, drain, crashes and a lagging health endpoint.
// It is an http.Handler and, by Start, a server. It is safe for concurrent use.
type Target struct {
	cfg TargetConfig

	mu             sync.Mutex
	rng            *rand.Rand
	inFlight       int
	coldSince      time.Time // zero when warm
	signalled      bool
	collapsedUntil time.Time
	down           bool
	draining       bool
	life           int
	lifeOver       chan struct{} // closed when the present life ends
	counts         TargetCounts
	samples        []sample
	server         *http.Server
	address        string
	connections    int
	closed         bool
}

// NewTarget returns a target; Start makes it listen.
func NewTarget(cfg TargetConfig) *Target {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.Listen == nil {
		cfg.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	const stream = 0x7a46
	t := &Target{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, stream)), lifeOver: make(chan struct{})}
	t.life = 1
	if !cfg.Warm {
		t.coldSince = time.Now()
		t.signalled = true
	}
	t.observe(time.Now())
	return t
}

// Counts returns what the target has counted.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Ledger returns the record of runs.
func (t *Target) Ledger() *Ledger { return t.cfg.Ledger }

// Name returns the target's name.
func (t *Target) Name() string { return t.cfg.Name }

// SetDrain makes the target shed all new requests, or ends that.
func (t *Target) SetDrain(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on
	t.observe(time.Now())
}

// TurnCold begins a cold start that nothing announces: no connection closes.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Now()
	t.signalled = false
	t.observe(t.coldSince)
}

// Chill begins a cold start that those who start the target know of.
func (t *Target) Chill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Now()
	t.signalled = true
	t.observe(t.coldSince)
}

// Warm ends a cold start at once.
func (t *Target) Warm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Time{}
	t.collapsedUntil = time.Time{}
	t.observe(time.Now())
}

// bears returns the number of requests that the target bears at once. The caller holds the lock.
func (t *Target) bears(now time.Time) int {
	limits := t.cfg.Limits
	if t.coldSince.IsZero() {
		return limits.Slots
	}
	elapsed := now.Sub(t.coldSince)
	if elapsed >= limits.ColdPeriod.Std() {
		t.coldSince = time.Time{}
		return limits.Slots
	}
	rise := float64(limits.Slots-limits.ColdSlots) * elapsed.Seconds() / limits.ColdPeriod.Std().Seconds()
	return limits.ColdSlots + int(rise)
}

// admission is what a target does with a request that has come.
type admission struct {
	taken    bool
	poison   bool
	fails    bool
	cold     bool
	took     time.Duration
	life     int
	lifeOver <-chan struct{}
}

// admit takes a slot for a request, or refuses it.
func (t *Target) admit(now time.Time, poison bool, service time.Duration) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	bears := t.bears(now)
	cold := !t.coldSince.IsZero()
	if cold && t.inFlight >= bears {
		t.overload(now)
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
	t.observe(now)
	a := admission{taken: true, poison: poison, cold: cold, life: t.life, lifeOver: t.lifeOver, took: t.draw(service)}
	switch {
	case now.Before(t.collapsedUntil):
		a.took *= collapseFactor
		a.fails = true
	case cold:
		a.took *= coldFactor
	}
	return a
}

// overload counts a request above what the cold target bears and lets it collapse. The caller holds the lock.
func (t *Target) overload(now time.Time) {
	if !t.signalled {
		t.counts.UnsignalledOverloads++
		return
	}
	t.counts.ColdOverloads++
	t.collapsedUntil = now.Add(collapseTime)
	t.coldSince = now
}

// draw returns a service time. The caller holds the lock.
func (t *Target) draw(service time.Duration) time.Duration {
	if service <= 0 {
		service = t.cfg.Service
	}
	return time.Duration(float64(service) * math.Exp(t.cfg.Spread*t.rng.NormFloat64()))
}

// release gives a slot back. Slots of an earlier life are gone already.
func (t *Target) release(now time.Time, a admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.life != t.life {
		return
	}
	t.inFlight--
	if a.cold {
		t.signalled = true
	}
	t.observe(now)
}
