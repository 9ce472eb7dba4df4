package admission

import (
	"math"
	"slices"
	"time"
)

// Bounds of the baseline.
const (
	// windowSamples is the number of recent latencies whose distribution is kept.
	windowSamples = 128
	// enoughSamples is the number of latencies from which on answers are judged.
	enoughSamples = 32
	// refreshSamples is the number of new latencies after which the quantile is computed again.
	refreshSamples = 16
	// lateQuantile is the quantile of recent latencies above which an answer is late.
	lateQuantile = 0.95
	// lateFactor and slowFactor are the least ratios to the mean at which an answer is late or slow.
	lateFactor = 1.5
	slowFactor = 2
	// lateFloor is the least latency that counts as late.
	lateFloor = 5 * time.Millisecond
	// latencyGain is the part of a new sample in the moving averages.
	latencyGain = 1.0 / 64
	// maxKinds bounds the kinds of request that are told apart.
	maxKinds = 64
)

// average is a moving average in seconds.
type average struct {
	mean    float64
	samples int
}

func (a *average) add(x float64) {
	a.samples = min(a.samples+1, enoughSamples)
	a.mean += max(latencyGain, 1/float64(a.samples)) * (x - a.mean)
}

// baseline is what the target's latency has been. Latencies are kept relative to the mean of their kind, so that fast and
// slow kinds of request can be judged together.
type baseline struct {
	kinds  map[string]*average
	window [windowSamples]float64
	count  int
	late   float64
	// leastDoubt is the least age at which a request of any kind may speak for a cold target.
	leastDoubt time.Duration
}

// reset forgets the baseline, as the target has changed.
func (b *baseline) reset() {
	for _, k := range b.kinds {
		k.samples = 0
	}
	b.count = 0
	b.late = math.Inf(1)
}

// kind returns the average of a kind of request. It stays valid for the life of the baseline.
func (b *baseline) kind(name string) *average {
	if k := b.kinds[name]; k != nil {
		return k
	}
	if b.kinds == nil {
		b.kinds = map[string]*average{}
	}
	if len(b.kinds) >= maxKinds {
		name = ""
	}
	k := b.kinds[name]
	if k == nil {
		k = &average{}
		b.kinds[name] = k
	}
	return k
}

// learn takes the latency in seconds of a whole answer.
func (b *baseline) learn(k *average, latency float64) {
	k.add(latency)
	if k.mean > 0 {
		b.window[b.count%windowSamples] = latency / k.mean
	}
	b.count++
	if b.count >= enoughSamples && b.count%refreshSamples == 0 {
		b.refresh()
	}
}

func (b *baseline) refresh() {
	var sorted [windowSamples]float64
	n := min(b.count, windowSamples)
	copy(sorted[:n], b.window[:n])
	slices.Sort(sorted[:n])
	b.late = max(lateFactor, sorted[int(lateQuantile*float64(n))])
	least := math.Inf(1)
	for _, k := range b.kinds {
		if k.samples > 0 {
			least = min(least, goodFactor*k.mean)
		}
	}
	b.leastDoubt = max(lateFloor, seconds(least))
}

// lateAfter returns the latency in seconds of a kind from which on an answer is late; infinite while too little is known.
func (b *baseline) lateAfter(k *average) float64 {
	if b.count < enoughSamples || k.samples < enoughSamples {
		return math.Inf(1)
	}
	return max(lateFloor.Seconds(), b.late*k.mean)
}

// slowAfter returns the latency in seconds of a kind from which on an answer is evidence of a cold target.
func (b *baseline) slowAfter(k *average) float64 {
	return max(b.lateAfter(k), slowFactor*k.mean)
}
