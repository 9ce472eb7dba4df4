// Package harness runs the project's daemon as separate processes on loopback addresses, with stand-ins for the platform, the targets
// and the clients. Each case under review/ is a program that uses it.
package harness

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chervilwell/chervilwell/platform"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// World is one deployment.
type World struct {
	Store   *Store
	Nodes   []*Node
	Targets []*Target

	dir     string
	subnet  [2]byte
	started time.Time
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	runs    map[string][]Run
}

// Node is one process of the project beside a target.
type Node struct {
	Name, Zone, Region, Service                   string
	IP                                            netip.Addr
	AppPort, InboundPort, OutboundPort, ReadyPort uint16
	Target                                        *Target
	settings                                      string
	mu                                            sync.Mutex
	cmd                                           *exec.Cmd
	done                                          chan struct{}
}

// Place is a machine of a deployment.
type Place struct{ Zone, Region, Service string }

// New starts a deployment of the given machines. The record goes to record.txt in the directory of the case.
func New(caseDir string, places []Place) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &World{dir: dir, started: time.Now(), file: file, out: bufio.NewWriter(file), runs: map[string][]Run{}}
	if w.Store, err = w.openStore(); err != nil {
		return nil, err
	}
	ports, err := w.freePorts(4, len(places))
	if err != nil {
		return nil, err
	}
	for i, p := range places {
		n := &Node{
			Name: fmt.Sprintf("sidecar-%s-%d", p.Zone, i), Zone: p.Zone, Region: p.Region, Service: p.Service, IP: w.ip(i + 1),
			AppPort: ports[0], InboundPort: ports[1], OutboundPort: ports[2], ReadyPort: ports[3],
		}
		n.Target = &Target{
			Name: fmt.Sprintf("%c-%d", 'a'+i, i), Service: p.Service, Zone: p.Zone, Addr: netip.AddrPortFrom(n.IP, n.AppPort), world: w, down: 2 * time.Second,
		}
		w.Nodes, w.Targets = append(w.Nodes, n), append(w.Targets, n.Target)
	}
	return w, nil
}

func (w *World) ip(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet[0], w.subnet[1], byte(host)})
}

// openStore starts the store on a loopback subnet that is not in use.
func (w *World) openStore() (*Store, error) {
	var err error
	for range 20 {
		w.subnet = [2]byte{byte(10 + mrand.IntN(200)), byte(1 + mrand.IntN(250))}
		var s *Store
		if s, err = newStore(w.ip(250)); err == nil {
			return s, nil
		}
	}
	return nil, err
}

// freePorts returns ports that are free on the addresses of all machines.
func (w *World) freePorts(count, machines int) ([]uint16, error) {
	var out []uint16
	for port := 20000 + mrand.IntN(10000); len(out) < count && port < 32000; port++ {
		free := true
		for i := range machines {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(i+1), uint16(port)).String())
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			out = append(out, uint16(port))
		}
	}
	if len(out) < count {
		return nil, fmt.Errorf("no %d free ports", count)
	}
	return out, nil
}

// maxTime is the time after which a case is given up.
const maxTime = 115 * time.Second

// closeOnSignal ends all processes when the case is told to stop, or takes too long.
func (w *World) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		w.Record("the case is given up")
		w.Close()
		os.Exit(ExitNotRun)
	}()
}

// Start starts the targets and the processes, and waits until all of them are ready.
func (w *World) Start() error {
	w.closeOnSignal()
	for _, t := range w.Targets {
		if err := t.start(); err != nil {
			return err
		}
	}
	for _, n := range w.Nodes {
		if err := w.StartNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range w.Nodes {
		for !n.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.Record("all processes are ready")
	return nil
}

// StartNode starts the process of a machine with the command of the deploy file.
func (w *World) StartNode(n *Node) error {
	n.settings = filepath.Join(w.dir, n.Name+".json")
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.IP, port) }
	text, err := fill(wire.Settings, map[string]any{
		"NAME": n.Name, "IP": n.IP, "ZONE": n.Zone, "REGION": n.Region, "SERVICE": n.Service, "APP": at(n.AppPort),
		"INBOUND": at(n.InboundPort), "OUTBOUND": at(n.OutboundPort), "READY": at(n.ReadyPort), "STORE": w.Store.Addr,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/chervilwellnode", "run", "-metrics", "7615")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	w.Record("process %s starts", n.Name)
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		w.Record("process %s ends: %v", n.Name, err)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process of a machine.
func (w *World) Signal(n *Node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.Record("process %s gets %v", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when the process of a machine has ended.
func (n *Node) Ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// Ready asks the process whether it accepts clients.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + netip.AddrPortFrom(n.IP, n.ReadyPort).String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all processes and closes the record.
func (w *World) Close() {
	for _, n := range w.Nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}

// Record writes a line to the record.
func (w *World) Record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *World) addRun(r Run) {
	w.Record("target %s runs %s: %s %s%s, %d bytes, sum %.16s", r.Target, r.ID, r.Method, r.Host, r.URI, r.Bytes, r.Sum)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.ID] = append(w.runs[r.ID], r)
}

// Runs returns the runs of a request.
func (w *World) Runs(id string) []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs[id]...)
}

// Request is a request of a client.
type Request struct {
	Method, Host, URI string
	Body              []byte
	// Chunked sends the body in chunks instead of with a length.
	Chunked    bool
	DeadlineMs int
}

// maxKeptBytes is the number of bytes of a body that an Answer keeps.
const maxKeptBytes = 1 << 10

// Answer is what a client got. Status is 0 if the connection ended without an answer.
type Answer struct {
	ID, Sum string
	Status  int
	Signed  bool
	// Bytes is the length of the body, Body its first maxKeptBytes bytes.
	Bytes      int
	Body       string
	RetryAfter time.Duration
	Err        error
	Sent       time.Time
	Took       time.Duration
	// Kept is set if the request was sent on a connection that had carried an earlier one.
	Kept bool
}

// Refused reports whether the answer states that the request has not run and never will.
func (a *Answer) Refused() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Denied reports whether the system ended the request with a 3xx or 4xx of its own that does not promise that a retry may succeed.
func (a *Answer) Denied() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return a.Status >= http.StatusMultipleChoices && a.Status < http.StatusInternalServerError && !a.Signed
}

// Sum returns the digest of a body in the form of Run.Sum.
func Sum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// NewID returns an ID for a client's attempt.
func NewID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Send sends a request of a client on the machine of n, on a new connection, and waits for the answer until the deadline.
func (w *World) Send(n *Node, q Request) *Answer {
	c := w.NewClient(n)
	defer c.Close()
	return c.Send(q)
}

// Client is a client on a machine. It keeps its connection open from request to request, and opens another one after a failure.
type Client struct {
	world *World
	node  *Node
	conn  net.Conn
	in    *bufio.Reader
}

// NewClient returns a client on the machine of n without a connection.
func (w *World) NewClient(n *Node) *Client { return &Client{world: w, node: n} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request and waits for the answer until the deadline.
func (c *Client) Send(q Request) *Answer {
	a := &Answer{ID: NewID(), Sum: Sum(q.Body), Sent: time.Now(), Kept: c.conn != nil}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.DeadlineMs)*time.Millisecond)
	defer cancel()
	c.world.Record("client at %s sends %s: %s %s%s, %d bytes, sum %.16s", c.node.Name, a.ID, q.Method, q.Host, q.URI, len(q.Body), a.Sum)
	keep, err := c.exchange(ctx, q, a)
	a.Err, a.Took = err, time.Since(a.Sent)
	if !keep {
		c.Close()
	}
	c.world.Record("client at %s gets for %s: status %d, signed %v, %d bytes, error %v, after %v", c.node.Name, a.ID, a.Status, a.Signed, a.Bytes, a.Err, a.Took.Round(time.Millisecond))
	return a
}

// exchange writes the request as it is and reads the answer. It reports whether the connection can be kept.
func (c *Client) exchange(ctx context.Context, q Request, a *Answer) (keep bool, err error) {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		if c.conn, err = dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(c.node.IP, c.node.OutboundPort).String()); err != nil {
			c.conn = nil
			return false, err
		}
		c.in = bufio.NewReader(c.conn)
	}
	conn := c.conn
	if until, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(until)
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.Method, q.URI, q.Host, names.RequestID, a.ID, names.Deadline, q.DeadlineMs)
	switch {
	case q.Chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case len(q.Body) > 0 || q.Method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.Body))
	}
	head.WriteString("\r\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(conn, head.String())
		if !q.Chunked {
			_, _ = conn.Write(q.Body)
			return
		}
		writeChunks(conn, q.Body)
	}()
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.Method})
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	a.Bytes, a.Body = len(body), string(body[:min(len(body), maxKeptBytes)])
	if err != nil {
		return false, err // the answer is not complete
	}
	a.Status, a.Signed = resp.StatusCode, resp.Header.Get(names.Signature) != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	select {
	case <-written:
		return !resp.Close, nil
	default:
		return false, nil // answered before the whole request was written
	}
}

// chunkBytes is the size of the chunks that clients send.
const chunkBytes = 32 << 10

func writeChunks(w io.Writer, body []byte) {
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		var chunk bytes.Buffer
		fmt.Fprintf(&chunk, "%x\r\n", n)
		chunk.Write(body[:n])
		chunk.WriteString("\r\n")
		if _, err := w.Write(chunk.Bytes()); err != nil {
			return
		}
		body = body[n:]
	}
	_, _ = io.WriteString(w, "0\r\n\r\n")
}
