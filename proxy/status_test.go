package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/chervilwell/chervilwell/mesh"
)

// Guards against a status that HTTP doesn't define reaching a caller.
func TestStatusOutsideRangeIsNotPassedOn(t *testing.T) {
	for i, name := range bothTargets {
		c := startCluster(t, mesh.Once)
		c.markLeaving(1 - i)
		for _, status := range []string{"000", "099", "020", "1000", "-20", "2x0", "600", "999"} {
			c.nodes[i].target.set(func(conn net.Conn, _ *http.Request, s received) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", status, s.id, signed)
				return false
			})
			if got, _, complete := c.exchange(t, "x"); got != http.StatusBadGateway || !complete {
				t.Errorf("%s, status %s: got %d", name, status, got)
			}
		}
	}
}
