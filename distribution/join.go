package distribution

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

const catalogueName = catalogue.DocumentName

// Limits and intervals of a join.
const (
	// asksPerRound is the number of peers asked in one round.
	asksPerRound = 3
	// maxJoinPeers is the maximum number of candidate addresses remembered.
	maxJoinPeers = 64
	// joinBackoffMax is the maximum delay between rounds, before jitter.
	joinBackoffMax = 4 * time.Second
	// joinGrace is how long a process that has the catalogue waits for the lists of instances and for a neighbour's
	// offer.
	joinGrace = 1500 * time.Millisecond
)

// peerOffer is one peer's answer to Ask.
type peerOffer struct {
	from  Address
	offer *Offer
	delay time.Duration
}

// joinState is the progress of a join. A neighbour is a peer in this process's failure domain.
type joinState struct {
	started  time.Time
	peers    []Address
	round    int
	asked    int
	askedAt  time.Time
	nextAsk  time.Time
	offers   []peerOffer
	wanted   []DocumentVersion
	pulledAt time.Time
	// compared reports that the stored versions were compared with those of the peers that answered.
	compared bool
	// neighbourOffered reports that a neighbour with a catalogue has sent an offer, and askedNeighbours that neighbours
	// were asked ahead of the next round.
	neighbourOffered, askedNeighbours bool
	// waitingPeers are the peers that asked before this process could serve joins; they get an offer as soon as it can.
	waitingPeers []Address
	// emptyRounds counts the successive rounds in which no peer had a catalogue.
	emptyRounds int
	// platformReadAt is when the process may read the platform; zero until rounds without an offer have set it.
	platformReadAt time.Time
	// catalogueAt is when the catalogue was first found to be compared or read; joinGrace counts from it.
	catalogueAt time.Time
	// listUsed reports that peers from the platform's list were added as candidates.
	listUsed bool
}

// joinTick starts and closes rounds until the process has caught up.
func (c *Core) joinTick(now time.Time) {
	j := &c.join
	if j.started.IsZero() {
		j.started = now
		for _, s := range c.cfg.Seeds {
			if s != c.cfg.Self.PeerAddr {
				j.peers = append(j.peers, Address{Addr: s})
			}
		}
		c.addMemberPeers(now)
	}
	if c.joinComplete(now) {
		c.phase = Joined
		return
	}
	switch {
	case !j.askedAt.IsZero():
		if len(j.offers) >= j.asked || now.Sub(j.askedAt) >= c.cfg.Timing.OfferTimeout {
			c.closeRound(now)
		}
	case !j.askedNeighbours && c.needsNeighbour(now):
		j.askedNeighbours = true
		c.startRound(now)
	case !now.Before(j.nextAsk):
		c.startRound(now)
	}
}

// addMemberPeers adds known members of the failure domain as candidates. After a pause or a read of the platform's list
// these include peers that are not seeds.
func (c *Core) addMemberPeers(now time.Time) {
	for _, m := range c.members.First(now, c.cfg.Self.FailureDomain, asksPerRound+1) {
		if m.Name != c.cfg.Self.Name {
			c.addPeer(Address{Name: m.Name, Addr: m.PeerAddr})
		}
	}
}

// addPeer adds a candidate to ask. It replaces a random candidate if maxJoinPeers are remembered already.
func (c *Core) addPeer(a Address) {
	j := &c.join
	if a.Addr == "" || a.Addr == c.cfg.Self.PeerAddr {
		return
	}
	for i := range j.peers {
		if j.peers[i].Addr == a.Addr {
			j.peers[i].Name = orDefault(a.Name, j.peers[i].Name)
			return
		}
	}
	if len(j.peers) < maxJoinPeers {
		j.peers = append(j.peers, a)
		return
	}
	j.peers[c.rng.IntN(len(j.peers))] = a
}

// needsNeighbour reports whether the stored catalogue was not yet compared with a neighbour's although a usable neighbour
// is known. The other peers may be behind this failure domain after a partition.
func (c *Core) needsNeighbour(now time.Time) bool {
	return !c.join.neighbourOffered && c.store.get(catalogueName) != nil && c.usableNeighbours(now) > 0
}

// usableNeighbours counts the usable neighbours, up to the number asked in a round.
func (c *Core) usableNeighbours(now time.Time) int {
	n := 0
	for _, m := range c.members.First(now, c.cfg.Self.FailureDomain, asksPerRound+1) {
		if m.Name != c.cfg.Self.Name {
			n++
		}
	}
	return n
}

// isNeighbour reports whether a peer is known to be in this process's failure domain.
func (c *Core) isNeighbour(peer string) bool {
	m := c.members.Get(peer)
	return m != nil && m.FailureDomain == c.cfg.Self.FailureDomain
}

// startRound asks a few candidates which versions they have: neighbours first while none has answered; then seeds for up
// to half of the round, since the seeds are the first to have documents after a start of the whole fleet; then the others
// at random.
func (c *Core) startRound(now time.Time) {
	j := &c.join
	j.offers, j.asked, j.askedAt = nil, 0, now
	j.round++
	if c.needsNeighbour(now) {
		c.addMemberPeers(now)
	}
	var neighbours, seeds, others []Address
	for _, i := range c.rng.Perm(len(j.peers)) {
		switch {
		case !j.neighbourOffered && c.isNeighbour(j.peers[i].Name):
			neighbours = append(neighbours, j.peers[i])
		case slices.Contains(c.cfg.Seeds, j.peers[i].Addr):
			seeds = append(seeds, j.peers[i])
		default:
			others = append(others, j.peers[i])
		}
	}
	half := min(len(seeds), (asksPerRound+1)/2)
	list := slices.Concat(neighbours, seeds[:half], others, seeds[half:])
	for _, a := range list[:min(len(list), asksPerRound)] {
		j.asked++
		c.send(a, Message{Ask: &Ask{}, Sender: c.self()})
	}
}

// onAsk answers with an offer, and remembers the sender for another one if this process cannot serve joins yet.
func (c *Core) onAsk(now time.Time, from Address, m Message) {
	c.rememberPeer(from)
	if !c.canServeJoins() && len(c.join.waitingPeers) < maxJoinPeers {
		c.join.waitingPeers = append(c.join.waitingPeers, from)
	}
	c.sendOffer(from, m.Sender)
}

// canServeJoins reports whether this process has enough documents for others to join from it.
func (c *Core) canServeJoins() bool {
	return c.store.get(catalogueName) != nil && (c.phase == Joined || (c.phase == Joining && c.hasAllLists()))
}

// sendOffer sends a peer the versions that this process has.
func (c *Core) sendOffer(to Address, requester *Sender) {
	o := &Offer{Region: c.region()}
	if c.canServeJoins() {
		o.HasCatalogue = true
		o.Versions = c.store.versions
		o.Refer = c.referrals(to.Name, requester)
	}
	c.send(to, Message{Offer: o, Sender: c.self()})
}

// rememberPeer adds the sender of a message as a candidate while this process is joining.
func (c *Core) rememberPeer(from Address) {
	if c.phase == Joining {
		c.addPeer(from)
	}
}

// onOffer records an offer. It starts a round for an awaited offer that arrives between rounds.
func (c *Core) onOffer(now time.Time, from Address, o *Offer) {
	if c.phase != Joining {
		// The answer of a seed that was asked because a failure domain had no usable instance; see probeSeeds.
		if o.HasCatalogue {
			c.reconcile(now, from, o.Versions)
		}
		return
	}
	j := &c.join
	c.addPeer(from)
	for _, a := range o.Refer {
		c.addPeer(a)
	}
	if j.askedAt.IsZero() {
		awaited := c.store.get(catalogueName) == nil || (!j.neighbourOffered && c.isNeighbour(from.Name))
		if !o.HasCatalogue || !awaited {
			return
		}
		// A peer that was asked earlier has a catalogue now. Start a round, so that others can send their offers, too.
		j.offers, j.asked, j.askedAt = nil, asksPerRound, now
	}
	j.offers = append(j.offers, peerOffer{from: from, offer: o, delay: now.Sub(j.askedAt)})
	j.neighbourOffered = j.neighbourOffered || (o.HasCatalogue && c.isNeighbour(from.Name))
}

// closeRound selects the offer with the highest catalogue revision, the nearest among equals, and pulls what is newer
// there.
func (c *Core) closeRound(now time.Time) {
	j := &c.join
	j.askedAt = time.Time{}
	best := c.bestOffer()
	if best == nil {
		c.planWithoutOffer(now)
		return
	}
	j.emptyRounds = 0
	j.compared = true
	var missing []DocumentVersion
	j.wanted = nil
	for _, v := range best.offer.Versions {
		local := c.store.version(v.Name)
		if local.Revision < v.Revision && !c.refused[v] {
			missing = append(missing, local)
			j.wanted = append(j.wanted, v)
		}
	}
	if len(missing) > 0 {
		j.pulledAt = now
		c.send(best.from, Message{Pull: &Pull{Have: missing}, Sender: c.self()})
	}
	j.nextAsk = now.Add(c.jitter(c.backoff(600 * time.Millisecond)))
}

// backoff returns base doubled with each round up to 16 times, but at most joinBackoffMax.
func (c *Core) backoff(base time.Duration) time.Duration {
	d := base << min(max(c.join.round-1, 0), 4)
	return min(d, joinBackoffMax)
}

// bestOffer returns the offer that closeRound selects, or nil if no peer has a catalogue.
func (c *Core) bestOffer() *peerOffer {
	offers := c.join.offers
	candidates := slices.DeleteFunc(slices.Clone(offers), func(o peerOffer) bool { return !o.offer.HasCatalogue })
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MaxFunc(candidates, func(a, b peerOffer) int {
		ra, rb := catalogueRevision(a.offer), catalogueRevision(b.offer)
		if ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		return c.proximity(a) - c.proximity(b)
	})
	return &best
}

// proximity returns 2 for an offer of a neighbour, 1 for one from the same region and 0 for any other.
func (c *Core) proximity(o peerOffer) int {
	if c.isNeighbour(o.from.Name) {
		return 2
	}
	if o.offer.Region != "" && o.offer.Region == c.region() {
		return 1
	}
	return 0
}

// catalogueRevision returns the revision of the catalogue that is offered, or 0 if none is.
func catalogueRevision(o *Offer) uint64 {
	for _, v := range o.Versions {
		if v.Name == catalogueName {
			return v.Revision
		}
	}
	return 0
}

// planWithoutOffer schedules the next round after one in which no peer had a catalogue. After two such rounds, or if
// there is no peer to ask, it also sets when this process reads the platform itself: seeds one after the other in their
// order, all others after a random delay that grows with the size of the fleet.
func (c *Core) planWithoutOffer(now time.Time) {
	j := &c.join
	j.emptyRounds++
	j.wanted = nil
	j.nextAsk = now.Add(c.jitter(c.backoff(200 * time.Millisecond)))
	if c.store.get(catalogueName) != nil {
		// No peer that answers has anything newer, so the stored catalogue is the latest one available.
		j.compared = j.compared || j.emptyRounds >= 2 || len(j.offers) > 0
		return
	}
	if !j.platformReadAt.IsZero() || (len(j.peers) > 0 && j.emptyRounds < 2) {
		return
	}
	place := slices.Index(c.cfg.Seeds, c.cfg.Self.PeerAddr)
	switch {
	case len(j.peers) == 0:
		j.platformReadAt = now
	case place >= 0:
		j.platformReadAt = now.Add(time.Duration(place) * c.cfg.Timing.PlatformReadStep)
	default:
		spread := time.Duration(c.cfg.FleetSize) * 5 * time.Millisecond
		j.platformReadAt = now.Add(c.cfg.Timing.PlatformReadDelay + time.Duration(c.rng.Int64N(int64(spread)+1)))
	}
}

// mayReadPlatform reports whether a joining process may read the platform now.
func (c *Core) mayReadPlatform(now time.Time) bool {
	j := &c.join
	return c.phase == Joining && !j.platformReadAt.IsZero() && !now.Before(j.platformReadAt)
}

// readsWithoutCatalogue returns what a joining process without a catalogue may read from the platform. A seed, or a
// process that has the list of its failure domain and still no peer to ask, reads the manifest. Any other process first
// reads that list, which is a single read and names peers to ask; after that the members of the failure domain start to
// read the manifest one after the other in rank order.
func (c *Core) readsWithoutCatalogue(now time.Time) (manifest bool, lists []string) {
	if !c.mayReadPlatform(now) {
		return false, nil
	}
	own := c.cfg.Self.FailureDomain
	if slices.Contains(c.cfg.Seeds, c.cfg.Self.PeerAddr) || len(c.join.peers) == 0 && c.store.get(origin.InstancesDocument(own)) != nil {
		return true, nil
	}
	if c.store.get(origin.InstancesDocument(own)) == nil && now.Sub(c.join.platformReadAt) < c.cfg.Timing.PlatformReadDelay {
		return false, []string{own}
	}
	if !c.join.listUsed {
		// The list names peers that have not been asked yet: restart the rounds.
		c.join.listUsed = true
		c.join.round = 0
		c.join.nextAsk = now
		c.addMemberPeers(now)
	}
	place := slices.Index(c.members.Order(now, own), c.members.Get(c.cfg.Self.Name))
	return now.Sub(c.join.platformReadAt) >= time.Duration(place)*c.cfg.Timing.PlatformReadStep, nil
}

// joinComplete reports whether the process has caught up: its catalogue was compared with peers, or read from the
// platform without peers, and it has the lists of instances or has waited joinGrace for them.
func (c *Core) joinComplete(now time.Time) bool {
	j := &c.join
	if c.store.get(catalogueName) == nil {
		return false
	}
	if !j.compared && !c.mayReadPlatform(now) {
		return false
	}
	for _, v := range j.wanted {
		if v.Name == catalogueName && c.store.version(v.Name).Revision < v.Revision && !c.refused[v] {
			return false
		}
	}
	if j.catalogueAt.IsZero() {
		j.catalogueAt = now
	}
	complete := c.hasAllLists() && j.askedAt.IsZero() && !c.needsNeighbour(now)
	return complete || now.Sub(j.catalogueAt) >= joinGrace
}

// hasAllLists reports whether the list of instances of each failure domain of the catalogue is stored.
func (c *Core) hasAllLists() bool {
	for _, r := range c.topology.Regions {
		for _, fd := range r.FailureDomains {
			if c.store.get(origin.InstancesDocument(fd)) == nil {
				return false
			}
		}
	}
	return true
}

// onApplied ends the join, if it is complete, as soon as a document was applied, and sends offers to the waiting peers.
func (c *Core) onApplied(now time.Time, _ *document.Document) {
	if c.phase == Joining && !c.join.started.IsZero() && c.joinComplete(now) {
		c.phase = Joined
	}
	if !c.canServeJoins() {
		return
	}
	for _, a := range c.join.waitingPeers {
		c.sendOffer(a, nil)
	}
	c.join.waitingPeers = nil
}
