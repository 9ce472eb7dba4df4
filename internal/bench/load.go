package bench

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/headers"
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
	// Overtime says that the caller gave up waiting.
	Overtime Ending = "overtime"
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
	// Never marks calls of a route that must not be repeated.
	Never bool
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
		MaxIdleConnsPerHost: 512,
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
		if pause(ctx, time.Until(next)) != nil {
			return
		}
		first := rng.IntN(len(l.nodes))
		id := fmt.Sprintf("%s-%d", s.Name, i)
		l.wait.Go(func() { l.add(l.Do(context.WithoutCancel(ctx), s, id, first)) })
	}
}

// WarmUp makes one call of each stream at each node, so that connections are open. These calls are not recorded.
func (l *Load) WarmUp(ctx context.Context, streams []*Stream) {
	var wait sync.WaitGroup
	for i := range l.nodes {
		wait.Go(func() {
			for _, s := range streams {
				l.Do(ctx, s, fmt.Sprintf("warm-%s-%d", s.Name, i), i)
			}
		})
	}
	wait.Wait()
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

// Do makes one call at the node first, or at the following ones while no connection can be made.
func (l *Load) Do(ctx context.Context, s *Stream, id string, first int) Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := Call{ID: id, Stream: s, Start: time.Now(), Ending: NoInstance}
	time.Sleep(clientDelay)
	for try := range maxTries {
		ending, status, dialled := l.send(ctx, s, id, l.nodes[(first+try)%len(l.nodes)])
		if dialled {
			c.Ending, c.Status = ending, status
			break
		}
	}
	time.Sleep(clientDelay)
	c.Latency = time.Since(c.Start)
	return c
}

// send makes one call at a node. It reports false if no connection could be made.
func (l *Load) send(ctx context.Context, s *Stream, id string, n *Node) (Ending, int, bool) {
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+n.callers+s.Path, s.body())
	if err != nil {
		return Cut, 0, true
	}
	for name, values := range s.Header {
		req.Header[name] = values
	}
	req.Header.Set(headers.Organisation, cmp.Or(s.Account, s.Organisation))
	req.Header.Set(standin.RequestHeader, id)
	req.Header.Set("X-Length", strconv.Itoa(s.Body))
	// A request with a body that can't be read again is never resent by the transport itself.
	req.GetBody = nil
	resp, err := l.client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return NoInstance, 0, false
		}
		if ctx.Err() != nil {
			return Overtime, 0, true
		}
		return Cut, 0, true
	}
	ending := endingOf(resp, id)
	return ending, resp.StatusCode, true
}

func (s *Stream) body() io.Reader {
	if s.Body == 0 {
		return nil
	}
	return bytes.NewReader(make([]byte, s.Body))
}

// endingOf reads an answer and closes it.
func endingOf(resp *http.Response, id string) Ending {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch run := resp.Header.Get(headers.Run); {
	case err != nil:
		return Cut
	case run == string(headers.NotRun):
		return NotRun
	case run != "":
		return Unknown
	case resp.StatusCode >= http.StatusMultipleChoices:
		return Rejected
	case !bytes.Equal(body, standin.AnswerBody(id, targetAnswer)):
		return Wrong
	}
	return Good
}
