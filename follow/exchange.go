package follow

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/mesh"
)

// StatePath is the path on which a process tells others what it knows.
const StatePath = "/state"

// Figures of the exchange.
const (
	exchangeTimeout = time.Second
	maxExchange     = 16 << 20
)

// entry is a fact as processes exchange it.
type entry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Raw      []byte `json:"raw"`
}

// knowledge is all that a process knows at a revision. Entries are left out if the asker knows as much.
type knowledge struct {
	Revision uint64  `json:"revision"`
	Entries  []entry `json:"entries,omitempty"`
}

// ServeHTTP tells another process what this one knows. The query's after is the revision that the other knows.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision; run the same version everywhere", http.StatusBadRequest)
		return
	}
	facts, revision := f.Facts()
	known := knowledge{Revision: revision}
	if revision > after {
		for _, fact := range facts {
			known.Entries = append(known.Entries, entry{fact.Key, fact.Revision, fact.Raw})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(known); err != nil {
		f.cfg.Log.Debug().Err(err).Msg("peer left before it had the state")
	}
}

// PeerClient asks the other processes in turn, those of the own failure domain no sooner than others. It implements Peers.
type PeerClient struct {
	// Self is the own machine, Port the port of the other processes.
	Self   netip.Addr
	Port   uint16
	Holder *mesh.Holder
	Decode func(key string, revision uint64, raw []byte) (mesh.Fact, error)
	Rand   *rand.Rand
	client *http.Client
}

// ErrAlone says that no other process is known.
var ErrAlone = errors.New("no other process is known; waiting for the store")

// Ask implements Peers.
func (p *PeerClient) Ask(ctx context.Context, after uint64) ([]mesh.Fact, uint64, error) {
	var others []netip.Addr
	for _, addr := range p.Holder.Load().Machines() {
		if addr != p.Self {
			others = append(others, addr)
		}
	}
	if len(others) == 0 {
		return nil, 0, ErrAlone
	}
	known, err := p.ask(ctx, others[p.Rand.IntN(len(others))], after)
	if err != nil {
		return nil, 0, err
	}
	facts := make([]mesh.Fact, 0, len(known.Entries))
	for _, e := range known.Entries {
		fact, err := p.Decode(e.Key, e.Revision, e.Raw)
		if err != nil {
			continue // the peer that read it from the store has reported it
		}
		facts = append(facts, fact)
	}
	return facts, known.Revision, nil
}

func (p *PeerClient) ask(ctx context.Context, addr netip.Addr, after uint64) (*knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(addr, p.Port).String() + StatePath + "?after=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "question to a peer")
	}
	if p.client == nil {
		dialer := &net.Dialer{Timeout: exchangeTimeout}
		p.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer %s answered with status %d; run the same version everywhere", addr, resp.StatusCode)
	}
	var known knowledge
	err = json.NewDecoder(io.LimitReader(resp.Body, maxExchange)).Decode(&known)
	return &known, errors.Wrapf(err, "peer %s", addr)
}
