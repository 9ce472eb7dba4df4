package follow

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
)

// Metrics counts the bytes of the state that a process sends and receives.
type Metrics struct {
	sent     prometheus.Counter
	received *prometheus.CounterVec
}

// Values of the labels of received bytes.
const (
	fromStore = "store"
	fromPeer  = "peer"
	// newer marks changes that this process did not have, known those that it had received elsewhere meanwhile.
	newer = "newer"
	known = "known"
)

// NewMetrics returns the metrics and registers them with registerer, which may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilwell_state_sent_bytes_total", Help: "Bytes of state updates sent to other processes.",
		}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilwell_state_received_bytes_total",
			Help: "Bytes of state updates of peers, and of entries of the store before their encoding, by whether this process knew them already.",
		}, []string{"source", "content"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.sent, m.received)
	}
	return m
}

// longUpdate is the size in bytes from which on an update is logged.
const longUpdate = 16 << 10

// noteSent records an update that was sent to a process.
func (f *Follower) noteSent(to string, update *stateUpdate, bytes int, took time.Duration) {
	f.cfg.Metrics.sent.Add(float64(bytes))
	if bytes >= longUpdate {
		f.cfg.Log.Info().Str("to", to).Int("bytes", bytes).Bool("full", update.Full).Dur("took", took).
			Uint64("revision", update.Revision).Msg(events.LongUpdateSent)
	}
}

// noteReceived records changes up to a position from a peer or the store.
func (f *Follower) noteReceived(source, from string, bytes int, start time.Time, at mesh.Position) {
	isNewer, content := at.After(f.Position()), known
	if isNewer {
		content = newer
	}
	f.cfg.Metrics.received.WithLabelValues(source, content).Add(float64(bytes))
	if bytes >= longUpdate {
		f.cfg.Log.Info().Str("from", from).Int("bytes", bytes).Bool("newer", isNewer).Dur("took", clock.Now().Sub(start)).
			Uint64("revision", at.Revision).Msg(events.LongUpdateReceived)
	}
}

// contentBytes returns the size of the entries before their encoding.
func contentBytes(entries []mesh.Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Raw)
	}
	return total
}
