package httppool

import (
	"testing"

	"github.com/pkg/errors"
)

// Guards against an answer of a server in trouble that is passed on as one: only 200 to 599 are final status codes.
func TestStatusOutsideRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "+20", "-20", "2x0", "600", "999", "1000"} {
		s := newScriptedServer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok"+completeResponse)
		if got, err := get(t, s.pool(t)); err == nil || errors.Is(err, ErrNotWritten) {
			t.Errorf("status %s: got %q, %v", status, got, err)
		}
	}
	for _, status := range []string{"200", "299", "404", "599"} {
		s := newScriptedServer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
		if got, err := get(t, s.pool(t)); err != nil || got != "ok" {
			t.Errorf("status %s: got %q, %v", status, got, err)
		}
	}
}
