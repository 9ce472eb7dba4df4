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

// Load and durations of the overhead experiment.
const (
	overheadRate = 220 // calls per second and instance
	// overheadTurnTime is the time for which one variant is called before the next.
	overheadTurnTime       = 500 * time.Millisecond
	overheadPacedTime      = 24 * time.Second
	overheadSaturationTime = 4 * time.Second
	overheadWarmupTime     = time.Second
	overheadWorkers        = 16
	overheadAnswerBytes    = 1 << 10
)

// overheadResult holds the figures of the overhead experiment, in microseconds unless a field says otherwise. Direct calls go
// straight to a target, through calls enter at one instance and run at the target of another, and local calls run at the
// target of the instance that they enter. Added values are differences from direct calls.
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
	// DirectCPU and ThroughCPU are the processor time of the whole process, including callers and targets, per call at
	// saturation.
	DirectCPU  float64 `json:"direct_cpu_us_per_call"`
	ThroughCPU float64 `json:"through_cpu_us_per_call"`
	AddedCPU   float64 `json:"added_cpu_us_per_call"`
	// SaturationRate is the number of through calls per second of the whole process at saturation.
	SaturationRate float64 `json:"saturation_calls_per_second"`
	// SaturationPerCore is the number of calls per second for which one core is sufficient in frontend and gatekeeper alone.
	// It is 0 if AddedCPU is not positive.
	SaturationPerCore float64 `json:"saturation_calls_per_second_per_core"`
}

// overheadVariant is one of the variants that are compared: direct, through or local. Calls alternate between its URLs.
type overheadVariant struct {
	name    string
	urls    []string
	latency *Latency
}

func runOverhead(ctx context.Context, cfg Config) (any, error) {
	p, err := newOverheadPath(ctx, max(cfg.Instances, 2))
	if err != nil {
		return nil, err
	}
	defer p.close()
	o := &overhead{ctx: ctx, client: overheadClient(), variants: overheadVariants(p)}
	for _, variant := range o.variants {
		o.saturate(variant, overheadWarmupTime, nil)
	}
	if err := o.paced(len(p.members)); err != nil {
		return nil, err
	}
	return o.result(cfg), ctx.Err()
}

// newOverheadPath starts instances that each run a different service, so that the URL path of a call selects the instance.
func newOverheadPath(ctx context.Context, instances int) (*path, error) {
	p, err := newPath(ctx)
	if err != nil {
		return nil, err
	}
	answer := make([]byte, overheadAnswerBytes)
	target := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	var services []string
	for i := range instances {
		name := overheadService(i)
		services = append(services, name)
		if err := p.add(pathInstance{name: "obb-muc-" + name, failureDomain: "obb-muc", region: "obb", service: name, target: target}); err != nil {
			p.close()
			return nil, err
		}
	}
	regions := []catalogue.Region{{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "obb-muc", State: catalogue.InService}}}}
	cat := pathCatalogue(regions, services...)
	for i := range cat.Services {
		// Enough slots that the processor is the bottleneck at saturation.
		cat.Services[i].Limits.Slots = overheadWorkers * instances
		cat.Services[i].Limits.ColdSlots = overheadWorkers * instances
	}
	return p, p.publish(cat)
}

// overheadService returns the name of the service of instance i.
func overheadService(i int) string { return "s" + string(rune('a'+i)) }

// overheadVariants returns the variants direct, through and local, in this order.
func overheadVariants(p *path) []*overheadVariant {
	direct := &overheadVariant{name: "direct", latency: NewLatency()}
	through := &overheadVariant{name: "through", latency: NewLatency()}
	local := &overheadVariant{name: "local", latency: NewLatency()}
	for i, m := range p.members {
		next := (i + 1) % len(p.members)
		direct.urls = append(direct.urls, "http://"+m.targetAddr+"/"+overheadService(i)+"/x")
		through.urls = append(through.urls, "http://"+m.callerAddr+"/"+overheadService(next)+"/x")
		local.urls = append(local.urls, "http://"+m.callerAddr+"/"+overheadService(i)+"/x")
	}
	return []*overheadVariant{direct, through, local}
}

func overheadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * overheadWorkers, DisableCompression: true}}
}

// overhead is one run of the experiment.
type overhead struct {
	ctx      context.Context
	client   *http.Client
	variants []*overheadVariant
	calls    atomic.Int64
	failed   atomic.Int64
}

// call makes one call and returns the time until the end of the response. It reports false unless the response is complete
// and has status 200.
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
	return time.Since(started), err == nil && n == overheadAnswerBytes && resp.StatusCode == http.StatusOK
}

// paced makes calls at overheadRate to every instance for overheadPacedTime, alternating between the variants.
func (o *overhead) paced(instances int) error { return o.pacedFor(instances, overheadPacedTime) }

// pacedFor is paced with another duration. It waits for the calls of one variant before it starts the next.
func (o *overhead) pacedFor(instances int, d time.Duration) error {
	interval := time.Second / time.Duration(overheadRate*instances)
	end := time.Now().Add(d)
	var inFlight sync.WaitGroup
	for turn := 0; time.Now().Before(end); turn++ {
		variant := o.variants[turn%len(o.variants)]
		ticker := time.NewTicker(interval)
		turnEnd := time.Now().Add(overheadTurnTime)
		for i := 0; time.Now().Before(turnEnd); i++ {
			select {
			case <-ticker.C:
			case <-o.ctx.Done():
				ticker.Stop()
				return o.ctx.Err()
			}
			inFlight.Go(func() { o.recordCall(variant, variant.urls[i%len(variant.urls)]) })
		}
		ticker.Stop()
		inFlight.Wait()
	}
	if o.calls.Load() == 0 {
		return errors.New("no paced call was made within the measurement time; run again on a machine with less load")
	}
	return nil
}

// recordCall makes one call and records its latency, or a failure.
func (o *overhead) recordCall(variant *overheadVariant, url string) {
	o.calls.Add(1)
	duration, ok := o.call(url)
	if !ok {
		o.failed.Add(1)
		return
	}
	variant.latency.Record(duration)
}

// saturate makes calls with overheadWorkers workers for d, without pauses. It returns the good calls per second and the
// processor time of the process per good call in microseconds. Good calls are added to done if it is not nil.
func (o *overhead) saturate(variant *overheadVariant, d time.Duration, done *atomic.Int64) (perSecond, cpuPerCall float64) {
	if done == nil {
		done = new(atomic.Int64)
	}
	started, cpu := time.Now(), processCPUTime()
	var workers sync.WaitGroup
	for i := range overheadWorkers {
		workers.Go(func() {
			for time.Since(started) < d && o.ctx.Err() == nil {
				if _, ok := o.call(variant.urls[i%len(variant.urls)]); ok {
					done.Add(1)
				}
			}
		})
	}
	workers.Wait()
	n := float64(max(done.Load(), 1))
	return n / time.Since(started).Seconds(), float64((processCPUTime() - cpu).Microseconds()) / n
}

// result runs the saturation measurements and returns all figures.
func (o *overhead) result(cfg Config) *overheadResult {
	r := &overheadResult{Calls: o.calls.Load(), Failed: o.failed.Load()}
	direct, through, local := o.variants[0], o.variants[1], o.variants[2]
	r.DirectP50, r.DirectP99 = direct.latency.Microseconds(50), direct.latency.Microseconds(99)
	r.ThroughP50, r.ThroughP99 = through.latency.Microseconds(50), through.latency.Microseconds(99)
	r.LocalP99 = local.latency.Microseconds(99)
	r.AddedP50, r.AddedP99 = r.ThroughP50-r.DirectP50, r.ThroughP99-r.DirectP99
	r.LocalAddedP99 = r.LocalP99 - r.DirectP99
	_, r.DirectCPU = o.saturate(direct, overheadSaturationTime, nil)
	r.SaturationRate, r.ThroughCPU = o.saturate(through, overheadSaturationTime, nil)
	r.AddedCPU = r.ThroughCPU - r.DirectCPU
	if r.AddedCPU > 0 {
		r.SaturationPerCore = float64(time.Second.Microseconds()) / r.AddedCPU
	}
	cfg.Log.Info().Float64("direct_p99_us", r.DirectP99).Float64("through_p99_us", r.ThroughP99).Msg("paced calls ended")
	return r
}
