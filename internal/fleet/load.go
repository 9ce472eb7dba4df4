package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// How a caller behaves.
const (
	callTimeout = 5 * time.Second
	// maxSends bounds the sends of one keyed call, and resendDelay is the time between them.
	maxSends    = 10
	resendDelay = time.Second
)

// Call is one kind of request that the load generator sends.
type Call struct {
	Organisation string
	Method       string
	Path         string
	// Key says that each request carries an Idempotency-Key.
	Key bool
}

// Counts are the results of the load so far.
type Counts struct {
	// Served calls got their whole answer.
	Served int64
	// Refused calls were answered as not run.
	Refused int64
	// Lost calls got neither: a broken or wrong answer, or no word whether they ran.
	Lost int64
	// Resent counts sends of a key after the first.
	Resent int64
}

// Load sends calls to the callers' listeners of a fleet.
type Load struct {
	fleet  *Fleet
	calls  []Call
	client *http.Client

	served, refused, lost, resent atomic.Int64
	mu                            sync.Mutex
	lastLoss                      string
}

// NewLoad returns a load generator of the given calls.
func NewLoad(f *Fleet, calls []Call) *Load {
	const idlePerHost = 32
	return &Load{fleet: f, calls: calls, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}}
}

// Run sends calls from a number of workers, each at most one at a time with a pause in between, until the context ends.
// The calls that run then are finished first.
func (l *Load) Run(ctx context.Context, workers int, pause time.Duration, seed uint64) {
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // a load generator needs no secret randomness
			for ctx.Err() == nil {
				l.one(rng)
				time.Sleep(pause/2 + time.Duration(rng.Int64N(int64(pause))))
			}
		})
	}
	wg.Wait()
}

// Await sends each kind of call, under a new key each time, until it is served. A fleet that has just started knows nothing of
// keys made before, so it takes keyed calls only after a while.
func (l *Load) Await(ctx context.Context) error {
	const interval = 200 * time.Millisecond
	for _, call := range l.calls {
		for {
			_, err := l.attempt(l.fleet.Nodes[0], call, uuid.NewString(), newKey(call))
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return err
			case <-time.After(interval):
			}
		}
	}
	return nil
}

// newKey returns a time-ordered key for a keyed call, or "".
func newKey(call Call) string {
	if !call.Key {
		return ""
	}
	return uuid.Must(uuid.NewV7()).String()
}

// Counts returns the results so far.
func (l *Load) Counts() Counts {
	return Counts{Served: l.served.Load(), Refused: l.refused.Load(), Lost: l.lost.Load(), Resent: l.resent.Load()}
}

// LastLoss describes the last lost call, or is empty.
func (l *Load) LastLoss() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastLoss
}

func (l *Load) one(rng *rand.Rand) {
	call := l.calls[rng.IntN(len(l.calls))]
	node := l.fleet.Nodes[rng.IntN(len(l.fleet.Nodes))]
	notRun, err := l.send(node, call)
	switch {
	case err != nil:
		l.lost.Add(1)
		l.mu.Lock()
		l.lastLoss = err.Error()
		l.mu.Unlock()
	case notRun:
		l.refused.Add(1)
	default:
		l.served.Add(1)
	}
}

// send sends one call, and a keyed one again under the same key while it isn't known whether it ran. It reports whether the
// call was refused as not run.
func (l *Load) send(node *Node, call Call) (notRun bool, err error) {
	id, key := uuid.NewString(), newKey(call)
	for attempt := 1; ; attempt++ {
		notRun, err = l.attempt(node, call, id, key)
		if err == nil || key == "" || attempt == maxSends {
			return notRun, err
		}
		l.resent.Add(1)
		time.Sleep(resendDelay)
	}
}

// attempt sends a call once and checks its answer.
func (l *Load) attempt(node *Node, call Call, id, key string) (notRun bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	what := fmt.Sprintf("%s %s at %s", call.Method, call.Path, node.Instance.Name)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+node.Callers+call.Path, strings.NewReader(body(call, id)))
	if err != nil {
		return false, errors.WithStack(err)
	}
	req.Header.Set(headers.Organisation, call.Organisation)
	req.Header.Set(standin.RequestHeader, id)
	if key != "" {
		req.Header.Set(headers.IdempotencyKey, key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false, errors.Wrap(err, what)
	}
	defer func() { _ = resp.Body.Close() }()
	return checkAnswer(resp, id, what)
}

func body(call Call, id string) string {
	if call.Method == http.MethodGet {
		return ""
	}
	return "order " + id
}

func checkAnswer(resp *http.Response, id, what string) (notRun bool, err error) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, errors.Wrap(err, what)
	}
	if resp.Header.Get(headers.Run) == string(headers.NotRun) {
		return true, nil
	}
	if resp.StatusCode != http.StatusOK {
		return false, errors.Errorf("%s: status %d: %s", what, resp.StatusCode, bytes.TrimSpace(data))
	}
	if !bytes.Contains(data, []byte(id)) {
		return false, errors.Errorf("%s: answer belongs to another request", what)
	}
	return false, nil
}
