package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// shapedPair returns both ends of a connection from a to b over the links.
func shapedPair(l *Links) (near, far net.Conn) {
	inner, far := net.Pipe()
	return l.Shape(inner, "a", "b"), far
}

func TestLinkDelaysAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLinks()
		l.Set("a", "b", Link{Delay: 12 * time.Millisecond, Capacity: NewCapacity(1e6)})
		near, far := shapedPair(l)
		start := time.Now()
		go near.Write([]byte("hello"))
		buf := make([]byte, 5)
		if _, err := io.ReadFull(far, buf); err != nil || string(buf) != "hello" {
			t.Fatalf("%q %v", buf, err)
		}
		if got := time.Since(start); got < 12*time.Millisecond || got > 13*time.Millisecond {
			t.Fatalf("took %v", got)
		}
		if l.Bytes("a", "b") != 5 || l.Bytes("b", "a") != 0 {
			t.Fatalf("counted %d and %d", l.Bytes("a", "b"), l.Bytes("b", "a"))
		}
		far.Close()
		if _, err := near.Read(buf); !errors.Is(err, io.EOF) {
			t.Fatalf("read after the far end closed: %v", err)
		}
		near.Close()
		time.Sleep(time.Second) // until the close has been forwarded
	})
}

func TestCutLinkDelaysDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLinks()
		near, far := shapedPair(l)
		l.SetCut("a", "b", true)
		if _, err := near.Write([]byte("late")); err != nil {
			t.Fatal(err)
		}
		near.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := l.Dial(ctx, "a", "b", "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("dial over a cut link: %v", err)
		}
		time.AfterFunc(time.Minute, func() { l.SetCut("a", "b", false) })
		start := time.Now()
		got, err := io.ReadAll(far)
		if string(got) != "late" || err != nil || time.Since(start) != time.Minute {
			t.Fatalf("%q %v after %v", got, err, time.Since(start))
		}
		far.Close()
		time.Sleep(time.Second) // until the close has been forwarded
	})
}
