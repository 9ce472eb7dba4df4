// Package linkbudget keeps an instance within the shares that organisations have of the links between regions. It serializes
// the pure decisions of package linkshare and carries their messages.
package linkbudget

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/duty"
	"github.com/chervilwell/chervilwell/linkshare"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/rank"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Path is the path of the messages on the listener for other instances.
const Path = "/.chervilwell/link"

// messageTimeout bounds one message.
const messageTimeout = 200 * time.Millisecond

// pollWait is the time between two tries for tokens that may be lent.
const pollWait = 50 * time.Millisecond

// Typed errors of the package.
var (
	// ErrSpent says that an organisation's share of the link is used up for now.
	ErrSpent = errors.New("the organisation's share of the link between the regions is used up; retry after a backoff or raise linkShare")
	// ErrNotSender says that a message speaks for another instance than its sender.
	ErrNotSender = errors.New("message speaks for another instance than its sender; check the certificates")
)

// Peers sends a message to another instance.
type Peers interface {
	Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error)
}

// message is what instances of a region tell each other.
type message struct {
	Offers []linkshare.Offer `cbor:"1,keyasint,omitempty"`
	Wants  []linkshare.Want  `cbor:"2,keyasint,omitempty"`
	Loans  []linkshare.Loan  `cbor:"3,keyasint,omitempty"`
}

// Config says whose budget it is.
type Config struct {
	Instance string
	// FailureDomain places the instance; the configuration in force names its region.
	FailureDomain string
	Holder        *snapshot.Holder
	Peers         Peers
}

// Budget is the link budget of one instance. It is safe for concurrent use.
type Budget struct {
	config  Config
	mu      sync.Mutex
	account *linkshare.Account
	lender  *linkshare.Lender
	// limited holds the pools and organisations that have a part.
	limited map[limit]bool
	// state is the one that the parts and the first rank were worked out from.
	state *snapshot.State
	// count and first are the instances of the region and the first of them by rank, as scanned last.
	count   int
	scanned time.Time
	// parts is the configuration that the parts were worked out from.
	parts *snapshot.Config
	first origin.Instance
}

type limit struct {
	pool         linkshare.Pool
	organisation string
}

// New returns a budget that limits nothing before Serve has read a configuration. Its account mints from then on: a process
// that was replaced is counted by the others already, and a new one exceeds the share by its own part at most until their
// lists show it.
func New(config Config) *Budget {
	now := time.Now()
	return &Budget{
		config:  config,
		account: linkshare.NewAccount(now.Add(-linkshare.StartAfter), config.Instance),
		lender:  linkshare.NewLender(now, config.Instance),
	}
}

// region returns the region of the instance by the configuration in force, or "" if there is none.
func (b *Budget) region() string {
	config := b.config.Holder.Load().Config
	if config == nil {
		return ""
	}
	return config.RegionOf(b.config.FailureDomain)
}

// Spend takes bytes for the way to a region, and waits for them until the context ends. It returns ErrSpent (wrapped) if they
// don't come in time. The own region, a link without a capacity and an organisation without a share are not limited.
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
		if err := duty.Sleep(ctx, waitOf(after)); err != nil {
			return errors.Wrapf(ErrSpent, "%d bytes of %q to region %q", bytes, organisation, to)
		}
	}
}

// TrySpend is Spend without waiting.
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
	if !b.limited[limit{pool, organisation}] {
		return true, 0
	}
	return b.account.Take(time.Now(), pool, organisation, bytes)
}

// waitOf bounds the wait for the own part, since a loan may come before.
func waitOf(after time.Duration) time.Duration {
	if after <= 0 || after > pollWait {
		return pollWait
	}
	return after
}

// Serve keeps the parts current, gives away what is not needed and, as the region's first rank, lends it.
func (b *Budget) Serve(ctx context.Context) error {
	return duty.Every(ctx, linkshare.Interval, func(time.Time) { b.round(ctx) })
}

// round is one exchange with the region's first rank.
func (b *Budget) round(ctx context.Context) {
	state := b.config.Holder.Load()
	if state.Config == nil {
		return
	}
	b.mu.Lock()
	now := time.Now()
	b.refresh(now, state)
	out := message{Offers: b.account.Offers(now), Wants: b.account.Wants(now)}
	first := b.first
	var loans []linkshare.Loan
	if first.Name == b.config.Instance {
		b.lendOut(now, out)
		loans = b.lender.Lend(now)
	}
	b.mu.Unlock()
	if first.Name != b.config.Instance && len(out.Offers)+len(out.Wants) > 0 {
		b.send(ctx, first, out)
	}
	b.deliver(ctx, state, loans)
}

// lendOut gives the lender what this instance offers and wants. The caller holds the lock.
func (b *Budget) lendOut(now time.Time, m message) {
	for _, o := range m.Offers {
		b.lender.Offered(now, o)
	}
	for _, w := range m.Wants {
		b.lender.Wanted(now, w)
	}
}

func (b *Budget) deliver(ctx context.Context, state *snapshot.State, loans []linkshare.Loan) {
	byInstance := map[string][]linkshare.Loan{}
	for _, l := range loans {
		byInstance[l.To] = append(byInstance[l.To], l)
	}
	for name, list := range byInstance {
		if name == b.config.Instance {
			b.receive(list)
			continue
		}
		if inst, ok := state.Endpoints.Instance(name); ok {
			b.send(ctx, inst, message{Loans: list})
		}
	}
}

func (b *Budget) receive(loans []linkshare.Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, l := range loans {
		b.account.Receive(now, l)
	}
}

// send sends a message; its tokens are lost if it does not arrive.
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

// Take takes a message from another instance. Each speaks for its sender only.
func (b *Budget) Take(body []byte, from string) error {
	var m message
	if err := document.Unmarshal(body, &m); err != nil {
		return err
	}
	for _, o := range m.Offers {
		if o.From != from {
			return ErrNotSender
		}
	}
	for _, w := range m.Wants {
		if w.From != from {
			return ErrNotSender
		}
	}
	for _, l := range m.Loans {
		if l.From != from {
			return ErrNotSender
		}
	}
	b.mu.Lock()
	b.lendOut(time.Now(), m)
	b.mu.Unlock()
	b.receive(m.Loans)
	return nil
}

// scanInterval is the least time between two looks at all instances; each costs in proportion to the fleet.
const scanInterval = 5 * time.Second

// refresh works out the parts again if the state has changed. The instances are looked at again once the last look is some
// seconds old, or found no first rank. The caller holds the lock.
func (b *Budget) refresh(now time.Time, state *snapshot.State) {
	if b.state == state {
		return
	}
	fresh := b.first.Name != "" && now.Sub(b.scanned) < scanInterval
	if fresh && b.parts == state.Config {
		return
	}
	if !fresh {
		b.state = state
		b.scan(now, state)
	}
	b.parts = state.Config
	b.setParts(now, state.Config, max(b.count, 1))
}

// scan counts the instances of the own region and finds the first by rank.
func (b *Budget) scan(now time.Time, state *snapshot.State) {
	b.scanned = now
	b.first = origin.Instance{}
	b.count = 0
	own := state.Config.RegionOf(b.config.FailureDomain)
	scope := "link/" + own
	state.Endpoints.All(func(inst origin.Instance) bool {
		if state.Config.RegionOf(inst.FailureDomain) != own {
			return true
		}
		b.count++
		if inst.State == origin.Live && (b.first.Name == "" || rank.Less(scope, inst.Name, b.first.Name)) {
			b.first = inst
		}
		return true
	})
}

func (b *Budget) setParts(now time.Time, config *snapshot.Config, instances int) {
	var parts []linkshare.Part
	b.limited = map[limit]bool{}
	own := config.RegionOf(b.config.FailureDomain)
	for _, region := range config.Regions() {
		capacity := config.LinkBytesPerSecond(own, region)
		if region == own || capacity <= 0 {
			continue
		}
		pool := linkshare.Pool{From: own, To: region}
		for name, o := range config.Organisations() {
			if o.LinkShare <= 0 {
				continue
			}
			b.limited[limit{pool, name}] = true
			parts = append(parts, linkshare.Part{
				Pool: pool, Organisation: name, BytesPerSecond: linkshare.Own(capacity, o.LinkShare, instances),
			})
		}
	}
	b.account.SetParts(now, parts)
}
