package mesh

import (
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Target is one life of a server behind the mesh, as the store lists it.
type Target struct {
	// ID names the target; it may come back under the same ID in a later life, which Born tells apart.
	ID, Service   string
	Addr          netip.AddrPort
	FailureDomain string
	Region        string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Leaving targets take no new requests.
	Leaving bool
	// ColdFor is how much longer the target was cold when the entry was written.
	ColdFor time.Duration
	// Born is the start of this life in Unix milliseconds; 0 if unknown.
	Born int64
}

// SameLife reports whether two entries tell of the same life of the same target.
func (t *Target) SameLife(other *Target) bool {
	return other != nil && t.ID == other.ID && t.Born == other.Born && t.Addr == other.Addr
}

// State is all that a process believes of the mesh at one moment. It is never changed after it was built.
type State struct {
	// Revision is the store's revision up to which the state is complete.
	Revision uint64
	// Config is nil until a usable configuration was read.
	Config *Config
	// Out holds the failure domains that operators have taken out of service.
	Out       map[string]bool
	byService map[string][]*Target
	byAddr    map[netip.AddrPort]*Target
}

// Targets returns the targets of a service in the order of their IDs, leaving ones too. The caller must not change the slice.
func (s *State) Targets(service string) []*Target { return s.byService[service] }

// At returns the latest life at an address, or nil.
func (s *State) At(addr netip.AddrPort) *Target { return s.byAddr[addr] }

// Usable reports whether new requests may be sent to a target.
func (s *State) Usable(t *Target) bool { return !t.Leaving && !s.Out[t.FailureDomain] }

// Machines returns the addresses of the machines that carry targets in a region, without ports, in order. An empty region means all.
func (s *State) Machines(region string) []netip.Addr {
	var out []netip.Addr
	for addr, t := range s.byAddr {
		if region == "" || t.Region == region {
			out = append(out, addr.Addr())
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return slices.Compact(out)
}

// FailureDomainOf returns the failure domain of a machine, or "" if it carries no target.
func (s *State) FailureDomainOf(machine netip.Addr) string {
	for addr, t := range s.byAddr {
		if addr.Addr() == machine {
			return t.FailureDomain
		}
	}
	return ""
}

// replaces reports whether t is the life that holds the address of both.
func replaces(t, other *Target) bool {
	switch {
	case t.Born != other.Born:
		return t.Born > other.Born
	case t.Leaving != other.Leaving:
		return other.Leaving
	}
	return t.ID > other.ID
}

func newState(revision uint64, config *Config, targets map[string]*Target, out map[string]bool) *State {
	s := &State{Revision: revision, Config: config, Out: out, byService: map[string][]*Target{}, byAddr: map[netip.AddrPort]*Target{}}
	for _, t := range targets {
		if other := s.byAddr[t.Addr]; other == nil || replaces(t, other) {
			s.byAddr[t.Addr] = t
		}
	}
	// An earlier life at an address can't be reached any more, though its entry may take seconds to lapse.
	for _, t := range s.byAddr {
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}

// Holder gives out the state in force. It is safe for concurrent use.
type Holder struct{ state atomic.Pointer[State] }

// Load returns the state in force; before the first Store it is empty but not nil.
func (h *Holder) Load() *State {
	if s := h.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Store puts a state in force.
func (h *Holder) Store(s *State) { h.state.Store(s) }

// Compare calls f with the entries of each target that came, went, or changed between ready and leaving or from one life to
// another; an entry is nil where there is none.
func Compare(before, after *State, f func(old, now *Target)) {
	known := map[string]*Target{}
	for _, list := range before.byService {
		for _, t := range list {
			known[t.ID] = t
		}
	}
	for _, list := range after.byService {
		for _, t := range list {
			old := known[t.ID]
			delete(known, t.ID)
			if old == nil || old.Leaving != t.Leaving || !t.SameLife(old) {
				f(old, t)
			}
		}
	}
	for _, t := range known {
		f(t, nil)
	}
}
