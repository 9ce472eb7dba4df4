package bench

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/gatekeeper"
	"github.com/chervilwell/chervilwell/internal/headers"
)

func init() {
	Register(Experiment{
		Name: "carrier", Summary: "the candidates for the carrier between instances, in turn", DefaultInstances: 2, Run: runCarrier,
	})
}

// carrierCandidate is one candidate with its own pair of instances.
type carrierCandidate struct {
	name string
	make func(*certs.Store) frontend.Carrier
	quic bool
}

func carrierCandidates() []carrierCandidate {
	return []carrierCandidate{
		{name: "http2", make: func(s *certs.Store) frontend.Carrier { return frontend.NewHTTPCarrier(s) }},
		{name: "http1", make: func(s *certs.Store) frontend.Carrier { return frontend.NewHTTP1Carrier(s) }},
		{name: "http3", make: func(s *certs.Store) frontend.Carrier { return frontend.NewHTTP3Carrier(s) }, quic: true},
	}
}

type carrierResult struct {
	DirectP99 float64         `json:"direct_p99_us"`
	DirectCPU float64         `json:"direct_cpu_us_per_call"`
	Carriers  []carrierFigure `json:"carriers"`
}

type carrierFigure struct {
	Carrier  string  `json:"carrier"`
	P50      float64 `json:"p50_us"`
	P99      float64 `json:"p99_us"`
	CPU      float64 `json:"cpu_us_per_call"`
	Rate     float64 `json:"saturation_calls_per_second"`
	Link0P50 float64 `json:"link_small_p50_ms"`
	Link0P99 float64 `json:"link_small_p99_ms"`
	LossP50  float64 `json:"link_loss_small_p50_ms"`
	LossP99  float64 `json:"link_loss_small_p99_ms"`
	Failed   int64   `json:"failed"`
}

func (p *path) serveQUIC(peers net.Listener, store *certs.Store, g *gatekeeper.Gatekeeper) error {
	addr := peers.Addr().String()
	peers.Close()
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	server := &http3.Server{Handler: g, TLSConfig: store.PeerServer("h3"), QUICConfig: &quic.Config{MaxIncomingStreams: 250}}
	p.run(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { server.Close(); conn.Close() })()
		return server.Serve(conn)
	})
	return nil
}

func runCarrier(ctx context.Context, cfg Config) (any, error) {
	var ways []*overheadWay
	result := &carrierResult{}
	for i, c := range carrierCandidates() {
		p, err := newCarrierPath(ctx, c, nil)
		if err != nil {
			return nil, err
		}
		defer p.close()
		w := overheadWays(p)
		w[1].name = c.name
		if i == 0 {
			ways = append(ways, w[0])
		}
		ways = append(ways, w[1])
	}
	o := &overhead{ctx: ctx, client: overheadClient(), ways: ways}
	for _, way := range ways {
		o.saturate(way, overheadWarmup/2, nil)
	}
	if err := o.paced(2); err != nil {
		return nil, err
	}
	result.DirectP99 = ways[0].latency.Microseconds(99)
	_, result.DirectCPU = o.saturate(ways[0], 2*time.Second, nil)
	for i, c := range carrierCandidates() {
		f := carrierFigure{Carrier: c.name, P50: ways[i+1].latency.Microseconds(50), P99: ways[i+1].latency.Microseconds(99)}
		f.Rate, f.CPU = o.saturate(ways[i+1], 2*time.Second, nil)
		for _, loss := range []float64{0, 0.01} {
			l, failed, err := carrierLink(ctx, cfg, c, loss)
			if err != nil {
				return nil, err
			}
			f.Failed += failed
			if loss == 0 {
				f.Link0P50, f.Link0P99 = l.Milliseconds(50), l.Milliseconds(99)
			} else {
				f.LossP50, f.LossP99 = l.Milliseconds(50), l.Milliseconds(99)
			}
		}
		result.Carriers = append(result.Carriers, f)
	}
	return result, nil
}

func newCarrierPath(ctx context.Context, c carrierCandidate, link func(string) (string, error)) (*path, error) {
	p, err := newPath(ctx)
	if err != nil {
		return nil, err
	}
	answer := make([]byte, overheadBytes)
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})
	for _, name := range []string{"sa", "sb"} {
		place := pathPlace{name: "obb-muc-" + name, failureDomain: "obb-muc", service: name, target: target, make: c.make, quic: c.quic, link: link}
		if err := p.add(place); err != nil {
			return nil, err
		}
	}
	regions := []catalogue.Region{{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "obb-muc", State: catalogue.In}}}}
	cat := pathCatalogue(regions, "sa", "sb")
	for i := range cat.Services {
		cat.Services[i].Limits.Slots, cat.Services[i].Limits.ColdSlots = 100, 100
	}
	return p, p.publish(cat)
}

// carrierLink makes 50 small calls a second beside bodies of 4 MB over a link of 12 ms and 30 Mbit/s.
func carrierLink(ctx context.Context, cfg Config, c carrierCandidate, loss float64) (*Latency, int64, error) {
	const delay, bytesPerSecond = 12 * time.Millisecond, 30e6 / 8
	link := &narrowLink{ctx: ctx, delay: delay, rate: bytesPerSecond, loss: loss, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	p, err := newCarrierPath(ctx, c, func(addr string) (string, error) {
		if c.quic {
			return link.udp(addr)
		}
		return link.tcp(addr)
	})
	if err != nil {
		return nil, 0, err
	}
	defer p.close()
	client, l := overheadClient(), NewLatency()
	var failed atomic.Int64
	var wg sync.WaitGroup
	url := "http://" + p.members[0].callerAddr + "/sb/x"
	end := time.Now().Add(2500 * time.Millisecond)
	send := func(body []byte) (time.Duration, bool) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		req.Header.Set(headers.Organisation, "streusalz")
		started := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return 0, false
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return time.Since(started), err == nil && resp.StatusCode == http.StatusOK
	}
	wg.Go(func() {
		big := make([]byte, 2<<20)
		for time.Now().Before(end) {
			send(big)
		}
	})
	small := make([]byte, 200)
	for time.Now().Before(end) {
		wg.Go(func() {
			if took, ok := send(small); ok {
				l.Record(took)
			} else {
				failed.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	return l, failed.Load(), nil
}

// narrowLink delays and paces what goes over it. A lost TCP segment holds its stream up for a round trip and more; a lost
// datagram is gone. All flows share one direction's rate.
type narrowLink struct {
	ctx   context.Context
	delay time.Duration
	rate  float64
	loss  float64
	mu    sync.Mutex
	rng   *rand.Rand
	free  [2]time.Time
}

// due returns when n bytes have left the link and whether they were lost.
func (l *narrowLink) due(way, n int) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free[way].Before(now) {
		l.free[way] = now
	}
	l.free[way] = l.free[way].Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free[way].Add(l.delay), l.rng.Float64() < l.loss
}

type linkChunk struct {
	data []byte
	at   time.Time
}

func (l *narrowLink) tcp(addr string) (string, error) {
	in, err := listenLoopback()
	if err != nil {
		return "", err
	}
	context.AfterFunc(l.ctx, func() { in.Close() })
	go func() {
		for {
			a, err := in.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", addr)
			if err != nil {
				a.Close()
				continue
			}
			go l.pump(0, a, b)
			go l.pump(1, b, a)
		}
	}()
	return in.Addr().String(), nil
}

func (l *narrowLink) pump(way int, from, to net.Conn) {
	queue := make(chan linkChunk, 64)
	go func() {
		defer to.Close()
		for c := range queue {
			time.Sleep(time.Until(c.at))
			if _, err := to.Write(c.data); err != nil {
				return
			}
		}
	}()
	defer close(queue)
	for {
		buf := make([]byte, 1400)
		n, err := from.Read(buf)
		if n > 0 {
			at, lost := l.due(way, n)
			if lost {
				at = at.Add(3 * l.delay)
			}
			select {
			case queue <- linkChunk{buf[:n], at}:
			case <-l.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *narrowLink) udp(addr string) (string, error) {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(l.ctx, func() { in.Close() })
	dst, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return "", err
	}
	go func() {
		flows := map[string]*net.UDPConn{}
		for {
			buf := make([]byte, 2048)
			n, from, err := in.ReadFrom(buf)
			if err != nil {
				return
			}
			out := flows[from.String()]
			if out == nil {
				if out, err = net.DialUDP("udp", nil, dst); err != nil {
					return
				}
				flows[from.String()] = out
				go l.back(out, in, from)
			}
			l.datagram(0, n, func() { _, _ = out.Write(buf[:n]) })
		}
	}()
	return in.LocalAddr().String(), nil
}

func (l *narrowLink) back(out *net.UDPConn, in net.PacketConn, to net.Addr) {
	for {
		buf := make([]byte, 2048)
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		l.datagram(1, n, func() { _, _ = in.WriteTo(buf[:n], to) })
	}
}

// datagram forwards one datagram; more than 100 ms of queue is dropped.
func (l *narrowLink) datagram(way, n int, send func()) {
	const queue = 100 * time.Millisecond
	at, lost := l.due(way, n)
	if lost || time.Until(at) > queue+l.delay {
		return
	}
	time.AfterFunc(time.Until(at), send)
}
