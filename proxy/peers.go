package proxy

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/stream"
	"github.com/chervilwell/chervilwell/internal/unreadbody"
	"github.com/chervilwell/chervilwell/mesh"
)

// Limits of the connections between instances.
const (
	// peerDialTimeout covers two round trips over the slowest link and the same again for scheduling. Another target is
	// tried after it.
	peerDialTimeout = 200 * time.Millisecond
	// peerIdleTimeout is the idle timeout of a connection to a peer.
	peerIdleTimeout = 15 * time.Second
	// maxPeerConns is the maximum number of connections to one peer.
	maxPeerConns = 128
	// maxPeers is the number of connection pools at which pools without idle connections are removed before another is added.
	maxPeers = 1024
)

// Peers sends calls to the gatekeepers of other instances over plain TCP. It is safe for concurrent use.
type Peers struct {
	// port is the port on which every instance accepts calls from the others.
	port uint16
	// responses limits the bodies of the responses in memory.
	responses responseRoom
	mu        sync.Mutex
	pools     map[netip.Addr]*httppool.Pool
}

// NewPeers returns a client of the instances that listen on port of their machines.
func NewPeers(port uint16) *Peers {
	return &Peers{port: port, responses: newResponseRoom(bodyroom.NewRoom(maxBufferedResponses)), pools: map[netip.Addr]*httppool.Pool{}}
}

// ShareMemory makes the bodies of responses share the given memory. It must be called before the first call.
func (p *Peers) ShareMemory(room *bodyroom.Room) { p.responses.shared = room }

func (p *Peers) pool(addr netip.Addr) *httppool.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[addr]
	if pool != nil {
		return pool
	}
	if len(p.pools) >= maxPeers {
		for other, old := range p.pools {
			if old.Idle() == 0 {
				old.Close()
				delete(p.pools, other)
			}
		}
	}
	to := netip.AddrPortFrom(addr, p.port).String()
	pool = httppool.New(httppool.Config{
		Dial:           func(ctx context.Context) (net.Conn, error) { return dial(ctx, to, peerDialTimeout) },
		MaxConns:       maxPeerConns,
		Exhausted:      func() (stop func()) { return p.responses.shared.EndUnread(pool) },
		MaxIdle:        maxPeerConns,
		IdleTimeout:    peerIdleTimeout,
		MaxHeaderBytes: maxResponseHeaderBytes,
	})
	p.pools[addr] = pool
	return pool
}

// do sends a call to the gatekeeper of a target and returns its outcome.
func (p *Peers) do(ctx context.Context, t *mesh.Target, c *call) *outcome {
	c.header[hopHeader] = []string{formatCall(c, clock.Now())}
	setQuarantineNotice(c.header, c.notice)
	if c.expectContinue {
		c.header["Expect"] = []string{httppool.ExpectContinue}
	}
	pool := p.pool(t.Addr.Addr())
	resp, err := pool.Do(newRequest(ctx, c, netip.AddrPortFrom(t.Addr.Addr(), p.port).String()))
	if err != nil {
		return peerFailure(ctx, err)
	}
	o := &outcome{status: resp.StatusCode, header: resp.Header, via: pool}
	if err := parseOutcome(resp.Header.Get(hopResponseHeader), o); err != nil {
		resp.Body.Close()
		return noResponse(unknown, reasonPeerBroken)
	}
	if o.reason == reasonNone {
		o.reason = ""
	}
	o.notice = takeQuarantineNotice(resp.Header)
	if err := p.responses.buffer(cmp.Or(c.lifetime, ctx), resp, o); err != nil {
		failure := peerFailure(ctx, errors.Wrap(err, "incomplete response from peer"))
		failure.arrived = o.arrived
		return failure
	}
	return o
}

// peerFailure returns the outcome of a call for which the peer returned no complete response.
func peerFailure(ctx context.Context, err error) *outcome {
	o := noResponse(unknown, failureReason(ctx, reasonPeerBroken))
	o.arrived = true
	if errors.Is(err, httppool.ErrNotWritten) {
		o = noResponse(notRun, failureReason(ctx, reasonUnreachable))
	}
	return o
}

// IsCall reports whether a request from another instance is a call for the local target.
func IsCall(r *http.Request) bool { return r.Header.Get(hopHeader) != "" }

// PeerHandler returns the handler of calls from other frontends to the gatekeeper.
func PeerHandler(k *Gatekeeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, length: r.ContentLength, lifetime: r.Context(), fromPeer: true}
		unreadbody.Limit(w, r)
		if err := parseCall(r.Header.Get(hopHeader), clock.Now(), c); err != nil {
			k.cfg.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg(events.PeerMalformed)
			respondText(w, r, http.StatusBadRequest, err.Error())
			unreadbody.Receive(w, r, r.Body)
			return
		}
		expectsContinue := r.Header.Get("Expect") != ""
		c.notice = takeQuarantineNotice(r.Header)
		c.atHome = c.notice != nil
		delete(r.Header, hopHeader)
		delete(r.Header, "Expect")
		if r.ContentLength != 0 {
			c.rest = k.bodies.Receive(r.Body, bodyroom.FromProcesses, http.NewResponseController(w).SetReadDeadline)
			defer c.rest.Close()
			c.setReadDeadline = c.rest.SetReadDeadline
			if err := c.setReadDeadline(time.Now().Add(remaining(c.deadline) + deadlineSlack)); err != nil {
				return // the connection is closed
			}
		}
		o := k.do(r.Context(), c)
		if o.run != ran && !expectsContinue { // reading would ask for the body
			c.discardRest()
		}
		early := o.run == ran && c.rest != nil
		answerEarly(w, early)
		k.writeResponse(w, r, c, o)
		if early {
			unreadbody.Receive(w, r, r.Body)
		}
	})
}

// writeResponse writes the response to a call of another process.
func (k *Gatekeeper) writeResponse(w http.ResponseWriter, r *http.Request, c *call, o *outcome) {
	w, done := k.paced(r.Context(), w, c, o)
	defer done()
	defer deliver(r.Context(), k.bodies, o)()
	if err := writeOutcome(w, o); err != nil {
		k.cfg.Log.Debug().Err(err).Msg(events.PeerDisconnected)
		stream.Abort(w, r)
	}
}
