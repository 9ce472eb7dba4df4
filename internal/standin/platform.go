// Package standin provides stand-ins for the external parts that the system depends on: the platform, the targets and the
// network between failure domains. They reproduce the behaviour that the system depends on, and their faults can be switched
// on and off.
package standin

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/origin"
)

// maxStates is the number of published states that are kept for stale mode.
const maxStates = 16

// PlatformConfig configures a Platform. The zero value has no read budget, no delay and no lag.
type PlatformConfig struct {
	// ReadsPerSecond is the read budget over all readers; 0 means unlimited. The burst is one second of the budget.
	ReadsPerSecond float64
	// Delay is added to each call.
	Delay time.Duration
	// InstanceLag is the time until a change of the instances appears in the instance lists.
	InstanceLag time.Duration
}

// Platform is a stand-in for the platform's configuration service. It implements origin.Source in process, and Handler
// serves the HTTP protocol of origin.HTTP. It is safe for concurrent use.
type Platform struct {
	cfg    PlatformConfig
	budget *rate.Limiter

	mu      sync.Mutex
	states  []*state // published states, newest last; states share values
	frozen  *state   // the state served in stale mode, or nil
	outage  bool
	changed chan struct{}                         // closed and replaced when the served state changes
	actual  map[string]map[string]origin.Instance // actual instances by failure domain and name
	pending []pendingLists                        // in order of due time
	reads   ReadCounts
}

// ReadCounts holds the numbers of calls to a Platform.
type ReadCounts struct {
	Total int64
	// Throttled is the number of calls rejected because the read budget was exhausted.
	Throttled int64
	// Peak is the largest number of calls within one second of Unix time.
	Peak    int64
	second  int64 // Unix time of the last call
	current int64 // calls in that second
}

// state is one published state. It is immutable once it is in Platform.states.
type state struct {
	values map[string]origin.Value
	lists  map[string]origin.InstanceList
}

func (s *state) clone() *state {
	return &state{values: maps.Clone(s.values), lists: maps.Clone(s.lists)}
}

// NewPlatform returns a platform without values and instances.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:     cfg,
		states:  []*state{{values: map[string]origin.Value{}, lists: map[string]origin.InstanceList{}}},
		changed: make(chan struct{}),
		actual:  map[string]map[string]origin.Instance{},
	}
	if cfg.ReadsPerSecond > 0 {
		p.budget = rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond)))
	}
	return p
}

// Put publishes a value. It returns an error if data is larger than origin.MaxValueBytes.
func (p *Platform) Put(key string, data []byte) error {
	if len(data) > origin.MaxValueBytes {
		return errors.Errorf("value of %q has %d bytes; split it below %d", key, len(data), origin.MaxValueBytes)
	}
	tag := strconv.FormatUint(xxhash.Sum64(data), 16)
	p.publish(func(s *state) { s.values[key] = origin.Value{Data: slices.Clone(data), Tag: strconv.Quote(tag)} })
	return nil
}

// PublishCatalogue publishes the chunks of a catalogue and then its manifest, and returns the version of its document.
func (p *Platform) PublishCatalogue(c *catalogue.Catalogue) (document.Version, error) {
	doc, err := catalogue.Encode(c)
	if err != nil {
		return document.Version{}, err
	}
	return doc.Version(), p.PublishDocument(doc)
}

// PublishDocument publishes the chunks of a catalogue document and then its manifest. It does not validate the content.
func (p *Platform) PublishDocument(doc *document.Document) error {
	for i, digest := range doc.ChunkDigests() {
		packed, err := document.Pack(doc.ChunkEntries(i))
		if err != nil {
			return err
		}
		if err := p.Put(origin.ChunkPrefix+digest.String(), packed); err != nil {
			return err
		}
	}
	data, err := json.Marshal(catalogue.ManifestOf(doc))
	if err != nil {
		return errors.Wrap(err, "encode the manifest")
	}
	return p.Put(origin.ManifestKey, data)
}

// PutInstance adds or replaces instances. The lists of their failure domains show the change after the lag.
func (p *Platform) PutInstance(list ...origin.Instance) {
	p.changeInstances(func() []string {
		var domains []string
		for _, inst := range list {
			if p.actual[inst.FailureDomain] == nil {
				p.actual[inst.FailureDomain] = map[string]origin.Instance{}
			}
			p.actual[inst.FailureDomain][inst.Name] = inst
			domains = append(domains, inst.FailureDomain)
		}
		return domains
	})
}

// RemoveInstance removes an instance. The list of its failure domain shows the change after the lag.
func (p *Platform) RemoveInstance(failureDomain, name string) {
	p.changeInstances(func() []string {
		delete(p.actual[failureDomain], name)
		return []string{failureDomain}
	})
}

// changeInstances changes the actual instances immediately and the lists after the lag. The function change is called with
// mu held and returns the changed failure domains.
func (p *Platform) changeInstances(change func() []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := change()
	slices.Sort(domains)
	next := pendingLists{due: time.Now().Add(p.cfg.InstanceLag)}
	for _, d := range slices.Compact(domains) {
		list := slices.SortedFunc(maps.Values(p.actual[d]), func(a, b origin.Instance) int { return strings.Compare(a.Name, b.Name) })
		next.lists = append(next.lists, origin.InstanceList{FailureDomain: d, Instances: list})
	}
	p.pending = append(p.pending, next)
	if p.cfg.InstanceLag <= 0 {
		p.publishDueLocked()
		return
	}
	time.AfterFunc(p.cfg.InstanceLag, p.publishDue)
}

// pendingLists are the instance lists to be published at the due time.
type pendingLists struct {
	due   time.Time
	lists []origin.InstanceList
}

// publishDue publishes the lists that are due, in order of their changes.
func (p *Platform) publishDue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishDueLocked()
}

// publishDueLocked is publishDue for callers that hold mu.
func (p *Platform) publishDueLocked() {
	now := time.Now()
	for len(p.pending) > 0 && !p.pending[0].due.After(now) {
		lists := p.pending[0].lists
		p.pending = p.pending[1:]
		p.publishLocked(func(s *state) { s.setLists(lists) })
	}
}

func (s *state) setLists(lists []origin.InstanceList) {
	for _, l := range lists {
		l.Version = s.lists[l.FailureDomain].Version + 1
		s.lists[l.FailureDomain] = l
	}
}

func (p *Platform) publish(change func(*state)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishLocked(change)
}

// publishLocked appends a changed copy of the newest state. Must be called with mu held.
func (p *Platform) publishLocked(change func(*state)) {
	next := p.states[len(p.states)-1].clone()
	change(next)
	p.states = append(p.states, next)
	if len(p.states) > maxStates {
		p.states = slices.Delete(p.states, 0, len(p.states)-maxStates)
	}
	if p.frozen == nil {
		p.notifyLocked()
	}
}

// notifyLocked makes all waiting calls check the served state again. Must be called with mu held.
func (p *Platform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale makes the platform serve the state of steps publications ago until it is called again. A negative number switches
// back to the newest state.
func (p *Platform) SetStale(steps int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if steps >= 0 {
		p.frozen = p.states[max(0, len(p.states)-1-steps)]
	}
	p.notifyLocked()
}

// SetOutage makes all calls fail with origin.ErrUnavailable, including waiting ones, until it is called with false.
func (p *Platform) SetOutage(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = down
	p.notifyLocked()
}

// Reads returns the numbers of calls so far.
func (p *Platform) Reads() ReadCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Read implements origin.Source. It returns origin.ErrNotFound if there is no value for key.
func (p *Platform) Read(ctx context.Context, key string) (origin.Value, error) {
	return p.Watch(ctx, key, "")
}

// Watch implements origin.Source. It waits until the value of key has a tag other than after.
func (p *Platform) Watch(ctx context.Context, key, after string) (origin.Value, error) {
	var v origin.Value
	err := p.waitUntil(ctx, func(s *state) (bool, error) {
		var ok bool
		if v, ok = s.values[key]; !ok && after == "" {
			return false, errors.Wrap(origin.ErrNotFound, key)
		}
		return ok && v.Tag != after, nil
	})
	if err != nil {
		return origin.Value{}, err
	}
	return origin.Value{Data: slices.Clone(v.Data), Tag: v.Tag}, nil
}

// Instances implements origin.Source. It waits until the list of the failure domain has a version higher than after.
func (p *Platform) Instances(ctx context.Context, failureDomain string, after uint64) (origin.InstanceList, error) {
	var list origin.InstanceList
	err := p.waitUntil(ctx, func(s *state) (bool, error) {
		var ok bool
		if list, ok = s.lists[failureDomain]; !ok && after == 0 {
			return false, errors.Wrap(origin.ErrNotFound, failureDomain)
		}
		return ok && list.Version > after, nil
	})
	if err != nil {
		return origin.InstanceList{}, err
	}
	list.Instances = slices.Clone(list.Instances)
	return list, nil
}

// waitUntil counts one call and waits until ready returns true or an error for the served state. It returns
// origin.ErrThrottled if the read budget is exhausted.
func (p *Platform) waitUntil(ctx context.Context, ready func(*state) (bool, error)) error {
	if !p.countRead(time.Now()) {
		return errors.WithStack(origin.ErrThrottled)
	}
	if err := periodic.Sleep(ctx, p.cfg.Delay); err != nil {
		return err
	}
	for {
		s, changed, err := p.servedState()
		if err != nil {
			return err
		}
		if ok, err := ready(s); ok || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// servedState returns the served state and the channel that is closed when it changes.
func (p *Platform) servedState() (*state, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outage {
		return nil, nil, errors.WithStack(origin.ErrUnavailable)
	}
	if p.frozen != nil {
		return p.frozen, p.changed, nil
	}
	return p.states[len(p.states)-1], p.changed, nil
}

// countRead counts one call and reports whether it is within the read budget.
func (p *Platform) countRead(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads.Total++
	if second := now.Unix(); second != p.reads.second {
		p.reads.second, p.reads.current = second, 0
	}
	p.reads.current++
	p.reads.Peak = max(p.reads.Peak, p.reads.current)
	if p.budget == nil || p.budget.AllowN(now, 1) {
		return true
	}
	p.reads.Throttled++
	return false
}
