package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/refusal"
)

func init() {
	Register(Experiment{
		Name:             "homes",
		Summary:          "requests bound to named regions under failover pressure; bytes inspected at every link and target",
		DefaultInstances: 8,
		Targets:          []Target{{Field: "leaks", Relation: AtMost, Bound: 0}, {Field: "unbound_crossings", Relation: AtLeast, Bound: 1}},
		Run:              runHomes,
	})
}

// Parameters of the homes experiment.
const (
	homesDuration       = 12 * time.Second
	homesChangeInterval = 600 * time.Millisecond // between two changes of the states of the failure domains
	homesWorkers        = 24
	homesBodyBytes      = 4 << 10 // rounded down to whole marks
)

// homesMarkPrefix is the prefix of the mark that fills the bodies of a request and its response. It is followed by the name
// of the request's home region, or by "none" for an unbound request.
const homesMarkPrefix = "bound-to:"

// homesDomains lists the failure domains with their regions, in the order in which instances are placed. The first two are in
// different regions.
var homesDomains = []struct{ name, region string }{
	{"obb-muc", "obb"}, {"nbb-la", "nbb"}, {"obb-ro", "obb"}, {"nbb-pa", "nbb"},
}

// homesResult holds the figures of the homes experiment. A bound request is one whose route names a home region.
type homesResult struct {
	Requests int64 `json:"requests"`
	// Leaks counts reads of bodies with a mark in a region other than the home region of the mark.
	Leaks  int64 `json:"leaks"`
	Served int64 `json:"served"`
	// RefusedRegion counts refusals of requests that the caller sent to an instance outside the home region.
	RefusedRegion int64 `json:"refused_wrong_region"`
	RefusedOther  int64 `json:"refused_other"`
	Failed        int64 `json:"failed"`
	// BoundHops counts reads of bodies of bound requests and their responses at links and targets. UnboundCrossings counts
	// those of unbound requests between regions. Both are above 0 if the inspection works.
	BoundHops        int64 `json:"bound_hops"`
	UnboundCrossings int64 `json:"unbound_crossings"`
	Bytes            int64 `json:"inspected_bytes"`
	Changes          int64 `json:"changes"`
}

// homesInspector counts the marks in all bodies that are read at links and targets.
type homesInspector struct {
	leaks, boundHops, unboundCrossings, bytes atomic.Int64
}

// inspect counts the marks in text, a part of a body that was sent from one region to another or within a region.
func (h *homesInspector) inspect(text []byte, from, region string) {
	h.bytes.Add(int64(len(text)))
	for _, d := range homesDomains[:2] {
		if !bytes.Contains(text, []byte(homesMarkPrefix+d.region)) {
			continue
		}
		h.boundHops.Add(1)
		if d.region != region {
			h.leaks.Add(1)
		}
	}
	if bytes.Contains(text, []byte(homesMarkPrefix+"none")) && from != region {
		h.unboundCrossings.Add(1)
	}
}

// inspectedBody passes a body to onRead as it is read. Each call also gets the tail of the text before, which is long enough
// that a mark split between two reads is found.
type inspectedBody struct {
	io.ReadCloser
	onRead func([]byte)
	tail   []byte
}

// Read implements io.Reader.
func (b *inspectedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		text := append(b.tail, p[:n]...)
		b.onRead(text)
		b.tail = bytes.Clone(text[max(0, len(text)-len(homesMarkPrefix)-4):])
	}
	return n, err
}

// homesTransport is a frontend.Transport that inspects the bodies of requests and responses between instances.
type homesTransport struct {
	frontend.Transport
	inspector *homesInspector
	region    string
	regionOf  map[string]string
}

// Do implements frontend.Transport.
func (t *homesTransport) Do(a *frontend.Attempt) (*http.Response, *refusal.Refusal) {
	targetRegion := t.regionOf[a.Target.FailureDomain]
	if a.Request.Body != nil && a.Request.Body != http.NoBody {
		a.Request.Body = &inspectedBody{ReadCloser: a.Request.Body, onRead: func(p []byte) { t.inspector.inspect(p, t.region, targetRegion) }}
	}
	resp, refused := t.Transport.Do(a)
	if resp != nil {
		resp.Body = &inspectedBody{ReadCloser: resp.Body, onRead: func(p []byte) { t.inspector.inspect(p, targetRegion, t.region) }}
	}
	return resp, refused
}

// homes is one run of the experiment.
type homes struct {
	ctx       context.Context
	path      *path
	inspector *homesInspector
	catalogue *catalogue.Catalogue
	client    *http.Client
	result    homesResult // counters of requests are guarded by mu
	mu        sync.Mutex
}

func runHomes(ctx context.Context, cfg Config) (any, error) {
	h := &homes{ctx: ctx, inspector: &homesInspector{}, client: overheadClient()}
	defer func() {
		if h.path != nil {
			h.path.close()
		}
	}()
	if err := h.start(max(cfg.Instances, len(homesDomains))); err != nil {
		return nil, err
	}
	if err := h.run(cfg); err != nil {
		return nil, err
	}
	h.result.Leaks, h.result.BoundHops = h.inspector.leaks.Load(), h.inspector.boundHops.Load()
	h.result.UnboundCrossings, h.result.Bytes = h.inspector.unboundCrossings.Load(), h.inspector.bytes.Load()
	return h.result, ctx.Err()
}

// start starts the given number of instances, distributed over the failure domains, and publishes the catalogue.
func (h *homes) start(instances int) error {
	var err error
	if h.path, err = newPath(h.ctx); err != nil {
		return err
	}
	regionOf := map[string]string{}
	for _, d := range homesDomains {
		regionOf[d.name] = d.region
	}
	for i := range instances {
		d := homesDomains[i%len(homesDomains)]
		err := h.path.add(pathInstance{
			name: fmt.Sprintf("%s-%d", d.name, i), failureDomain: d.name, region: d.region, service: "depot", target: h.target(d.region),
			transport: func(c frontend.Transport) frontend.Transport {
				return &homesTransport{Transport: c, inspector: h.inspector, region: d.region, regionOf: regionOf}
			},
		})
		if err != nil {
			return err
		}
	}
	h.catalogue = homesCatalogue()
	return h.path.publish(h.catalogue)
}

// homesCatalogue returns a catalogue with a bound route for each region and an unbound route.
func homesCatalogue() *catalogue.Catalogue {
	regions := []catalogue.Region{{Name: "obb"}, {Name: "nbb"}}
	for _, d := range homesDomains {
		for i := range regions {
			if regions[i].Name == d.region {
				regions[i].FailureDomains = append(regions[i].FailureDomains, catalogue.FailureDomain{Name: d.name, State: catalogue.InService})
			}
		}
	}
	cat := pathCatalogue(regions, "depot")
	template := cat.Routes[0]
	cat.Routes = nil
	for _, home := range []string{"obb", "nbb", "none"} {
		r := template
		r.Name, r.Match.PathPrefix = home, "/"+home+"/"
		if home != "none" {
			r.HomeRegions = []string{home}
		}
		cat.Routes = append(cat.Routes, r)
	}
	return cat
}

// target returns a target that echoes the body of each request. To cause retries on other instances, it answers one request
// in eight with 503 and aborts the connection of one in eight.
func (h *homes) target(region string) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		h.inspector.inspect(body, region, region)
		switch n := count.Add(1); {
		case err != nil || n%8 == 3:
			panic(http.ErrAbortHandler)
		case n%8 == 7:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			_, _ = w.Write(body)
		}
	})
}

// run sends requests for homesDuration while the states of the failure domains change.
func (h *homes) run(cfg Config) error {
	end := time.Now().Add(homesDuration)
	var workers sync.WaitGroup
	for i := range homesWorkers {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		workers.Go(func() {
			for time.Now().Before(end) && h.ctx.Err() == nil {
				h.send(rng)
			}
		})
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1000))
	var err error
	for err == nil && time.Now().Before(end) && periodic.Sleep(h.ctx, homesChangeInterval) == nil {
		err = h.changeDomainStates(rng)
	}
	workers.Wait()
	return err
}

// changeDomainStates publishes a catalogue with a random set of failure domains, sometimes all of a region, out of service.
func (h *homes) changeDomainStates(rng *rand.Rand) error {
	h.catalogue.Revision++
	for i := range h.catalogue.Regions {
		domains := h.catalogue.Regions[i].FailureDomains
		for j := range domains {
			domains[j].State = catalogue.InService
			if rng.IntN(3) == 0 {
				domains[j].State = catalogue.OutOfService
			}
		}
	}
	h.result.Changes++
	return h.path.publish(h.catalogue)
}

// send sends one request to a random instance on the route of a random region or on the unbound one.
func (h *homes) send(rng *rand.Rand) {
	home := []string{"obb", "nbb", "none"}[rng.IntN(3)]
	member := h.path.members[rng.IntN(len(h.path.members))]
	mark := homesMarkPrefix + home + ";"
	body := strings.Repeat(mark, homesBodyBytes/len(mark))
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPut, "http://"+member.callerAddr+"/"+home+"/x", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(headers.Organisation, "streusalz")
	resp, err := h.client.Do(req)
	kind := ""
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		kind = refusalKind(resp, data)
		if kind == "" && resp.StatusCode == http.StatusOK && string(data) != body {
			err = io.ErrUnexpectedEOF
		}
	}
	h.countResult(kind, err)
}

// refusalKind returns the kind of a refusal, or "" if the response is not a refusal.
func refusalKind(resp *http.Response, data []byte) string {
	if resp.Header.Get(headers.Run) == "" {
		return ""
	}
	_, rest, _ := strings.Cut(string(data), `"kind":"`)
	kind, _, _ := strings.Cut(rest, `"`)
	return kind
}

// countResult records the result of one request: an error, a refusal of the given kind, or a response if both are empty.
func (h *homes) countResult(kind string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.Requests++
	switch {
	case err != nil:
		h.result.Failed++
	case kind == string(refusal.WrongRegion):
		h.result.RefusedRegion++
	case kind != "":
		h.result.RefusedOther++
	default:
		h.result.Served++
	}
}
