package mesh

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Target is one incarnation of a server in the mesh, as listed in the store.
type Target struct {
	// ID identifies the target. It may be used again by a later incarnation, which has another value of StartedMs.
	ID, Service   string
	Addr          netip.AddrPort
	FailureDomain string
	Region        string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving is set while the target drains: it accepts no new requests.
	Leaving bool
	// ColdFor is the remaining cold-start period at the time the entry was written.
	ColdFor time.Duration
	// StartedMs is the start of this incarnation in Unix milliseconds; 0 if unknown.
	StartedMs int64
}

// SameIncarnation reports whether two entries describe the same incarnation of the same target.
func (t *Target) SameIncarnation(other *Target) bool {
	return other != nil && t.ID == other.ID && t.StartedMs == other.StartedMs && t.Addr == other.Addr
}

// State is the mesh as known to a process at one moment. It is immutable.
type State struct {
	// Position is the position of the store up to which the state is complete.
	Position Position
	// Config is nil until a valid configuration has been read.
	Config *Config
	// OutOfService is the set of failure domains that operators have taken out of service.
	OutOfService map[string]bool
	byService    map[string][]*Target
	byAddr       map[netip.AddrPort]*Target
	// domains maps the addresses of instances to their failure domains.
	domains map[netip.Addr]string
}

// Targets returns the targets of a service in order of their IDs, including those that are leaving. The caller must not modify
// the slice.
func (s *State) Targets(service string) []*Target { return s.byService[service] }

// TargetAt returns the latest incarnation at an address, or nil.
func (s *State) TargetAt(addr netip.AddrPort) *Target { return s.byAddr[addr] }

// Usable reports whether new requests may be sent to a target.
func (s *State) Usable(t *Target) bool { return !t.Leaving && !s.OutOfService[t.FailureDomain] }

// InstanceAddrs returns the addresses, without ports, of the instances that have targets in a region, in ascending order. An
// empty region selects all.
func (s *State) InstanceAddrs(region string) []netip.Addr {
	var out []netip.Addr
	for addr, t := range s.byAddr {
		if region == "" || t.Region == region {
			out = append(out, addr.Addr())
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return slices.Compact(out)
}

// Regions returns the regions that have targets, in ascending order.
func (s *State) Regions() []string {
	seen := map[string]bool{}
	for _, t := range s.byAddr {
		seen[t.Region] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// FailureDomainOf returns the failure domain of the instance at an address, or "" if it has no target.
func (s *State) FailureDomainOf(instance netip.Addr) string { return s.domains[instance] }

// supersedes reports whether t replaces other, an entry with the same address.
func supersedes(t, other *Target) bool {
	switch {
	case t.StartedMs != other.StartedMs:
		return t.StartedMs > other.StartedMs
	case t.Leaving != other.Leaving:
		return other.Leaving
	}
	return t.ID > other.ID
}

func newState(position Position, config *Config, targets map[string]*Target, outOfService map[string]bool) *State {
	s := &State{Position: position, Config: config, OutOfService: outOfService, byService: map[string][]*Target{}, byAddr: map[netip.AddrPort]*Target{}, domains: map[netip.Addr]string{}}
	for _, t := range targets {
		if other := s.byAddr[t.Addr]; other == nil || supersedes(t, other) {
			s.byAddr[t.Addr] = t
		}
	}
	// An earlier incarnation at an address can't be reached any more, but its entry may take seconds to expire.
	for _, t := range s.byAddr {
		s.domains[t.Addr.Addr()] = t.FailureDomain
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}

// Holder holds the state in force. It is safe for concurrent use.
type Holder struct{ state atomic.Pointer[State] }

// Load returns the state in force. Before the first Store it returns an empty state, not nil.
func (h *Holder) Load() *State {
	if s := h.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Store puts a state in force.
func (h *Holder) Store(s *State) { h.state.Store(s) }

// Compare calls f for each target that was added or removed, started or stopped leaving, or has a new incarnation. The
// argument old is nil for an added target, now for a removed one.
func Compare(before, after *State, f func(old, now *Target)) {
	previous := map[string]*Target{}
	for _, list := range before.byService {
		for _, t := range list {
			previous[t.ID] = t
		}
	}
	for _, list := range after.byService {
		for _, t := range list {
			old := previous[t.ID]
			delete(previous, t.ID)
			if old == nil || old.Leaving != t.Leaving || !t.SameIncarnation(old) {
				f(old, t)
			}
		}
	}
	for _, t := range previous {
		f(t, nil)
	}
}
