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
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/internal/frontend"
	"github.com/chervilwell/chervilwell/internal/headers"
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

// Figures of the homes experiment.
const (
	homesTime    = 12 * time.Second
	homesTurn    = 600 * time.Millisecond // time between two changes of what is in service
	homesWorkers = 24
	homesBody    = 4 << 10
)

// homesMarker begins the mark that the body of a bound request and its answer are full of; the home region follows.
const homesMarker = "bound-to:"

// homesDomains maps the failure domains to their regions, in the order in which instances are placed.
var homesDomains = []struct{ name, region string }{
	{"obb-muc", "obb"}, {"nbb-la", "nbb"}, {"obb-ro", "obb"}, {"nbb-pa", "nbb"},
}

// homesResult holds the figures of the homes experiment.
type homesResult struct {
	Requests int64 `json:"requests"`
	// Leaks counts bodies and answers whose mark was seen in a region that their route does not name.
	Leaks  int64 `json:"leaks"`
	Served int64 `json:"served"`
	// RefusedRegion counts refusals because the caller chose an instance in a wrong region.
	RefusedRegion int64 `json:"refused_wrong_region"`
	RefusedOther  int64 `json:"refused_other"`
	Failed        int64 `json:"failed"`
	// Crossings counts bound bodies and answers that went between regions or instances within the named ones, UnboundCrossings those
	// of unbound requests between the regions: the inspection sees bytes.
	Crossings        int64 `json:"bound_hops"`
	UnboundCrossings int64 `json:"unbound_crossings"`
	Bytes            int64 `json:"inspected_bytes"`
	Changes          int64 `json:"changes"`
}

// homesInspector looks at every byte that enters a region.
type homesInspector struct {
	leaks, hops, unbound, bytes atomic.Int64
}

// look notes one message that is now in region.
func (h *homesInspector) look(text []byte, from, region string) {
	h.bytes.Add(int64(len(text)))
	for _, d := range homesDomains[:2] {
		if !bytes.Contains(text, []byte(homesMarker+d.region)) {
			continue
		}
		h.hops.Add(1)
		if d.region != region {
			h.leaks.Add(1)
		}
	}
	if bytes.Contains(text, []byte(homesMarker+"none")) && from != region {
		h.unbound.Add(1)
	}
}

// inspectedBody shows a body to the inspector as it is read. Marks are shorter than the part that is kept between reads.
type inspectedBody struct {
	io.ReadCloser
	see  func([]byte)
	tail []byte
}

// Read implements io.Reader.
func (b *inspectedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		text := append(b.tail, p[:n]...)
		b.see(text)
		b.tail = bytes.Clone(text[max(0, len(text)-len(homesMarker)-4):])
	}
	return n, err
}

// homesCarrier inspects what an instance sends and gets back.
type homesCarrier struct {
	frontend.Carrier
	inspector *homesInspector
	region    string
	regionOf  map[string]string
}

// Do implements frontend.Carrier.
func (c *homesCarrier) Do(s *frontend.Shipment) (*http.Response, *refusal.Refusal) {
	there := c.regionOf[s.Target.FailureDomain]
	if s.Request.Body != nil && s.Request.Body != http.NoBody {
		s.Request.Body = &inspectedBody{ReadCloser: s.Request.Body, see: func(p []byte) { c.inspector.look(p, c.region, there) }}
	}
	resp, refused := c.Carrier.Do(s)
	if resp != nil {
		resp.Body = &inspectedBody{ReadCloser: resp.Body, see: func(p []byte) { c.inspector.look(p, there, c.region) }}
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
	result    homesResult
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
	h.result.Leaks, h.result.Crossings = h.inspector.leaks.Load(), h.inspector.hops.Load()
	h.result.UnboundCrossings, h.result.Bytes = h.inspector.unbound.Load(), h.inspector.bytes.Load()
	return h.result, ctx.Err()
}

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
		err := h.path.add(pathPlace{
			name: fmt.Sprintf("%s-%d", d.name, i), failureDomain: d.name, region: d.region, service: "depot", target: h.target(d.region),
			carrier: func(c frontend.Carrier) frontend.Carrier {
				return &homesCarrier{Carrier: c, inspector: h.inspector, region: d.region, regionOf: regionOf}
			},
		})
		if err != nil {
			return err
		}
	}
	h.catalogue = homesCatalogue()
	return h.path.publish(h.catalogue)
}

// homesCatalogue has a route bound to each region and one bound to none.
func homesCatalogue() *catalogue.Catalogue {
	regions := []catalogue.Region{{Name: "obb"}, {Name: "nbb"}}
	for _, d := range homesDomains {
		for i := range regions {
			if regions[i].Name == d.region {
				regions[i].FailureDomains = append(regions[i].FailureDomains, catalogue.FailureDomain{Name: d.name, State: catalogue.In})
			}
		}
	}
	cat := pathCatalogue(regions, "depot")
	open := cat.Routes[0]
	cat.Routes = nil
	for _, home := range []string{"obb", "nbb", "none"} {
		r := open
		r.Name, r.Match.PathPrefix = home, "/"+home+"/"
		if home != "none" {
			r.HomeRegions = []string{home}
		}
		cat.Routes = append(cat.Routes, r)
	}
	return cat
}

// target answers with the body that it got; one in eight it sheds and one in eight it cuts, so that there is cause to go elsewhere.
func (h *homes) target(region string) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		h.inspector.look(body, region, region)
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

func (h *homes) run(cfg Config) error {
	end := time.Now().Add(homesTime)
	var workers sync.WaitGroup
	for i := range homesWorkers {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		workers.Go(func() {
			for time.Now().Before(end) && h.ctx.Err() == nil {
				h.call(rng)
			}
		})
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1000))
	var err error
	for err == nil && time.Now().Before(end) && duty.Sleep(h.ctx, homesTurn) == nil {
		err = h.change(rng)
	}
	workers.Wait()
	return err
}

// change takes a random set of failure domains out of service, sometimes all of a region.
func (h *homes) change(rng *rand.Rand) error {
	h.catalogue.Revision++
	for i := range h.catalogue.Regions {
		domains := h.catalogue.Regions[i].FailureDomains
		for j := range domains {
			domains[j].State = catalogue.In
			if rng.IntN(3) == 0 {
				domains[j].State = catalogue.Out
			}
		}
	}
	h.result.Changes++
	return h.path.publish(h.catalogue)
}

// call sends one request to a random instance, bound to a random region or none.
func (h *homes) call(rng *rand.Rand) {
	home := []string{"obb", "nbb", "none"}[rng.IntN(3)]
	member := h.path.members[rng.IntN(len(h.path.members))]
	mark := homesMarker + home + ";"
	body := strings.Repeat(mark, homesBody/len(mark))
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
		kind = homesKind(resp, data)
		if kind == "" && resp.StatusCode == http.StatusOK && string(data) != body {
			err = io.ErrUnexpectedEOF
		}
	}
	h.count(kind, err)
}

// homesKind returns the kind of a refusal, or "".
func homesKind(resp *http.Response, data []byte) string {
	if resp.Header.Get(headers.Run) == "" {
		return ""
	}
	_, rest, _ := strings.Cut(string(data), `"kind":"`)
	kind, _, _ := strings.Cut(rest, `"`)
	return kind
}

func (h *homes) count(kind string, err error) {
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
