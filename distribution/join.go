package distribution

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

const catalogueName = catalogue.DocumentName

// Bounds of a join.
const (
	// joinAsks is the number of peers asked in one round.
	joinAsks = 3
	// joinPeers bounds the addresses remembered as candidates.
	joinPeers = 64
	// joinBackoffMax bounds the delay between rounds.
	joinBackoffMax = 4 * time.Second
	// joinGrace is how long a process that holds the catalogue waits for the lists of instances and for a neighbour's offer.
	joinGrace = 1500 * time.Millisecond
)

// offer is one peer's answer to Ask.
type offer struct {
	from  Address
	offer *Offer
	sent  time.Duration
}

// joinState is the progress of a join.
type joinState struct {
	started  time.Time
	peers    []Address
	round    int
	asked    int
	askedAt  time.Time
	nextAsk  time.Time
	offers   []offer
	wanted   []DocumentVersion
	pulledAt time.Time
	// compared says that the versions held were compared with those of peers that answered.
	compared bool
	// neighbour says that a peer of the own failure domain has made an offer, and askedNeighbours that they were asked ahead of the
	// next round.
	neighbour, askedNeighbours bool
	// askers are the peers that asked while nothing was held; they get an offer as soon as something is.
	askers []Address
	// alone counts rounds in which no peer held a catalogue.
	alone int
	// platformAt is when the process may read the platform; zero until it found itself alone.
	platformAt time.Time
	heldAt     time.Time
	// listed says that peers were taken from the platform's list.
	listed bool
}

// joinTick runs one round after the other until the process has caught up.
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
	if c.joinDone(now) {
		c.phase = Joined
		return
	}
	switch {
	case !j.askedAt.IsZero():
		if len(j.offers) >= j.asked || now.Sub(j.askedAt) >= c.cfg.Timing.Ask {
			c.decide(now)
		}
	case !j.askedNeighbours && c.lacksNeighbour(now):
		j.askedNeighbours = true
		c.askRound(now)
	case !now.Before(j.nextAsk):
		c.askRound(now)
	}
}

// addMemberPeers makes known members candidates, as after a pause.
func (c *Core) addMemberPeers(now time.Time) {
	for _, m := range c.members.First(now, c.cfg.Self.FailureDomain, joinAsks+1) {
		if m.Name != c.cfg.Self.Name {
			c.addPeer(Address{Name: m.Name, Addr: m.PeerAddr})
		}
	}
}

func (c *Core) addPeer(a Address) {
	j := &c.join
	if a.Addr == "" || a.Addr == c.cfg.Self.PeerAddr {
		return
	}
	for i := range j.peers {
		if j.peers[i].Addr == a.Addr {
			j.peers[i].Name = or(a.Name, j.peers[i].Name)
			return
		}
	}
	if len(j.peers) < joinPeers {
		j.peers = append(j.peers, a)
		return
	}
	j.peers[c.rng.IntN(len(j.peers))] = a
}

// lacksNeighbour reports whether a catalogue is held that was not compared with a neighbour's though one is known to live. The other
// peers may be behind the own failure domain after a cut.
func (c *Core) lacksNeighbour(now time.Time) bool {
	return !c.join.neighbour && c.store.get(catalogueName) != nil && c.liveNeighbours(now) > 0
}

// liveNeighbours counts the usable members of the own failure domain besides this process, up to the number asked in a round.
func (c *Core) liveNeighbours(now time.Time) int {
	n := 0
	for _, m := range c.members.First(now, c.cfg.Self.FailureDomain, joinAsks+1) {
		if m.Name != c.cfg.Self.Name {
			n++
		}
	}
	return n
}

// isNeighbour reports whether a peer is known to be of the own failure domain.
func (c *Core) isNeighbour(peer string) bool {
	m := c.members.Get(peer)
	return m != nil && m.FailureDomain == c.cfg.Self.FailureDomain
}

// askRound asks a few candidates what they hold: neighbours first while none has answered, then half of them seeds, since in a fleet
// that starts as a whole the seeds hold something first, and the others at random.
func (c *Core) askRound(now time.Time) {
	j := &c.join
	j.offers, j.asked, j.askedAt = nil, 0, now
	j.round++
	if c.lacksNeighbour(now) {
		c.addMemberPeers(now)
	}
	var neighbours, seeds, others []Address
	for _, i := range c.rng.Perm(len(j.peers)) {
		switch {
		case !j.neighbour && c.isNeighbour(j.peers[i].Name):
			neighbours = append(neighbours, j.peers[i])
		case slices.Contains(c.cfg.Seeds, j.peers[i].Addr):
			seeds = append(seeds, j.peers[i])
		default:
			others = append(others, j.peers[i])
		}
	}
	half := min(len(seeds), (joinAsks+1)/2)
	list := slices.Concat(neighbours, seeds[:half], others, seeds[half:])
	for _, a := range list[:min(len(list), joinAsks)] {
		j.asked++
		c.send(a, Message{Ask: &Ask{}, Sender: c.self()})
	}
}

func (c *Core) onAsk(now time.Time, from Address, m Message) {
	c.introduced(from)
	if !c.serving() && len(c.join.askers) < joinPeers {
		c.join.askers = append(c.join.askers, from)
	}
	c.offer(from, m.Sender)
}

// serving reports whether this process holds enough for others to join from it.
func (c *Core) serving() bool {
	return c.store.get(catalogueName) != nil && (c.phase == Joined || (c.phase == Joining && c.listsHeld()))
}

// offer tells a peer what is held.
func (c *Core) offer(to Address, asker *Sender) {
	o := &Offer{Region: c.region()}
	if c.serving() {
		o.Holding = true
		o.Versions = c.store.versions
		o.Refer = c.referrals(to.Name, asker)
	}
	c.send(to, Message{Offer: o, Sender: c.self()})
}

// introduced remembers the address of a peer that is known by its message.
func (c *Core) introduced(from Address) {
	if c.phase == Joining {
		c.addPeer(from)
	}
}

func (c *Core) onOffer(now time.Time, from Address, o *Offer) {
	if c.phase != Joining {
		// The answer of a seed that was asked because a failure domain seemed to have no instance.
		if o.Holding {
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
		awaited := c.store.get(catalogueName) == nil || (!j.neighbour && c.isNeighbour(from.Name))
		if !o.Holding || !awaited {
			return
		}
		// A peer that was asked earlier holds something now: others are given a moment to say so too.
		j.offers, j.asked, j.askedAt = nil, joinAsks, now
	}
	j.offers = append(j.offers, offer{from: from, offer: o, sent: now.Sub(j.askedAt)})
	j.neighbour = j.neighbour || (o.Holding && c.isNeighbour(from.Name))
}

// decide picks the offer with the highest revision; among equals the nearest.
func (c *Core) decide(now time.Time) {
	j := &c.join
	j.askedAt = time.Time{}
	best := c.bestOffer()
	if best == nil {
		c.nobodyHolds(now)
		return
	}
	j.alone = 0
	j.compared = true
	var wants []DocumentVersion
	j.wanted = nil
	for _, v := range best.offer.Versions {
		mine := c.store.version(v.Name)
		if mine.Revision < v.Revision && !c.refused[v] {
			wants = append(wants, mine)
			j.wanted = append(j.wanted, v)
		}
	}
	if len(wants) > 0 {
		j.pulledAt = now
		c.send(best.from, Message{Pull: &Pull{Held: wants}, Sender: c.self()})
	}
	j.nextAsk = now.Add(c.jitter(c.backoff(600 * time.Millisecond)))
}

func (c *Core) backoff(base time.Duration) time.Duration {
	d := base << min(max(c.join.round-1, 0), 4)
	return min(d, joinBackoffMax)
}

func (c *Core) bestOffer() *offer {
	offers := c.join.offers
	holding := slices.DeleteFunc(slices.Clone(offers), func(o offer) bool { return !o.offer.Holding })
	if len(holding) == 0 {
		return nil
	}
	best := slices.MaxFunc(holding, func(a, b offer) int {
		ra, rb := catalogueRevision(a.offer), catalogueRevision(b.offer)
		if ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		return c.nearness(a) - c.nearness(b)
	})
	return &best
}

func (c *Core) nearness(o offer) int {
	if c.isNeighbour(o.from.Name) {
		return 2
	}
	if o.offer.Region != "" && o.offer.Region == c.region() {
		return 1
	}
	return 0
}

func catalogueRevision(o *Offer) uint64 {
	for _, v := range o.Versions {
		if v.Name == catalogueName {
			return v.Revision
		}
	}
	return 0
}

// nobodyHolds plans the next round and, once, the time at which this process reads the platform itself: seeds in their
// order first, all others after a random delay sized by the fleet.
func (c *Core) nobodyHolds(now time.Time) {
	j := &c.join
	j.alone++
	j.wanted = nil
	j.nextAsk = now.Add(c.jitter(c.backoff(200 * time.Millisecond)))
	if c.store.get(catalogueName) != nil {
		// Nobody who answers holds anything newer: what is held is the best there is.
		j.compared = j.compared || j.alone >= 2 || len(j.offers) > 0
		return
	}
	if !j.platformAt.IsZero() || (len(j.peers) > 0 && j.alone < 2) {
		return
	}
	place := slices.Index(c.cfg.Seeds, c.cfg.Self.PeerAddr)
	switch {
	case len(j.peers) == 0:
		j.platformAt = now
	case place >= 0:
		j.platformAt = now.Add(time.Duration(place) * c.cfg.Timing.PlatformStep)
	default:
		spread := time.Duration(c.cfg.FleetSize) * 5 * time.Millisecond
		j.platformAt = now.Add(c.cfg.Timing.PlatformLast + time.Duration(c.rng.Int64N(int64(spread)+1)))
	}
}

// joinReads reports whether a joining process may read the platform now.
func (c *Core) joinReads(now time.Time) bool {
	j := &c.join
	return c.phase == Joining && !j.platformAt.IsZero() && !now.Before(j.platformAt)
}

// joinReadsFirst returns what a process that holds no catalogue may read. One that is no seed, or found no seed, reads the list of
// its failure domain first, which is a single read and names peers to ask; then those read on whose turn it is by rank.
func (c *Core) joinReadsFirst(now time.Time) (manifest bool, lists []string) {
	if !c.joinReads(now) {
		return false, nil
	}
	own := c.cfg.Self.FailureDomain
	if slices.Contains(c.cfg.Seeds, c.cfg.Self.PeerAddr) || len(c.join.peers) == 0 && c.store.get(origin.InstancesDocument(own)) != nil {
		return true, nil
	}
	if c.store.get(origin.InstancesDocument(own)) == nil && now.Sub(c.join.platformAt) < c.cfg.Timing.PlatformLast {
		return false, []string{own}
	}
	if !c.join.listed {
		// The list names peers that have not been asked yet: the rounds begin anew.
		c.join.listed = true
		c.join.round = 0
		c.join.nextAsk = now
		c.addMemberPeers(now)
	}
	place := slices.Index(c.members.Order(now, own), c.members.Get(c.cfg.Self.Name))
	return now.Sub(c.join.platformAt) >= time.Duration(place)*c.cfg.Timing.PlatformStep, nil
}

// joinDone reports whether the process has caught up: it holds a catalogue that was compared with peers or came from the
// platform with no peer to ask, and the lists of instances, or has waited for them.
func (c *Core) joinDone(now time.Time) bool {
	j := &c.join
	if c.store.get(catalogueName) == nil {
		return false
	}
	if !j.compared && !c.joinReads(now) {
		return false
	}
	for _, v := range j.wanted {
		if v.Name == catalogueName && c.store.version(v.Name).Revision < v.Revision && !c.refused[v] {
			return false
		}
	}
	if j.heldAt.IsZero() {
		j.heldAt = now
	}
	complete := c.listsHeld() && j.askedAt.IsZero() && !c.lacksNeighbour(now)
	return complete || now.Sub(j.heldAt) >= joinGrace
}

// listsHeld reports whether a list of instances is held for each failure domain of the catalogue.
func (c *Core) listsHeld() bool {
	for _, r := range c.topology.Regions {
		for _, fd := range r.FailureDomains {
			if c.store.get(origin.InstancesDocument(fd)) == nil {
				return false
			}
		}
	}
	return true
}

// joinApplied notes that a document arrived, so that a join ends without waiting for the next tick.
func (c *Core) joinApplied(now time.Time, _ *document.Document) {
	if c.phase == Joining && !c.join.started.IsZero() && c.joinDone(now) {
		c.phase = Joined
	}
	if !c.serving() {
		return
	}
	for _, a := range c.join.askers {
		c.offer(a, nil)
	}
	c.join.askers = nil
}
