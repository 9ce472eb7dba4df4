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

// Ending says how a call ended for its caller.
type Ending string

// The endings of a call.
const (
	// Good is the whole answer to the caller's own request.
	Good Ending = "good"
	// NotRun is a refusal that says that the request did not run.
	NotRun Ending = "not-run"
	// Unknown is a refusal that says that the request may have run.
	Unknown Ending = "unknown"
	// Rejected is an answer of the target other than 2xx.
	Rejected Ending = "rejected"
	// Cut is a connection that broke off.
	Cut Ending = "cut"
	// Wrong is an answer that is not the one to the caller's request.
	Wrong Ending = "wrong"
	// NoInstance says that no instance took the connection.
	NoInstance Ending = "no-instance"
	// TimedOut says that the caller gave up waiting.
	TimedOut Ending = "overtime"
)

// Stream is a kind of calls that come at a rate.
type Stream struct {
	Name         string
	Organisation string
	// Account is the organisation that the calls name; empty stands for Organisation.
	Account string
	Method  string
	Path    string
	// Rate is in calls per second.
	Rate float64
	// NoRetry marks calls of a route that must not be repeated.
	NoRetry bool
	// Header is added to each call.
	Header http.Header
	// Body is the size of the body in bytes.
	Body int
}

// Call is one call and its end.
type Call struct {
	ID      string
	Stream  *Stream
	Start   time.Time
	Latency time.Duration
	Ending  Ending
	Status  int
	// Attempt is the caller's number of the send, or "".
	Attempt string
	// Via is the instance that took the call.
	Via string
	// Kind and Reason are those of a refusal.
	Kind   refusal.Kind
	Reason string
}

// callTimeout is the longest time that a caller waits.
const callTimeout = 5 * time.Second

// maxTries bounds the instances that a caller tries to connect to.
const maxTries = 4

// Load sends calls at their rates, whatever becomes of them, and records how each ends.
type Load struct {
	mesh   *Mesh
	client *http.Client
	nodes  []*Node

	mu    sync.Mutex
	calls []Call
	wait  sync.WaitGroup
}

// NewLoad returns a load on the nodes of a mesh.
func NewLoad(m *Mesh) *Load {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Load{mesh: m, nodes: m.Nodes, client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}}}
}

// Run sends the calls of a stream until ctx ends. Calls that run then are waited for by Calls.
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

// warmUpTime lets the gates of a new mesh rise from the cold limit, at which every process starts.
const warmUpTime = 5500 * time.Millisecond

// warmUpPart is the part of a stream's rate that the warm-up offers.
const warmUpPart = 0.8

// WarmUp sends calls for a while, so that connections are open and gates warm. These calls are not recorded.
func (l *Load) WarmUp(ctx context.Context, streams []*Stream, seed uint64) {
	ctx, stop := context.WithTimeout(ctx, warmUpTime)
	defer stop()
	warm := &Load{mesh: l.mesh, client: l.client, nodes: l.nodes}
	var wait sync.WaitGroup
	for i, s := range streams {
		gentle := *s
		gentle.Name = "warm-" + s.Name
		gentle.Rate *= warmUpPart
		wait.Go(func() { warm.Run(ctx, &gentle, seed+uint64(i)) })
	}
	wait.Wait()
	warm.Calls()
}

// Calls waits for the calls that run and returns all.
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

// Do makes one call at the node first, or at the following ones while no connection can be made or the instance says that it
// is not ready or leaving: callers follow the remedy of such refusals.
func (l *Load) Do(ctx context.Context, s *Stream, id string, first int) Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := Call{ID: id, Stream: s, Start: time.Now(), Ending: NoInstance, Attempt: s.Header.Get(standin.AttemptHeader)}
	time.Sleep(clientDelay)
	for try := range maxTries {
		if l.send(ctx, &c, l.nodes[(first+try)%len(l.nodes)]) && !c.elsewhere() {
			break
		}
	}
	time.Sleep(clientDelay)
	c.Latency = time.Since(c.Start)
	return c
}

// send makes one call at a node and records its end. It reports false if no connection could be made.
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
		c.finish(resp)
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

// request returns the call as an HTTP request.
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
	// Without a way to read the body again, an empty one included, the client never sends a request again by itself.
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

// finish reads an answer, closes it and records the end of the call.
func (c *Call) finish(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch run := resp.Header.Get(headers.Run); {
	case err != nil:
		c.Ending = Cut
	case run != "":
		c.refused(headers.ParseRun(run), body)
	case resp.StatusCode >= http.StatusMultipleChoices:
		c.Ending = Rejected
	case !bytes.Equal(body, standin.ResponseBody(c.ID, targetAnswer)):
		c.Ending = Wrong
	default:
		c.Ending = Good
	}
}

func (c *Call) refused(run headers.RunState, body []byte) {
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

// elsewhere reports whether the answer asks the caller to try another instance.
func (c *Call) elsewhere() bool {
	return c.Ending == NotRun && (c.Kind == refusal.NotReady || c.Kind == refusal.Leaving)
}
