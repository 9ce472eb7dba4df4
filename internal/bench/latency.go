package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms.
const (
	latencyMax               = 2 * time.Minute
	latencySignificantDigits = 3
)

// Latency is a histogram of durations from 1 µs to 2 min with a precision of 3 significant digits. It is safe for concurrent use.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{hist: hdrhistogram.New(1, latencyMax.Microseconds(), latencySignificantDigits)}
}

// Record adds one duration, clamped to the range of the histogram.
func (l *Latency) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 1), latencyMax.Microseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(us) // cannot fail: the value is within the range
}

// Count returns the number of recorded durations.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.TotalCount()
}

// Microseconds returns the value at a percentile from 0 to 100 in microseconds, or 0 if the histogram is empty.
func (l *Latency) Microseconds(percentile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hist.TotalCount() == 0 {
		return 0
	}
	return float64(l.hist.ValueAtPercentile(percentile))
}

// Milliseconds returns the value at a percentile from 0 to 100 in milliseconds, or 0 if the histogram is empty.
func (l *Latency) Milliseconds(percentile float64) float64 {
	return l.Microseconds(percentile) / 1000
}

// MaxMilliseconds returns the largest recorded duration in milliseconds.
func (l *Latency) MaxMilliseconds() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.hist.Max()) / 1000
}

// Curve returns the distribution as a line for a plot: X is the percentile, Y the value in milliseconds.
func (l *Latency) Curve(name string) Series {
	s := Series{Name: name}
	for _, p := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100} {
		s.Points = append(s.Points, Point{X: p, Y: l.Milliseconds(p)})
	}
	return s
}
