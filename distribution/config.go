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
	// ProtocolVersion is the version that this build sends.
	ProtocolVersion = 1
	// MinProtocolVersion is the oldest version that this build accepts.
	MinProtocolVersion = 1
)

// Region is a region with its failure domains.
type Region struct {
	Name           string
	FailureDomains []string
}

// Topology lists the regions that the catalogue names.
type Topology struct{ Regions []Region }

// RegionOf returns the region of a failure domain, or "" if the topology does not contain it.
func (t Topology) RegionOf(failureDomain string) string {
	for _, r := range t.Regions {
		if slices.Contains(r.FailureDomains, failureDomain) {
			return r.Name
		}
	}
	return ""
}

// FailureDomains returns the failure domains of a region, or nil if the topology does not contain it.
func (t Topology) FailureDomains(region string) []string {
	for _, r := range t.Regions {
		if r.Name == region {
			return r.FailureDomains
		}
	}
	return nil
}

// Config configures the Core of one process.
type Config struct {
	// Self is the description of this process that is sent to its peers.
	Self origin.Instance
	// Incarnation numbers the starts of this process; each start of one instance needs a higher number.
	Incarnation uint64
	// Region is the region of this process until a catalogue assigns its failure domain to a region.
	Region string
	// StoreRegions are the regions near the platform. Processes in other regions read the platform only as a fallback.
	// Empty means that all regions are near.
	StoreRegions []string
	// Seeds are the addresses of the peers to ask first after a start.
	Seeds []string
	// HasSource reports whether the process can read the platform.
	HasSource bool
	// FleetSize is the approximate number of processes; random delays after a start of the whole fleet grow with it.
	FleetSize int
	// Check puts a catalogue in force and returns its topology, or refuses it as a whole with an error. Nil accepts every
	// catalogue.
	Check func(*document.Document) (Topology, error)
	// Rand is the source of all random choices; nil means a generator seeded with Incarnation.
	Rand *rand.Rand
	// Timing holds the intervals; zero fields take defaults.
	Timing Timing
	// Limits holds the limits; zero fields take defaults.
	Limits Limits
	// Protocol is the protocol version to send, for tests of rolling upgrades; 0 means ProtocolVersion.
	Protocol uint16
}

// Timing holds the intervals of the protocol.
type Timing struct {
	// Heartbeat is the interval between heartbeats within a region.
	Heartbeat time.Duration
	// LinkHeartbeat is the interval between heartbeats across the link between regions.
	LinkHeartbeat time.Duration
	// LinkRenewal is the longest interval between heartbeats across the link while pushes from the peer show that it is
	// alive.
	LinkRenewal time.Duration
	// LinkBatch is the minimum interval between two pushes to one peer across the link; changes within it are sent
	// together.
	LinkBatch time.Duration
	// HeartbeatRetry is the interval after which an unacknowledged heartbeat is retried.
	HeartbeatRetry time.Duration
	// AckTimeout is the time after which an upstream with an unacknowledged heartbeat becomes suspect.
	AckTimeout time.Duration
	// SuspectPeriod is the minimum time for which a suspect or full peer is not selected, and the minimum interval
	// between probes of the seeds; up to half of it is added at random.
	SuspectPeriod time.Duration
	// TakeoverStep is the additional time without contact, for each place in rank order, before a root takes over pulling
	// across the link.
	TakeoverStep time.Duration
	// OfferTimeout is how long a joining process waits for offers in one round.
	OfferTimeout time.Duration
	// PlatformReadStep is the delay between the first platform reads of successive seeds, or of successive members of a
	// failure domain, while no peer has a catalogue.
	PlatformReadStep time.Duration
	// PlatformReadDelay is the minimum delay before a joining process that is not a seed reads the platform.
	PlatformReadDelay time.Duration
	// FallbackDelay is the time without contact with the other region after which a process in a region not near the
	// platform reads the platform itself.
	FallbackDelay time.Duration
	// PauseGap is the gap between ticks above which the process counts as having been paused.
	PauseGap time.Duration
	// Settle is how long a process must be root of its failure domain before it reads the platform.
	Settle time.Duration
	// Reparent is the interval at which a process with a usable parent selects its parent anew.
	Reparent time.Duration
}

// Limits holds the limits of one process.
type Limits struct {
	// Fanout is the number of children of each place in the relay tree.
	Fanout int
	// Children is the maximum number of subscribed children.
	Children int
	// History is the number of previous versions kept of each document as bases of deltas.
	History int
	// ReadsPerSecond and ReadBurst limit the reads of the platform.
	ReadsPerSecond float64
	ReadBurst      int
	// FullBytesPerSecond and FullBurst (in bytes) limit the full documents sent to peers.
	FullBytesPerSecond float64
	FullBurst          int
	// Notices is the maximum number of notices remembered to suppress duplicates.
	Notices int
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = orDefault(t.Heartbeat, time.Second)
	t.LinkHeartbeat = orDefault(t.LinkHeartbeat, 2*time.Second)
	t.LinkRenewal = orDefault(t.LinkRenewal, 5*time.Second)
	t.LinkBatch = orDefault(t.LinkBatch, 500*time.Millisecond)
	t.HeartbeatRetry = orDefault(t.HeartbeatRetry, 400*time.Millisecond)
	t.AckTimeout = orDefault(t.AckTimeout, 1500*time.Millisecond)
	t.SuspectPeriod = orDefault(t.SuspectPeriod, 2*time.Second)
	t.TakeoverStep = orDefault(t.TakeoverStep, 700*time.Millisecond)
	t.OfferTimeout = orDefault(t.OfferTimeout, 300*time.Millisecond)
	t.PlatformReadStep = orDefault(t.PlatformReadStep, 1500*time.Millisecond)
	t.PlatformReadDelay = orDefault(t.PlatformReadDelay, 5*time.Second)
	t.FallbackDelay = orDefault(t.FallbackDelay, 6*time.Second)
	t.PauseGap = orDefault(t.PauseGap, 2*time.Second)
	t.Settle = orDefault(t.Settle, time.Second)
	t.Reparent = orDefault(t.Reparent, 20*time.Second)
	return t
}

func (l Limits) withDefaults() Limits {
	l.Fanout = orDefault(l.Fanout, 4)
	l.Children = orDefault(l.Children, 12)
	l.History = orDefault(l.History, 8)
	l.ReadsPerSecond = orDefault(l.ReadsPerSecond, 4)
	l.ReadBurst = orDefault(l.ReadBurst, 40)
	l.FullBytesPerSecond = orDefault(l.FullBytesPerSecond, 2<<20)
	l.FullBurst = orDefault(l.FullBurst, 4<<20)
	l.Notices = orDefault(l.Notices, 4096)
	return l
}
