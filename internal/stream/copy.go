// Package stream copies HTTP messages between connections without holding them in memory.
package stream

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// bufferBytes is the size of a copy buffer.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// ErrTruncated says that an answer ended before its announced length.
var ErrTruncated = errors.New("answer ended before its announced length; its connection is aborted")

// CopyHeaders adds the end-to-end headers of src to dst, without those of the system.
func CopyHeaders(dst, src http.Header) {
	headers.StripHopByHop(src)
	headers.StripInternal(src)
	for name, values := range src {
		dst[name] = values
	}
}

// KeepUserAgent keeps the transport from naming itself in requests that name no user agent.
func KeepUserAgent(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
}

// CopyBody writes a response's body to w and closes it. It returns an error unless the whole body was written; the caller
// then has to abort its connection, so that the receiver can't take the part for the whole.
// A body of unknown length is flushed as it comes.
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
				return total, errors.Wrap(err, "receiver went away")
			}
			total += int64(n)
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, errors.Wrap(readErr, "answer broke off")
		}
		if n > 0 && flusher != nil {
			flusher.Flush()
		}
	}
}

// AnnounceTrailers declares the trailers of a response to its receiver. Call it before the header is written.
func AnnounceTrailers(w http.ResponseWriter, resp *http.Response) {
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
}

// CopyTrailers writes the announced trailers. Call it after the whole body was copied.
func CopyTrailers(w http.ResponseWriter, resp *http.Response) {
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
}

// Answer writes a whole response. If the body can't be written whole it aborts the connection by panicking with
// http.ErrAbortHandler, which the HTTP server recovers. A broken function, if any, is told first.
func Answer(w http.ResponseWriter, resp *http.Response, broken func(error)) {
	CopyHeaders(w.Header(), resp.Header)
	AnnounceTrailers(w, resp)
	w.WriteHeader(resp.StatusCode)
	if err := CopyBody(w, resp); err != nil {
		if broken != nil {
			broken(err)
		}
		panic(http.ErrAbortHandler)
	}
	CopyTrailers(w, resp)
}
