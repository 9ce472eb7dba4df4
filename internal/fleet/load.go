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

const (
	// callTimeout is the timeout of each attempt.
	callTimeout = 5 * time.Second
	// maxAttempts is the maximum number of attempts at a keyed call; retryDelay is the time between them.
	maxAttempts = 10
	retryDelay  = time.Second
)

// Call is a kind of request that the load generator sends.
type Call struct {
	Organisation string
	Method       string
	Path         string
	// Key adds an Idempotency-Key header to each request. Only calls with a key are retried.
	Key bool
}

// Counts holds the numbers of calls by result.
type Counts struct {
	// Served counts calls with a complete response of status 200.
	Served int64
	// Refused counts calls whose response states that they did not run.
	Refused int64
	// Lost counts all other calls: no response, an incomplete or wrong one, or one that does not state whether the call ran.
	Lost int64
	// Resent counts retries of keyed calls.
	Resent int64
}

// Load is a load generator that sends calls to the callers' listeners of a fleet.
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

// Run sends calls until ctx is done. Each worker sends one call at a time, with a random pause of half to one and a half
// times pause in between. Run returns when all running calls have ended.
func (l *Load) Run(ctx context.Context, workers int, pause time.Duration, seed uint64) {
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // a load generator needs no secret randomness
			for ctx.Err() == nil {
				l.sendRandom(rng)
				time.Sleep(pause/2 + time.Duration(rng.Int64N(int64(pause))))
			}
		})
	}
	wg.Wait()
}

// WaitAnswered sends each kind of call, with a new key each time, until it is served or refused without having run. It
// returns the last error if ctx is done first. A fleet that has just started has no record of earlier keys, and therefore
// accepts keyed calls only after some time.
func (l *Load) WaitAnswered(ctx context.Context) error {
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

// newKey returns a time-ordered idempotency key for a keyed call, and "" for others.
func newKey(call Call) string {
	if !call.Key {
		return ""
	}
	return uuid.Must(uuid.NewV7()).String()
}

// Counts returns the counters of the calls so far.
func (l *Load) Counts() Counts {
	return Counts{Served: l.served.Load(), Refused: l.refused.Load(), Lost: l.lost.Load(), Resent: l.resent.Load()}
}

// LastLoss returns the error of the last lost call, or "" if there was none.
func (l *Load) LastLoss() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastLoss
}

// sendRandom sends a random call to a random instance and counts the result.
func (l *Load) sendRandom(rng *rand.Rand) {
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

// send sends one call. It retries a keyed call with the same key while it is not known whether the call ran. It returns true
// if the call was refused and did not run.
func (l *Load) send(node *Node, call Call) (notRun bool, err error) {
	id, key := uuid.NewString(), newKey(call)
	for attempt := 1; ; attempt++ {
		notRun, err = l.attempt(node, call, id, key)
		if err == nil || key == "" || attempt == maxAttempts {
			return notRun, err
		}
		l.resent.Add(1)
		time.Sleep(retryDelay)
	}
}

// attempt sends a call once and checks the response. Its results are those of checkAnswer.
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

// checkAnswer returns true if the response states that the call did not run. It returns an error if the response is
// incomplete, has a status other than 200 or does not contain the request ID.
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
		return false, errors.Errorf("%s: response does not contain the request ID", what)
	}
	return false, nil
}
