package httppool

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// bufferBytes is the size of each of a connection's two buffers.
const bufferBytes = 4 << 10

// lastWrite is the time that a request's last write may take after its answer has ended.
const lastWrite = 20 * time.Millisecond

// conn is one connection with its buffers.
type conn struct {
	pool     *Pool
	net      net.Conn
	raw      syscall.RawConn
	limit    io.LimitedReader
	in       *bufio.Reader
	out      *bufio.Writer
	wrote    atomic.Bool
	lastUsed time.Time
}

func newConn(p *Pool, nc net.Conn) *conn {
	c := &conn{pool: p, net: nc, raw: rawOf(nc)}
	c.limit = io.LimitedReader{R: nc, N: math.MaxInt64}
	c.in = bufio.NewReaderSize(&c.limit, bufferBytes)
	c.out = bufio.NewWriterSize(writeMarker{c}, bufferBytes)
	return c
}

// rawOf returns access to the socket below a connection, or nil.
func rawOf(nc net.Conn) syscall.RawConn {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapped.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// writeMarker notes, before each write, that bytes may leave.
type writeMarker struct{ c *conn }

// Write implements io.Writer.
func (w writeMarker) Write(p []byte) (int, error) {
	w.c.wrote.Store(true)
	return w.c.net.Write(p)
}

// alive reports whether an idle connection can carry a request: its server has neither closed it nor sent anything.
func (c *conn) alive() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// exchange is one request on a connection.
type exchange struct {
	*conn
	ctx    context.Context
	stop   func() bool
	source *sourceBody
	// written takes the error of writing the request's body; it is nil if there is no body.
	written chan error
	once    sync.Once
	// proceed is closed when a server that was asked wants the body, decline when it won't be sent.
	proceed, decline chan struct{}
}

// ExpectContinue is the value of the Expect header that holds a request's body back until the server asks for it.
const ExpectContinue = "100-continue"

// errDeclined says that a server answered without asking for the body.
var errDeclined = errors.New("server did not ask for the request's body")

// awaitedBody holds a body back until the server asks for it.
type awaitedBody struct {
	io.ReadCloser
	exchange *exchange
	asked    bool
}

// Read implements io.Reader. The head of the request is sent with the first call.
func (b *awaitedBody) Read(p []byte) (int, error) {
	if !b.asked {
		if err := b.exchange.out.Flush(); err != nil {
			return 0, err
		}
		select {
		case <-b.exchange.proceed:
			b.asked = true
		case <-b.exchange.decline:
			return 0, errDeclined
		}
	}
	return b.ReadCloser.Read(p)
}

func (c *conn) do(req *http.Request) (*http.Response, error) {
	c.wrote.Store(false)
	x := &exchange{conn: c, ctx: req.Context()}
	x.stop = context.AfterFunc(x.ctx, func() { c.net.Close() })
	if err := x.send(req); err != nil {
		return nil, x.fail(err)
	}
	resp, err := x.receive(req)
	if x.decline != nil {
		close(x.decline)
	}
	if err != nil {
		return nil, x.fail(err)
	}
	x.hold(resp)
	return resp, nil
}

// send writes a request without a body at once and one with a body in the background, since the answer may come first.
func (x *exchange) send(req *http.Request) error {
	if req.Body == nil || req.Body == http.NoBody {
		return x.write(req)
	}
	x.source = &sourceBody{ReadCloser: req.Body}
	out := *req
	out.Body = x.source
	if req.Header.Get("Expect") == ExpectContinue {
		x.proceed, x.decline = make(chan struct{}), make(chan struct{})
		out.Body = &awaitedBody{ReadCloser: x.source, exchange: x}
	}
	x.written = make(chan error, 1)
	go func() {
		err := x.write(&out)
		if x.source.failed() != nil {
			x.net.Close()
		}
		x.written <- err
	}()
	return nil
}

func (x *exchange) write(req *http.Request) error {
	if err := req.Write(x.out); err != nil {
		return err
	}
	return x.out.Flush()
}

// receive reads the head of the final answer.
func (x *exchange) receive(req *http.Request) (*http.Response, error) {
	x.limit.N = x.pool.config.MaxHeaderBytes
	asked := false
	for {
		resp, err := http.ReadResponse(x.in, req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusContinue && x.proceed != nil && !asked:
			asked = true
			close(x.proceed)
			continue
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrUpgrade
		case resp.StatusCode < http.StatusOK:
			continue
		}
		x.limit.N = math.MaxInt64
		if belongs := x.pool.config.Belongs; belongs == nil || belongs(req, resp) {
			return resp, nil
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
		x.limit.N = x.pool.config.MaxHeaderBytes
	}
}

// maxStray is the longest stray answer that is read to get at the one behind it.
const maxStray = 1 << 20

// ErrStray says that a server sent an answer to another request that could not be passed over.
var ErrStray = errors.New("server sent an answer to another request; the connection is closed, check the server")

// discard reads a stray answer to its end.
func discard(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray))
	if err != nil {
		return err
	}
	if n == maxStray || resp.Close {
		return ErrStray
	}
	return nil
}

// fail ends the exchange and its connection. Closing comes before the look at what was written, so that nothing is later.
func (x *exchange) fail(err error) error {
	x.stop()
	x.net.Close()
	wrote := x.wrote.Load()
	x.pool.put(x.conn, false)
	if x.source != nil && x.source.failed() != nil {
		err = x.source.failed()
	}
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	if !wrote {
		return &notWrittenError{cause: err}
	}
	return errors.Wrap(err, "request was written")
}

// hold gives the connection to the answer's body until its end.
func (x *exchange) hold(resp *http.Response) {
	if resp.Body == http.NoBody {
		x.end(!resp.Close)
		return
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, exchange: x, keep: !resp.Close}
}

// end gives the connection back once.
func (x *exchange) end(reusable bool) {
	x.once.Do(func() {
		// The connection is lost if the context ended first, since it closes it.
		reusable = x.stop() && reusable && x.in.Buffered() == 0 && x.sent()
		x.pool.put(x.conn, reusable)
	})
}

// sent reports whether the whole request has been written.
func (x *exchange) sent() bool {
	if x.written == nil {
		return true
	}
	// After the end of its source, a body has only its last write to finish.
	var patience time.Duration
	if x.source.ended() {
		patience = lastWrite
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// answerBody is the body of an answer; its end is the end of the exchange.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	keep     bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.end(b.keep)
		return n, err
	}
	if err != nil {
		if ctxErr := b.exchange.ctx.Err(); ctxErr != nil {
			err = ctxErr
		}
		b.exchange.end(false)
	}
	return n, err
}

// Close implements io.Closer. The rest of the body is not read; its connection is closed instead.
func (b *answerBody) Close() error {
	b.exchange.end(false)
	return nil
}

// sourceBody remembers the error of a request's body.
type sourceBody struct {
	io.ReadCloser
	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// failed returns the error that the body broke off with, or nil.
func (b *sourceBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// ended reports whether the whole body was read.
func (b *sourceBody) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}
