package bodyroom

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func noDeadline(time.Time) error { return nil }

// Guards against bodies that are bounded one by one but not together, and against memory that is taken as announced.
func TestTotalSizeIsLimited(t *testing.T) {
	r := NewRoom(5 * firstPiece)
	whole := strings.Repeat("x", 2*firstPiece)
	first := r.Receive(strings.NewReader(whole), FromCallers, noDeadline)
	if data, more, err := first.ReadUpTo(int64(len(whole)), true, 0); err != nil || more || string(data) != whole {
		t.Fatalf("%d bytes, more %v, %v", len(data), more, err)
	}
	if held := r.Usage().Held; held != 2*firstPiece {
		t.Errorf("%d bytes are held", held)
	}
	rest := strings.NewReader(strings.Repeat("y", 4*firstPiece))
	second := r.Receive(rest, FromCallers, noDeadline)
	data, more, err := second.ReadUpTo(4*firstPiece, true, 0)
	if !errors.Is(err, ErrFull) || !more || len(data)+rest.Len() != 4*firstPiece {
		t.Errorf("got %v, %d bytes are read, %d left", err, len(data), rest.Len())
	}
	second.Close()
	early := r.Receive(strings.NewReader("short"), FromCallers, noDeadline)
	if _, _, err := early.ReadUpTo(10, true, 0); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
	early.Close()
	first.Close()
	if !r.TryAcquire(5 * firstPiece) {
		t.Errorf("no room after the bodies are gone: %+v", r.Usage())
	}
	if r.TryAcquire(1) {
		t.Error("there is room beyond the bound")
	}
}

// pausing is a body that sends some bytes and then pauses until its deadline is set to the past.
type pausing struct {
	sent  io.Reader
	ended chan struct{}
}

func (p *pausing) Read(b []byte) (int, error) {
	if n, err := p.sent.Read(b); err == nil {
		return n, nil
	}
	<-p.ended
	return 0, os.ErrDeadlineExceeded
}

// Guards against bodies that stop short of their end and keep the room for ever.
func TestPausedBodyGivesItsRoomBack(t *testing.T) {
	r := NewRoom(firstPiece)
	p := &pausing{sent: strings.NewReader("x"), ended: make(chan struct{})}
	a := r.Receive(p, FromCallers, func(time.Time) error { close(p.ended); return nil })
	result := make(chan error, 1)
	go func() { _, _, err := a.ReadUpTo(firstPiece, true, 0); result <- err }()
	for r.Usage().Held == 0 {
		time.Sleep(time.Millisecond)
	}
	for !r.TryAcquire(firstPiece) {
		time.Sleep(time.Millisecond)
	}
	if err := <-result; !errors.Is(err, ErrStalled) {
		t.Errorf("got %v", err)
	}
	if err := a.SetReadDeadline(time.Time{}); !errors.Is(err, ErrStalled) {
		t.Errorf("an ended body can be read on: %v", err)
	}
	a.Close()
	if u := r.Usage(); u.Held != firstPiece || u.Stalled != 1 {
		t.Errorf("%+v", u)
	}
}

func TestBodyThatMovesIsNotEnded(t *testing.T) {
	r := NewRoom(1)
	a := r.Receive(strings.NewReader("x"), FromCallers, func(time.Time) error { t.Error("ended"); return nil })
	if _, _, err := a.ReadUpTo(1, true, 0); err != nil {
		t.Fatal(err)
	}
	if r.TryAcquire(1) || r.EndStalled(FromCallers, 0) {
		t.Error("room of a body that has arrived was taken")
	}
}

// Guards against senders that keep their room for ever with a byte now and then, and against ending those that are only slow.
func TestSlowestBodyIsEndedIfNoneHasPaused(t *testing.T) {
	now := time.Now()
	r := NewRoom(1)
	add := func(received int64, waited time.Duration) *Arrival {
		a := r.Receive(nil, FromCallers, noDeadline)
		a.received, a.waited, a.waitingSince = received, waited, now
		return a
	}
	all := func(*Arrival) bool { return true }
	add(1, slowAfter/2)
	add(20*slowRate, 10*time.Second)
	if a := r.hindmost(now, time.Hour, all); a != nil {
		t.Errorf("ended after %v with %d bytes", a.waited, a.received)
	}
	add(5*slowRate, 10*time.Second)
	slowest := add(10, 10*time.Second)
	if a := r.hindmost(now, time.Hour, all); a != slowest {
		t.Errorf("got %+v", a)
	}
}

// Guards against a body of one listener that is ended in favour of a connection at another.
func TestStalledBodyIsEndedForItsListenerOnly(t *testing.T) {
	r := NewRoom(1)
	ended := make(chan struct{})
	a := r.Receive(&pausing{sent: strings.NewReader(""), ended: ended}, FromProcesses, func(time.Time) error { close(ended); return nil })
	defer a.Close()
	result := make(chan error, 1)
	go func() { _, err := a.Read(make([]byte, 1)); result <- err }()
	for {
		r.mu.Lock()
		waiting := !a.waitingSince.IsZero()
		r.mu.Unlock()
		if waiting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if r.EndStalled(FromCallers, 0) {
		t.Error("a body of another process was ended in favour of callers")
	}
	if !r.EndStalled(FromProcesses, 0) || <-result != ErrStalled {
		t.Error("the body was not ended")
	}
}
