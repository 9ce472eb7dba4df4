// Package unreadbody answers HTTP/1.1 requests whose bodies their handlers do not read, or not to the end. By default, net/http sends such
// a response only after it has received the rest of the body, and keeps the connection in use until then.
package unreadbody

import (
	"io"
	"net/http"
	"time"

	"github.com/chervilwell/chervilwell/internal/connlimit"
)

const (
	// maxBytes is the length up to which the rest of a body is received so that its connection can carry another request.
	maxBytes = 256 << 10
	// restTimeout is the time in which the rest has to arrive.
	restTimeout = 5 * time.Second
	// closingTimeout replaces restTimeout if the connection is closed after the response. Reading on for a short time lets the response
	// reach a client that is still sending.
	closingTimeout = 500 * time.Millisecond
)

// Limit limits the time for which the server reads a body that no handler reads.
func Limit(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout)) // fails only if the connection is closed
	}
}

// Respond makes the server send the response at once, whatever is left of the body. It must be called before the header of the response is
// written. The handler must call Receive afterwards.
func Respond(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex() // fails only for protocols that never wait for the body
	if r.ContentLength > maxBytes {
		w.Header().Set("Connection", "close")
	}
}

// Receive sends what has been written of the response and receives the rest of body, the original body of r, for a limited time. Meanwhile
// the connection may be closed in favour of others. If the rest does not arrive, Receive panics with http.ErrAbortHandler: the server would
// take it for the next request.
func Receive(w http.ResponseWriter, r *http.Request, body io.Reader) {
	if r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		panic(http.ErrAbortHandler) // the connection is closed
	}
	connlimit.Answered(r.Context())
	closing := w.Header().Get("Connection") == "close"
	timeout := restTimeout
	if closing {
		timeout = closingTimeout
	}
	_ = control.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	// Without an error the rest is longer than maxBytes, and the server closes the connection.
	if _, err := io.CopyN(io.Discard, body, maxBytes); err != nil && err != io.EOF && !closing {
		panic(http.ErrAbortHandler)
	}
}

// Handler returns a handler that calls next, which must not read bodies.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := r.Body
		Limit(w, r)
		Respond(w, r)
		next.ServeHTTP(w, r)
		Receive(w, r, body)
	})
}
