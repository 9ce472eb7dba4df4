package admission

import (
	"math"
	"slices"
	"time"
)

// Parameters of the baseline.
const (
	// windowSize is the number of recent latencies whose distribution is kept.
	windowSize = 128
	// minSamples is the number of latencies required before answers can count as late.
	minSamples = 32
	// refreshSamples is the number of new latencies after which the quantile is computed again.
	refreshSamples = 16
	// lateQuantile is the quantile of recent latencies above which an answer is late.
	lateQuantile = 0.95
	// lateFactor and slowFactor are the lowest ratios to the mean at which an answer is late or slow.
	lateFactor = 1.5
	slowFactor = 2
	// lateFloor is the lowest latency that counts as late.
	lateFloor = 5 * time.Millisecond
	// latencyGain is the weight of a new sample in the moving averages.
	latencyGain = 1.0 / 64
	// maxKinds is the number of kinds of request with an average of their own; further kinds share one.
	maxKinds = 64
)

// ewma is an exponentially weighted moving average in seconds.
type ewma struct {
	mean    float64
	samples int
}

func (a *ewma) add(x float64) {
	a.samples = min(a.samples+1, minSamples)
	a.mean += max(latencyGain, 1/float64(a.samples)) * (x - a.mean)
}

// baseline is the usual latency of a target. Latencies are kept relative to the mean of their kind, so that fast and
// slow kinds of request share one distribution.
type baseline struct {
	kinds     map[string]*ewma
	window    [windowSize]float64
	count     int
	lateRatio float64
	// minSuspectAge is the lowest age at which a request of any kind may indicate a cold target.
	minSuspectAge time.Duration
}

// reset discards the samples, as the target has changed.
func (b *baseline) reset() {
	for _, k := range b.kinds {
		k.samples = 0
	}
	b.count = 0
	b.lateRatio = math.Inf(1)
}

// kind returns the average of a kind of request. It stays valid for the lifetime of the baseline.
func (b *baseline) kind(name string) *ewma {
	if k := b.kinds[name]; k != nil {
		return k
	}
	if b.kinds == nil {
		b.kinds = map[string]*ewma{}
	}
	if len(b.kinds) >= maxKinds {
		name = ""
	}
	k := b.kinds[name]
	if k == nil {
		k = &ewma{}
		b.kinds[name] = k
	}
	return k
}

// record adds the latency in seconds of a complete answer.
func (b *baseline) record(k *ewma, latency float64) {
	k.add(latency)
	if k.mean > 0 {
		b.window[b.count%windowSize] = latency / k.mean
	}
	b.count++
	if b.count >= minSamples && b.count%refreshSamples == 0 {
		b.updateQuantile()
	}
}

func (b *baseline) updateQuantile() {
	var sorted [windowSize]float64
	n := min(b.count, windowSize)
	copy(sorted[:n], b.window[:n])
	slices.Sort(sorted[:n])
	b.lateRatio = max(lateFactor, sorted[int(lateQuantile*float64(n))])
	lowest := math.Inf(1)
	for _, k := range b.kinds {
		if k.samples > 0 {
			lowest = min(lowest, normalFactor*k.mean)
		}
	}
	b.minSuspectAge = max(lateFloor, seconds(lowest))
}

// lateThreshold returns the latency in seconds from which on an answer of a kind is late; infinite until there are
// minSamples.
func (b *baseline) lateThreshold(k *ewma) float64 {
	if b.count < minSamples || k.samples < minSamples {
		return math.Inf(1)
	}
	return max(lateFloor.Seconds(), b.lateRatio*k.mean)
}

// slowThreshold returns the latency in seconds from which on an answer of a kind is evidence of a cold target.
func (b *baseline) slowThreshold(k *ewma) float64 {
	return max(b.lateThreshold(k), slowFactor*k.mean)
}
