package daemon

import (
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
)

const (
	// servingKind says that the instance named by the subject takes work again in a new life.
	servingKind = "serving"
	// servingTTL is the time for which the notice is flooded; it is as long as a word of leaving is believed.
	servingTTL = 30 * time.Second
	// maxWords bounds the instances whose last word is remembered, and wordLife the time for which it is.
	maxWords = 4096
	wordLife = 10 * time.Minute
)

// words takes instances' own words that they are leaving or serving, and hands on those that are the newest of their
// instance: sequence numbers of notices rise over an instance's lives, so a word that was overtaken changes nothing.
type words struct {
	mu   sync.Mutex
	last map[string]word
	tell func(instance string, leaving bool)
}

type word struct {
	sequence uint64
	at       time.Time
}

func newWords(tell func(instance string, leaving bool)) *words {
	return &words{last: map[string]word{}, tell: tell}
}

// take hands on a notice unless it is another's word or overtaken.
func (w *words) take(now time.Time, n distribution.Notice) {
	if n.Origin != n.Subject || !w.newest(now, n) {
		return
	}
	w.tell(n.Subject, n.Kind == distribution.LeavingKind)
}

func (w *words) newest(now time.Time, n distribution.Notice) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.Sequence <= w.last[n.Subject].sequence {
		return false
	}
	if len(w.last) >= maxWords {
		w.prune(now)
	}
	w.last[n.Subject] = word{sequence: n.Sequence, at: now}
	return true
}

func (w *words) prune(now time.Time) {
	for instance, last := range w.last {
		if now.Sub(last.at) > wordLife {
			delete(w.last, instance)
		}
	}
}
