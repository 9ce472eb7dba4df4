package follow

import (
	"slices"
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
)

// Limits and intervals of the reads of the store by processes other than the root and its standby. The shares are fractions of
// Config.ApplyWithin.
const (
	// firstReaders is the number of processes that read the store as soon as their state is out of date, and turnReaders the number
	// of those whose turn it is at any time.
	firstReaders = 3
	turnReaders  = 16
	// readerStepShare is the time after which one more process reads the store, turnShare the time after which the turn passes to
	// the next turnReaders processes.
	readerStepShare = 0.05
	turnShare       = 2
	// maxReadBackoffShare bounds the pause between two reads of a process that is in contact with others.
	maxReadBackoffShare = 2
)

// storeTurn reports whether the process at a position of its region's order, of the given size, may read the store, whose last known
// contact has been out of date for the given time. The root and its standby at position 0 always may.
//
// If all processes of a region read the store at once, their responses fill its link. They are then given up and read again, while the
// link still carries the earlier ones. Invariant: at most turnReaders positions besides 0 have their turn at any time, and every position
// gets one.
func storeTurn(position, size int, outOfDate, applyWithin time.Duration) bool {
	if position == 0 {
		return true
	}
	if outOfDate < 0 {
		return false
	}
	turn := time.Duration(turnShare * float64(applyWithin))
	others := size - 1
	offset := (position - 1 - int(outOfDate/turn)*turnReaders) % others
	if offset < 0 {
		offset += others
	}
	step := time.Duration(readerStepShare * float64(applyWithin))
	return offset < min(firstReaders+int(outOfDate%turn/step), turnReaders)
}

// mayReadStore reports whether this process may read the store now: it has its turn, or no other process responds to it.
func (f *Follower) mayReadStore() bool {
	if f.cfg.Peers == nil || f.isolated() {
		return true
	}
	order := f.order(f.cfg.Holder.Load().InstanceAddrs(f.cfg.Region))
	position := slices.Index(order, f.cfg.Self.String())
	if position == f.standby(order) {
		position = 0
	}
	return storeTurn(position, len(order), f.Age()-f.share(refreshShare), f.cfg.ApplyWithin)
}

// isolated reports whether no other process has responded for so long that the state could be out of date for this reason.
func (f *Follower) isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Now().Sub(f.lastReply) >= f.share(refreshShare)
}

// noteReply records a response of another process.
func (f *Follower) noteReply() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReply = clock.Now()
}
