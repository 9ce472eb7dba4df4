// Package bodyroom owns the memory of a process for the bodies of requests and responses.
//
// Memory is taken as bytes arrive, not as they are announced. If there is none left, the bodies whose senders have paused for longest are
// ended, and then the slowest ones, so that senders that stop just short of the end don't keep out others. Responses whose clients do not read
// them are ended for want of memory as well, and for want of the connections that they hold.
package bodyroom

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
)

// ErrFull is returned if there is no room for a body.
var ErrFull = errors.New("no room for the request body in memory; retry later")

// ErrStalled is returned from reads of a body that was ended since its sender paused while others needed its room.
var ErrStalled = errors.New("sender of the request body paused while its room was needed; retry")

const (
	// pauseForRoom is the time for which a sender must have paused before its body is ended for want of memory.
	pauseForRoom = time.Second
	// slowAfter is the time that a body must have been waited for, and slowRate the rate in bytes per second below which it must have
	// arrived meanwhile, to be ended for its slowness.
	slowAfter = 5 * time.Second
	slowRate  = 8 << 10
	// firstPiece is the memory in bytes that a sized body takes first. Each further piece doubles what the body has.
	firstPiece = 256 << 10
	// firstUnsizedPiece is firstPiece for a body of unknown length.
	firstUnsizedPiece = 8 << 10
)

// Room is the memory for bodies. It is safe for concurrent use.
type Room struct {
	bytes int64

	mu   sync.Mutex
	held int64
	// arriving are the bodies that are being received.
	arriving map[*Arrival]struct{}
	// streamed is the number of them that are sent on while they arrive.
	streamed int
	// deliveries are the responses that are being written.
	deliveries map[*Delivery]struct{}
	stalled    uint64
	unread     uint64
	refused    uint64
}

// Origin is the kind of client that sends a body.
type Origin uint8

// Origins of bodies.
const (
	FromCallers Origin = iota
	FromProcesses
)

// NewRoom returns room for a number of bytes.
func NewRoom(bytes int64) *Room {
	return &Room{bytes: bytes, arriving: map[*Arrival]struct{}{}, deliveries: map[*Delivery]struct{}{}}
}

// Usage is the use of a Room.
type Usage struct {
	// Held are the bytes in use, Bytes all.
	Held, Bytes int64
	// Stalled counts the bodies ended since their senders had paused, Unread the responses ended since their clients did not read them,
	// Refused the attempts to take room when there was none.
	Stalled, Unread, Refused uint64
}

// Usage returns the present use.
func (r *Room) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Usage{Held: r.held, Bytes: r.bytes, Stalled: r.stalled, Unread: r.unread, Refused: r.refused}
}

// TryAcquire takes room for a number of bytes, and reports whether there was any. It may end bodies whose senders have paused.
func (r *Room) TryAcquire(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.makeRoom(clock.Now(), bytes, nil) {
		return false
	}
	r.held += bytes
	return true
}

// Release returns room taken by TryAcquire.
func (r *Room) Release(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= bytes
}

// Fits reports whether there is room for a number of bytes now. It may end bodies whose senders have paused.
func (r *Room) Fits(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.makeRoom(clock.Now(), bytes, nil)
}

// makeRoom ends paused bodies other than except until there is room for a number of bytes, and reports whether there is. It must be called
// with r.mu held.
func (r *Room) makeRoom(now time.Time, bytes int64, except *Arrival) bool {
	for r.held+bytes > r.bytes && bytes <= r.bytes {
		a := r.hindmost(now, pauseForRoom, func(a *Arrival) bool { return a != except && a.held > 0 })
		if a == nil {
			break
		}
		r.end(a)
	}
	if r.held+bytes > r.bytes {
		r.freeUnread(now, bytes)
		r.refused++
		return false
	}
	return true
}

// EndStalled ends the body of an origin whose sender has paused for longest, if that is at least pause, or else the slowest one, and
// reports whether there was any.
func (r *Room) EndStalled(origin Origin, pause time.Duration) bool {
	return r.endStalled(pause, func(a *Arrival) bool { return a.origin == origin })
}

// EndStreamed is like EndStalled, but considers only the bodies that are sent on while they arrive, of any origin.
func (r *Room) EndStreamed(pause time.Duration) bool {
	return r.endStalled(pause, func(a *Arrival) bool { return a.streamed })
}

// Streamed reports whether any body is sent on while it arrives.
func (r *Room) Streamed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streamed > 0
}

func (r *Room) endStalled(pause time.Duration, kind func(*Arrival) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.hindmost(clock.Now(), pause, kind)
	if a == nil {
		return false
	}
	r.end(a)
	return true
}

// hindmost returns the body of a kind whose sender has paused for longest, if that is at least pause, or else the slowest one below
// slowRate, or nil. It must be called with r.mu held.
func (r *Room) hindmost(now time.Time, pause time.Duration, kind func(*Arrival) bool) *Arrival {
	var paused, slowest *Arrival
	lowest := float64(slowRate)
	for a := range r.arriving {
		if a.waitingSince.IsZero() || a.ended || !kind(a) {
			continue
		}
		if now.Sub(a.waitingSince) >= pause && (paused == nil || a.waitingSince.Before(paused.waitingSince)) {
			paused = a
		}
		if waited := a.waited + now.Sub(a.waitingSince); waited >= slowAfter && float64(a.received)/waited.Seconds() < lowest {
			slowest, lowest = a, float64(a.received)/waited.Seconds()
		}
	}
	if paused != nil {
		return paused
	}
	return slowest
}

// end ends a body. Its reader returns at once, and drops what it has. It must be called with r.mu held.
func (r *Room) end(a *Arrival) {
	a.ended = true
	r.held -= a.held
	a.held = 0
	r.stalled++
	_ = a.setReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// Arrival is a request body that is being received. Its methods must not be called concurrently, except for SetReadDeadline.
type Arrival struct {
	room            *Room
	origin          Origin
	body            io.Reader
	setReadDeadline func(time.Time) error

	// The fields below are guarded by room.mu.
	held int64
	// waitingSince is the start of the read in progress, or zero.
	waitingSince time.Time
	// waited is the time of all reads, received the number of bytes read.
	waited   time.Duration
	received int64
	ended    bool
	// streamed is set while the body is sent on as it arrives.
	streamed bool
}

// Receive returns the arrival of a body, whose reads setReadDeadline interrupts. The caller must call Close.
func (r *Room) Receive(body io.Reader, origin Origin, setReadDeadline func(time.Time) error) *Arrival {
	a := &Arrival{room: r, body: body, origin: origin, setReadDeadline: setReadDeadline}
	r.mu.Lock()
	r.arriving[a] = struct{}{}
	r.mu.Unlock()
	return a
}

// Close returns the room of the body, which the caller must not use any more.
func (a *Arrival) Close() {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	delete(a.room.arriving, a)
	a.room.held -= a.held
	a.held = 0
	if a.streamed {
		a.room.streamed--
		a.streamed = false
	}
}

// Stream records that the body is sent on while it arrives.
func (a *Arrival) Stream() {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	if !a.streamed {
		a.room.streamed++
		a.streamed = true
	}
}

// SetReadDeadline sets the deadline of reads, unless the body was ended.
func (a *Arrival) SetReadDeadline(t time.Time) error {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	if a.ended {
		return ErrStalled
	}
	return a.setReadDeadline(t)
}

// Read implements io.Reader. It returns ErrStalled if the body was ended.
func (a *Arrival) Read(p []byte) (int, error) {
	if !a.beginRead() {
		return 0, ErrStalled
	}
	n, err := a.body.Read(p)
	if !a.endRead(n) && err != io.EOF && (n == 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
		return 0, ErrStalled
	}
	return n, err
}

// beginRead records the start of a read. It returns false if the body was ended.
func (a *Arrival) beginRead() bool {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	a.waitingSince = clock.Now()
	return !a.ended
}

// endRead records the end of a read of n bytes. It returns false if the body was ended.
func (a *Arrival) endRead(n int) bool {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	a.waited += clock.Now().Sub(a.waitingSince)
	a.waitingSince = time.Time{}
	a.received += int64(n)
	return !a.ended
}

// take takes room for a number of further bytes, and reports whether there was any.
func (a *Arrival) take(bytes int64) bool {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	if a.ended || !a.room.makeRoom(clock.Now(), bytes, a) {
		return false
	}
	a.held += bytes
	a.room.held += bytes
	return true
}

// ReadUpTo reads the body into memory, up to a number of bytes, which is its length if sized. The first free bytes need no room. It
// returns ErrFull, beside what it has read, if there is no room for more, and io.ErrUnexpectedEOF if a sized body ends early. more reports
// whether an unsized body may go on.
func (a *Arrival) ReadUpTo(limit int64, sized bool, free int64) (data []byte, more bool, err error) {
	first := int64(firstUnsizedPiece)
	if sized {
		first = firstPiece
	}
	data = make([]byte, 0, min(limit, first))
	if int64(cap(data)) > free && !a.take(int64(cap(data))) {
		return nil, true, ErrFull
	}
	for {
		n, err := a.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case sized && int64(len(data)) == limit:
			return data, false, nil
		case err == io.EOF && sized:
			return nil, false, io.ErrUnexpectedEOF
		case err == io.EOF:
			return data, false, nil
		case err != nil:
			return nil, false, err
		case int64(len(data)) == limit:
			return data, true, nil
		case len(data) < cap(data):
			continue
		}
		larger := min(2*int64(cap(data)), limit)
		if !a.take(larger) { // the old piece is held until its bytes are copied
			return data, true, ErrFull
		}
		old := int64(cap(data))
		data = append(make([]byte, 0, larger), data...)
		a.giveBack(old, free)
	}
}

// giveBack returns the room of a piece that is not used any more. A piece of up to free bytes had none.
func (a *Arrival) giveBack(piece, free int64) {
	if piece <= free {
		return
	}
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	if !a.ended {
		a.held -= piece
		a.room.held -= piece
	}
}
