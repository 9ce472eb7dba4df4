// Package linkbudget limits the traffic of an instance to the organisations' shares of the links between regions. It
// serializes the decisions of package linkshare and exchanges its messages with other instances.
package linkbudget

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/linkshare"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/rank"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Path is the HTTP path of the messages on the listener for other instances.
const Path = "/.chervilwell/link"

// messageTimeout bounds the sending of one message.
const messageTimeout = 200 * time.Millisecond

// pollInterval is the maximum time between two attempts to take tokens, since a loan may arrive at any time.
const pollInterval = 50 * time.Millisecond

// Errors of the package.
var (
	// ErrShareExhausted reports that an organisation's share of the link is used up for now.
	ErrShareExhausted = errors.New("the organisation's share of the link between the regions is used up; retry after a backoff or raise linkShare")
	// ErrWrongSender reports a message that contains an offer, demand or loan of another instance than its sender.
	ErrWrongSender = errors.New("message speaks for another instance than its sender; check the certificates")
)

// Peers sends messages to other instances.
type Peers interface {
	Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error)
}

// message is the body of a request between instances of a region.
type message struct {
	Offers  []linkshare.Offer  `cbor:"1,keyasint,omitempty"`
	Demands []linkshare.Demand `cbor:"2,keyasint,omitempty"`
	Loans   []linkshare.Loan   `cbor:"3,keyasint,omitempty"`
}

// Config holds the settings of a Budget.
type Config struct {
	Instance string
	// FailureDomain is the instance's failure domain; the current configuration maps it to a region.
	FailureDomain string
	Holder        *snapshot.Holder
	Peers         Peers
}

// Budget is the link budget of one instance. It is safe for concurrent use. A nil Budget limits nothing.
type Budget struct {
	config  Config
	mu      sync.Mutex
	account *linkshare.Account
	lender  *linkshare.Lender
	// limited holds the pools and organisations that have an allocation.
	limited map[limitKey]bool
	// state is the state at the last scan of the instances.
	state *snapshot.State
	// instanceCount is the number of instances in the region and lenderInstance the first live one in rank order, as of
	// lastScan.
	instanceCount int
	lastScan      time.Time
	// allocatedFrom is the configuration that the allocations were computed from.
	allocatedFrom  *snapshot.Config
	lenderInstance origin.Instance
}

type limitKey struct {
	pool         linkshare.Pool
	organisation string
}

// New returns a budget that limits nothing before Serve has read a configuration. Its account mints from the start, without
// linkshare.StartDelay: the other instances already count a restarted process, and a new instance exceeds the share by at
// most its own allocation until their instance lists contain it.
func New(config Config) *Budget {
	now := time.Now()
	return &Budget{
		config:  config,
		account: linkshare.NewAccount(now.Add(-linkshare.StartDelay), config.Instance),
		lender:  linkshare.NewLender(now, config.Instance),
	}
}

// region returns the instance's region in the current configuration, or "" if there is none.
func (b *Budget) region() string {
	config := b.config.Holder.Load().Config
	if config == nil {
		return ""
	}
	return config.RegionOf(b.config.FailureDomain)
}

// Spend takes bytes for traffic to a region, waiting for tokens until the context ends. It returns ErrShareExhausted
// (wrapped) if they are not available by then. Traffic within the region, on a link without a capacity and of an
// organisation without a link share is not limited.
func (b *Budget) Spend(ctx context.Context, to, organisation string, bytes int64) error {
	if b == nil || to == b.region() || to == "" {
		return nil
	}
	pool := linkshare.Pool{From: b.region(), To: to}
	for {
		ok, after := b.take(pool, organisation, bytes)
		if ok {
			return nil
		}
		if err := periodic.Sleep(ctx, boundedWait(after)); err != nil {
			return errors.Wrapf(ErrShareExhausted, "%d bytes of %q to region %q", bytes, organisation, to)
		}
	}
}

// TrySpend is like Spend but does not wait; it reports whether the bytes were taken.
func (b *Budget) TrySpend(to, organisation string, bytes int64) bool {
	if b == nil || to == b.region() || to == "" {
		return true
	}
	ok, _ := b.take(linkshare.Pool{From: b.region(), To: to}, organisation, bytes)
	return ok
}

func (b *Budget) take(pool linkshare.Pool, organisation string, bytes int64) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited[limitKey{pool, organisation}] {
		return true, 0
	}
	return b.account.Take(time.Now(), pool, organisation, bytes)
}

// boundedWait bounds the wait for the instance's own allocation, since a loan may arrive earlier.
func boundedWait(after time.Duration) time.Duration {
	if after <= 0 || after > pollInterval {
		return pollInterval
	}
	return after
}

// Serve keeps the allocations up to date and exchanges offers, demands and loans every linkshare.Interval until ctx ends.
func (b *Budget) Serve(ctx context.Context) error {
	return periodic.Every(ctx, linkshare.Interval, func(time.Time) { b.exchange(ctx) })
}

// exchange runs one round of offers, demands and loans with the region's lender.
func (b *Budget) exchange(ctx context.Context) {
	state := b.config.Holder.Load()
	if state.Config == nil {
		return
	}
	b.mu.Lock()
	now := time.Now()
	b.refresh(now, state)
	out := message{Offers: b.account.Offers(now), Demands: b.account.Demands(now)}
	lenderInstance := b.lenderInstance
	var loans []linkshare.Loan
	if lenderInstance.Name == b.config.Instance {
		b.submit(now, out)
		loans = b.lender.Lend(now)
	}
	b.mu.Unlock()
	if lenderInstance.Name != b.config.Instance && len(out.Offers)+len(out.Demands) > 0 {
		b.send(ctx, lenderInstance, out)
	}
	b.deliverLoans(ctx, state, loans)
}

// submit passes offers and demands to the local lender. It must be called with b.mu held.
func (b *Budget) submit(now time.Time, m message) {
	for _, o := range m.Offers {
		b.lender.AddOffer(now, o)
	}
	for _, d := range m.Demands {
		b.lender.AddDemand(now, d)
	}
}

func (b *Budget) deliverLoans(ctx context.Context, state *snapshot.State, loans []linkshare.Loan) {
	byInstance := map[string][]linkshare.Loan{}
	for _, l := range loans {
		byInstance[l.To] = append(byInstance[l.To], l)
	}
	for name, list := range byInstance {
		if name == b.config.Instance {
			b.receiveLoans(list)
			continue
		}
		if inst, ok := state.Endpoints.Instance(name); ok {
			b.send(ctx, inst, message{Loans: list})
		}
	}
}

func (b *Budget) receiveLoans(loans []linkshare.Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, l := range loans {
		b.account.Receive(now, l)
	}
}

// send sends a message to an instance. If it does not arrive, its tokens are lost.
func (b *Budget) send(ctx context.Context, to origin.Instance, m message) {
	if b.config.Peers == nil || to.Name == "" {
		return
	}
	body, err := document.Marshal(m)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	_, _ = b.config.Peers.Post(ctx, to, Path, body)
}

// HandleMessage processes a message from the named instance. It returns ErrWrongSender, and processes nothing, if the message
// contains an offer, demand or loan of another instance.
func (b *Budget) HandleMessage(body []byte, from string) error {
	var m message
	if err := document.Unmarshal(body, &m); err != nil {
		return err
	}
	for _, o := range m.Offers {
		if o.From != from {
			return ErrWrongSender
		}
	}
	for _, d := range m.Demands {
		if d.From != from {
			return ErrWrongSender
		}
	}
	for _, l := range m.Loans {
		if l.From != from {
			return ErrWrongSender
		}
	}
	b.mu.Lock()
	b.submit(time.Now(), m)
	b.mu.Unlock()
	b.receiveLoans(m.Loans)
	return nil
}

// scanInterval is the minimum time between two scans of all instances; the cost of a scan is proportional to the fleet.
const scanInterval = 5 * time.Second

// refresh recomputes the allocations if the state has changed. It scans the instances again if the last scan is older than
// scanInterval or found no lender. It must be called with b.mu held.
func (b *Budget) refresh(now time.Time, state *snapshot.State) {
	if b.state == state {
		return
	}
	fresh := b.lenderInstance.Name != "" && now.Sub(b.lastScan) < scanInterval
	if fresh && b.allocatedFrom == state.Config {
		return
	}
	if !fresh {
		b.state = state
		b.scan(now, state)
	}
	b.allocatedFrom = state.Config
	b.setAllocations(now, state.Config, max(b.instanceCount, 1))
}

// scan counts the instances of the local region and finds the first live one in rank order.
func (b *Budget) scan(now time.Time, state *snapshot.State) {
	b.lastScan = now
	b.lenderInstance = origin.Instance{}
	b.instanceCount = 0
	local := state.Config.RegionOf(b.config.FailureDomain)
	scope := "link/" + local
	state.Endpoints.All(func(inst origin.Instance) bool {
		if state.Config.RegionOf(inst.FailureDomain) != local {
			return true
		}
		b.instanceCount++
		if inst.State == origin.Live && (b.lenderInstance.Name == "" || rank.Less(scope, inst.Name, b.lenderInstance.Name)) {
			b.lenderInstance = inst
		}
		return true
	})
}

func (b *Budget) setAllocations(now time.Time, config *snapshot.Config, instances int) {
	var allocations []linkshare.Allocation
	b.limited = map[limitKey]bool{}
	local := config.RegionOf(b.config.FailureDomain)
	for _, region := range config.Regions() {
		capacity := config.LinkBytesPerSecond(local, region)
		if region == local || capacity <= 0 {
			continue
		}
		pool := linkshare.Pool{From: local, To: region}
		for name, o := range config.Organisations() {
			if o.LinkShare <= 0 {
				continue
			}
			b.limited[limitKey{pool, name}] = true
			allocations = append(allocations, linkshare.Allocation{
				Pool: pool, Organisation: name, BytesPerSecond: linkshare.InstanceRate(capacity, o.LinkShare, instances),
			})
		}
	}
	b.account.SetAllocations(now, allocations)
}
