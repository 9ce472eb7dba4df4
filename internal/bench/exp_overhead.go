package bench

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/internal/headers"
)

func init() {
	Register(Experiment{
		Name:             "overhead",
		Summary:          "calls direct to a target and through frontend and gatekeeper, in turn",
		DefaultInstances: 2,
		Targets:          []Target{{Field: "added_p99_us", Relation: AtMost, Bound: 400}},
		Run:              runOverhead,
	})
}

// Figures of the overhead experiment.
const (
	overheadRate     = 220 // calls per second and instance
	overheadTurn     = 500 * time.Millisecond
	overheadPaced    = 24 * time.Second
	overheadSaturate = 4 * time.Second
	overheadWarmup   = time.Second
	overheadWorkers  = 16
	overheadBytes    = 1 << 10
)

// overheadResult holds the figures of the overhead experiment. Through means a call that enters at one instance and runs at
// the target of another; local means one that runs at the target of the instance that it enters.
type overheadResult struct {
	DirectP50 float64 `json:"direct_p50_us"`
	DirectP99 float64 `json:"direct_p99_us"`

	ThroughP50 float64 `json:"through_p50_us"`
	ThroughP99 float64 `json:"through_p99_us"`
	AddedP50   float64 `json:"added_p50_us"`
	AddedP99   float64 `json:"added_p99_us"`

	LocalP99      float64 `json:"local_p99_us"`
	LocalAddedP99 float64 `json:"local_added_p99_us"`

	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"`
	// DirectCPU and ThroughCPU are the processor time of the whole process, callers and target included, for one call at saturation.
	DirectCPU  float64 `json:"direct_cpu_us_per_call"`
	ThroughCPU float64 `json:"through_cpu_us_per_call"`
	AddedCPU   float64 `json:"added_cpu_us_per_call"`
	// SaturationRate is the calls per second of the whole process at saturation through both parts.
	SaturationRate float64 `json:"saturation_calls_per_second"`
	// SaturationPerCore is the calls per second that one core's time pays for in frontend and gatekeeper alone.
	SaturationPerCore float64 `json:"saturation_calls_per_second_per_core"`
}

// overheadWay is one of the ways that a call can take.
type overheadWay struct {
	name    string
	url     []string
	latency *Latency
}

func runOverhead(ctx context.Context, cfg Config) (any, error) {
	p, err := newOverheadPath(ctx, max(cfg.Instances, 2))
	if err != nil {
		return nil, err
	}
	defer p.close()
	o := &overhead{ctx: ctx, client: overheadClient(), ways: overheadWays(p)}
	for _, way := range o.ways {
		o.saturate(way, overheadWarmup, nil)
	}
	if err := o.paced(len(p.members)); err != nil {
		return nil, err
	}
	return o.result(cfg), ctx.Err()
}

// newOverheadPath starts instances that each run a service of their own, so that the way of a call follows from its path.
func newOverheadPath(ctx context.Context, instances int) (*path, error) {
	p, err := newPath(ctx)
	if err != nil {
		return nil, err
	}
	answer := make([]byte, overheadBytes)
	target := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	var services []string
	for i := range instances {
		name := overheadService(i)
		services = append(services, name)
		if err := p.add(pathPlace{name: "obb-muc-" + name, failureDomain: "obb-muc", region: "obb", service: name, target: target}); err != nil {
			p.close()
			return nil, err
		}
	}
	regions := []catalogue.Region{{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "obb-muc", State: catalogue.In}}}}
	cat := pathCatalogue(regions, services...)
	for i := range cat.Services {
		// The processor is to be the limit at saturation, not the slots.
		cat.Services[i].Limits.Slots = overheadWorkers * instances
		cat.Services[i].Limits.ColdSlots = overheadWorkers * instances
	}
	return p, p.publish(cat)
}

func overheadService(i int) string { return "s" + string(rune('a'+i)) }

func overheadWays(p *path) []*overheadWay {
	direct := &overheadWay{name: "direct", latency: NewLatency()}
	through := &overheadWay{name: "through", latency: NewLatency()}
	local := &overheadWay{name: "local", latency: NewLatency()}
	for i, m := range p.members {
		next := (i + 1) % len(p.members)
		direct.url = append(direct.url, "http://"+m.targetAddr+"/"+overheadService(i)+"/x")
		through.url = append(through.url, "http://"+m.callerAddr+"/"+overheadService(next)+"/x")
		local.url = append(local.url, "http://"+m.callerAddr+"/"+overheadService(i)+"/x")
	}
	return []*overheadWay{direct, through, local}
}

func overheadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * overheadWorkers, DisableCompression: true}}
}

// overhead is one run of the experiment.
type overhead struct {
	ctx    context.Context
	client *http.Client
	ways   []*overheadWay
	calls  atomic.Int64
	failed atomic.Int64
}

// call makes one call and returns its time to the end of the answer.
func (o *overhead) call(url string) (time.Duration, bool) {
	req, err := http.NewRequestWithContext(o.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	req.Header[headers.Organisation] = []string{"streusalz"}
	started := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return time.Since(started), err == nil && n == overheadBytes && resp.StatusCode == http.StatusOK
}

// paced makes calls at the given rate to every instance, each way in turn.
func (o *overhead) paced(instances int) error { return o.pacedFor(instances, overheadPaced) }

func (o *overhead) pacedFor(instances int, d time.Duration) error {
	interval := time.Second / time.Duration(overheadRate*instances)
	end := time.Now().Add(d)
	var running sync.WaitGroup
	for turn := 0; time.Now().Before(end); turn++ {
		way := o.ways[turn%len(o.ways)]
		ticker := time.NewTicker(interval)
		turnEnd := time.Now().Add(overheadTurn)
		for i := 0; time.Now().Before(turnEnd); i++ {
			select {
			case <-ticker.C:
			case <-o.ctx.Done():
				ticker.Stop()
				return o.ctx.Err()
			}
			running.Go(func() { o.record(way, way.url[i%len(way.url)]) })
		}
		ticker.Stop()
		running.Wait()
	}
	if o.calls.Load() == 0 {
		return errors.New("no call was made; give the machine more time")
	}
	return nil
}

func (o *overhead) record(way *overheadWay, url string) {
	o.calls.Add(1)
	took, ok := o.call(url)
	if !ok {
		o.failed.Add(1)
		return
	}
	way.latency.Record(took)
}

// saturate calls as fast as possible and returns calls per second and processor time per call.
func (o *overhead) saturate(way *overheadWay, d time.Duration, done *atomic.Int64) (perSecond, cpuPerCall float64) {
	if done == nil {
		done = new(atomic.Int64)
	}
	started, cpu := time.Now(), processorTime()
	var workers sync.WaitGroup
	for i := range overheadWorkers {
		workers.Go(func() {
			for time.Since(started) < d && o.ctx.Err() == nil {
				if _, ok := o.call(way.url[i%len(way.url)]); ok {
					done.Add(1)
				}
			}
		})
	}
	workers.Wait()
	n := float64(max(done.Load(), 1))
	return n / time.Since(started).Seconds(), float64((processorTime() - cpu).Microseconds()) / n
}

func (o *overhead) result(cfg Config) *overheadResult {
	r := &overheadResult{Calls: o.calls.Load(), Failed: o.failed.Load()}
	direct, through, local := o.ways[0], o.ways[1], o.ways[2]
	r.DirectP50, r.DirectP99 = direct.latency.Microseconds(50), direct.latency.Microseconds(99)
	r.ThroughP50, r.ThroughP99 = through.latency.Microseconds(50), through.latency.Microseconds(99)
	r.LocalP99 = local.latency.Microseconds(99)
	r.AddedP50, r.AddedP99 = r.ThroughP50-r.DirectP50, r.ThroughP99-r.DirectP99
	r.LocalAddedP99 = r.LocalP99 - r.DirectP99
	_, r.DirectCPU = o.saturate(direct, overheadSaturate, nil)
	r.SaturationRate, r.ThroughCPU = o.saturate(through, overheadSaturate, nil)
	r.AddedCPU = r.ThroughCPU - r.DirectCPU
	if r.AddedCPU > 0 {
		r.SaturationPerCore = float64(time.Second.Microseconds()) / r.AddedCPU
	}
	cfg.Log.Info().Float64("direct_p99_us", r.DirectP99).Float64("through_p99_us", r.ThroughP99).Msg("paced calls done")
	return r
}
