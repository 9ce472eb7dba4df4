package bench

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/internal/refusal"
	"github.com/chervilwell/chervilwell/internal/standin"
)

// Ending is the outcome of a call as its caller observed it.
type Ending string

// Outcomes of a call.
const (
	// Good is a complete, correct response to the request.
	Good Ending = "good"
	// NotRun is a refusal which states that the request was not executed.
	NotRun Ending = "not-run"
	// Unknown is a refusal which states that the request may have been executed.
	Unknown Ending = "unknown"
	// Rejected is a target response with a status of 300 or above.
	Rejected Ending = "rejected"
	// Cut means that the connection failed before the response was complete.
	Cut Ending = "cut"
	// Wrong is a response that does not belong to the request.
	Wrong Ending = "wrong"
	// NoInstance means that no instance accepted a connection.
	NoInstance Ending = "no-instance"
	// TimedOut means that the caller's timeout expired.
	TimedOut Ending = "overtime"
)

// Stream describes calls that arrive at random with a given mean rate.
type Stream struct {
	Name         string
	Organisation string
	// Account is the organisation sent with the calls; if empty, Organisation is sent.
	Account string
	Method  string
	Path    string
	// Rate is the mean rate in calls per second.
	Rate float64
	// NoRetry marks calls of a route whose requests must not be retried.
	NoRetry bool
	// Header holds the headers added to each call.
	Header http.Header
	// Body is the size of the request body in bytes.
	Body int
}

// Call is one call and its outcome.
type Call struct {
	ID      string
	Stream  *Stream
	Start   time.Time
	Latency time.Duration
	Ending  Ending
	Status  int
	// Attempt is the attempt number that the caller sent, or "".
	Attempt string
	// Via is the name of the instance that the call was last sent to.
	Via string
	// Kind and Reason describe a refusal. If the connection failed, Reason holds the error.
	Kind   refusal.Kind
	Reason string
}

// callTimeout is the timeout of a call.
const callTimeout = 5 * time.Second

// maxAttempts is the largest number of instances that a caller tries for one call.
const maxAttempts = 4

// Load is an open-loop load generator: it starts calls at the given rates regardless of earlier calls, and records the outcome
// of each.
type Load struct {
	mesh   *Mesh
	client *http.Client
	nodes  []*Node

	mu    sync.Mutex
	calls []Call
	wait  sync.WaitGroup
}

// NewLoad returns a load generator for the nodes of a mesh.
func NewLoad(m *Mesh) *Load {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Load{mesh: m, nodes: m.Nodes, client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}}}
}

// Run starts the calls of a stream until ctx ends. Calls still running then are completed; Calls waits for them.
func (l *Load) Run(ctx context.Context, s *Stream, seed uint64) {
	const stream = 0x10ad
	rng := rand.New(rand.NewPCG(seed, stream))
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if periodic.Sleep(ctx, time.Until(next)) != nil {
			return
		}
		first := rng.IntN(len(l.nodes))
		id := fmt.Sprintf("%s-%d", s.Name, i)
		l.wait.Go(func() { l.add(l.Do(context.WithoutCancel(ctx), s, id, first)) })
	}
}

// warmUpTime is long enough for the gates of a new mesh to ramp up from the cold limit, which applies when a process starts.
const warmUpTime = 5500 * time.Millisecond

// warmUpFraction is the fraction of a stream's rate that is sent during the warm-up.
const warmUpFraction = 0.8

// WarmUp sends calls for warmUpTime to open connections and to ramp up the gates. These calls are not recorded.
func (l *Load) WarmUp(ctx context.Context, streams []*Stream, seed uint64) {
	ctx, stop := context.WithTimeout(ctx, warmUpTime)
	defer stop()
	warm := &Load{mesh: l.mesh, client: l.client, nodes: l.nodes}
	var wait sync.WaitGroup
	for i, s := range streams {
		reduced := *s
		reduced.Name = "warm-" + s.Name
		reduced.Rate *= warmUpFraction
		wait.Go(func() { warm.Run(ctx, &reduced, seed+uint64(i)) })
	}
	wait.Wait()
	warm.Calls()
}

// Calls waits until all running calls have ended and returns all recorded calls.
func (l *Load) Calls() []Call {
	l.wait.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *Load) add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// Do makes one call. It starts at the node with index first and tries the following nodes, up to maxAttempts in total, while no
// connection can be made or the instance refuses because it is not ready or leaving: callers follow the remedy of such refusals.
func (l *Load) Do(ctx context.Context, s *Stream, id string, first int) Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := Call{ID: id, Stream: s, Start: time.Now(), Ending: NoInstance, Attempt: s.Header.Get(standin.AttemptHeader)}
	time.Sleep(clientDelay)
	for attempt := range maxAttempts {
		if l.send(ctx, &c, l.nodes[(first+attempt)%len(l.nodes)]) && !c.retryElsewhere() {
			break
		}
	}
	time.Sleep(clientDelay)
	c.Latency = time.Since(c.Start)
	return c
}

// send sends a call to a node and records its outcome. It returns false if no connection could be made.
func (l *Load) send(ctx context.Context, c *Call, n *Node) bool {
	req, err := c.request(ctx, n.callers)
	if err != nil {
		c.Ending = Cut
		return true
	}
	c.Via = n.Instance.Name
	resp, err := l.client.Do(req)
	var op *net.OpError
	switch {
	case err == nil:
		c.Status = resp.StatusCode
		c.recordResponse(resp)
	case errors.As(err, &op) && op.Op == "dial":
		return false
	case ctx.Err() != nil:
		c.Ending = TimedOut
	default:
		c.Ending = Cut
		c.Reason = err.Error()
	}
	return true
}

// request returns the HTTP request of the call.
func (c *Call) request(ctx context.Context, address string) (*http.Request, error) {
	s := c.Stream
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+address+s.Path, s.body())
	if err != nil {
		return nil, err
	}
	for name, values := range s.Header {
		req.Header[name] = values
	}
	req.Header.Set(headers.Organisation, cmp.Or(s.Account, s.Organisation))
	req.Header.Set(standin.RequestHeader, c.ID)
	// http.Client retries a request by itself only if it can rewind the body. A body that cannot be rewound, even an empty one,
	// prevents such retries.
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return req, nil
}

func (s *Stream) body() io.Reader {
	if s.Body == 0 {
		return nil
	}
	return bytes.NewReader(make([]byte, s.Body))
}

// recordResponse reads and closes a response and records the outcome of the call.
func (c *Call) recordResponse(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch run := resp.Header.Get(headers.Run); {
	case err != nil:
		c.Ending = Cut
	case run != "":
		c.recordRefusal(headers.ParseRun(run), body)
	case resp.StatusCode >= http.StatusMultipleChoices:
		c.Ending = Rejected
	case !bytes.Equal(body, standin.ResponseBody(c.ID, targetResponseBytes)):
		c.Ending = Wrong
	default:
		c.Ending = Good
	}
}

// recordRefusal records the outcome of a call that was refused.
func (c *Call) recordRefusal(run headers.RunState, body []byte) {
	c.Ending = Unknown
	if run == headers.NotRun {
		c.Ending = NotRun
	}
	var r refusal.Refusal
	if json.Unmarshal(body, &r) == nil {
		c.Kind = r.Kind
		c.Reason = string(r.Kind) + ": " + r.Detail
	}
}

// retryElsewhere reports whether the refusal directs the caller to another instance.
func (c *Call) retryElsewhere() bool {
	return c.Ending == NotRun && (c.Kind == refusal.NotReady || c.Kind == refusal.Leaving)
}
