package follow

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/events"
	"github.com/chervilwell/chervilwell/mesh"
)

// StatePath is the HTTP path that serves the state to peers.
const StatePath = "/state"

// Limits of the exchange between peers.
const (
	// exchangeSlack is the time beyond the requested wait after which the next candidate is polled as well: two round trips
	// between regions and a scheduling delay.
	exchangeSlack = 300 * time.Millisecond
	// exchangeTimeout is the time beyond the requested wait after which a call is given up. It covers round trips over full links
	// and a full state, which is some hundred kilobytes, sent to several processes over a narrow link.
	exchangeTimeout = 1500 * time.Millisecond
	// peerConnectTimeout is the time allowed for a connection to a peer unless PollRequest.ConnectWithin is set. A round trip over a
	// full link takes more than a second.
	peerConnectTimeout = 2 * time.Second
	maxExchange        = 16 << 20
	// maxExchangeWait bounds the wait that a peer may request.
	maxExchangeWait = 5 * time.Second
)

// wireEntry is a changed entry as sent between processes: a new version, a patch to it, or a removal.
type wireEntry struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Raw      []byte `cbor:"3,keyasint,omitempty"`
	// Patch is an encoded patch.
	Patch   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Removed bool            `cbor:"5,keyasint,omitempty"`
	// ExpiresInUs and EffectiveInUs are those of mesh.Entry, in microseconds.
	ExpiresInUs   int64 `cbor:"6,keyasint,omitempty"`
	EffectiveInUs int64 `cbor:"7,keyasint,omitempty"`
}

// stateUpdate is the reply to a poll: the changes after the requested position, or the full state.
type stateUpdate struct {
	// Format is the version of this layout.
	Format   int    `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// AgeUs is the time in microseconds since the last known contact with the store.
	AgeUs   int64       `cbor:"3,keyasint"`
	Full    bool        `cbor:"4,keyasint,omitempty"`
	Entries []wireEntry `cbor:"5,keyasint,omitempty"`
	// HeldUs is the time in microseconds for which the request was held open. The requester's time beyond it was spent on the
	// way.
	HeldUs int64 `cbor:"6,keyasint,omitempty"`
	// Epoch is the epoch of Revision.
	Epoch uint64 `cbor:"7,keyasint,omitempty"`
	// Away is set if the store is in another region than the process that sends the update.
	Away bool `cbor:"8,keyasint,omitempty"`
	// LinksDigest identifies the reports of links that the sender knows. Links holds them if the requester has others.
	LinksDigest uint64       `cbor:"9,keyasint,omitempty"`
	Links       []linkReport `cbor:"10,keyasint,omitempty"`
}

// format is the layout version of stateUpdate that this code reads and writes.
const format = 3

// encode returns the update as CBOR in an S2 block. Configurations are repetitive, and a parent with a narrow link sends each
// of its children the same.
func (u *stateUpdate) encode() ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, errors.Wrap(err, "encode state update")
	}
	return bytes.Clone(s2.Encode(nil, data)), nil // the buffer of Encode is longer than its data
}

// decodeStateUpdate decodes the reply of a peer. The error wraps ErrFormat.
func decodeStateUpdate(data []byte) (*stateUpdate, error) {
	if size, err := s2.DecodedLen(data); err != nil || size > maxExchange {
		return nil, ErrFormat
	}
	plain, err := s2.Decode(nil, data)
	if err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	var u stateUpdate
	if err := cbor.Unmarshal(plain, &u); err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	if u.Format != format {
		return nil, ErrFormat
	}
	return &u, nil
}

// ErrFormat is returned if a peer uses another layout version or sends malformed data. The peer is ejected and the store read
// instead, until all processes run the same version.
var ErrFormat = errors.New("peer uses another version of the state format; finish the upgrade")

func (u *stateUpdate) position() mesh.Position {
	return mesh.Position{Epoch: u.Epoch, Revision: u.Revision}
}

func (u *stateUpdate) age() time.Duration { return time.Duration(u.AgeUs) * time.Microsecond }

// held returns the time for which the peer held the request open.
func (u *stateUpdate) held() time.Duration { return time.Duration(u.HeldUs) * time.Microsecond }

// ServeHTTP returns the changes of this process's state as an encoded stateUpdate. The query parameters are those of
// PollRequest: epoch and after, the position; wait and age, in milliseconds; patient, which is "true" to wait even if the state is too
// old to be followed; and links and linksdigest, the reports of links.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := parsePosition(query)
	wait, waitErr := strconv.Atoi(query.Get("wait"))
	age, ageErr := strconv.Atoi(cmp.Or(query.Get("age"), "0"))
	reports, linksErr := decodeReports(query.Get("links"))
	digest, digestErr := strconv.ParseUint(cmp.Or(query.Get("linksdigest"), "0"), 10, 64)
	if r.URL.Path != StatePath || cmp.Or(err, waitErr, ageErr, linksErr, digestErr) != nil {
		http.Error(w, "question is malformed; run the same version everywhere", http.StatusBadRequest)
		return
	}
	received := clock.Now()
	q := PollRequest{
		After: after, Wait: min(time.Duration(wait)*time.Millisecond, maxExchangeWait), WaitIfStale: query.Get("patient") == "true",
		Age: time.Duration(age) * time.Millisecond,
	}
	changed := f.links.merge(reports)
	f.updateLinks()
	if changed && !q.WaitIfStale && f.ranksBefore(reports[0]) {
		q.Wait = 0 // the requester does not know yet that this process follows it
	}
	f.waitForChange(r.Context(), q)
	begin := clock.Now()
	update, data, err := f.encodeUpdate(r.Context(), after, digest, received)
	if errors.Is(err, errNoMemory) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	release, ok := f.reserve(r.Context(), int64(len(data)))
	if !ok {
		http.Error(w, errNoMemory.Error(), http.StatusServiceUnavailable)
		return
	}
	defer release()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
		f.cfg.Log.Debug().Err(err).Msg(events.PeerDisconnected)
		return
	}
	f.noteSent(r.RemoteAddr, update, len(data), clock.Now().Sub(begin))
}

// parsePosition decodes the position of a poll.
func parsePosition(query url.Values) (mesh.Position, error) {
	epoch, err := strconv.ParseUint(query.Get("epoch"), 10, 64)
	if err != nil {
		return mesh.Position{}, err
	}
	revision, err := strconv.ParseUint(query.Get("after"), 10, 64)
	return mesh.Position{Epoch: epoch, Revision: revision}, err
}

// waitForChange waits until the position is after q.After, there is a contact with the store that is newer than the requester's,
// the state becomes too old to be followed, there is none because the store could not be listed, or q.Wait has passed. Returning at
// each contact keeps the age of the state the same at every depth of the tree.
func (f *Follower) waitForChange(ctx context.Context, q PollRequest) {
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	f.mu.Lock()
	contactBefore := f.lastContact
	// Without a state there has been no contact.
	if requester := clock.Now().Add(-q.Age); f.replica.Position().Revision > 0 && requester.Add(pollPause).Before(contactBefore) {
		contactBefore = requester
	}
	f.mu.Unlock()
	for {
		f.mu.Lock()
		position, changed := f.replica.Position(), f.changed
		contacted := f.lastContact.After(contactBefore)
		failed := position.Revision == 0 && f.listFailed
		untilStale := f.maxAge() - f.age(clock.Now())
		f.mu.Unlock()
		if q.WaitIfStale {
			untilStale = q.Wait
		}
		if position.After(q.After) || contacted || failed || untilStale <= 0 {
			return
		}
		staleTimer := time.NewTimer(untilStale)
		select {
		case <-changed:
		case <-staleTimer.C:
		case <-timer.C:
			staleTimer.Stop()
			return
		case <-ctx.Done():
			staleTimer.Stop()
			return
		}
		staleTimer.Stop()
	}
}

// encodeUpdate returns the update since a position, and its encoding, for a requester that knows the reports of links with a digest. It
// encodes one update at a time: until it is encoded, an update with the whole state takes a multiple of its size.
func (f *Follower) encodeUpdate(ctx context.Context, after mesh.Position, digest uint64, received time.Time) (*stateUpdate, []byte, error) {
	select {
	case f.encoding <- struct{}{}:
		defer func() { <-f.encoding }()
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	update := f.updateSince(after)
	if update.Full {
		release, ok := f.reserve(ctx, f.fullBytes)
		if !ok {
			return nil, nil, errNoMemory
		}
		release() // the encoding has another length
	}
	update.Away = f.cfg.Source.Remote()
	f.updateLinks()
	if update.LinksDigest = f.links.digest(); update.LinksDigest != digest {
		update.Links = f.links.all()
	}
	update.HeldUs = clock.Now().Sub(received).Microseconds()
	data, err := update.encode()
	if update.Full {
		f.fullBytes = int64(len(data))
	}
	return update, data, err
}

// errNoMemory is returned if there is no memory for an update.
var errNoMemory = errors.New("no memory for the update; ask another process")

// reserve calls Config.Reserve.
func (f *Follower) reserve(ctx context.Context, bytes int64) (release func(), ok bool) {
	if f.cfg.Reserve == nil {
		return func() {}, true
	}
	return f.cfg.Reserve(ctx, bytes)
}

// updateSince returns the changes after a position, or the full state if the history does not reach back that far.
func (f *Follower) updateSince(after mesh.Position) *stateUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	position := f.replica.Position()
	update := &stateUpdate{Format: format, Epoch: position.Epoch, Revision: position.Revision, AgeUs: f.age(now).Microseconds()}
	if !position.After(after) {
		return update
	}
	var changes []mesh.Change
	changes, update.Full = f.replica.Since(now, after)
	for _, c := range changes {
		e := wireEntry{Key: c.Key, Revision: c.Revision, ExpiresInUs: c.ExpiresIn.Microseconds(), EffectiveInUs: c.EffectiveIn.Microseconds()}
		switch {
		case c.Raw == nil:
			e.Removed = true
		case c.Base != nil:
			e.Patch = f.encodedPatch(position.Epoch, c)
		}
		if e.Patch == nil && !e.Removed {
			e.Raw = c.Raw
		}
		update.Entries = append(update.Entries, e)
	}
	return update
}

// patchID identifies a patch of an entry between two revisions of an epoch.
type patchID struct {
	key              string
	epoch, base, rev uint64
}

// maxPatches is the number of encoded patches kept. Most children ask from the same position.
const maxPatches = 8

// encodedPatch returns the patch of a changed entry, or nil if it can't be encoded. It must be called with f.mu held.
func (f *Follower) encodedPatch(epoch uint64, c mesh.Change) cbor.RawMessage {
	id := patchID{key: c.Key, epoch: epoch, base: c.Base.Revision, rev: c.Revision}
	if data, ok := f.patches[id]; ok {
		return data
	}
	data, err := cbor.Marshal(diff(c.Base.Raw, c.Raw))
	if err != nil {
		return nil
	}
	if len(f.patches) >= maxPatches {
		clear(f.patches)
	}
	f.patches[id] = data
	return data
}

// PeerClient fetches state updates from other processes over HTTP. It implements Peers.
type PeerClient struct {
	port   uint16
	client *http.Client
}

// NewPeerClient returns a client for processes that listen on the given port of their instances.
func NewPeerClient(port uint16) *PeerClient {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		within, _ := ctx.Value(connectWithin{}).(time.Duration)
		dialer := net.Dialer{Timeout: cmp.Or(within, peerConnectTimeout)}
		return dialer.DialContext(ctx, network, address)
	}
	return &PeerClient{port: port, client: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}}
}

// connectWithin is the context key of PollRequest.ConnectWithin.
type connectWithin struct{}

// timeout returns the time after which the call is given up.
func (q PollRequest) timeout() time.Duration { return q.Wait + exchangeTimeout }

// target returns the request target of the call, as read by ServeHTTP.
func (q PollRequest) target() string {
	query := url.Values{
		"epoch": {strconv.FormatUint(q.After.Epoch, 10)}, "after": {strconv.FormatUint(q.After.Revision, 10)}, "wait": {strconv.FormatInt(q.Wait.Milliseconds(), 10)},
		"age": {strconv.FormatInt(q.Age.Milliseconds(), 10)},
	}
	if q.WaitIfStale {
		query.Set("patient", "true")
	}
	if text := encodeReports(q.Links); text != "" {
		query.Set("links", text)
	}
	if q.LinksDigest != 0 {
		query.Set("linksdigest", strconv.FormatUint(q.LinksDigest, 10))
	}
	return StatePath + "?" + query.Encode()
}

// Fetch implements Peers.
func (p *PeerClient) Fetch(ctx context.Context, addr netip.Addr, q PollRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, connectWithin{}, q.ConnectWithin), q.timeout())
	defer cancel()
	url := "http://" + netip.AddrPortFrom(addr, p.port).String() + q.target()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request to a peer")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer %s responded with status %d; run the same version everywhere", addr, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExchange))
	return data, errors.Wrapf(err, "peer %s broke off after %d bytes", addr, len(data))
}

// applyUpdate applies the update of a peer and records the peer's contact with the store. It fails with ErrPatch if a patch does
// not match, without changing the state.
func (f *Follower) applyUpdate(peer netip.Addr, update *stateUpdate) error {
	entries, known := make([]mesh.Entry, 0, len(update.Entries)), f.Position()
	for _, e := range update.Entries {
		if e.Revision <= known.Revision && !update.Full {
			continue // from another source since the request
		}
		entry, err := f.entry(e)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	f.commit(peer.String(), func(now time.Time) bool {
		var changed bool
		if update.Full {
			changed = f.replace(now, peer.String(), entries, update.position())
		} else {
			changed = f.replica.Apply(now, entries, update.position())
		}
		if update.Epoch >= f.replica.Position().Epoch {
			f.noteContact(now, update.age()) // after the removals, since the peer has delayed those that may be expiries
		}
		return changed
	})
	return nil
}

// entry decodes a wireEntry. An invalid entry is returned without content; it was reported by the process that read it from
// the store.
func (f *Follower) entry(e wireEntry) (mesh.Entry, error) {
	expiresIn, effectiveIn := time.Duration(e.ExpiresInUs)*time.Microsecond, time.Duration(e.EffectiveInUs)*time.Microsecond
	if e.Removed {
		return mesh.Entry{Key: e.Key, Revision: e.Revision, ExpiresIn: expiresIn}, nil
	}
	if e.Patch != nil {
		var p patch
		if err := cbor.Unmarshal(e.Patch, &p); err != nil {
			return mesh.Entry{}, errors.Wrap(ErrPatch, err.Error())
		}
		f.mu.Lock()
		current, ok := f.replica.Entry(e.Key)
		f.mu.Unlock()
		if !ok || xxhash.Sum64(current.Raw) != p.Base {
			return mesh.Entry{}, ErrPatch
		}
		raw, err := p.apply(current.Raw)
		if err != nil {
			return mesh.Entry{}, err
		}
		e.Raw = raw
	}
	entry, err := f.cfg.Decode(e.Key, e.Revision, e.Raw)
	if err != nil {
		return mesh.Entry{Key: e.Key, Revision: e.Revision, Raw: e.Raw}, nil
	}
	entry.ExpiresIn, entry.EffectiveIn = expiresIn, effectiveIn
	return entry, nil
}
