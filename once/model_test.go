package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// message is one message on its way; deliver is called at the receiver, if it lives and can be reached.
type message struct {
	from, to string
	deliver  func(*node)
}

// node is one instance with its present life.
type node struct {
	seat    Seat
	table   *Table // nil while down
	skew    time.Duration
	running []Key
	paused  bool
	// version is the index of the list that the node sees; stuck says that it sees no newer one.
	version int
	stuck   bool
}

// world is a service on instances with lagging lists, partitions, crashes, replacements, pauses, lost, late and doubled
// messages.
type world struct {
	rng     *rand.Rand
	now     time.Time
	nodes   map[string]*node
	names   []string
	lists   [][]Seat
	cut     map[string]int // the side of a partition that an instance is on
	post    []message
	keys    []Key
	runs    map[Key]int
	retired map[Key]string // keys said not to have run, with the instance that said so
	// forge makes executors believe that every seat has granted.
	forge     bool
	callers   time.Duration // bound of callers clock errors
	withdrawn map[Key]bool
	lag       int // number of last versions of the list that are seen
	nextName  int
	problem   string
}

func newWorld(seed uint64, seats int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)), now: epoch, nodes: map[string]*node{}, cut: map[string]int{},
		runs: map[Key]int{}, retired: map[Key]string{}, callers: 2 * MaxSkew, lag: 3, withdrawn: map[Key]bool{},
	}
	for range seats {
		w.add()
	}
	return w
}

func (w *world) add() {
	w.nextName++
	name := fmt.Sprintf("i%d", w.nextName)
	n := &node{seat: Seat{name, "obb"}, skew: time.Duration(w.rng.Int64N(int64(MaxSkew))) - MaxSkew/2}
	w.nodes[name] = n
	w.names = append(w.names, name)
	n.table = New(w.at(n), n.seat, DefaultLimits)
	w.publish()
}

// publish appends a new version of the platform's list.
func (w *world) publish() {
	var list []Seat
	for _, name := range w.names {
		list = append(list, w.nodes[name].seat)
	}
	w.lists = append(w.lists, list)
}

func (w *world) at(n *node) time.Time { return w.now.Add(n.skew) }

func (w *world) some() *node { return w.nodes[w.names[w.rng.IntN(len(w.names))]] }

func (w *world) send(from, to string, deliver func(*node)) {
	w.post = append(w.post, message{from, to, deliver})
}

// deliver delivers, loses or doubles one message.
func (w *world) deliver(loss float64) {
	if len(w.post) == 0 {
		return
	}
	i := w.rng.IntN(len(w.post))
	m := w.post[i]
	if w.rng.Float64() > loss {
		w.post = slices.Delete(w.post, i, i+1)
	}
	n := w.nodes[m.to]
	if n == nil || n.table == nil || n.paused || w.cut[m.from] != w.cut[m.to] || w.rng.Float64() < loss {
		return
	}
	m.deliver(n)
}

func (w *world) hello(n *node) {
	h := n.table.Hello()
	for _, peer := range n.table.Peers() {
		w.send(n.seat.Instance, peer, func(p *node) {
			welcome := p.table.Greeted(w.at(p), h)
			w.send(peer, h.From.Instance, func(n *node) {
				if n.table.Self() == h.From {
					n.table.Welcomed(w.at(n), welcome)
				}
			})
		})
	}
}

// call sends a key, new or again, to some instance.
func (w *world) call() {
	n := w.some()
	if n.table == nil || n.paused {
		return
	}
	var k Key
	if len(w.keys) > 0 && w.rng.IntN(3) > 0 {
		k = w.keys[max(0, len(w.keys)-1-w.rng.IntN(5))]
	} else {
		skew := time.Duration(w.rng.Int64N(int64(2*w.callers))) - w.callers
		k = keyAt(w.now.Add(skew), 0)
		k.Route = fmt.Sprint(len(w.keys))
		w.keys = append(w.keys, k)
	}
	w.handle(n, k, n.table.Submit(w.at(n), k, 7, nil))
}

func (w *world) handle(n *node, k Key, v Verdict) {
	switch v.Kind {
	case Run:
		w.runs[k]++
		n.running = append(n.running, k)
		if w.runs[k] > 1 {
			w.problem = fmt.Sprintf("key %s ran %d times", k.Route, w.runs[k])
		}
		if by := w.retired[k]; by != "" && by != n.seat.Instance {
			w.problem = fmt.Sprintf("key %s ran at %s after %s said that it alone may run it", k.Route, n.seat.Instance, by)
		}
	case Poll:
		w.poll(n, k, v)
	case Refuse:
		if v.Refusal.NotRun && w.runs[k] > 0 {
			w.problem = fmt.Sprintf("key %s ran and was said not to have run", k.Route)
		}
		if v.Refusal.NotRun && v.Refusal.Reason != KeyAhead {
			w.retired[k] = n.seat.Instance
		}
	case Replay, Join:
		if w.runs[k] == 0 && v.Kind == Replay {
			w.problem = fmt.Sprintf("key %s was answered without a run", k.Route)
		}
	}
}

func (w *world) poll(n *node, k Key, v Verdict) {
	for _, peer := range v.Peers {
		if w.forge {
			w.handle(n, k, n.table.Count(w.at(n), k, Vote{Kind: Granted, From: Life{Instance: peer}, Holder: n.table.Self()}, nil))
			continue
		}
		w.send(n.seat.Instance, peer, func(p *node) {
			vote := p.table.Vote(w.at(p), v.Ask, nil)
			w.send(peer, n.seat.Instance, func(n *node) {
				if n.table.Self() == v.Ask.Executor {
					w.handle(n, k, n.table.Count(w.at(n), k, vote, nil))
				}
			})
		})
	}
}

// finish ends a running request in one of the possible ways.
func (w *world) finish() {
	n := w.some()
	if n.table == nil || n.paused || len(n.running) == 0 {
		return
	}
	k := n.running[0]
	n.running = n.running[1:]
	switch w.rng.IntN(10) {
	case 0:
		n.table.Withdraw(w.at(n), k)
		w.runs[k]--
		w.withdrawn[k] = true
	case 1:
		n.table.Lose(w.at(n), k)
	default:
		n.table.Finish(w.at(n), k, []byte(k.Route))
	}
}

// fault does one of the things that fail.
func (w *world) fault() {
	n := w.some()
	switch w.rng.IntN(9) {
	case 0: // the process crashes and comes back, maybe later
		n.running = nil
		n.table = nil
	case 1, 2:
		if n.table == nil {
			n.table = New(w.at(n), n.seat, DefaultLimits)
		}
	case 3: // partition
		for _, name := range w.names {
			w.cut[name] = w.rng.IntN(2)
		}
	case 4: // heal
		clear(w.cut)
	case 5: // pause and wake
		n.paused = !n.paused
	case 6: // replaced by a new instance, with its own word or by death
		w.replace(n)
	case 7:
		if len(w.names) < maxSeats {
			w.add()
		}
	case 8: // the list that a node sees stays behind
		n.stuck = !n.stuck
	}
}

// maxSeats is the size up to which the service grows.
const maxSeats = 8

func (w *world) replace(n *node) {
	if n.table != nil && !n.paused && w.rng.IntN(2) == 0 {
		farewell := n.table.Leave(w.at(n))
		for _, peer := range n.table.Peers() {
			w.send(n.seat.Instance, peer, func(p *node) { p.table.Left(w.at(p), farewell) })
		}
	} else {
		n.table = nil
		n.running = nil
	}
	if len(w.names) > 2 {
		w.names = slices.DeleteFunc(w.names, func(name string) bool { return name == n.seat.Instance })
	}
	w.add()
}

// step does one thing.
func (w *world) step(faults, loss float64) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(100)) * time.Millisecond)
	n := w.some()
	switch r := w.rng.IntN(20); {
	case r < 10:
		w.deliver(loss)
	case r < 14:
		w.call()
	case r < 16:
		w.finish()
	case r == 16:
		if w.rng.Float64() < faults {
			w.fault()
		}
	case n.table == nil || n.paused:
	case r == 17:
		// Lists lag and may go back a little: any of the last versions may be seen.
		if !n.stuck {
			n.version = max(0, len(w.lists)-1-w.rng.IntN(w.lag))
		}
		n.table.SetSeats(w.at(n), w.lists[n.version])
	default:
		if !n.table.Mature(w.at(n)) {
			w.hello(n)
		}
	}
}

// quiet does a number of steps without faults and delivers all messages at once.
func (w *world) quiet(t *testing.T, steps int) {
	for range steps {
		w.step(0, 0)
		for len(w.post) > 0 {
			w.deliver(0)
		}
		if w.problem != "" {
			t.Fatalf("without faults: %s", w.problem)
		}
	}
}

func (w *world) settle(t *testing.T) {
	w.quiet(t, 2000)
	for _, name := range w.names {
		if n := w.nodes[name]; !n.table.Mature(w.at(n)) {
			t.Fatalf("%s did not mature without faults", name)
		}
	}
}

// No history of crashes, replacements, partitions, pauses and lost, late or doubled messages runs a key twice, and what is
// said not to have run has not.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "seats"))
		steps := rapid.IntRange(0, 6000).Draw(t, "steps")
		faults := rapid.Float64Range(0, 1).Draw(t, "faults")
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		for i := range steps {
			w.step(faults, loss)
			if w.problem != "" {
				t.Fatalf("step %d: %s", i, w.problem)
			}
		}
	})
}

// The list that one instance sees goes back to a version before two others, and stays there for longer than DropAfter. It
// must not bind a key alone that another life has bound by a majority.
func TestOldListDropsNoLivingSeat(t *testing.T) {
	w := newWorld(0x120c, 3)
	for i := range 6000 {
		w.step(0.034310036982425844, 0.00467680444856775)
		if w.problem != "" {
			t.Fatalf("step %d: %s", i, w.problem)
		}
	}
}

// Executors that don't wait for a majority are caught by the same check.
func TestForgedMajorityIsCaught(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 4)
		w.forge = true
		for range 6000 {
			w.step(0.1, 0.05)
		}
		if w.problem != "" {
			return
		}
	}
	t.Fatal("no double run found in 20 histories without majorities")
}

// Without faults every seat matures, and keys run wherever they are sent.
func TestServesWithoutFaults(t *testing.T) {
	for seats := 1; seats <= 5; seats++ {
		w := newWorld(uint64(seats), seats)
		w.callers, w.lag = MaxSkew/4, 1
		w.settle(t)
		before := len(w.keys)
		w.quiet(t, 2000)
		for _, k := range w.keys[before:] {
			if w.runs[k] != 1 && !w.withdrawn[k] {
				t.Errorf("%d seats: key %s ran %d times", seats, k.Route, w.runs[k])
			}
		}
	}
}
