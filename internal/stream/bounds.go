package stream

import (
	"net/http"
	"time"
)

// Bound ends all reading and writing of a request's connection or stream at a time, so that a slow peer holds nothing for
// longer. It also lets the answer begin before the request's body has ended. Call it for every request: an HTTP/1 connection
// keeps the bounds of the request before.
func Bound(w http.ResponseWriter, r *http.Request, end time.Time) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(end)
	if r.ContentLength == 0 {
		return
	}
	_ = control.SetReadDeadline(end)
	if r.ProtoMajor == 1 {
		_ = control.EnableFullDuplex()
	}
}

// LeaveBody leaves the rest of a request's body unread: its connection, or its stream, ends with the answer.
func LeaveBody(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
