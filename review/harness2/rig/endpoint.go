package rig

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint stands in for an application endpoint beside a process.
type Endpoint struct {
	ID    string
	Born  int64
	Slots int
	// Work serves a request that the endpoint begins to run.
	Work http.HandlerFunc

	node   *Node
	server *http.Server
	mu     sync.Mutex
	seq    int
	cold   time.Time
	// running is the number of requests in progress.
	running int
	stop    chan struct{}
}

// StartEndpoint starts an endpoint at the address of a node and registers it. It is cold for the given time.
func (n *Node) StartEndpoint(id string, slots int, cold time.Duration, work http.HandlerFunc) (*Endpoint, error) {
	listener, err := net.Listen("tcp4", n.App())
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		ID: id, Born: time.Now().UnixMilli(), Slots: slots, Work: work, node: n, cold: time.Now().Add(cold), stop: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }() // ends with the endpoint
	n.Endpoint = e
	e.beat()
	go func() {
		for {
			select {
			case <-e.stop:
				return
			case <-time.After(1500 * time.Millisecond):
				e.beat()
			}
		}
	}()
	n.rig.Logf("endpoint %s of %s starts beside %s, cold for %v", id, n.Service, n.Name, cold)
	return e, nil
}

// beat writes the entry of the endpoint.
func (e *Endpoint) beat() {
	e.mu.Lock()
	e.seq++
	values := map[string]any{
		"SERVICE": e.node.Service, "ADDRESS": e.node.App(), "ZONE": e.node.Zone, "SLOTS": e.Slots, "COLD": max(time.Until(e.cold), 0).Seconds(),
		"SEQ": e.seq, "BORN": e.Born,
	}
	e.mu.Unlock()
	entry, err := fill(wire.Entry, values)
	if err != nil {
		e.node.rig.Logf("entry of %s: %v", e.ID, err)
		return
	}
	e.node.rig.Store.Put(wire.EntryPrefix+e.ID, string(entry))
}

// Crash ends the endpoint at once: its connections are closed and its address refuses connections. Its entry stays.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stop:
		return
	default:
	}
	close(e.stop)
	e.server.Close()
	e.node.rig.Logf("endpoint %s ends", e.ID)
}

func (e *Endpoint) coldFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.cold), 0)
}

// ServeHTTP serves a request as the platform's pages say.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(wire.InstanceID, e.ID)
		w.Header().Set(wire.ColdMs, strconv.FormatInt(e.coldFor().Milliseconds(), 10))
		return
	}
	id := r.Header.Get(AttemptID)
	w.Header().Set(AttemptID, id)
	if expected := r.Header.Get(wire.Expected); expected != "" && expected != e.ID {
		w.Header().Set(wire.InstanceID, e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.running >= e.Slots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full || id == "" {
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set(wire.Signature, "sig."+id)
	e.Work(w, r)
}

// Forget removes the entry of an endpoint that has ended.
func (e *Endpoint) Forget() { e.node.rig.Store.Delete(wire.EntryPrefix + e.ID) }

// Ended reports whether the endpoint has ended.
func (e *Endpoint) Ended() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}
