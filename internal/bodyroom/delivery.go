package bodyroom

import (
	"time"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/connlimit"
)

// unreadInterval is the interval at which clients are observed while others wait for what their responses hold.
const unreadInterval = 500 * time.Millisecond

// Delivery is a response that is being written to a client.
type Delivery struct {
	room   *Room
	client connlimit.Client
	// held is the room that the response holds, in bytes. It is returned by its owner.
	held int64
	// via is the pool of the connection from which the response is read, or nil if it is in memory.
	via any
	// ended is set once the client was disconnected. It is guarded by room.mu.
	ended bool
}

// Deliver records that a response that holds a number of bytes of the room, and a connection of the pool via unless that is nil, is being
// written to a client. The caller must call Close after the last write.
func (r *Room) Deliver(client connlimit.Client, held int64, via any) *Delivery {
	d := &Delivery{room: r, client: client, held: held, via: via}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliveries[d] = struct{}{}
	return d
}

// Close records that the response has been written.
func (d *Delivery) Close() {
	d.room.mu.Lock()
	defer d.room.mu.Unlock()
	delete(d.room.deliveries, d)
}

// freeUnread disconnects clients that do not read their responses until these hold as much as is missing for a number of bytes. Their room
// is returned once their writes have failed. It must be called with r.mu held.
func (r *Room) freeUnread(now time.Time, bytes int64) {
	held := r.held
	for d := range r.deliveries {
		if d.ended {
			held -= d.held
		}
	}
	for held+bytes > r.bytes {
		d := r.endUnread(now, func(d *Delivery) bool { return d.held > 0 })
		if d == nil {
			return
		}
		held -= d.held
	}
}

// endUnread disconnects the client that has not read its response for longest, among the responses of a kind, if that is at least
// connlimit.UnreadPause. It returns the response, or nil. It must be called with r.mu held.
func (r *Room) endUnread(now time.Time, kind func(*Delivery) bool) *Delivery {
	var longest *Delivery
	most := connlimit.UnreadPause
	for d := range r.deliveries {
		if d.ended || !kind(d) {
			continue
		}
		if unread := d.client.UnreadFor(now); unread >= most {
			longest, most = d, unread
		}
	}
	if longest != nil {
		longest.ended = true
		r.unread++
		longest.client.Disconnect()
	}
	return longest
}

// EndUnread disconnects clients that do not read their responses while these hold connections of the pool via, one now and one at each
// interval until stop is called.
func (r *Room) EndUnread(via any) (stop func()) {
	end := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endUnread(clock.Now(), func(d *Delivery) bool { return d.via == via })
	}
	end()
	stopped := make(chan struct{})
	ticker := time.NewTicker(unreadInterval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				end()
			case <-stopped:
				return
			}
		}
	}()
	return func() { close(stopped) }
}
