package bodyroom

import (
	"sync"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/internal/connlimit"
)

// fakeClient has read nothing for a time.
type fakeClient struct {
	mu           sync.Mutex
	unread       time.Duration
	disconnected bool
}

func (c *fakeClient) UnreadFor(time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread
}

func (c *fakeClient) Disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = true
}

func (c *fakeClient) isDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected
}

// Guards against responses that nobody reads and that keep the memory for bodies: as many are ended as hold what is missing, those not read
// for longest first.
func TestUnreadResponsesGiveTheirRoomBack(t *testing.T) {
	r := NewRoom(100)
	reading := &fakeClient{unread: connlimit.UnreadPause - 1}
	longest, other, last := &fakeClient{unread: time.Hour}, &fakeClient{unread: time.Minute}, &fakeClient{unread: connlimit.UnreadPause}
	streaming := &fakeClient{unread: 2 * time.Hour}
	var deliveries []*Delivery
	for _, c := range []*fakeClient{reading, longest, other, last} {
		if !r.TryAcquire(25) {
			t.Fatal("no room")
		}
		deliveries = append(deliveries, r.Deliver(c, 25, nil))
	}
	r.Deliver(streaming, 0, "pool")
	for range 2 { // responses that are about to end count as ended
		if r.TryAcquire(50) {
			t.Fatal("room that is not returned yet was taken")
		}
		if !longest.isDisconnected() || !other.isDisconnected() || last.isDisconnected() || reading.isDisconnected() || streaming.isDisconnected() {
			t.Fatal("other clients than needed are disconnected")
		}
	}
	for _, d := range deliveries[1:3] {
		d.Close()
		r.Release(25)
	}
	if u := r.Usage(); !r.TryAcquire(50) || u.Unread != 2 {
		t.Errorf("%+v", u)
	}
}

// Guards against responses that nobody reads and that keep all connections to a target.
func TestUnreadResponsesGiveTheirConnectionsBack(t *testing.T) {
	r := NewRoom(100)
	clients := map[string]*fakeClient{"a": {unread: time.Hour}, "b": {unread: time.Hour}}
	for via, c := range clients {
		r.Deliver(c, 0, via)
	}
	late := &fakeClient{}
	r.Deliver(late, 0, "a")
	stop := r.EndUnread("a")
	if !clients["a"].isDisconnected() || clients["b"].isDisconnected() {
		t.Error("the client whose response holds a connection of the pool had to be disconnected, and no other")
	}
	late.mu.Lock()
	late.unread = connlimit.UnreadPause
	late.mu.Unlock()
	for !late.isDisconnected() {
		time.Sleep(time.Millisecond)
	}
	stop()
}
