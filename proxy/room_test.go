package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/chervilwell/chervilwell/mesh"
)

// Guards against bodies that are bounded one by one but not together: without room a request is refused, with a return time and unrun; small
// bodies need none.
func TestRequestWithoutRoomForItsBodyIsRefused(t *testing.T) {
	c := startCluster(t, mesh.Once)
	room := c.nodes[0].gatekeeper.bodies
	if !room.TryAcquire(maxWaitingBodies) {
		t.Fatal("the room is not free")
	}
	long := strings.Repeat("x", 10*smallBody)
	resp, _ := c.send(t, http.MethodPost, "/a/", long)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, body := c.send(t, http.MethodPost, "/a/", long[:smallBody]); resp.StatusCode != http.StatusOK {
		t.Errorf("small body: %d %q", resp.StatusCode, body)
	}
	room.Release(maxWaitingBodies)
	if resp, body := c.send(t, http.MethodPost, "/a/", long); resp.StatusCode != http.StatusOK {
		t.Errorf("with room: %d %q", resp.StatusCode, body)
	}
	if n := len(c.nodes[0].target.requests()) + len(c.nodes[1].target.requests()); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
	if held := room.Usage().Held; held != 0 {
		t.Errorf("%d bytes are held after the requests", held)
	}
}

// Guards against a request that is refused before its body is read, and whose caller then never sends the rest.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	c := startCluster(t, mesh.Once)
	caller := c.caller(t)
	if _, err := fmt.Fprint(caller, "POST /a/ HTTP/1.1\r\nHost: elsewhere.example\r\nContent-Length: 100\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Fatalf("%v, %v", resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
}
