package gatekeeper

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/internal/linkbudget"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/once"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Paths of the messages between the gatekeepers of a service. They cannot collide with the paths of routes: messages arrive
// on the listener for other instances and without a route name.
const (
	voteRequestPath  = "/.chervilwell/once/ask"
	announcementPath = "/.chervilwell/once/hello"
	departurePath    = "/.chervilwell/once/farewell"
)

// Limits of the messages.
const (
	maxMessageBytes = 1 << 20
	messageTimeout  = 500 * time.Millisecond
	votersInterval  = 500 * time.Millisecond
)

// Peers sends messages to the gatekeepers of other instances.
type Peers interface {
	// Post sends the body to a path of an instance and returns the body of the reply.
	Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error)
}

// keyTable serializes the calls of the table of keyed requests.
type keyTable struct {
	mu    sync.Mutex
	table *once.Table
	// runs has a channel for each key that is polled for or run here. The channel is closed at the end of the poll or run.
	runs map[once.Key]chan struct{}
	now  func() time.Time
}

// withLock calls f with k.mu held, passing the table and the current time.
func (k *keyTable) withLock(f func(t *once.Table, now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.table, k.now())
}

// send sends a message to an instance and decodes the reply.
func send[T any](ctx context.Context, g *Gatekeeper, to, path string, message any) (T, error) {
	var out T
	if g.config.Peers == nil {
		return out, errors.New("no connection to other instances; set Peers in the gatekeeper's configuration")
	}
	inst, ok := g.config.Holder.Load().Endpoints.Instance(to)
	if !ok {
		return out, errors.Errorf("instance %q is not on the instance list", to)
	}
	body, err := document.Marshal(message)
	if err != nil {
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	data, err := g.config.Peers.Post(ctx, inst, path, body)
	if err != nil {
		return out, err
	}
	return out, document.Unmarshal(data, &out)
}

// serveMessage handles a message from another gatekeeper of the service. The instance named in a message must be that of
// the sender's certificate.
func (g *Gatekeeper) serveMessage(w http.ResponseWriter, r *http.Request, from certs.Identity) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	var reply any
	if err == nil {
		reply, err = g.dispatch(r.URL.Path, body, from)
	}
	if err != nil {
		refusal.New(refusal.BadRequest, "message: %v", err).Write(w)
		return
	}
	data, err := document.Marshal(reply)
	if err != nil {
		refusal.New(refusal.BadRequest, "answer: %v", err).Write(w)
		return
	}
	_, _ = w.Write(data)
}

var errWrongSender = errors.New("message speaks for another instance than its sender; check the certificates")

func (g *Gatekeeper) dispatch(path string, body []byte, from certs.Identity) (reply any, err error) {
	switch path {
	case voteRequestPath:
		return g.handleVoteRequest(body, from)
	case announcementPath:
		return g.handleAnnouncement(body, from)
	case noticePath:
		return g.handleNotice(body, from)
	case linkbudget.Path:
		return true, g.handleLink(body, from)
	}
	return g.handleDeparture(body, from)
}

func (g *Gatekeeper) handleLink(body []byte, from certs.Identity) error {
	if g.config.Link == nil {
		return errors.New("no link budget is kept here")
	}
	return g.config.Link.HandleMessage(body, from.Instance)
}

func (g *Gatekeeper) handleVoteRequest(body []byte, from certs.Identity) (any, error) {
	var request once.VoteRequest
	if err := document.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if request.Executor.Instance != from.Instance {
		return nil, errWrongSender
	}
	route, err := g.localRoute(request.Key)
	if err != nil {
		return nil, err
	}
	var vote once.Vote
	g.keys.withLock(func(t *once.Table, now time.Time) { vote = t.Vote(now, request, route.Regions) })
	return vote, nil
}

// localRoute returns the route of a key. It returns an error if the route is not of this instance's service or not allowed
// in its region.
func (g *Gatekeeper) localRoute(key once.Key) (*snapshot.Route, error) {
	config := g.config.Holder.Load().Config
	if config == nil {
		return nil, errors.New("no configuration yet; ask again later")
	}
	route := config.ForCaller(config.Route(key.Route), key.Organisation)
	if route == nil || route.Service != g.config.Service || !route.Allows(config.RegionOf(g.config.FailureDomain)) {
		return nil, errors.Errorf("route %q is not served here; ask another seat", key.Route)
	}
	return route, nil
}

func (g *Gatekeeper) handleAnnouncement(body []byte, from certs.Identity) (any, error) {
	var announcement once.Announcement
	if err := document.Unmarshal(body, &announcement); err != nil {
		return nil, err
	}
	if announcement.From.Instance != from.Instance {
		return nil, errWrongSender
	}
	var reply once.AnnouncementReply
	g.keys.withLock(func(t *once.Table, now time.Time) { reply = t.HandleAnnouncement(now, announcement) })
	return reply, nil
}

func (g *Gatekeeper) handleDeparture(body []byte, from certs.Identity) (any, error) {
	var departure once.Departure
	if err := document.Unmarshal(body, &departure); err != nil {
		return nil, err
	}
	if departure.From.Instance != from.Instance {
		return nil, errWrongSender
	}
	g.keys.withLock(func(t *once.Table, now time.Time) { t.HandleDeparture(now, departure) })
	return departure, nil
}

// serveVoters keeps the set of voters current and announces this incarnation to them.
func (g *Gatekeeper) serveVoters(ctx context.Context) {
	ticker := time.NewTicker(votersInterval)
	defer ticker.Stop()
	for {
		g.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sets the voters from the instance list, and announces this incarnation to them until it is mature.
func (g *Gatekeeper) announce(ctx context.Context) {
	voters := g.voters()
	if voters == nil {
		return
	}
	var mature bool
	var announcement once.Announcement
	var peers []string
	g.keys.withLock(func(t *once.Table, now time.Time) {
		t.SetVoters(now, voters)
		mature = t.Mature(now)
		announcement, peers = t.Announcement(), t.Peers()
	})
	if mature {
		return
	}
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() {
			reply, err := send[once.AnnouncementReply](ctx, g, to, announcementPath, announcement)
			if err == nil && reply.From.Instance == to {
				g.keys.withLock(func(t *once.Table, now time.Time) { t.HandleAnnouncementReply(now, reply) })
			}
		})
	}
	wg.Wait()
}

// voters returns the instances of the service, or nil if there is no configuration yet.
func (g *Gatekeeper) voters() []once.Voter {
	state := g.config.Holder.Load()
	if state.Config == nil {
		return nil
	}
	var out []once.Voter
	for _, inst := range state.Endpoints.ForService(g.config.Service) {
		if region := state.Config.RegionOf(inst.FailureDomain); region != "" {
			out = append(out, once.Voter{Instance: inst.Name, Region: region})
		}
	}
	return out
}

// announceDeparture informs the other voters that this incarnation binds no more keys.
func (g *Gatekeeper) announceDeparture(ctx context.Context) {
	var departure once.Departure
	var peers []string
	g.keys.withLock(func(t *once.Table, now time.Time) { departure, peers = t.Leave(now), t.Peers() })
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() { _, _ = send[once.Departure](ctx, g, to, departurePath, departure) })
	}
	wg.Wait()
}
