package proxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/mesh"
)

// Figures of the connections between processes.
const (
	// peerDialTimeout covers two round trips over the slowest link with as much again for scheduling; another target is tried after it.
	peerDialTimeout = 200 * time.Millisecond
	// peerIdle is how long a connection to a peer waits for its next request.
	peerIdle = 15 * time.Second
	// maxPeerConns bounds the connections to one peer.
	maxPeerConns = 128
	// maxPeers bounds the peers whose connections are kept.
	maxPeers = 1024
)

// Peers reaches the gatekeepers of other processes over plain TCP. It is safe for concurrent use.
type Peers struct {
	// port is the port on which every process takes requests from the others.
	port  uint16
	mu    sync.Mutex
	pools map[netip.Addr]*httppool.Pool
}

// NewPeers returns connections to the processes that listen on port of their machines.
func NewPeers(port uint16) *Peers { return &Peers{port: port, pools: map[netip.Addr]*httppool.Pool{}} }

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
		MaxIdle:        maxPeerConns,
		IdleTimeout:    peerIdle,
		MaxHeaderBytes: maxTargetHead,
	})
	p.pools[addr] = pool
	return pool
}

// do sends a call to the gatekeeper beside a target.
func (p *Peers) do(ctx context.Context, t *mesh.Target, c *call) *outcome {
	c.header[hopHeader] = []string{formatCall(c, clock.Now())}
	if c.ask {
		c.header["Expect"] = []string{httppool.ExpectContinue}
	}
	resp, err := p.pool(t.Addr.Addr()).Do(newRequest(ctx, c, netip.AddrPortFrom(t.Addr.Addr(), p.port).String()))
	if err != nil {
		return lost(ctx, err)
	}
	o := &outcome{status: resp.StatusCode, header: resp.Header}
	if err := parseOutcome(resp.Header.Get(hopAnswerHeader), o); err != nil {
		resp.Body.Close()
		return refused(unknown, reasonPeerBroken)
	}
	if o.reason == reasonNone {
		o.reason = ""
	}
	if err := readWhole(resp, o); err != nil {
		broken := lost(ctx, errors.Wrap(err, "answer broke off"))
		broken.arrived = o.arrived
		return broken
	}
	return o
}

// lost says what became of a call that the peer gave no whole answer to.
func lost(ctx context.Context, err error) *outcome {
	o := refused(unknown, ended(ctx, reasonPeerBroken))
	o.arrived = true
	if errors.Is(err, httppool.ErrNotWritten) {
		o = refused(notRun, ended(ctx, reasonUnreachable))
	}
	return o
}

// IsCall reports whether a request from another process is a call for the own target.
func IsCall(r *http.Request) bool { return r.Header.Get(hopHeader) != "" }

// ServePeers returns the handler of the requests that other frontends send to the gatekeeper.
func ServePeers(k *Gatekeeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, length: r.ContentLength}
		if err := parseCall(r.Header.Get(hopHeader), clock.Now(), c); err != nil {
			k.cfg.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg(events.PeerMalformed)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		delete(r.Header, hopHeader)
		delete(r.Header, "Expect")
		if r.ContentLength != 0 {
			c.rest = r.Body
		}
		o := k.do(r.Context(), c)
		if err := writeOutcome(w, o); err != nil {
			k.cfg.Log.Debug().Err(err).Msg(events.PeerCut)
			panic(http.ErrAbortHandler)
		}
	})
}
