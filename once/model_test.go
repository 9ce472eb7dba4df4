package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// message is a message in flight. deliver is called with the receiver if that is up and reachable.
type message struct {
	from, to string
	deliver  func(*node)
}

// node is an instance with its current incarnation.
type node struct {
	voter   Voter
	table   *Table // nil while down
	skew    time.Duration
	running []Key
	paused  bool
	// listIndex is the version of the instance list that the node sees; listFrozen means that it sees no newer one.
	listIndex  int
	listFrozen bool
}

// world simulates a service with lagging instance lists, partitions, crashes, replacements, pauses, and lost, delayed or
// duplicated messages.
type world struct {
	rng       *rand.Rand
	now       time.Time
	nodes     map[string]*node
	names     []string
	lists     [][]Voter
	partition map[string]int // side of the partition per instance
	inFlight  []message
	keys      []Key
	runs      map[Key]int
	notRun    map[Key]string // keys reported as not run, with the instance that reported it
	// forgeVotes counts a granted vote of every voter without asking it.
	forgeVotes    bool
	maxCallerSkew time.Duration // bound on the clock error of callers
	aborted       map[Key]bool
	listLag       int // number of latest list versions that nodes may see
	nextName      int
	violation     string
}

func newWorld(seed uint64, voters int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)), now: epoch, nodes: map[string]*node{}, partition: map[string]int{},
		runs: map[Key]int{}, notRun: map[Key]string{}, maxCallerSkew: 2 * MaxClockSkew, listLag: 3, aborted: map[Key]bool{},
	}
	for range voters {
		w.addNode()
	}
	return w
}

func (w *world) addNode() {
	w.nextName++
	name := fmt.Sprintf("i%d", w.nextName)
	n := &node{voter: Voter{name, "obb"}, skew: time.Duration(w.rng.Int64N(int64(MaxClockSkew))) - MaxClockSkew/2}
	w.nodes[name] = n
	w.names = append(w.names, name)
	n.table = New(w.localTime(n), n.voter, DefaultLimits)
	w.publishList()
}

// publishList appends a new version of the platform's instance list.
func (w *world) publishList() {
	var list []Voter
	for _, name := range w.names {
		list = append(list, w.nodes[name].voter)
	}
	w.lists = append(w.lists, list)
}

func (w *world) localTime(n *node) time.Time { return w.now.Add(n.skew) }

func (w *world) randomNode() *node { return w.nodes[w.names[w.rng.IntN(len(w.names))]] }

func (w *world) send(from, to string, deliver func(*node)) {
	w.inFlight = append(w.inFlight, message{from, to, deliver})
}

// deliver delivers, loses or duplicates one message.
func (w *world) deliver(loss float64) {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rng.IntN(len(w.inFlight))
	m := w.inFlight[i]
	if w.rng.Float64() > loss {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	n := w.nodes[m.to]
	if n == nil || n.table == nil || n.paused || w.partition[m.from] != w.partition[m.to] || w.rng.Float64() < loss {
		return
	}
	m.deliver(n)
}

func (w *world) announce(n *node) {
	announcement := n.table.Announcement()
	for _, peer := range n.table.Peers() {
		w.send(n.voter.Instance, peer, func(p *node) {
			reply := p.table.HandleAnnouncement(w.localTime(p), announcement)
			w.send(peer, announcement.From.Instance, func(n *node) {
				if n.table.Self() == announcement.From {
					n.table.HandleAnnouncementReply(w.localTime(n), reply)
				}
			})
		})
	}
}

// submitKey sends a new or an earlier key to a random instance.
func (w *world) submitKey() {
	n := w.randomNode()
	if n.table == nil || n.paused {
		return
	}
	var k Key
	if len(w.keys) > 0 && w.rng.IntN(3) > 0 {
		k = w.keys[max(0, len(w.keys)-1-w.rng.IntN(5))]
	} else {
		skew := time.Duration(w.rng.Int64N(int64(2*w.maxCallerSkew))) - w.maxCallerSkew
		k = keyAt(w.now.Add(skew), 0)
		k.Route = fmt.Sprint(len(w.keys))
		w.keys = append(w.keys, k)
	}
	w.handle(n, k, n.table.Submit(w.localTime(n), k, 7, nil))
}

func (w *world) handle(n *node, k Key, v Verdict) {
	switch v.Kind {
	case Run:
		w.runs[k]++
		n.running = append(n.running, k)
		if w.runs[k] > 1 {
			w.violation = fmt.Sprintf("key %s ran %d times", k.Route, w.runs[k])
		}
		if by := w.notRun[k]; by != "" && by != n.voter.Instance {
			w.violation = fmt.Sprintf("key %s ran at %s after %s reported that it alone may run it", k.Route, n.voter.Instance, by)
		}
	case Poll:
		w.sendPoll(n, k, v)
	case Refuse:
		if v.Refusal.NotRun && w.runs[k] > 0 {
			w.violation = fmt.Sprintf("key %s ran but was reported as not run", k.Route)
		}
		if v.Refusal.NotRun && v.Refusal.Reason != KeyAhead {
			w.notRun[k] = n.voter.Instance
		}
	case Replay, Join:
		if w.runs[k] == 0 && v.Kind == Replay {
			w.violation = fmt.Sprintf("key %s got a response without a run", k.Route)
		}
	}
}

func (w *world) sendPoll(n *node, k Key, v Verdict) {
	for _, peer := range v.Peers {
		if w.forgeVotes {
			w.handle(n, k, n.table.HandleVote(w.localTime(n), k, Vote{Kind: Granted, From: Incarnation{Instance: peer}, Holder: n.table.Self()}, nil))
			continue
		}
		w.send(n.voter.Instance, peer, func(p *node) {
			vote := p.table.Vote(w.localTime(p), v.VoteRequest, nil)
			w.send(peer, n.voter.Instance, func(n *node) {
				if n.table.Self() == v.VoteRequest.Executor {
					w.handle(n, k, n.table.HandleVote(w.localTime(n), k, vote, nil))
				}
			})
		})
	}
}

// finish ends a running request with Abort, MarkLost or Finish.
func (w *world) finish() {
	n := w.randomNode()
	if n.table == nil || n.paused || len(n.running) == 0 {
		return
	}
	k := n.running[0]
	n.running = n.running[1:]
	switch w.rng.IntN(10) {
	case 0:
		n.table.Abort(w.localTime(n), k)
		w.runs[k]--
		w.aborted[k] = true
	case 1:
		n.table.MarkLost(w.localTime(n), k)
	default:
		n.table.Finish(w.localTime(n), k, []byte(k.Route))
	}
}

// fault injects one random fault.
func (w *world) fault() {
	n := w.randomNode()
	switch w.rng.IntN(9) {
	case 0: // the process crashes; it may restart later
		n.running = nil
		n.table = nil
	case 1, 2:
		if n.table == nil {
			n.table = New(w.localTime(n), n.voter, DefaultLimits)
		}
	case 3: // partition
		for _, name := range w.names {
			w.partition[name] = w.rng.IntN(2)
		}
	case 4: // heal
		clear(w.partition)
	case 5: // pause or resume
		n.paused = !n.paused
	case 6: // replaced by a new instance, after a Departure or a crash
		w.replace(n)
	case 7:
		if len(w.names) < maxVoters {
			w.addNode()
		}
	case 8: // the node sees no newer list, or does so again
		n.listFrozen = !n.listFrozen
	}
}

// maxVoters is the number of instances up to which the service grows.
const maxVoters = 8

func (w *world) replace(n *node) {
	if n.table != nil && !n.paused && w.rng.IntN(2) == 0 {
		departure := n.table.Leave(w.localTime(n))
		for _, peer := range n.table.Peers() {
			w.send(n.voter.Instance, peer, func(p *node) { p.table.HandleDeparture(w.localTime(p), departure) })
		}
	} else {
		n.table = nil
		n.running = nil
	}
	if len(w.names) > 2 {
		w.names = slices.DeleteFunc(w.names, func(name string) bool { return name == n.voter.Instance })
	}
	w.addNode()
}

// step advances time by up to 100 ms and performs one random action.
func (w *world) step(faults, loss float64) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(100)) * time.Millisecond)
	n := w.randomNode()
	switch r := w.rng.IntN(20); {
	case r < 10:
		w.deliver(loss)
	case r < 14:
		w.submitKey()
	case r < 16:
		w.finish()
	case r == 16:
		if w.rng.Float64() < faults {
			w.fault()
		}
	case n.table == nil || n.paused:
	case r == 17:
		// Lists lag and may go back: any of the latest versions may be seen.
		if !n.listFrozen {
			n.listIndex = max(0, len(w.lists)-1-w.rng.IntN(w.listLag))
		}
		n.table.SetVoters(w.localTime(n), w.lists[n.listIndex])
	default:
		if !n.table.Mature(w.localTime(n)) {
			w.announce(n)
		}
	}
}

// runWithoutFaults performs steps without faults or losses and delivers all messages at once.
func (w *world) runWithoutFaults(t *testing.T, steps int) {
	for range steps {
		w.step(0, 0)
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
		if w.violation != "" {
			t.Fatalf("without faults: %s", w.violation)
		}
	}
}

func (w *world) runUntilMature(t *testing.T) {
	w.runWithoutFaults(t, 2000)
	for _, name := range w.names {
		if n := w.nodes[name]; !n.table.Mature(w.localTime(n)) {
			t.Fatalf("%s did not mature without faults", name)
		}
	}
}

// No sequence of crashes, replacements, partitions, pauses and lost, delayed or duplicated messages may run a key twice,
// and a key reported as not run must not have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "voters"))
		steps := rapid.IntRange(0, 6000).Draw(t, "steps")
		faults := rapid.Float64Range(0, 1).Draw(t, "faults")
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		for i := range steps {
			w.step(faults, loss)
			if w.violation != "" {
				t.Fatalf("step %d: %s", i, w.violation)
			}
		}
	})
}

// The instance list seen by one instance goes back to a version without two others, and stays there for longer than
// DropAfter. The instance must not bind a key alone that another incarnation has bound by a majority.
func TestOldListKeepsVoter(t *testing.T) {
	w := newWorld(0x120c, 3)
	for i := range 6000 {
		w.step(0.034310036982425844, 0.00467680444856775)
		if w.violation != "" {
			t.Fatalf("step %d: %s", i, w.violation)
		}
	}
}

// The check of TestAtMostOnce must detect executors that don't wait for a majority.
func TestForgedMajorityIsCaught(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 4)
		w.forgeVotes = true
		for range 6000 {
			w.step(0.1, 0.05)
		}
		if w.violation != "" {
			return
		}
	}
	t.Fatal("no double run found in 20 runs with forged majorities")
}

// Without faults every voter matures, and keys run at whichever instance receives them.
func TestServesWithoutFaults(t *testing.T) {
	for voters := 1; voters <= 5; voters++ {
		w := newWorld(uint64(voters), voters)
		w.maxCallerSkew, w.listLag = MaxClockSkew/4, 1
		w.runUntilMature(t)
		before := len(w.keys)
		w.runWithoutFaults(t, 2000)
		for _, k := range w.keys[before:] {
			if w.runs[k] != 1 && !w.aborted[k] {
				t.Errorf("%d voters: key %s ran %d times", voters, k.Route, w.runs[k])
			}
		}
	}
}
