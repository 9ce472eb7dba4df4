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

// slopesResult holds the figures of the slopes experiment: costs at full size and, for costs that grow with the size, also at a
// quarter and half of it.
type slopesResult struct {
	// Services are the costs of the catalogue by number of services.
	Services []catalogueCost `json:"services"`
	// Endpoints are the costs of the documents and the index of instances by number of endpoints.
	Endpoints []endpointsCost `json:"endpoints"`
	// RouteDeltaBytes and InstanceDeltaBytes are the sizes of a compressed delta with one changed route or one replaced
	// instance.
	RouteDeltaBytes    int `json:"route_delta_bytes"`
	InstanceDeltaBytes int `json:"instance_delta_bytes"`
	// PeerMessageCPU is the processor time in microseconds of a small message over QUIC, for sender and receiver together.
	PeerMessageCPU float64 `json:"peer_message_cpu_us"`
	// PeerHandshakeCPU is the processor time in microseconds of a new connection with mutual TLS and one message, for both
	// peers together.
	PeerHandshakeCPU float64 `json:"peer_handshake_cpu_us"`
	PickNs           float64 `json:"pick_ns"`
	AdmissionNs      float64 `json:"admission_ns"`
	MatchNs          float64 `json:"match_ns"`
}

// catalogueCost holds the costs of a catalogue with one route per service. Packed is the compressed size.
type catalogueCost struct {
	Services     int     `json:"services"`
	DocumentKB   float64 `json:"document_kb"`
	PackedKB     float64 `json:"packed_kb"`
	ApplyMs      float64 `json:"apply_delta_ms"`
	CompileMs    float64 `json:"compile_ms"`
	HeapMB       float64 `json:"heap_mb"`
	ChangeCPUPct float64 `json:"cpu_percent_at_0_87_changes_per_second"`
}

// endpointsCost holds the costs of the lists of instances. Packed is the compressed size.
type endpointsCost struct {
	Endpoints int     `json:"endpoints"`
	PackedKB  float64 `json:"packed_kb"`
	IndexMs   float64 `json:"index_ms"`
	HeapMB    float64 `json:"heap_mb"`
}

// designChangesPerSecond is the rate of 75,000 configuration changes per day.
const designChangesPerSecond = 75_000.0 / 86_400

func runSlopes(ctx context.Context, cfg Config) (any, error) {
	var out slopesResult
	for _, divisor := range []int{4, 2, 1} {
		cost, err := measureCatalogue(scaledSize(cfg.Instances, designServices/divisor))
		if err != nil {
			return nil, err
		}
		out.Services = append(out.Services, cost)
		endpointCost, err := measureEndpoints(scaledSize(cfg.Instances/divisor, designServices))
		if err != nil {
			return nil, err
		}
		out.Endpoints = append(out.Endpoints, endpointCost)
		cfg.Log.Info().Int("part", divisor).Msg("sizes measured")
	}
	if err := measureDeltas(&out, scaledSize(cfg.Instances, designServices)); err != nil {
		return nil, err
	}
	if err := measurePeer(ctx, &out); err != nil {
		return nil, err
	}
	return out, measureDecisions(&out, scaledSize(cfg.Instances, designServices), cfg.Seed)
}

// fastest returns the shortest duration of several runs of f, which is the one least affected by other load on the machine.
func fastest(runs int, f func() error) (time.Duration, error) {
	var shortest time.Duration
	for i := range runs {
		start := time.Now()
		if err := f(); err != nil {
			return 0, err
		}
		if elapsed := time.Since(start); i == 0 || elapsed < shortest {
			shortest = elapsed
		}
	}
	return shortest, nil
}

// milliseconds returns d in milliseconds, including fractions.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// heapUsedMB returns the heap in use by the value that f returns, in units of 2^20 bytes.
func heapUsedMB(f func() (any, error)) (float64, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v, err := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / (1 << 20), err
}

// packedKB returns the compressed size of a document in units of 2^10 bytes.
func packedKB(doc *document.Document) (float64, error) {
	data, err := document.Pack(document.Diff(nil, doc))
	return float64(len(data)) / 1024, err
}

// nextRevision returns a copy of c with one changed route and the next revision.
func nextRevision(c *catalogue.Catalogue) *catalogue.Catalogue {
	next := *c
	next.Revision++
	next.Routes = append([]catalogue.Route(nil), c.Routes...)
	next.Routes[len(next.Routes)/2].Limits.Timeout += catalogue.Duration(time.Millisecond)
	return &next
}

func measureCatalogue(size fleetSize) (catalogueCost, error) {
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
	apply, err := fastest(runs, func() error { _, err := document.Apply(base, delta); return err })
	if err != nil {
		return cost, err
	}
	compile, err := fastest(runs, func() error { _, err := snapshot.Compile(target); return err })
	if err != nil {
		return cost, err
	}
	cost.ApplyMs, cost.CompileMs = milliseconds(apply), milliseconds(compile)
	cost.ChangeCPUPct = (apply + compile).Seconds() * designChangesPerSecond * 100
	cost.HeapMB, err = heapUsedMB(func() (any, error) {
		doc, err := catalogue.Encode(cat)
		if err != nil {
			return nil, err
		}
		config, err := snapshot.Compile(doc)
		return []any{doc, config}, err
	})
	return cost, err
}

// encodeInstanceLists returns one document per failure domain.
func encodeInstanceLists(size fleetSize) ([]*document.Document, error) {
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

func measureEndpoints(size fleetSize) (endpointsCost, error) {
	const runs = 5
	cost := endpointsCost{Endpoints: size.endpoints}
	docs, err := encodeInstanceLists(size)
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
	index, err := fastest(runs, func() error { _, err := snapshot.CompileEndpoints(docs); return err })
	if err != nil {
		return cost, err
	}
	cost.IndexMs = milliseconds(index)
	cost.HeapMB, err = heapUsedMB(func() (any, error) {
		docs, err := encodeInstanceLists(size)
		if err != nil {
			return nil, err
		}
		index, err := snapshot.CompileEndpoints(docs)
		return []any{docs, index}, err
	})
	return cost, err
}

// measureDeltas sets the sizes of deltas.
func measureDeltas(out *slopesResult, size fleetSize) error {
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

// processCPUTime returns the processor time, user and system, that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newTransport returns a QUIC transport on a loopback port with a certificate issued by authority.
func newTransport(authority *certs.Authority, name string) (*peer.QUIC, error) {
	pair, err := authority.IssueInstance(certs.Identity{Instance: name, FailureDomain: "fd-00"})
	if err != nil {
		return nil, err
	}
	cert, err := pair.TLS()
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Config{Addr: "127.0.0.1:0", Certs: certs.NewStatic(cert, authority.Pool()), Log: zerolog.Nop()})
}

// measurePeer sets the processor times of messages and handshakes.
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
	receiver, err := newTransport(authority, "receiver")
	if err != nil {
		return err
	}
	defer func() { _ = receiver.Close() }()
	message := distribution.Message{Protocol: distribution.ProtocolVersion, Heartbeat: &distribution.Heartbeat{}}
	exchange := func(from *peer.QUIC, count int) error {
		for range count {
			from.Send(distribution.Address{Name: "receiver", Addr: receiver.Addr()}, message)
			time.Sleep(spacing)
			if _, err := receiver.Receive().Get(ctx); err != nil {
				return errors.Wrap(err, "receive a message on loopback")
			}
		}
		return nil
	}
	before := processCPUTime()
	for i := range connections {
		sender, err := newTransport(authority, fmt.Sprintf("sender-%d", i))
		if err != nil {
			return err
		}
		err = exchange(sender, 1)
		_ = sender.Close()
		if err != nil {
			return err
		}
	}
	out.PeerHandshakeCPU = float64((processCPUTime() - before).Microseconds()) / connections
	sender, err := newTransport(authority, "sender")
	if err != nil {
		return err
	}
	defer func() { _ = sender.Close() }()
	if err := exchange(sender, 1); err != nil {
		return err
	}
	before = processCPUTime()
	if err := exchange(sender, messages); err != nil {
		return err
	}
	out.PeerMessageCPU = float64((processCPUTime() - before).Microseconds()) / messages
	return nil
}

// nsPerOperation returns the duration of one call of f in nanoseconds: the mean of count calls, in the fastest of 3 runs.
func nsPerOperation(count int, f func(i int)) float64 {
	shortest, _ := fastest(3, func() error {
		for i := range count {
			f(i)
		}
		return nil
	})
	return float64(shortest.Nanoseconds()) / float64(count)
}

// measureDecisions sets the times of a route match, a pick and an admission.
func measureDecisions(out *slopesResult, size fleetSize, seed uint64) error {
	const count = 50_000
	doc, err := catalogue.Encode(largeCatalogue(size))
	if err != nil {
		return err
	}
	config, err := snapshot.Compile(doc)
	if err != nil {
		return err
	}
	docs, err := encodeInstanceLists(size)
	if err != nil {
		return err
	}
	endpoints, err := snapshot.CompileEndpoints(docs)
	if err != nil {
		return err
	}
	state := &snapshot.State{Config: config, Endpoints: endpoints}
	routes := config.Routes()
	out.MatchNs = nsPerOperation(count, func(i int) { config.Match("GET", routes[i%len(routes)].Match.PathPrefix+"x") })
	picker := pick.New(pick.Self{Instance: "fd-00-00000", FailureDomain: "fd-00"})
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1_000_000, 0)
	out.PickNs = nsPerOperation(count, func(i int) {
		now = now.Add(time.Millisecond)
		picked, err := picker.Pick(now, rng, state, routes[i%16], nil)
		if err != nil {
			return
		}
		picker.RequestStarted(now, picked.Instance.Name)
		picker.RequestEnded(now, picked.Instance.Name, pick.Answer{Result: pick.OK, Load: &pick.Load{InFlight: 3, Limit: 20}})
	})
	out.AdmissionNs = nsPerAdmission(count, now)
	return nil
}

// nsPerAdmission returns the time in nanoseconds for one request to be admitted by a gate and finished.
func nsPerAdmission(count int, now time.Time) float64 {
	limits := catalogue.ServiceLimits{Slots: 20, Connections: 120, Queue: 40, ColdSlots: 2, ColdPeriod: catalogue.Duration(time.Second)}
	gate := admission.New(now, limits, admission.Shares{"a": 0.5, "b": 0.5})
	id := admission.ID(0)
	return nsPerOperation(count, func(int) {
		id++
		now = now.Add(time.Millisecond)
		d := gate.Offer(now, admission.Request{ID: id, Organisation: "a", Class: catalogue.Interactive, Deadline: now.Add(time.Second), Kind: "r"})
		if d.Verdict != admission.Admitted {
			return
		}
		gate.RecordResponse(now, id)
		gate.Finish(now, id, admission.Outcome{Result: admission.OK, Latency: 4 * time.Millisecond})
	})
}
