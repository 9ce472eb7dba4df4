package proxy

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/httppool"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quarantine"
)

// QuarantinePath is the HTTP path at which a process accepts a quarantine.Notice of another process (POST), and returns all that it
// knows (GET), encoded as CBOR.
const QuarantinePath = "/quarantine"

// Limits of the exchange of notices.
const (
	// noticeTimeout bounds one attempt to send a notice, noticeRetryTime the time for which it is repeated.
	noticeTimeout   = 500 * time.Millisecond
	noticeRetryTime = 10 * time.Second
	// firstNoticeBackoff is the delay after the first failed attempt. It doubles with each further one.
	firstNoticeBackoff = 50 * time.Millisecond
	// maxNoticeBytes is the maximum size of an encoded notice: quarantine.MaxNotice records and target IDs.
	maxNoticeBytes = 512 << 10
	// maxDeliveries is the maximum number of notices that are being sent to one process each. Further ones are dropped.
	maxDeliveries = 2048
	// learnSources is the number of processes from which a process learns when it starts: the first may have started just before.
	learnSources = 2
	// firstLearnBackoff and maxLearnBackoff bound the delay after a process that has not responded, learnTime the time for which others
	// are asked. It is longer than most cuts of links.
	firstLearnBackoff = 50 * time.Millisecond
	maxLearnBackoff   = time.Second
	learnTime         = 30 * time.Second
	// learnHoldTime is the time after its start for which a process that has not learned anything yet refuses to be asked. It ends in
	// case all processes have started together.
	learnHoldTime = 2 * time.Second
)

// ErrNotice is returned if another process responds to a notice with an error.
var ErrNotice = errors.New("another process does not accept notices; run the same version everywhere")

// spread sends a notice to the gatekeepers of the service's other targets. One that quarantines a request goes to all processes, so that
// each can refuse it at once. It does not wait for the deliveries.
func (k *Gatekeeper) spread(n quarantine.Notice) {
	if n.Empty() || k.cfg.Peers == nil {
		return
	}
	data, err := cbor.Marshal(n)
	if err != nil {
		k.cfg.Log.Error().Err(err).Msg(events.NoticeNotSent)
		return
	}
	state := k.cfg.Holder.Load()
	addrs := serviceAddrs(state, k.cfg.Service)
	if len(n.Quarantined()) > 0 {
		for _, addr := range state.InstanceAddrs("") {
			addrs[addr] = struct{}{}
		}
	}
	delete(addrs, k.cfg.Addr.Addr())
	for addr := range addrs {
		if !k.deliveries.TryAcquire(1) {
			k.cfg.Metrics.noticesDropped.Inc()
			continue
		}
		go func() {
			defer k.deliveries.Release(1)
			k.deliver(addr, data)
		}()
	}
}

// serviceAddrs returns the addresses of the processes beside the targets of a service.
func serviceAddrs(state *mesh.State, service string) map[netip.Addr]struct{} {
	addrs := map[netip.Addr]struct{}{}
	for _, t := range state.Targets(service) {
		addrs[t.Addr.Addr()] = struct{}{}
	}
	return addrs
}

// deliver sends a notice to a process, and repeats it for a while if the process does not respond.
func (k *Gatekeeper) deliver(addr netip.Addr, data []byte) {
	start := clock.Now()
	for backoff := firstNoticeBackoff; ; backoff *= 2 {
		_, err := k.cfg.Peers.exchangeNotice(k.running, addr, http.MethodPost, data)
		if err == nil {
			return
		}
		if clock.Now().Sub(start)+backoff > noticeRetryTime || periodic.Sleep(k.running, backoff) != nil {
			k.cfg.Metrics.noticesDropped.Inc()
			if k.noticeLog.Allow() {
				k.cfg.Log.Info().Err(err).Msg(events.NoticeNotSent)
			}
			return
		}
	}
}

// learn asks other processes for what they know, until learnSources of them have responded that know something themselves.
func (k *Gatekeeper) learn() {
	start := clock.Now()
	asked := map[netip.Addr]struct{}{}
	for backoff := firstLearnBackoff; len(asked) < learnSources && clock.Now().Sub(start) < learnTime; backoff = min(2*backoff, maxLearnBackoff) {
		if addr, ok := k.teacher(asked); ok && k.learnFrom(addr) {
			asked[addr] = struct{}{}
			k.learned.Store(true)
			continue
		}
		if periodic.Sleep(k.running, backoff) != nil {
			return
		}
		if clock.Now().Sub(start) >= learnHoldTime {
			k.learned.Store(true)
		}
	}
}

// learnFrom adds what a process knows, and reports whether the process responded.
func (k *Gatekeeper) learnFrom(addr netip.Addr) bool {
	data, err := k.cfg.Peers.exchangeNotice(k.running, addr, http.MethodGet, nil)
	if err != nil {
		return false
	}
	var n quarantine.Notice
	if err := cbor.Unmarshal(data, &n); err != nil {
		k.cfg.Log.Warn().Str("from", addr.String()).Err(err).Msg(events.PeerMalformed)
		return false
	}
	k.crashes.apply(&n)
	return true
}

// teacher returns a random process to learn from that was not asked yet: one beside a target of the same service, or another one if there
// is none.
func (k *Gatekeeper) teacher(asked map[netip.Addr]struct{}) (netip.Addr, bool) {
	state := k.cfg.Holder.Load()
	addrs := serviceAddrs(state, k.cfg.Service)
	delete(addrs, k.cfg.Addr.Addr())
	maps.DeleteFunc(addrs, func(addr netip.Addr, _ struct{}) bool { _, ok := asked[addr]; return ok })
	if len(addrs) == 0 {
		for _, addr := range state.InstanceAddrs("") {
			if _, ok := asked[addr]; !ok && addr != k.cfg.Addr.Addr() {
				addrs[addr] = struct{}{}
			}
		}
	}
	if len(addrs) == 0 || k.cfg.Peers == nil {
		return netip.Addr{}, false
	}
	choices := slices.Collect(maps.Keys(addrs))
	return choices[rand.IntN(len(choices))], true
}

// exchangeNotice sends a notice to a process, or asks it for what it knows, and returns the response body.
func (p *Peers) exchangeNotice(ctx context.Context, addr netip.Addr, method string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	host := netip.AddrPortFrom(addr, p.port).String()
	req := &http.Request{
		Method: method, Host: host, Header: http.Header{"User-Agent": {""}},
		Body: http.NoBody, ContentLength: int64(len(data)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	httppool.SetTarget(req, host, QuarantinePath)
	if len(data) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(data))
	}
	resp, err := p.pool(addr).Do(req.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrapf(err, "notice to %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrNotice, "%s: status %d", addr, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxNoticeBytes))
	return body, errors.Wrapf(err, "notice to %s", addr)
}

// IsQuarantineNotice reports whether a request from another process concerns notices.
func IsQuarantineNotice(r *http.Request) bool { return r.URL.Path == QuarantinePath }

// QuarantineHandler returns the handler of requests for QuarantinePath.
func QuarantineHandler(k *Gatekeeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			if !k.learned.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			var all quarantine.Notice
			k.crashes.withList(func(l *quarantine.List, now time.Time) { all = l.All(now) })
			data, err := cbor.Marshal(all)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			_, _ = w.Write(data)
			return
		}
		data, err := io.ReadAll(io.LimitReader(r.Body, maxNoticeBytes))
		var n quarantine.Notice
		if err == nil {
			err = cbor.Unmarshal(data, &n)
		}
		if err != nil {
			k.cfg.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg(events.PeerMalformed)
			http.Error(w, ErrMalformedMessage.Error(), http.StatusBadRequest)
			return
		}
		k.crashes.apply(&n)
	})
}

// setQuarantineNotice sets the notice header of a call or its response. n may be nil.
func setQuarantineNotice(h http.Header, n *quarantine.Notice) {
	delete(h, hopQuarantineHeader)
	if n == nil {
		return
	}
	if data, err := cbor.Marshal(n); err == nil {
		h[hopQuarantineHeader] = []string{base64.StdEncoding.EncodeToString(data)}
	}
}

// takeQuarantineNotice removes the notice header of a call or its response and returns the notice. It returns nil if there is none or it is
// malformed: a notice is never needed to serve a call.
func takeQuarantineNotice(h http.Header) *quarantine.Notice {
	text := h.Get(hopQuarantineHeader)
	if text == "" {
		return nil
	}
	delete(h, hopQuarantineHeader)
	data, err := base64.StdEncoding.DecodeString(text)
	var n quarantine.Notice
	if err != nil || cbor.Unmarshal(data, &n) != nil {
		return nil
	}
	return &n
}
