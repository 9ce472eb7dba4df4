package follow

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Load pattern: the state of all processes of a region is out of date at once. Few of them read the store at any time, and each of them
// within a time that grows with their number.
func TestStoreTurnsAreBoundedAndReachEveryProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		size := rapid.IntRange(1, 1000).Draw(t, "size")
		turn := time.Duration(turnShare * float64(applyWithin))
		had := make([]bool, size)
		rounds := time.Duration(size/turnReaders + 2)
		for at := time.Duration(0); at < rounds*turn; at += tick {
			readers := 0
			for position := range size {
				if storeTurn(position, size, at, applyWithin) {
					readers++
					had[position] = true
				}
			}
			if readers > turnReaders+1 {
				t.Fatalf("%d of %d processes read the store at %v", readers, size, at)
			}
			if at == 0 && readers > firstReaders+1 {
				t.Fatalf("%d of %d processes read the store at once", readers, size)
			}
		}
		for position, ok := range had {
			if !ok {
				t.Fatalf("position %d of %d never reads the store", position, size)
			}
		}
	})
}

func TestOnlyRootReadsStoreWhileStateIsFresh(t *testing.T) {
	for position := range 40 {
		if got := storeTurn(position, 40, -time.Millisecond, applyWithin); got != (position == 0) {
			t.Errorf("position %d may read: %v", position, got)
		}
	}
}
