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

	"github.com/chervilwell/chervilwell/internal/socket"
)

// bufferBytes is the size in bytes of each of a connection's two buffers.
const bufferBytes = 4 << 10

// Limits of the last write of a request body after the end of the response.
const (
	// finalWriteTimeout is how long it may take for the connection to be kept.
	finalWriteTimeout = 20 * time.Millisecond
	// closedWriteTimeout is how long it may take if the server has closed the connection: the write then succeeds or fails as soon as its
	// goroutine runs.
	closedWriteTimeout = time.Second
)

// conn is one connection with its buffers.
type conn struct {
	pool *Pool
	net  net.Conn
	// raw gives access to the socket; it is nil if the connection has none.
	raw syscall.RawConn
	// limit limits the bytes read for a response header.
	limit io.LimitedReader
	in    *bufio.Reader
	out   *bufio.Writer
	// wrote is set before the first write of a request.
	wrote    atomic.Bool
	lastUsed time.Time
}

func newConn(p *Pool, nc net.Conn) *conn {
	c := &conn{pool: p, net: nc, raw: socket.Raw(nc)}
	c.limit = io.LimitedReader{R: nc, N: math.MaxInt64}
	c.in = bufio.NewReaderSize(&c.limit, bufferBytes)
	c.out = bufio.NewWriterSize(writeRecorder{c}, bufferBytes)
	return c
}

// writeRecorder sets conn.wrote before each write, since even a failed write may have sent bytes.
type writeRecorder struct{ c *conn }

// Write implements io.Writer.
func (w writeRecorder) Write(p []byte) (int, error) {
	w.c.wrote.Store(true)
	return w.c.net.Write(p)
}

// usable reports whether an idle connection can carry a request: the server has neither closed it nor sent any bytes.
func (c *conn) usable() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// exchange is one request on a connection.
type exchange struct {
	*conn
	ctx context.Context
	// stop cancels the closing of the connection at the end of ctx.
	stop func() bool
	// body is the request body, or nil.
	body *requestBody
	// written is closed when the request has been written or writing it has failed with writeErr; it is nil if there is no body. writing is
	// set until then.
	written  chan struct{}
	writeErr error
	writing  atomic.Bool
	once     sync.Once
	// For a request with Expect: 100-continue, continued is closed when the server asks for the body, and declined when the
	// response header has arrived or reading it has failed.
	continued, declined chan struct{}
	// skippedBody is set if the body was not written, since the server declined it. It is valid once written is closed.
	skippedBody bool
}

// ExpectContinue is the value of the Expect header with which a request body is sent only when the server asks for it.
const ExpectContinue = "100-continue"

// errDeclined is returned from reads of a request body that the server has not asked for.
var errDeclined = errors.New("server did not ask for the request's body")

// continueBody delays a request body until the server asks for it.
type continueBody struct {
	io.ReadCloser
	exchange    *exchange
	gotContinue bool
}

// Read implements io.Reader. The first call sends the request header and waits for the server. It returns errDeclined if the
// server does not ask for the body.
func (b *continueBody) Read(p []byte) (int, error) {
	if !b.gotContinue {
		if err := b.exchange.out.Flush(); err != nil {
			return 0, err
		}
		select {
		case <-b.exchange.continued:
			b.gotContinue = true
		case <-b.exchange.declined:
			b.exchange.skippedBody = true
			return 0, errDeclined
		}
	}
	return b.ReadCloser.Read(p)
}

// do runs a request and releases the connection on an error or at the end of the response body.
func (c *conn) do(req *http.Request) (*http.Response, error) {
	c.wrote.Store(false)
	x := &exchange{conn: c, ctx: req.Context()}
	x.stop = context.AfterFunc(x.ctx, x.close)
	if err := x.send(req); err != nil {
		return nil, x.abort(err)
	}
	resp, err := x.receive(req)
	if x.declined != nil {
		close(x.declined)
	}
	if err != nil {
		return nil, x.abort(err)
	}
	x.attach(resp)
	return resp, nil
}

// send writes a request without a body synchronously. A request with a body is written in the background, since the response
// may arrive before the body has been sent.
func (x *exchange) send(req *http.Request) error {
	if req.Body == nil || req.Body == http.NoBody {
		return x.write(req)
	}
	x.body = &requestBody{ReadCloser: req.Body, unread: req.ContentLength}
	out := *req
	out.Body = x.body
	if req.Header.Get("Expect") == ExpectContinue {
		x.continued, x.declined = make(chan struct{}), make(chan struct{})
		out.Body = &continueBody{ReadCloser: x.body, exchange: x}
	}
	x.written = make(chan struct{})
	x.writing.Store(true)
	go func() {
		x.writeErr = x.write(&out)
		if x.body.readError() != nil {
			x.close()
		}
		x.writing.Store(false)
		close(x.written)
	}()
	return nil
}

// close closes the connection. If the request has not been written completely, it resets the connection: a regular close would arrive
// only after the server has read what was sent so far, which it may not do for a long time.
func (x *exchange) close() {
	if x.writing.Load() {
		socket.ResetOnClose(x.net)
	}
	x.net.Close()
}

func (x *exchange) write(req *http.Request) error {
	if err := writeTo(x.out, req); err != nil {
		return err
	}
	return x.out.Flush()
}

// receive reads the header of the final response. It skips informational responses and those of other requests.
func (x *exchange) receive(req *http.Request) (*http.Response, error) {
	headerBytes, unmatchedBytes := x.pool.config.MaxHeaderBytes, int64(maxUnmatchedBytes)
	x.limit.N = headerBytes
	gotContinue := false
	for {
		resp, err := http.ReadResponse(x.in, req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusContinue && x.continued != nil && !gotContinue:
			gotContinue = true
			close(x.continued)
			continue
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrUpgrade
		case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
			return nil, errors.Wrapf(ErrStatus, "status %03d", resp.StatusCode)
		case resp.StatusCode < http.StatusOK:
			continue
		}
		if belongs := x.pool.config.MatchesRequest; belongs == nil || belongs(req, resp) {
			x.limit.N = math.MaxInt64
			return resp, nil
		}
		unmatchedBytes -= headerBytes - x.limit.N
		x.limit.N = max(unmatchedBytes, 0)
		if err := discardResponse(resp); err != nil {
			return nil, err
		}
		if unmatchedBytes = x.limit.N; unmatchedBytes == 0 {
			return nil, ErrUnmatched
		}
		x.limit.N = headerBytes
	}
}

// maxStatus is the highest status code of a response (RFC 9110, section 15).
const maxStatus = 599

// ErrStatus is returned if the status code of a response is not in the range that HTTP defines.
var ErrStatus = errors.New("server sent an answer without a valid status; the connection is closed, check the server")

// maxUnmatchedBytes limits the bytes of responses to other requests, headers included, that are read before the response to a
// request.
const maxUnmatchedBytes = 1 << 20

// ErrUnmatched is returned if the server sends responses to other requests that cannot be skipped, since they are too long or
// the last ones on their connection.
var ErrUnmatched = errors.New("server sent an answer to another request; the connection is closed, check the server")

// discardResponse reads a response to another request to its end. It returns ErrUnmatched if no further response follows.
func discardResponse(resp *http.Response) error {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.Close {
		return ErrUnmatched
	}
	return nil
}

// abort closes the connection and returns the error of the request. It reads conn.wrote only after the close, so that no byte
// can be written afterwards.
func (x *exchange) abort(err error) error {
	x.stop()
	x.close()
	wrote := x.wrote.Load()
	x.pool.release(x.conn, false)
	if x.body != nil && x.body.readError() != nil {
		err = x.body.readError()
	}
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	if !wrote {
		return &notWrittenError{cause: err}
	}
	return errors.Wrap(err, "request was written")
}

// attach makes the end of the response body the end of the exchange.
func (x *exchange) attach(resp *http.Response) {
	if resp.Body == http.NoBody {
		x.finish(!resp.Close)
		return
	}
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	resp.Body = &responseBody{ReadCloser: resp.Body, exchange: x, reusable: !resp.Close, untilClose: untilClose}
}

// finish releases the connection. Calls after the first have no effect.
func (x *exchange) finish(reusable bool) {
	x.once.Do(func() {
		// stop returns false if the context has ended, which closes the connection.
		reusable = x.stop() && reusable && x.in.Buffered() == 0 && x.requestWritten(finalWriteTimeout)
		x.pool.release(x.conn, reusable)
	})
}

// requestWritten reports whether the whole request has been written. If the body has been read to its end, it waits up to timeout for the
// last write.
func (x *exchange) requestWritten(timeout time.Duration) bool {
	if x.written == nil {
		return true
	}
	if !x.body.complete() {
		timeout = 0
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-x.written:
		return x.writeErr == nil
	case <-timer.C:
		return false
	}
}

// closedInOrder reports whether the server closed the connection after it could have read the whole request, as opposed to a reset. It must
// be called after a read has returned io.EOF: the socket reports a reset only once, so that a write may have got the error, and reads return
// io.EOF from then on.
func (x *exchange) closedInOrder() bool {
	return x.requestWritten(closedWriteTimeout) || x.bodyDeclined()
}

// bodyDeclined reports whether the server has answered instead of asking for the request's body, so that none was written.
func (x *exchange) bodyDeclined() bool {
	if x.declined == nil {
		return false
	}
	select {
	case <-x.continued:
		return false
	default:
	}
	<-x.written // the wait of continueBody has ended with the response header
	return x.skippedBody
}

// responseBody is the body of a response. Reading it to its end, or closing it, ends the exchange.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	// reusable reports whether the server keeps the connection open.
	reusable bool
	// untilClose is set if the body ends with the connection.
	untilClose bool
}

// ErrCut is returned from reads of a response body that ends with its connection if the connection did not end in order, or before the whole
// request was written.
var ErrCut = errors.New("server closed the connection before it had read the request, or reset it; the answer is incomplete")

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.untilClose && !b.exchange.closedInOrder() {
		err = ErrCut
	}
	if err == io.EOF {
		b.exchange.finish(b.reusable)
		return n, err
	}
	if err != nil {
		if ctxErr := b.exchange.ctx.Err(); ctxErr != nil {
			err = ctxErr
		}
		b.exchange.finish(false)
	}
	return n, err
}

// Close implements io.Closer. If the body has not been read to its end, the connection is closed.
func (b *responseBody) Close() error {
	b.exchange.finish(false)
	return nil
}

// requestBody is the body of a request. It records the error with which reading ended.
type requestBody struct {
	io.ReadCloser
	mu sync.Mutex
	// unread is the number of bytes left, negative if the length is unknown.
	unread int64
	err    error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread -= int64(n)
	if err != nil {
		b.err = err
	}
	return n, err
}

// readError returns the error with which reading the body failed, or nil.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// complete reports whether the body was read to its end.
func (b *requestBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF || b.unread == 0
}
