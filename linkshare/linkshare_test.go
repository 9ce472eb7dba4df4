package linkshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	link  = Pool{From: "obb", To: "nbb"}
)

func TestInstanceAllocation(t *testing.T) {
	a := NewAccount(epoch, "i1")
	a.SetAllocations(epoch, []Allocation{{link, "a", InstanceRate(1000, 0.5, 5)}})
	now := epoch.Add(StartDelay)
	if ok, _ := a.Take(now, link, "a", 1); ok {
		t.Fatal("a new account spent before StartDelay")
	}
	now = now.Add(Depth)
	if ok, _ := a.Take(now, link, "a", 50); !ok {
		t.Fatal("a full bucket refused its own tokens")
	}
	ok, wait := a.Take(now, link, "a", 25)
	if ok || wait != 250*time.Millisecond {
		t.Fatalf("took %v, wait %v; want false and a wait of 250ms", ok, wait)
	}
	if ok, _ := a.Take(now, link, "b", 1); ok {
		t.Fatal("an organisation without an allocation spent")
	}
}

func TestDivide(t *testing.T) {
	demands := []Demand{{Bytes: 10, Weight: 100}, {Bytes: 1000, Weight: 100}, {Bytes: 1000, Weight: 200}}
	got := divide(310, demands)
	if got[0] != 10 || got[1] != 100 || got[2] != 200 {
		t.Fatalf("divided %v", got)
	}
}

// region simulates the instances of a region, with lost, duplicated and delayed messages and paused instances.
type region struct {
	rng         *rand.Rand
	accounts    []*Account
	lenders     []*Lender
	paused      []bool
	idle        []bool
	skew        []time.Duration
	inFlight    []func(time.Time)
	loss        float64
	duplication float64
}

func newRegion(seed uint64, instances int, allocations []Allocation) *region {
	r := &region{rng: rand.New(rand.NewPCG(seed, 4)), paused: make([]bool, instances), idle: make([]bool, instances)}
	for i := range instances {
		r.skew = append(r.skew, time.Duration(r.rng.Int64N(int64(MaxSkew)))-MaxSkew/2)
		name := fmt.Sprint("i", i)
		a := NewAccount(epoch.Add(r.skew[i]), name)
		a.SetAllocations(epoch.Add(r.skew[i]), allocations)
		r.accounts = append(r.accounts, a)
		r.lenders = append(r.lenders, NewLender(epoch.Add(r.skew[i]), name))
	}
	return r
}

func (r *region) send(deliver func(time.Time)) {
	r.inFlight = append(r.inFlight, deliver)
	for r.rng.Float64() < r.duplication {
		r.inFlight = append(r.inFlight, deliver)
	}
}

func (r *region) deliver(now time.Time) {
	var later []func(time.Time)
	for _, m := range r.inFlight {
		switch x := r.rng.Float64(); {
		case x < r.loss/2:
		case x < r.loss:
			later = append(later, m)
		default:
			m(now)
		}
	}
	r.inFlight = later
}

func (r *region) index(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "i%d", &i)
	return i
}

// round runs one round of offers, demands and loans at all instances. While their instance lists differ, two instances may
// act as lender.
func (r *region) round(now time.Time) {
	r.deliver(now)
	for i, a := range r.accounts {
		if r.paused[i] {
			continue
		}
		local := now.Add(r.skew[i])
		lender := 0
		if r.rng.Float64() < r.loss {
			lender = len(r.lenders) - 1
		}
		for _, o := range a.Offers(local) {
			r.send(func(at time.Time) { r.lenders[lender].AddOffer(at.Add(r.skew[lender]), o) })
		}
		for _, d := range a.Demands(local) {
			r.send(func(at time.Time) { r.lenders[lender].AddDemand(at.Add(r.skew[lender]), d) })
		}
		for _, l := range r.lenders[i].Lend(local) {
			to := r.index(l.To)
			r.send(func(at time.Time) { r.accounts[to].Receive(at.Add(r.skew[to]), l) })
		}
	}
}

const testCapacity = 1_000_000

func testAllocations(instances int) []Allocation {
	return []Allocation{
		{link, "a", InstanceRate(testCapacity, 0.5, instances)},
		{link, "b", InstanceRate(testCapacity, 0.3, instances)},
		{link, "c", InstanceRate(testCapacity, 0.2, instances)},
	}
}

// Guards the package's invariant: in every time window the link's capacity is kept, even if messages are lost, duplicated or
// delayed and instances pause.
func TestCapacityIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 6).Draw(t, "instances")
		r := newRegion(rapid.Uint64().Draw(t, "seed"), instances, testAllocations(instances))
		for i := range instances {
			r.idle[i] = i != 0
		}
		r.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		r.duplication = rapid.SampledFrom([]float64{0, 0.2, 0.7}).Draw(t, "duplication")
		const step = 50 * time.Millisecond
		var spent []float64
		now := epoch
		for i := range rapid.IntRange(300, 600).Draw(t, "steps") {
			now = now.Add(step)
			spent = append(spent, r.spend(now))
			if i%5 == 0 {
				r.round(now)
			}
			if k := r.rng.IntN(instances); r.rng.IntN(100) == 0 {
				r.paused[k] = !r.paused[k]
			}
			if k := r.rng.IntN(instances); r.rng.IntN(100) == 0 {
				r.idle[k] = !r.idle[k]
			}
		}
		for from := range spent {
			sum := 0.0
			for to := from; to < len(spent); to++ {
				sum += spent[to]
				if maximum := testCapacity * (time.Duration(to-from+1)*step + Burst).Seconds(); sum > maximum {
					t.Fatalf("spent %.0f in %v, more than %.0f", sum, time.Duration(to-from+1)*step, maximum)
				}
			}
		}
	})
}

// spend makes every running instance spend random amounts, and returns the bytes spent.
func (r *region) spend(now time.Time) float64 {
	total := 0.0
	for i, a := range r.accounts {
		for range 10 {
			if r.paused[i] || r.idle[i] {
				break
			}
			bytes := 1 + r.rng.Int64N(60_000)
			org := [...]string{"a", "b", "c"}[r.rng.IntN(3)]
			if ok, _ := a.Take(now.Add(r.skew[i]), link, org, bytes); ok {
				total += float64(bytes)
			}
		}
	}
	return total
}

// One busy instance and organisation borrows most of the link while the other instances are idle, and is limited to its own
// allocation once disconnected.
func TestUnusedAllocationsAreLent(t *testing.T) {
	const instances = 4
	r := newRegion(1, instances, testAllocations(instances))
	now := epoch.Add(StartDelay + MaxSkew)
	run := func(length time.Duration, connected bool) float64 {
		total := 0.0
		for end := now.Add(length); now.Before(end); now = now.Add(Interval / 5) {
			for range 20 {
				if ok, _ := r.accounts[1].Take(now.Add(r.skew[1]), link, "a", 10_000); ok {
					total += 10_000
				}
			}
			if connected && now.Sub(epoch)%Interval < Interval/5 {
				r.round(now)
			}
		}
		return total / length.Seconds() / testCapacity
	}
	run(5*time.Second, true)
	if got := run(20*time.Second, true); got < 0.8 || got > 1 {
		t.Errorf("used %.2f of an otherwise idle link", got)
	}
	run(TokenTTL+MaxSkew, false)
	if got, allocated := run(20*time.Second, false), 0.5/instances; got > allocated*1.01 || got < allocated*0.9 {
		t.Errorf("used %.3f of the link while disconnected, its own allocation is %.3f", got, allocated)
	}
}
