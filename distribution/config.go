package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// Versions of the protocol between processes.
const (
	// ProtocolVersion is the version that this build speaks.
	ProtocolVersion = 1
	// MinProtocolVersion is the oldest version that this build understands.
	MinProtocolVersion = 1
)

// Region is a region with its failure domains.
type Region struct {
	Name           string
	FailureDomains []string
}

// Topology lists the regions that the catalogue names.
type Topology struct{ Regions []Region }

// RegionOf returns the region of a failure domain, or "" if the topology lacks it.
func (t Topology) RegionOf(failureDomain string) string {
	for _, r := range t.Regions {
		if slices.Contains(r.FailureDomains, failureDomain) {
			return r.Name
		}
	}
	return ""
}

// FailureDomains returns the failure domains of a region.
func (t Topology) FailureDomains(region string) []string {
	for _, r := range t.Regions {
		if r.Name == region {
			return r.FailureDomains
		}
	}
	return nil
}

// Config describes the process that a Core decides for.
type Config struct {
	// Self describes this process to its peers.
	Self origin.Instance
	// Incarnation numbers the life of this process; each life of one instance needs a higher number.
	Incarnation uint64
	// Region is the region of this process; it is used until a catalogue names the region of its failure domain.
	Region string
	// StoreRegions are the regions near the platform. Processes elsewhere read the platform only as a fallback.
	// Empty means that all regions are near.
	StoreRegions []string
	// Seeds are peer addresses to ask at a start.
	Seeds []string
	// HasSource says that the process can read the platform.
	HasSource bool
	// FleetSize is the approximate number of processes; it sizes random delays after a start of the whole fleet.
	FleetSize int
	// Check puts a catalogue in force, or refuses it as a whole with an error. It returns the topology of the catalogue.
	Check func(*document.Document) (Topology, error)
	// Rand yields every random choice.
	Rand *rand.Rand
	// Timing holds the intervals; zero fields take defaults.
	Timing Timing
	// Limits holds the bounds; zero fields take defaults.
	Limits Limits
	// Protocol is the version spoken, for tests of rolling upgrades; 0 means ProtocolVersion.
	Protocol uint16
}

// Timing holds the intervals of the protocol.
type Timing struct {
	// Heartbeat is the interval between heartbeats within a region.
	Heartbeat time.Duration
	// LinkHeartbeat is the interval between heartbeats across the link between regions.
	LinkHeartbeat time.Duration
	// LinkRenewal is the longest time between heartbeats across the link while pushes show that the peer lives.
	LinkRenewal time.Duration
	// LinkBatch is the least time between two pushes to one peer across the link; changes in between travel together.
	LinkBatch time.Duration
	// Retry is the time after which an unanswered heartbeat is repeated.
	Retry time.Duration
	// Silence is the time without an answer after which an upstream is suspect.
	Silence time.Duration
	// Suspicion is how long a suspect is passed over.
	Suspicion time.Duration
	// StepIn is the additional silence for each place in the order of a region's readers.
	StepIn time.Duration
	// Ask is how long a joining process waits for offers before it decides.
	Ask time.Duration
	// PlatformStep is the delay before each further seed reads the platform in a fleet that holds nothing.
	PlatformStep time.Duration
	// PlatformLast is the least delay before a process that is no seed reads the platform while joining.
	PlatformLast time.Duration
	// Fallback is the silence of the other region after which a process away from the platform reads it itself.
	Fallback time.Duration
	// PauseGap is the gap between ticks that counts as a pause of the process.
	PauseGap time.Duration
	// Settle is how long a process heads its failure domain before it reads the platform.
	Settle time.Duration
	// Reparent is the interval after which a working parent is compared with the best one.
	Reparent time.Duration
}

// Limits holds the bounds of one process.
type Limits struct {
	// Fanout is the number of children for each place of the relay tree.
	Fanout int
	// Children is the number of downstream processes served at once.
	Children int
	// History is the number of past versions of a document kept as bases of deltas.
	History int
	// ReadsPerSecond and ReadBurst bound the reads of the platform.
	ReadsPerSecond float64
	ReadBurst      int
	// FullBytesPerSecond and FullBurst bound the full documents sent to joining peers.
	FullBytesPerSecond float64
	FullBurst          int
	// Notices is the number of notices remembered.
	Notices int
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = or(t.Heartbeat, time.Second)
	t.LinkHeartbeat = or(t.LinkHeartbeat, 2*time.Second)
	t.LinkRenewal = or(t.LinkRenewal, 5*time.Second)
	t.LinkBatch = or(t.LinkBatch, 500*time.Millisecond)
	t.Retry = or(t.Retry, 400*time.Millisecond)
	t.Silence = or(t.Silence, 1500*time.Millisecond)
	t.Suspicion = or(t.Suspicion, 2*time.Second)
	t.StepIn = or(t.StepIn, 700*time.Millisecond)
	t.Ask = or(t.Ask, 300*time.Millisecond)
	t.PlatformStep = or(t.PlatformStep, 1500*time.Millisecond)
	t.PlatformLast = or(t.PlatformLast, 5*time.Second)
	t.Fallback = or(t.Fallback, 6*time.Second)
	t.PauseGap = or(t.PauseGap, 2*time.Second)
	t.Settle = or(t.Settle, time.Second)
	t.Reparent = or(t.Reparent, 20*time.Second)
	return t
}

func (l Limits) withDefaults() Limits {
	l.Fanout = or(l.Fanout, 4)
	l.Children = or(l.Children, 12)
	l.History = or(l.History, 8)
	l.ReadsPerSecond = or(l.ReadsPerSecond, 4)
	l.ReadBurst = or(l.ReadBurst, 40)
	l.FullBytesPerSecond = or(l.FullBytesPerSecond, 2<<20)
	l.FullBurst = or(l.FullBurst, 4<<20)
	l.Notices = or(l.Notices, 4096)
	return l
}
