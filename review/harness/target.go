package harness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chervilwell/chervilwell/platform"
)

var names = platform.Headers()

// Limits and intervals of a target.
const (
	targetSlots = 18
	targetQueue = 72
	// targetWork is the time for which a request runs at a sound target.
	targetWork = 160 * time.Millisecond
	// heartbeats is the time of silence after which the entry of a target is removed: three intervals of 1.5 s.
	heartbeats = 4500 * time.Millisecond
)

// Run is a request that a target began to run.
type Run struct {
	At                         time.Time
	ID, Method, Host, URI, Sum string
	Target                     string
	Caller                     string
	Bytes                      int
}

// Target is a stand-in for an application endpoint. It reads the body of a request to its end before it runs the request.
type Target struct {
	Name, Service, Zone string
	Addr                netip.AddrPort
	world               *World

	mu      sync.Mutex
	id      string
	lives   int
	server  *http.Server
	slots   chan struct{}
	waiting int
	slow    float64
	poison  func(Run) bool
	// down is the time for which the target is down after a crash.
	down time.Duration
}

// start begins a new incarnation and lists it in the store.
func (t *Target) start() error {
	l, err := net.Listen("tcp4", t.Addr.String())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lives++
	t.id = fmt.Sprintf("i-%s%x", hex.EncodeToString([]byte(t.Name))[:4], (t.lives*7919+int(t.Addr.Port()))&0xffff)
	t.slots, t.waiting = make(chan struct{}, targetSlots), 0
	t.server = &http.Server{Handler: &life{t, t.id, t.slots}, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	server := t.server
	go func() { _ = server.Serve(resetOnClose{l}) }()
	return t.list()
}

// list writes the target's entry. It must be called with t.mu held.
func (t *Target) list() error {
	text, err := fill(wire.Target, map[string]any{
		"SERVICE": t.Service, "ADDRESS": t.Addr, "ZONE": t.Zone, "SLOTS": targetSlots, "BORN": time.Now().UnixMilli(),
	})
	if err == nil {
		t.world.Store.Put(wire.TargetPrefix+t.id, text)
	}
	return err
}

// Crash ends the incarnation at once: all connections are reset. The next one starts after the target's down time. The entry of the
// former one is removed after three heartbeat intervals.
func (t *Target) Crash(why string) {
	t.mu.Lock()
	server, id := t.server, t.id
	if server == nil {
		t.mu.Unlock()
		return
	}
	t.server = nil
	t.mu.Unlock()
	_ = server.Close()
	t.world.Record("target %s %s crashes: %s", t.Name, id, why)
	time.AfterFunc(heartbeats, func() { t.world.Store.Delete(wire.TargetPrefix + id) })
	time.AfterFunc(t.down, func() {
		if err := t.start(); err != nil {
			t.world.Record("target %s does not start: %v", t.Name, err)
			return
		}
		t.world.Record("target %s is back as %s", t.Name, t.ID())
	})
}

// ID returns the ID of the present incarnation.
func (t *Target) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

// SetSlow makes requests run x times as long.
func (t *Target) SetSlow(x float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = x
	t.world.Record("target %s works %v times as long", t.Name, x)
}

// SetPoison makes the target crash when it begins to run a request for which f returns true.
func (t *Target) SetPoison(f func(Run) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.poison = f
}

// life serves one incarnation.
type life struct {
	target *Target
	id     string
	slots  chan struct{}
}

// ServeHTTP implements http.Handler.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t, id, h := l.target, r.Header.Get(names.RequestID), w.Header()
	health := r.URL.Path == "/health"
	if id != "" {
		h.Set(names.RequestID, id)
	}
	if health || r.Header.Get(names.ExpectTarget) != l.id && r.Header.Get(names.ExpectTarget) != "" {
		h.Set(names.TargetID, l.id)
	}
	switch {
	case !health && id == "":
		refuse(w, http.StatusBadRequest)
		return
	case r.Header.Get(names.ExpectTarget) != "" && r.Header.Get(names.ExpectTarget) != l.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		t.world.Record("target %s reads an incomplete body of %s after %d bytes: %v", t.Name, id, n, err)
		panic(http.ErrAbortHandler)
	}
	if !l.enter(r.Context(), r.Header.Get(names.Deadline)) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slots }()
	if health {
		time.Sleep(6 * time.Millisecond)
		return
	}
	run := Run{
		At: time.Now(), ID: id, Method: r.Method, Host: r.Host, URI: r.RequestURI, Sum: hex.EncodeToString(sum.Sum(nil)), Target: t.Name,
		Caller: r.Header.Get(names.CallerService), Bytes: int(n),
	}
	t.world.addRun(run)
	t.mu.Lock()
	work, poison := time.Duration(max(t.slow, 1)*float64(targetWork)), t.poison
	t.mu.Unlock()
	if poison != nil && poison(run) {
		go t.Crash("it begins to run " + id)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set(names.Signature, "3e1b."+run.Sum[:16])
	if strings.HasPrefix(r.URL.Path, LargePath) {
		_, _ = w.Write(largeAnswer)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %d bytes %s", id, n, run.Sum)
}

// enter waits for a slot and reports whether the request may run.
func (l *life) enter(ctx context.Context, deadline string) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	t := l.target
	t.mu.Lock()
	if t.waiting >= targetQueue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	ms, err := strconv.Atoi(deadline)
	if err != nil {
		ms = 1000
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case l.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// LargePath is the prefix of the paths that targets answer with LargeAnswerBytes bytes.
const (
	LargePath        = "/lepu270/list/"
	LargeAnswerBytes = 2 << 20
)

var largeAnswer = bytes.Repeat([]byte("depot "), LargeAnswerBytes/6+1)[:LargeAnswerBytes]

// refuse states that the request has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(status)
}

// resetOnClose is a listener whose connections are reset when they are closed, like those of a process that is killed.
type resetOnClose struct{ net.Listener }

// Accept implements net.Listener.
func (l resetOnClose) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c, err
}
