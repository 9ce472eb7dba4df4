// Package standin holds small stand-ins for what surrounds the system: the platform and the targets. They behave as the
// real ones do where it matters to the system, and their faults can be switched on and off.
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
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/origin"
)

// keptStates is the number of earlier states that stale mode can go back to.
const keptStates = 16

// PlatformConfig sets up a Platform. The zero value has no budget, no delay and no lag.
type PlatformConfig struct {
	// ReadsPerSecond is the read budget over all readers; 0 means unlimited. The burst is one second's worth.
	ReadsPerSecond float64
	// Delay is added to every call.
	Delay time.Duration
	// InstanceLag is the time after which a change of the instances shows on the lists.
	InstanceLag time.Duration
}

// Platform stands in for the platform's configuration service. It implements origin.Source in process and serves the
// wire of origin.HTTP by Handler. It is safe for concurrent use.
type Platform struct {
	cfg    PlatformConfig
	budget *rate.Limiter

	mu      sync.Mutex
	states  []*state // the published states, newest last; the values in them are shared
	frozen  *state   // what stale mode serves, or nil
	outage  bool
	changed chan struct{} // closed and replaced at each change of what is served
	truth   map[string]map[string]origin.Instance
	pending []pendingLists
	reads   ReadCounts
}

// ReadCounts counts the calls made of a Platform.
type ReadCounts struct {
	Total     int64
	Throttled int64
	// Peak is the largest number of calls that began within one second of the clock.
	Peak    int64
	second  int64
	current int64
}

// state is one published state. It is never changed once it is in the list of states.
type state struct {
	values map[string]origin.Value
	lists  map[string]origin.InstanceList
}

func (s *state) clone() *state {
	return &state{values: maps.Clone(s.values), lists: maps.Clone(s.lists)}
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:     cfg,
		states:  []*state{{values: map[string]origin.Value{}, lists: map[string]origin.InstanceList{}}},
		changed: make(chan struct{}),
		truth:   map[string]map[string]origin.Instance{},
	}
	if cfg.ReadsPerSecond > 0 {
		p.budget = rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond)))
	}
	return p
}

// Put publishes a value. It fails on a value larger than origin.MaxValueBytes.
func (p *Platform) Put(key string, data []byte) error {
	if len(data) > origin.MaxValueBytes {
		return errors.Errorf("value of %q has %d bytes; split it below %d", key, len(data), origin.MaxValueBytes)
	}
	tag := strconv.FormatUint(xxhash.Sum64(data), 16)
	p.publish(func(s *state) { s.values[key] = origin.Value{Data: slices.Clone(data), Tag: strconv.Quote(tag)} })
	return nil
}

// PublishCatalogue publishes the chunks of a catalogue and then its manifest.
func (p *Platform) PublishCatalogue(c *catalogue.Catalogue) (document.Version, error) {
	doc, err := catalogue.Encode(c)
	if err != nil {
		return document.Version{}, err
	}
	return doc.Version(), p.PublishDocument(doc)
}

// PublishDocument publishes the chunks of a catalogue's document and then its manifest, whatever its content.
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

// PutInstance adds or replaces an instance; its failure domain's list shows it after the lag.
func (p *Platform) PutInstance(list ...origin.Instance) {
	p.changeInstances(func() []string {
		var domains []string
		for _, inst := range list {
			if p.truth[inst.FailureDomain] == nil {
				p.truth[inst.FailureDomain] = map[string]origin.Instance{}
			}
			p.truth[inst.FailureDomain][inst.Name] = inst
			domains = append(domains, inst.FailureDomain)
		}
		return domains
	})
}

// RemoveInstance removes an instance; its failure domain's list loses it after the lag.
func (p *Platform) RemoveInstance(failureDomain, name string) {
	p.changeInstances(func() []string {
		delete(p.truth[failureDomain], name)
		return []string{failureDomain}
	})
}

// changeInstances changes the truth at once and the lists after the lag.
func (p *Platform) changeInstances(change func() []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := change()
	slices.Sort(domains)
	next := pendingLists{due: time.Now().Add(p.cfg.InstanceLag)}
	for _, d := range slices.Compact(domains) {
		list := slices.SortedFunc(maps.Values(p.truth[d]), func(a, b origin.Instance) int { return strings.Compare(a.Name, b.Name) })
		next.lists = append(next.lists, origin.InstanceList{FailureDomain: d, Instances: list})
	}
	p.pending = append(p.pending, next)
	if p.cfg.InstanceLag <= 0 {
		p.revealLocked()
		return
	}
	time.AfterFunc(p.cfg.InstanceLag, p.reveal)
}

// pendingLists are lists that wait for their lag to pass.
type pendingLists struct {
	due   time.Time
	lists []origin.InstanceList
}

// reveal publishes the lists that are due, in the order of their changes.
func (p *Platform) reveal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revealLocked()
}

func (p *Platform) revealLocked() {
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

func (p *Platform) publishLocked(change func(*state)) {
	next := p.states[len(p.states)-1].clone()
	change(next)
	p.states = append(p.states, next)
	if len(p.states) > keptStates {
		p.states = slices.Delete(p.states, 0, len(p.states)-keptStates)
	}
	if p.frozen == nil {
		p.wake()
	}
}

// wake lets every waiting call look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale freezes the answers at the state that many publications back, or ends it with a negative number.
func (p *Platform) SetStale(back int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if back >= 0 {
		p.frozen = p.states[max(0, len(p.states)-1-back)]
	}
	p.wake()
}

// SetOutage makes every call fail with ErrUnavailable, the waiting ones too, until it is called with false.
func (p *Platform) SetOutage(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = down
	p.wake()
}

// Reads returns the counts of calls so far.
func (p *Platform) Reads() ReadCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Read implements origin.Source.
func (p *Platform) Read(ctx context.Context, key string) (origin.Value, error) {
	return p.Watch(ctx, key, "")
}

// Watch implements origin.Source.
func (p *Platform) Watch(ctx context.Context, key, after string) (origin.Value, error) {
	var v origin.Value
	err := p.await(ctx, func(s *state) (bool, error) {
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

// Instances implements origin.Source.
func (p *Platform) Instances(ctx context.Context, failureDomain string, after uint64) (origin.InstanceList, error) {
	var list origin.InstanceList
	err := p.await(ctx, func(s *state) (bool, error) {
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

// await counts one call and waits until ready holds for what is served.
func (p *Platform) await(ctx context.Context, ready func(*state) (bool, error)) error {
	if !p.count(time.Now()) {
		return errors.WithStack(origin.ErrThrottled)
	}
	if err := duty.Sleep(ctx, p.cfg.Delay); err != nil {
		return err
	}
	for {
		s, changed, err := p.served()
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

func (p *Platform) served() (*state, <-chan struct{}, error) {
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

// count takes one call from the budget and reports whether the budget had it.
func (p *Platform) count(now time.Time) bool {
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
