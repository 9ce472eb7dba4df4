// Package exchange runs the accounts and collectors of package quota in the processes of a mesh, and carries their reports over HTTP.
//
// The collector of a region is the first of these that replies: the first process of the region's order, the first one of another failure
// domain, the first one of the reporter's own failure domain, which is in reach if that domain is cut off. In a large region, each group
// of processes has such a collector. The top collector is the first of one region. A collector that reaches none above it decides itself.
// Nothing is elected: whoever gets reports collects.
package exchange

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/mesh"
	"github.com/chervilwell/chervilwell/quota"
	"github.com/chervilwell/chervilwell/rank"
)

// Path is the HTTP path at which a process accepts the reports of others.
const Path = "/quota"

// Limits and intervals of the exchange.
const (
	// reportInterval is the interval of reports while there is anything to report, idleInterval that of reports without usage, which fetch
	// the rules. minInterval is the shortest interval, if requests wait for the next report.
	reportInterval = 200 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	minInterval    = 50 * time.Millisecond
	// reportTimeout bounds one report. It covers a round trip between regions over a busy link.
	reportTimeout = 250 * time.Millisecond
	// ejectionTime is the time for which a process that did not reply gets no reports, unless there is no other.
	ejectionTime = 2 * time.Second
	// maxGroup is the maximum number of processes that report to one collector. A larger region has several, each for a group.
	maxGroup = 64
	// orderMemory is the time for which the order of collectors is used.
	orderMemory = time.Second
	// maxMessage is the maximum size of a report or reply in bytes: some ten thousand organisations.
	maxMessage = 1 << 20
)

// ErrReport is returned if a process does not accept a report.
var ErrReport = errors.New("process does not accept reports of quotas; run the same version everywhere")

// Config is the configuration of an Exchange.
type Config struct {
	Holder *mesh.Holder
	// Self is the address of this instance, Port the one on which all processes accept reports.
	Self                  netip.Addr
	Port                  uint16
	FailureDomain, Region string
	Bounds                quota.Bounds
	// Order returns the instances of a region in the order in which they collect. All processes have to agree on it as far as they know of
	// the same instances.
	Order func(region string) []netip.Addr
	Log   zerolog.Logger
	Rand  *rand.Rand
}

// Exchange admits requests of organisations with a quota. It is idle while the configuration has none. It is safe for concurrent use.
type Exchange struct {
	cfg       Config
	account   *quota.Account
	collector *quota.Collector
	client    *http.Client
	// wake is signalled if requests wait for the next report, or the terms have changed.
	wake chan struct{}

	mu sync.Mutex
	// config is the configuration that the terms were taken from, processes the number of processes in them.
	config    *mesh.Config
	processes int
	limited   bool
	// ejected maps processes that did not reply to the end of their ejection.
	ejected map[netip.Addr]time.Time
	// below and above are the candidates for the collector of the region and the top one, as of orderedAt.
	below, above []netip.Addr
	orderedAt    time.Time
	// repliedBy is the collector that replied last.
	repliedBy netip.Addr
}

// New returns an exchange that uses cfg.
func New(cfg Config) *Exchange {
	account := quota.NewAccount(clock.Now(), cfg.Self.String(), cfg.Rand)
	dialer := net.Dialer{Timeout: reportTimeout}
	return &Exchange{
		cfg: cfg, account: account, collector: quota.NewCollector(account), wake: make(chan struct{}, 1), ejected: map[netip.Addr]time.Time{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// Admit decides whether a request of an organisation may go on. An organisation without a quota may always.
func (e *Exchange) Admit(config *mesh.Config, o *mesh.Organisation) quota.Decision {
	if o == nil || !o.Quota.Limited() {
		return quota.Decision{}
	}
	e.mu.Lock()
	known := e.config == config || e.config != nil && config.Version < e.config.Version
	e.mu.Unlock()
	if !known {
		e.Update(e.cfg.Holder.Load())
	}
	d := e.account.Admit(clock.Now(), o.Name)
	if d.ReportNow {
		e.signal()
	}
	return d
}

// Refund counts an admitted request that did not run.
func (e *Exchange) Refund(o *mesh.Organisation) { e.account.Refund(o.Name) }

func (e *Exchange) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Update puts the quotas of a state in force.
func (e *Exchange) Update(state *mesh.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state.Config == nil || state.Config == e.config && !e.limited {
		return
	}
	if !e.limited && !hasQuota(state.Config) {
		e.config = state.Config
		return
	}
	processes := max(len(state.InstanceAddrs("")), 1)
	if state.Config == e.config && processes == e.processes {
		return
	}
	terms := &quota.Terms{Limits: map[string]quota.Limit{}, Processes: processes, Bounds: e.cfg.Bounds}
	for _, o := range state.Config.Organisations {
		if o.Quota.Limited() {
			terms.Limits[o.Name] = quota.Limit{PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst}
		}
	}
	e.config, e.processes, e.limited = state.Config, processes, len(terms.Limits) > 0
	e.account.SetTerms(terms)
	e.collector.SetTerms(terms)
	if e.limited {
		e.signal()
	}
}

// hasQuota reports whether a configuration has an organisation with a quota.
func hasQuota(config *mesh.Config) bool {
	return slices.ContainsFunc(config.Organisations, func(o *mesh.Organisation) bool { return o.Quota.Limited() })
}

// Serve reports until ctx ends and returns the context's error. It implements suture.Service.
func (e *Exchange) Serve(ctx context.Context) error {
	var reportedAt, forwardedAt time.Time
	for ctx.Err() == nil {
		e.mu.Lock()
		limited := e.limited
		e.mu.Unlock()
		if !limited {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		early := e.waitForRound(ctx)
		now := clock.Now()
		if report, used := e.account.Report(); used || early || now.Sub(reportedAt) >= idleInterval {
			reportedAt = now
			e.report(ctx, report)
		}
		if e.collector.Active(now) && now.Sub(forwardedAt) >= reportInterval-minInterval/2 {
			forwardedAt = now
			e.forward(ctx)
		}
		if early {
			_ = periodic.Sleep(ctx, minInterval)
		}
	}
	return ctx.Err()
}

// waitForRound waits for the next round of reports. It returns true if requests wait for it.
func (e *Exchange) waitForRound(ctx context.Context) bool {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	select {
	case <-e.wake:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// report sends a report of this process to the first candidate for the region's collector that replies.
func (e *Exchange) report(ctx context.Context, report *quota.Report) {
	below, _ := e.candidates()
	for _, addr := range below {
		sentAt := clock.Now()
		var reply *quota.Reply
		if addr == e.cfg.Self {
			reply, _ = e.collector.Receive(sentAt, report)
		} else {
			reply = e.send(ctx, addr, report)
		}
		if reply == nil {
			continue
		}
		e.account.Accept(sentAt, report, reply)
		e.mu.Lock()
		changed := e.repliedBy != addr
		e.repliedBy = addr
		e.mu.Unlock()
		if changed {
			e.cfg.Log.Info().Stringer("collector", addr).Msg(events.QuotaCollector)
		}
		return
	}
}

// forward sends the report of this region to the first candidate for the top collector that replies.
func (e *Exchange) forward(ctx context.Context) {
	_, above := e.candidates()
	for _, addr := range above {
		sentAt := clock.Now()
		report, _ := e.collector.Report(sentAt)
		if reply := e.send(ctx, addr, report); reply != nil {
			e.collector.Accept(sentAt, report, reply)
			return
		}
	}
}

// send sends a report to a process and returns its reply, or nil. A process that does not reply is ejected for a while.
func (e *Exchange) send(ctx context.Context, addr netip.Addr, report *quota.Report) *quota.Reply {
	reply, err := e.post(ctx, addr, report)
	if err == nil {
		return reply
	}
	e.cfg.Log.Debug().Stringer("collector", addr).Err(err).Msg(events.QuotaReportFailed)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ejected[addr] = clock.Now().Add(ejectionTime)
	return nil
}

func (e *Exchange) post(ctx context.Context, addr netip.Addr, report *quota.Report) (*quota.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	data, err := cbor.Marshal(report)
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	url := "http://" + netip.AddrPortFrom(addr, e.cfg.Port).String() + Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "create report")
	}
	req.Header = http.Header{"User-Agent": {""}}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "report to %s", addr)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return nil, errors.Wrapf(err, "report to %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrReport, "%s: status %d", addr, resp.StatusCode)
	}
	var reply quota.Reply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return nil, errors.Wrapf(ErrReport, "%s: %v", addr, err)
	}
	return &reply, nil
}

// ServeHTTP accepts the reports of other processes.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	var report quota.Report
	if err == nil {
		err = cbor.Unmarshal(data, &report)
	}
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg(events.PeerMalformed)
		http.Error(w, "report is malformed; run the same version everywhere", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	ready := e.config != nil
	e.mu.Unlock()
	var reply *quota.Reply
	if ready {
		reply, ready = e.collector.Receive(clock.Now(), &report)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if data, err = cbor.Marshal(reply); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = nil
	w.Header()["Date"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the only error is that of a process that has left
}

// candidates returns the processes that may be the collector of this region, and those that may be the top one if this process collects.
// Those that are ejected come last in the first list and are left out of the second: a collector that reaches none decides itself.
func (e *Exchange) candidates() (below, above []netip.Addr) {
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orderedAt.IsZero() || now.Sub(e.orderedAt) >= orderMemory {
		e.below, e.above = collectors(e.cfg.Holder.Load(), e.cfg.Order, e.cfg.Self, e.cfg.Region, e.cfg.FailureDomain)
		e.orderedAt = now
	}
	isEjected := func(addr netip.Addr) bool { return now.Before(e.ejected[addr]) }
	below = slices.Clone(e.below)
	slices.SortStableFunc(below, func(a, b netip.Addr) int {
		switch {
		case isEjected(a) == isEjected(b):
			return 0
		case isEjected(a):
			return 1
		}
		return -1
	})
	return below, slices.DeleteFunc(slices.Clone(e.above), isEjected)
}

// collectors returns the candidates for the collector of a process's region, and for the top collector if the process is a collector
// itself; the latter end before the process.
func collectors(state *mesh.State, order func(region string) []netip.Addr, self netip.Addr, region, domain string) (below, above []netip.Addr) {
	own := order(region)
	groups := max((len(own)+maxGroup-1)/maxGroup, 1)
	below = leaders(state, own[min(max(slices.Index(own, self), 0)%groups, len(own)):])
	for _, addr := range own {
		if addr == self || state.FailureDomainOf(addr) == domain {
			if !slices.Contains(below, addr) {
				below = append(below, addr)
			}
			break
		}
	}
	regions := state.Regions()
	if len(regions) == 0 {
		return below, nil
	}
	top := slices.MinFunc(regions, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank.Score("quota", a), rank.Score("quota", b)), cmp.Compare(a, b))
	})
	above = leaders(state, order(top))
	if i := slices.Index(above, self); i >= 0 {
		above = above[:i]
	}
	return below, above
}

// leaders returns the first process of a region's order and the first one of another failure domain.
func leaders(state *mesh.State, order []netip.Addr) []netip.Addr {
	if len(order) == 0 {
		return nil
	}
	out := order[:1:1]
	for _, addr := range order[1:] {
		if state.FailureDomainOf(addr) != state.FailureDomainOf(order[0]) {
			return append(out, addr)
		}
	}
	return append(out, order[1:min(2, len(order))]...)
}
