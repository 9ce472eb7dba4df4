package follow

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/rank"
)

// Limits of the reports of links.
const (
	// maxLinkReports is the number of reports kept, those of the widest links.
	maxLinkReports = 128
	// linkClassUnit is the rate of a link of class 1, in bytes per second. Each class stands for twice the rate of the one below.
	linkClassUnit = 1e6 / 8
	maxLinkClass  = 32
)

// linkReport states the class of the link of one process. Only that process raises the version; other processes keep the report
// with the highest one.
type linkReport struct {
	_       struct{} `cbor:",toarray"`
	Addr    []byte
	Class   uint8
	Version uint32
}

// linkClass returns the class of a rate in bytes per second, or 0 if the rate is unknown.
func linkClass(rate float64) uint8 {
	if rate <= 0 {
		return 0
	}
	return uint8(min(max(1+math.Floor(math.Log2(rate/linkClassUnit)), 1), maxLinkClass))
}

// linkClassRate returns the lowest rate of a class in bytes per second.
func linkClassRate(class uint8) float64 { return linkClassUnit * math.Exp2(float64(class)-1) }

// links holds what is known of the links of the processes, so that those with wide links relay for the others. It is safe for
// concurrent use.
//
// The report of a process itself is included only once another process has sent it back. Until then the others rank it without the
// report, and it has to do the same: a process that counts itself as the first polls no parent, and nobody would learn of its link.
// Two processes agree on which of them ranks first as soon as they have exchanged their reports, so that a poll and its reply end any
// cycle of parents.
type links struct {
	self netip.Addr

	mu      sync.Mutex
	reports map[netip.Addr]linkReport
	// own is the report that this process sends of itself.
	own linkReport
	// peerDigest holds the digests that peers sent last.
	peerDigest map[netip.Addr]uint64
}

func newLinks(self netip.Addr) *links {
	return &links{
		self: self, reports: map[netip.Addr]linkReport{}, own: linkReport{Addr: self.AsSlice()}, peerDigest: map[netip.Addr]uint64{},
	}
}

// setOwn sets the class of the link of this process.
func (l *links) setOwn(class uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own.Class != class {
		l.own.Class = class
		l.own.Version++
	}
	if known, ok := l.reports[l.self]; ok && known.Version < l.own.Version {
		l.reports[l.self] = l.own
	}
}

// merge keeps those reports that are newer than the known ones, and reports whether there were any.
func (l *links) merge(reports []linkReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, r := range reports {
		addr, ok := netip.AddrFromSlice(r.Addr)
		if !ok || r.Class > maxLinkClass || r.Version == math.MaxUint32 {
			continue
		}
		if addr == l.self {
			if r.Version > l.own.Version || r.Version == l.own.Version && r.Class != l.own.Class {
				l.own.Version = r.Version + 1 // the report is one of an earlier process at this address
			}
			changed = changed || l.reports[addr].Version != l.own.Version || l.reports[addr].Class != l.own.Class
			l.reports[addr] = l.own
			continue
		}
		known, exists := l.reports[addr]
		if !exists || r.Version > known.Version || r.Version == known.Version && r.Class > known.Class {
			l.reports[addr] = r
			changed = true
		}
	}
	return changed
}

// retain drops the reports of instances that are not listed, and then those of the narrowest links until maxLinkReports are left.
func (l *links) retain(state *mesh.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr := range l.reports {
		if addr != l.self && state.FailureDomainOf(addr) == "" {
			delete(l.reports, addr)
		}
	}
	if len(l.reports) <= maxLinkReports {
		return
	}
	for _, r := range l.sorted()[maxLinkReports:] {
		if addr, ok := netip.AddrFromSlice(r.Addr); ok {
			delete(l.reports, addr)
		}
	}
}

// sorted returns the reports, widest links first. It must be called with l.mu held.
func (l *links) sorted() []linkReport {
	out := make([]linkReport, 0, len(l.reports))
	for _, r := range l.reports {
		out = append(out, r)
	}
	score := func(r linkReport) uint64 { return rank.Score("links", string(r.Addr)) }
	slices.SortFunc(out, func(a, b linkReport) int {
		return cmp.Or(cmp.Compare(b.Class, a.Class), cmp.Compare(score(a), score(b)), slices.Compare(a.Addr, b.Addr))
	})
	return out
}

// class returns the class of the link of a process, or 0 if it is unknown.
func (l *links) class(addr netip.Addr) uint8 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports[addr].Class
}

// classes returns the classes of all known links by the address of the process.
func (l *links) classes() map[string]uint8 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]uint8, len(l.reports))
	for addr, r := range l.reports {
		out[addr.String()] = r.Class
	}
	return out
}

// digest returns a hash of the reports.
func (l *links) digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for _, r := range l.reports {
		var text [5]byte
		text[0] = r.Class
		binary.BigEndian.PutUint32(text[1:], r.Version)
		sum += xxhash.Sum64(append(text[:], r.Addr...))
	}
	return sum
}

// all returns the reports to send to another process.
func (l *links) all() []linkReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sorted()
}

// notePeer records the digest that a peer has sent.
func (l *links) notePeer(addr netip.Addr, digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.peerDigest) > 2*maxLinkReports {
		clear(l.peerDigest)
	}
	l.peerDigest[addr] = digest
}

// forPeer returns the reports to send to a peer with a poll: first that of this process, then all others if the peer has other ones.
func (l *links) forPeer(addr netip.Addr) []linkReport {
	digest := l.digest()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own.Class == 0 {
		return nil
	}
	if sent, ok := l.peerDigest[addr]; !ok || sent == digest {
		return []linkReport{l.own}
	}
	others := slices.DeleteFunc(l.sorted(), func(r linkReport) bool { return bytes.Equal(r.Addr, l.own.Addr) })
	return append([]linkReport{l.own}, others...)
}

// encodeReports returns reports as text for a URL, or "" if there are none.
func encodeReports(reports []linkReport) string {
	if len(reports) == 0 {
		return ""
	}
	data, err := cbor.Marshal(reports)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// decodeReports decodes the text of encodeReports. It fails if there are more than maxLinkReports and the one of the sender.
func decodeReports(text string) ([]linkReport, error) {
	if text == "" {
		return nil, nil
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	var reports []linkReport
	if err := cbor.Unmarshal(data, &reports); err != nil {
		return nil, err
	}
	if len(reports) > maxLinkReports+1 {
		return nil, errors.Errorf("%d reports of links; at most %d are allowed", len(reports), maxLinkReports+1)
	}
	return reports, nil
}
