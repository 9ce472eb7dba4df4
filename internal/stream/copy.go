// Package stream copies HTTP messages between connections without buffering whole bodies in memory.
package stream

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/headers"
	"github.com/chervilwell/chervilwell/internal/socket"
)

// bufferBytes is the size of a copy buffer in bytes.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// ErrTruncated is returned if a response body ends before its Content-Length.
var ErrTruncated = errors.New("response ended before its announced length; the connection is aborted")

// CopyHeaders copies the end-to-end headers of src to dst, without internal headers. It removes the others from src.
func CopyHeaders(dst, src http.Header) {
	headers.StripHopByHop(src)
	headers.StripInternal(src)
	for name, values := range src {
		dst[name] = values
	}
}

// SuppressDefaultUserAgent prevents the transport from adding its own User-Agent to requests that have none.
func SuppressDefaultUserAgent(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
}

// CopyBody copies the body of resp to w and closes it. It returns an error unless the whole body was written; the caller must
// then abort the connection to the receiver, so that the receiver does not take a truncated body for a complete one.
// A body of unknown length is flushed after each read.
func CopyBody(w http.ResponseWriter, resp *http.Response) error {
	defer resp.Body.Close()
	buf := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buf)
	var flusher http.Flusher
	if resp.ContentLength < 0 {
		flusher, _ = w.(http.Flusher)
	}
	n, err := copyLoop(w, resp.Body, flusher, buf[:])
	if err != nil {
		return err
	}
	if resp.ContentLength >= 0 && n != resp.ContentLength && resp.Request != nil && resp.Request.Method != http.MethodHead {
		return ErrTruncated
	}
	return nil
}

func copyLoop(w io.Writer, body io.Reader, flusher http.Flusher, buf []byte) (int64, error) {
	var total int64
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return total, errors.Wrap(err, "write response body")
			}
			total += int64(n)
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, errors.Wrap(readErr, "read response body")
		}
		if n > 0 && flusher != nil {
			flusher.Flush()
		}
	}
}

// AnnounceTrailers declares the trailers of resp in the header of w. It must be called before the header is written.
func AnnounceTrailers(w http.ResponseWriter, resp *http.Response) {
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
}

// CopyTrailers copies the trailers of resp to w. It must be called after the whole body has been copied.
func CopyTrailers(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
}

// CopyResponse copies resp to w, the response to r. If the body cannot be copied completely, CopyResponse calls onError, unless nil, with
// the error and then aborts the connection; see Abort.
func CopyResponse(w http.ResponseWriter, r *http.Request, resp *http.Response, onError func(error)) {
	CopyHeaders(w.Header(), resp.Header)
	AnnounceTrailers(w, resp)
	w.WriteHeader(resp.StatusCode)
	if err := CopyBody(w, resp); err != nil {
		if onError != nil {
			onError(err)
		}
		Abort(w, r)
	}
	CopyTrailers(w, resp)
}

// Abort ends an incomplete response to r so that its receiver does not take it for a complete one. It panics with http.ErrAbortHandler,
// which the HTTP server recovers.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) { // the response may be one that ends with its connection
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			socket.ResetOnClose(conn)
			conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
