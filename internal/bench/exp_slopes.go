package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/admission"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/peer"
	"github.com/chervilwell/chervilwell/pick"
	"github.com/chervilwell/chervilwell/snapshot"
)

func init() {
	Register(Experiment{
		Name:             "slopes",
		Summary:          "cost of the parts of the control plane and of a decision at several sizes, for docs/CAPACITY.md",
		DefaultInstances: designEndpoints,
		Run:              runSlopes,
	})
}

// slopesResult holds costs at the full size and, for what grows, at a quarter and a half of it.
type slopesResult struct {
	Services []catalogueCost `json:"services"`
	// Endpoints are the costs of the instances' documents and index.
	Endpoints []endpointsCost `json:"endpoints"`
	// DeltaBytes is one compressed delta: a changed route, and a replaced instance.
	RouteDeltaBytes    int `json:"route_delta_bytes"`
	InstanceDeltaBytes int `json:"instance_delta_bytes"`
	// PeerMessageCPU is the processor time of a small message over QUIC, sender and receiver together.
	PeerMessageCPU float64 `json:"peer_message_cpu_us"`
	// PeerHandshakeCPU is that of a new connection with mutual TLS, both ends together.
	PeerHandshakeCPU float64 `json:"peer_handshake_cpu_us"`
	PickNs           float64 `json:"pick_ns"`
	AdmissionNs      float64 `json:"admission_ns"`
	MatchNs          float64 `json:"match_ns"`
}

type catalogueCost struct {
	Services     int     `json:"services"`
	DocumentKB   float64 `json:"document_kb"`
	PackedKB     float64 `json:"packed_kb"`
	ApplyMs      float64 `json:"apply_delta_ms"`
	CompileMs    float64 `json:"compile_ms"`
	HeapMB       float64 `json:"heap_mb"`
	ChangeCPUPct float64 `json:"cpu_percent_at_0_87_changes_per_second"`
}

type endpointsCost struct {
	Endpoints int     `json:"endpoints"`
	PackedKB  float64 `json:"packed_kb"`
	IndexMs   float64 `json:"index_ms"`
	HeapMB    float64 `json:"heap_mb"`
}

// changesPerSecond is 75,000 changes of configuration a day.
const changesPerSecond = 75_000.0 / 86_400

func runSlopes(ctx context.Context, cfg Config) (any, error) {
	var out slopesResult
	for _, part := range []int{4, 2, 1} {
		cost, err := measureCatalogue(scaled(cfg.Instances, designServices/part))
		if err != nil {
			return nil, err
		}
		out.Services = append(out.Services, cost)
		ends, err := measureEndpoints(scaled(cfg.Instances/part, designServices))
		if err != nil {
			return nil, err
		}
		out.Endpoints = append(out.Endpoints, ends)
		cfg.Log.Info().Int("part", part).Msg("sizes measured")
	}
	if err := measureDeltas(&out, scaled(cfg.Instances, designServices)); err != nil {
		return nil, err
	}
	if err := measurePeer(ctx, &out); err != nil {
		return nil, err
	}
	return out, measureDecisions(&out, scaled(cfg.Instances, designServices), cfg.Seed)
}

// best returns the least time of several runs, which is the one that other work on the machine disturbed least.
func best(runs int, f func() error) (time.Duration, error) {
	var least time.Duration
	for i := range runs {
		start := time.Now()
		if err := f(); err != nil {
			return 0, err
		}
		if took := time.Since(start); i == 0 || took < least {
			least = took
		}
	}
	return least, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// heapOf returns the heap that the value made by f holds, in megabytes.
func heapOf(f func() (any, error)) (float64, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v, err := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / (1 << 20), err
}

func packedKB(doc *document.Document) (float64, error) {
	data, err := document.Pack(document.Diff(nil, doc))
	return float64(len(data)) / 1024, err
}

// nextRevision returns a catalogue with one changed route under the next revision.
func nextRevision(c *catalogue.Catalogue) *catalogue.Catalogue {
	next := *c
	next.Revision++
	next.Routes = append([]catalogue.Route(nil), c.Routes...)
	next.Routes[len(next.Routes)/2].Limits.Timeout += catalogue.Duration(time.Millisecond)
	return &next
}

func measureCatalogue(size largeSize) (catalogueCost, error) {
	const runs = 7
	cost := catalogueCost{Services: size.services}
	cat := largeCatalogue(size)
	base, err := catalogue.Encode(cat)
	if err != nil {
		return cost, err
	}
	target, err := catalogue.Encode(nextRevision(cat))
	if err != nil {
		return cost, err
	}
	base.All(func(e document.Entry) bool { cost.DocumentKB += float64(len(e.Key)+len(e.Value)) / 1024; return true })
	if cost.PackedKB, err = packedKB(base); err != nil {
		return cost, err
	}
	delta := document.Diff(base, target)
	apply, err := best(runs, func() error { _, err := document.Apply(base, delta); return err })
	if err != nil {
		return cost, err
	}
	compile, err := best(runs, func() error { _, err := snapshot.Compile(target); return err })
	if err != nil {
		return cost, err
	}
	cost.ApplyMs, cost.CompileMs = milliseconds(apply), milliseconds(compile)
	cost.ChangeCPUPct = (apply + compile).Seconds() * changesPerSecond * 100
	cost.HeapMB, err = heapOf(func() (any, error) {
		doc, err := catalogue.Encode(cat)
		if err != nil {
			return nil, err
		}
		config, err := snapshot.Compile(doc)
		return []any{doc, config}, err
	})
	return cost, err
}

func encodeLists(size largeSize) ([]*document.Document, error) {
	var docs []*document.Document
	for _, list := range largeInstances(size) {
		doc, err := snapshot.EncodeInstances(list)
		if err != nil {
			return nil, err
		}
		docs = append(docs, doc)
	}
	return docs, nil
}

func measureEndpoints(size largeSize) (endpointsCost, error) {
	const runs = 5
	cost := endpointsCost{Endpoints: size.endpoints}
	docs, err := encodeLists(size)
	if err != nil {
		return cost, err
	}
	for _, doc := range docs {
		kb, err := packedKB(doc)
		if err != nil {
			return cost, err
		}
		cost.PackedKB += kb
	}
	index, err := best(runs, func() error { _, err := snapshot.CompileEndpoints(docs); return err })
	if err != nil {
		return cost, err
	}
	cost.IndexMs = milliseconds(index)
	cost.HeapMB, err = heapOf(func() (any, error) {
		docs, err := encodeLists(size)
		if err != nil {
			return nil, err
		}
		index, err := snapshot.CompileEndpoints(docs)
		return []any{docs, index}, err
	})
	return cost, err
}

func measureDeltas(out *slopesResult, size largeSize) error {
	cat := largeCatalogue(size)
	base, err := catalogue.Encode(cat)
	if err != nil {
		return err
	}
	target, err := catalogue.Encode(nextRevision(cat))
	if err != nil {
		return err
	}
	data, err := document.Pack(document.Diff(base, target))
	if err != nil {
		return err
	}
	out.RouteDeltaBytes = len(data)
	list := largeInstances(size)[0]
	before, err := snapshot.EncodeInstances(list)
	if err != nil {
		return err
	}
	list.Version++
	list.Instances[0].PeerAddr, list.Instances[0].RequestAddr = "10.9.9.9:8445", "10.9.9.9:8444"
	after, err := snapshot.EncodeInstances(list)
	if err != nil {
		return err
	}
	data, err = document.Pack(document.Diff(before, after))
	out.InstanceDeltaBytes = len(data)
	return err
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newQuic returns a transport on loopback with a certificate of the authority.
func newQuic(authority *certs.Authority, name string) (*peer.Quic, error) {
	pair, err := authority.Instance(certs.Identity{Instance: name, FailureDomain: "fd-00"})
	if err != nil {
		return nil, err
	}
	cert, err := pair.TLS()
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Config{Addr: "127.0.0.1:0", Certs: certs.NewStatic(cert, authority.Pool()), Log: zerolog.Nop()})
}

func measurePeer(ctx context.Context, out *slopesResult) error {
	const (
		messages    = 2000
		connections = 40
		spacing     = 200 * time.Microsecond
	)
	authority, err := certs.NewAuthority("experiment")
	if err != nil {
		return err
	}
	receiver, err := newQuic(authority, "receiver")
	if err != nil {
		return err
	}
	defer func() { _ = receiver.Close() }()
	message := distribution.Message{Protocol: distribution.ProtocolVersion, Heartbeat: &distribution.Heartbeat{}}
	exchange := func(from *peer.Quic, count int) error {
		for range count {
			from.Send(distribution.Address{Name: "receiver", Addr: receiver.Addr()}, message)
			time.Sleep(spacing)
			if _, err := receiver.Receive().Get(ctx); err != nil {
				return errors.Wrap(err, "message lost on loopback")
			}
		}
		return nil
	}
	before := processorTime()
	for i := range connections {
		sender, err := newQuic(authority, fmt.Sprintf("sender-%d", i))
		if err != nil {
			return err
		}
		err = exchange(sender, 1)
		_ = sender.Close()
		if err != nil {
			return err
		}
	}
	out.PeerHandshakeCPU = float64((processorTime() - before).Microseconds()) / connections
	sender, err := newQuic(authority, "sender")
	if err != nil {
		return err
	}
	defer func() { _ = sender.Close() }()
	if err := exchange(sender, 1); err != nil {
		return err
	}
	before = processorTime()
	if err := exchange(sender, messages); err != nil {
		return err
	}
	out.PeerMessageCPU = float64((processorTime() - before).Microseconds()) / messages
	return nil
}

// perOperation returns the nanoseconds that one call of f takes.
func perOperation(count int, f func(i int)) float64 {
	least, _ := best(3, func() error {
		for i := range count {
			f(i)
		}
		return nil
	})
	return float64(least.Nanoseconds()) / float64(count)
}

func measureDecisions(out *slopesResult, size largeSize, seed uint64) error {
	const count = 50_000
	doc, err := catalogue.Encode(largeCatalogue(size))
	if err != nil {
		return err
	}
	config, err := snapshot.Compile(doc)
	if err != nil {
		return err
	}
	docs, err := encodeLists(size)
	if err != nil {
		return err
	}
	endpoints, err := snapshot.CompileEndpoints(docs)
	if err != nil {
		return err
	}
	state := &snapshot.State{Config: config, Endpoints: endpoints}
	routes := config.Routes()
	out.MatchNs = perOperation(count, func(i int) { config.Match("GET", routes[i%len(routes)].Match.PathPrefix+"x") })
	chooser := pick.New(pick.Self{Instance: "fd-00-00000", FailureDomain: "fd-00"})
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1_000_000, 0)
	out.PickNs = perOperation(count, func(i int) {
		now = now.Add(time.Millisecond)
		choice, err := chooser.Pick(now, rng, state, routes[i%16], nil)
		if err != nil {
			return
		}
		chooser.Started(now, choice.Instance.Name)
		chooser.Ended(now, choice.Instance.Name, pick.Answer{Result: pick.OK, Load: &pick.Load{InFlight: 3, Limit: 20}})
	})
	out.AdmissionNs = admissionCost(count, now)
	return nil
}

// admissionCost returns the nanoseconds of one request's passage through a gate.
func admissionCost(count int, now time.Time) float64 {
	limits := catalogue.ServiceLimits{Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2, ColdPeriod: catalogue.Duration(time.Second)}
	gate := admission.New(now, limits, admission.Shares{"a": 0.5, "b": 0.5})
	id := admission.ID(0)
	return perOperation(count, func(int) {
		id++
		now = now.Add(time.Millisecond)
		d := gate.Offer(now, admission.Request{ID: id, Organisation: "a", Class: catalogue.Interactive, Deadline: now.Add(time.Second), Kind: "r"})
		if d.Verdict != admission.Admitted {
			return
		}
		gate.Responded(now, id)
		gate.Finish(now, id, admission.Outcome{Result: admission.OK, Latency: 4 * time.Millisecond})
	})
}
