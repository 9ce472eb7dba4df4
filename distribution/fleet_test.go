package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// fataler is the part of testing.TB and rapid.T with which the fleet reports a violated invariant.
type fataler interface {
	Fatalf(format string, args ...any)
}

// fleet runs many cores over a simulated network in virtual time.
type fleet struct {
	t     fataler
	rng   *rand.Rand
	now   time.Time
	seq   int
	queue eventQueue

	nodes map[string]*node
	names []string
	seeds []string

	// protocol holds the protocol version that an instance uses from its next incarnation on; 0 means the current one.
	protocol map[string]uint16

	// Faults of the network: probabilities, and cuts between failure domains.
	loss, duplicate, corrupt float64
	cut                      map[[2]string]bool

	// The platform.
	versions     []*document.Document // every catalogue published
	published    *document.Document
	chunks       map[document.Digest][]document.Entry
	lists        map[string]*document.Document
	platformDown bool
	platformCut  map[string]bool
	reads        int
	readLog      []string
	readKinds    map[string]int
	readTimes    []time.Time
	waiting      []waitingRead
	bytes        map[[2]string]int // by region pair
}

type node struct {
	*Core
	inst   origin.Instance
	holder *snapshot.Holder
	// incarnation numbers the starts of the instance; events of an earlier one are dropped.
	incarnation uint64
	stopped     bool
	paused      bool
	backlog     []func()
	applied     []uint64
	reports     []Report
	notices     []Notice
}

type waitingRead struct {
	n           *node
	incarnation uint64
	action      Action
}

type scheduled struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var domains = []string{"obb-muc", "obb-ro", "nbb-la", "nbb-pa"}

func regionOf(fd string) string { return fd[:3] }

// newFleet starts perDomain instances in each failure domain, all at once, with revision 1 published.
func newFleet(t fataler, seed uint64, perDomain int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0),
		nodes: map[string]*node{}, cut: map[[2]string]bool{}, chunks: map[document.Digest][]document.Entry{},
		protocol: map[string]uint16{}, readKinds: map[string]int{}, lists: map[string]*document.Document{}, platformCut: map[string]bool{}, bytes: map[[2]string]int{},
	}
	for i := range perDomain {
		for _, fd := range domains {
			name := fmt.Sprintf("%s-%d", fd, i)
			f.names = append(f.names, name)
			f.nodes[name] = &node{inst: instance(name)}
			if i == 0 {
				f.seeds = append(f.seeds, name)
			}
		}
	}
	f.publish(1)
	for _, fd := range domains {
		f.publishList(fd, 1, f.names...)
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

func instance(name string) origin.Instance {
	return origin.Instance{
		Name: name, FailureDomain: name[:strings.LastIndex(name, "-")], Service: "lagerstand",
		PeerAddr: name, RequestAddr: name, State: origin.Live,
	}
}

// start starts a new incarnation of an instance.
func (f *fleet) start(name string) {
	n := f.nodes[name]
	n.incarnation++
	n.holder = snapshot.NewHolder()
	n.stopped, n.paused, n.backlog, n.applied = false, false, nil, nil
	n.Core = New(Config{
		Self: n.inst, Incarnation: n.incarnation, Region: regionOf(n.inst.FailureDomain), StoreRegions: []string{"obb"},
		Seeds: f.seeds, HasSource: true, FleetSize: len(f.names), Check: n.check(),
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 3)), Protocol: f.protocol[name],
	})
	f.tick(n, n.incarnation)
}

// stop ends the incarnation of an instance without a leave notice.
func (f *fleet) stop(name string) {
	f.nodes[name].incarnation++
	f.nodes[name].stopped = true
}

func (n *node) check() func(*document.Document) (Topology, error) {
	holder := n.holder
	return func(doc *document.Document) (Topology, error) {
		if err := holder.Accept(doc); err != nil {
			return Topology{}, err
		}
		config := holder.Load().Config
		var t Topology
		for _, region := range config.Regions() {
			r := Region{Name: region}
			for _, fd := range config.FailureDomains() {
				if config.RegionOf(fd) == region {
					r.FailureDomains = append(r.FailureDomains, fd)
				}
			}
			t.Regions = append(t.Regions, r)
		}
		return t, nil
	}
}

// schedule calls run after d of virtual time.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, scheduled{f.now.Add(d), f.seq, run})
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduled)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// tick sends a Tick and schedules the next one about 100 ms later, until the incarnation ends.
func (f *fleet) tick(n *node, incarnation uint64) {
	if n.incarnation != incarnation {
		return
	}
	f.step(n, incarnation, Tick{})
	f.schedule(95*time.Millisecond+time.Duration(f.rng.Int64N(int64(10*time.Millisecond))), func() { f.tick(n, incarnation) })
}

// step passes an event to a node, or queues it while the node is paused.
func (f *fleet) step(n *node, incarnation uint64, e Event) {
	if n.incarnation != incarnation || n.stopped {
		return
	}
	if n.paused {
		if _, ok := e.(Tick); !ok {
			n.backlog = append(n.backlog, func() { f.step(n, incarnation, e) })
		}
		return
	}
	for _, a := range n.Step(f.now, e) {
		f.perform(n, a)
	}
}

// resume ends a pause. The queued events are processed first, as in a process that was stopped and continued.
func (f *fleet) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, run := range backlog {
		run()
	}
}

func (f *fleet) perform(n *node, a Action) {
	switch act := a.(type) {
	case Send:
		f.send(n, act)
	case Applied:
		f.checkApplied(n, act)
	case Report:
		n.reports = append(n.reports, act)
	case Deliver:
		n.notices = append(n.notices, act.Notice)
	case StopManifest, StopList:
		f.waiting = deleteRead(f.waiting, n, a)
	default:
		f.read(n, a)
	}
}

// checkApplied fails if a revision decreases or a route of the applied catalogue has no service or owner.
func (f *fleet) checkApplied(n *node, act Applied) {
	if act.Previous != nil && act.Previous.Revision() >= act.Document.Revision() {
		f.t.Fatalf("%s: %s went from revision %d to %d", n.inst.Name, act.Document.Name(), act.Previous.Revision(), act.Document.Revision())
	}
	if act.Document.Name() != catalogueName {
		return
	}
	n.applied = append(n.applied, act.Document.Revision())
	config := n.holder.Load().Config
	for _, r := range config.Routes() {
		if config.Service(r.Service) == nil || config.Organisation(r.Owner) == nil {
			f.t.Fatalf("%s: route %q refers to a service or organisation that revision %d lacks", n.inst.Name, r.Name, act.Document.Revision())
		}
	}
}

// send transmits one message with the current faults.
func (f *fleet) send(n *node, s Send) {
	to := f.nodes[s.To.Addr]
	if to == nil {
		return
	}
	data, err := Encode(s.Message)
	if err != nil {
		f.t.Fatalf("encode: %v", err)
	}
	ra, rb := regionOf(n.inst.FailureDomain), regionOf(to.inst.FailureDomain)
	f.bytes[[2]string{ra, rb}] += len(data)
	delay := time.Millisecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	if ra != rb {
		delay += 11 * time.Millisecond
	}
	copies := 1
	if f.rng.Float64() < f.duplicate {
		copies++
	}
	for range copies {
		if f.rng.Float64() < f.loss {
			continue
		}
		payload := data
		if f.rng.Float64() < f.corrupt {
			payload = f.corruptDeltas(s.Message, data)
		}
		// Reordering: a tenth of the messages is delayed further.
		extraDelay := time.Duration(0)
		if f.loss > 0 && f.rng.IntN(10) == 0 {
			extraDelay = time.Duration(f.rng.Int64N(int64(300 * time.Millisecond)))
		}
		f.schedule(delay+extraDelay, func() { f.deliver(n, to, payload) })
	}
}

// corruptDeltas flips bits within the deltas of a push. The transport authenticates messages, so only a faulty peer can
// cause this.
func (f *fleet) corruptDeltas(m Message, data []byte) []byte {
	if m.Push == nil {
		return data
	}
	deltas := make([]Delta, len(m.Push.Deltas))
	for i, d := range m.Push.Deltas {
		deltas[i] = d
		deltas[i].Packed = append([]byte(nil), d.Packed...)
		deltas[i].Packed[f.rng.IntN(len(d.Packed))] ^= byte(1 + f.rng.IntN(255))
	}
	m.Push = &Push{Deltas: deltas}
	data, err := Encode(m)
	if err != nil {
		f.t.Fatalf("encode: %v", err)
	}
	return data
}

func (f *fleet) deliver(from, to *node, data []byte) {
	if f.cut[[2]string{from.inst.FailureDomain, to.inst.FailureDomain}] {
		return
	}
	m, err := Decode(data)
	if err != nil {
		return
	}
	f.step(to, to.incarnation, Received{From: Address{Name: from.inst.Name, Addr: from.inst.PeerAddr}, Message: m})
}

// setCut cuts or restores the connections between the failure domains of two groups.
func (f *fleet) setCut(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			f.cut[[2]string{x, y}], f.cut[[2]string{y, x}] = cut, cut
		}
	}
}

// lagging returns the instances that have not joined or lack the catalogue revision or the latest list of any failure
// domain.
func (f *fleet) lagging(revision uint64) []string {
	var out []string
	for _, name := range f.names {
		n := f.nodes[name]
		if n.Version(catalogueName).Revision != revision || n.Phase() != Joined {
			out = append(out, name)
			continue
		}
		for fd, doc := range f.lists {
			if n.Version(origin.InstancesDocument(fd)) != doc.Version() {
				out = append(out, name)
				break
			}
		}
	}
	return out
}
