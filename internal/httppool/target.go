package httppool

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// OriginForm returns the path and query of a request that a server has received, byte for byte as they were sent. Of an absolute URI it
// returns what follows the authority, which http.Server has put into Request.Host. It returns false if the request names no path, as
// CONNECT and "OPTIONS *" do.
func OriginForm(r *http.Request) (target string, ok bool) {
	target = r.RequestURI
	if target == "" { // a request that was not received by a server
		target = r.URL.RequestURI()
	}
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	if r.URL == nil || r.URL.Scheme == "" || r.URL.Host == "" {
		return "", false
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return "", false
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/", true
	case rest[i] == '?':
		return "/" + rest[i:], true
	}
	return rest[i:], true
}

// SetTarget sets the URL of a request to a server at addr so that a Pool sends target, a path with an optional query, byte for byte.
func SetTarget(req *http.Request, addr, target string) {
	req.URL = &url.URL{Scheme: "http", Host: addr, Opaque: target}
}

// writeTo writes a request. http.Request.Write turns a path that begins with two slashes into an absolute URI, so that such a request line is
// replaced.
func writeTo(w requestWriter, req *http.Request) error {
	if strings.HasPrefix(req.URL.Opaque, "//") {
		w = &requestLineWriter{requestWriter: w, line: req.Method + " " + req.URL.Opaque + " HTTP/1.1\r\n"}
	}
	return req.Write(w)
}

// requestWriter is a writer that http.Request.Write uses without a buffer of its own.
type requestWriter interface {
	io.Writer
	io.ByteWriter
	io.ReaderFrom
}

// errRequestLine means that the first write of a request is not its request line.
var errRequestLine = errors.New("request was not written: its first line is not separate from its header")

// requestLineWriter replaces the request line, which has to be the first write.
type requestLineWriter struct {
	requestWriter
	line    string
	written bool
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(p []byte) (int, error) {
	if w.written {
		return w.requestWriter.Write(p)
	}
	w.written = true
	if bytes.IndexByte(p, '\n') != len(p)-1 {
		return 0, errRequestLine
	}
	_, err := io.WriteString(w.requestWriter, w.line)
	return len(p), err
}
