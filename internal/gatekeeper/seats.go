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

// Paths of the messages between the gatekeepers of a service. No route can take them: they come on the listener for other
// instances without a route's name.
const (
	askPath      = "/.chervilwell/once/ask"
	helloPath    = "/.chervilwell/once/hello"
	farewellPath = "/.chervilwell/once/farewell"
)

// Limits of the messages.
const (
	messageBytes   = 1 << 20
	messageTimeout = 500 * time.Millisecond
	seatsInterval  = 500 * time.Millisecond
)

// Peers sends a message to the gatekeeper of another instance and returns the answer.
type Peers interface {
	Post(ctx context.Context, to origin.Instance, path string, body []byte) ([]byte, error)
}

// keyTable serializes the pure table of keyed requests.
type keyTable struct {
	mu    sync.Mutex
	table *once.Table
	// runs has a channel for each key that is polled for or run here; it is closed at the end.
	runs map[once.Key]chan struct{}
	now  func() time.Time
}

// use calls f with the table and the present time.
func (k *keyTable) use(f func(t *once.Table, now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.table, k.now())
}

// send sends one message to an instance and decodes the answer.
func send[T any](ctx context.Context, g *Gatekeeper, to, path string, message any) (T, error) {
	var out T
	if g.config.Peers == nil {
		return out, errors.New("no way to other instances; give the gatekeeper its peers")
	}
	inst, ok := g.config.Holder.Load().Endpoints.Instance(to)
	if !ok {
		return out, errors.Errorf("instance %q is not on the list", to)
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

// serveMessage answers a message of another gatekeeper of the service. Each message speaks for its sender only.
func (g *Gatekeeper) serveMessage(w http.ResponseWriter, r *http.Request, from certs.Identity) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, messageBytes))
	var answer any
	if err == nil {
		answer, err = g.message(r.URL.Path, body, from)
	}
	if err != nil {
		refusal.New(refusal.BadRequest, "message: %v", err).Write(w)
		return
	}
	data, err := document.Marshal(answer)
	if err != nil {
		refusal.New(refusal.BadRequest, "answer: %v", err).Write(w)
		return
	}
	_, _ = w.Write(data)
}

var errNotSender = errors.New("message speaks for another instance than its sender; check the certificates")

func (g *Gatekeeper) message(path string, body []byte, from certs.Identity) (answer any, err error) {
	switch path {
	case askPath:
		return g.takeAsk(body, from)
	case helloPath:
		return g.takeHello(body, from)
	case noticePath:
		return g.takeNotice(body, from)
	case linkbudget.Path:
		return true, g.takeLink(body, from)
	}
	return g.takeFarewell(body, from)
}

func (g *Gatekeeper) takeLink(body []byte, from certs.Identity) error {
	if g.config.Link == nil {
		return errors.New("no link budget is kept here")
	}
	return g.config.Link.Take(body, from.Instance)
}

func (g *Gatekeeper) takeAsk(body []byte, from certs.Identity) (any, error) {
	var ask once.Ask
	if err := document.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	if ask.Executor.Instance != from.Instance {
		return nil, errNotSender
	}
	route, err := g.ownRoute(ask.Key)
	if err != nil {
		return nil, err
	}
	var vote once.Vote
	g.keys.use(func(t *once.Table, now time.Time) { vote = t.Vote(now, ask, route.Regions) })
	return vote, nil
}

// ownRoute returns the route of a key if it is of the own service and may be in the own region.
func (g *Gatekeeper) ownRoute(key once.Key) (*snapshot.Route, error) {
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

func (g *Gatekeeper) takeHello(body []byte, from certs.Identity) (any, error) {
	var hello once.Hello
	if err := document.Unmarshal(body, &hello); err != nil {
		return nil, err
	}
	if hello.From.Instance != from.Instance {
		return nil, errNotSender
	}
	var welcome once.Welcome
	g.keys.use(func(t *once.Table, now time.Time) { welcome = t.Greeted(now, hello) })
	return welcome, nil
}

func (g *Gatekeeper) takeFarewell(body []byte, from certs.Identity) (any, error) {
	var farewell once.Farewell
	if err := document.Unmarshal(body, &farewell); err != nil {
		return nil, err
	}
	if farewell.From.Instance != from.Instance {
		return nil, errNotSender
	}
	g.keys.use(func(t *once.Table, now time.Time) { t.Left(now, farewell) })
	return farewell, nil
}

// serveSeats keeps the seats of the service current and makes this life known to them.
func (g *Gatekeeper) serveSeats(ctx context.Context) {
	ticker := time.NewTicker(seatsInterval)
	defer ticker.Stop()
	for {
		g.greet(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// greet takes the list of instances and says hello until this life is mature.
func (g *Gatekeeper) greet(ctx context.Context) {
	seats := g.seats()
	if seats == nil {
		return
	}
	var mature bool
	var hello once.Hello
	var peers []string
	g.keys.use(func(t *once.Table, now time.Time) {
		t.SetSeats(now, seats)
		mature = t.Mature(now)
		hello, peers = t.Hello(), t.Peers()
	})
	if mature {
		return
	}
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() {
			welcome, err := send[once.Welcome](ctx, g, to, helloPath, hello)
			if err == nil && welcome.From.Instance == to {
				g.keys.use(func(t *once.Table, now time.Time) { t.Welcomed(now, welcome) })
			}
		})
	}
	wg.Wait()
}

// seats returns the instances of the service, or nil before there is a configuration.
func (g *Gatekeeper) seats() []once.Seat {
	state := g.config.Holder.Load()
	if state.Config == nil {
		return nil
	}
	var out []once.Seat
	for _, inst := range state.Endpoints.ForService(g.config.Service) {
		if region := state.Config.RegionOf(inst.FailureDomain); region != "" {
			out = append(out, once.Seat{Instance: inst.Name, Region: region})
		}
	}
	return out
}

// sayFarewell tells the other seats that this life binds no more keys.
func (g *Gatekeeper) sayFarewell(ctx context.Context) {
	var farewell once.Farewell
	var peers []string
	g.keys.use(func(t *once.Table, now time.Time) { farewell, peers = t.Leave(now), t.Peers() })
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() { _, _ = send[once.Farewell](ctx, g, to, farewellPath, farewell) })
	}
	wg.Wait()
}
