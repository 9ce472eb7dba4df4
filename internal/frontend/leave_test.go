package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// leaveTimeout is the time after a caller has left within which work for it has to end.
const leaveTimeout = 400 * time.Millisecond

// sendRaw sends a request with a body of the given size on a connection of its own.
func sendRaw(t *testing.T, f *fleet, method, path string, bodyBytes int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.members[0].url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nChervilwell-Organisation: haulier-a\r\nContent-Length: %d\r\n\r\n", method, path, bodyBytes)
	if _, err := io.WriteString(conn, head+strings.Repeat("b", bodyBytes)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// holdsWithin polls condition and reports whether it holds before the timeout.
func holdsWithin(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Guards against a request with an unread body that waits on in the target's queue after its caller has left, and then runs.
func TestCallerLeavesQueuedRequest(t *testing.T) {
	for _, bodyBytes := range []int{0, 5, 40_000, 1 << 20} {
		t.Run(fmt.Sprintf("body of %d bytes", bodyBytes), func(t *testing.T) {
			var runs atomic.Int64
			release := make(chan struct{})
			target := func(int) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1); r.URL.Path == "/order/first" {
						<-release
					}
				})
			}
			onBothPaths(t, target, func(t *testing.T, f *fleet) {
				runs.Store(0)
				release = make(chan struct{})
				f.catalogue.Revision++
				f.catalogue.Services[0].Limits.Slots, f.catalogue.Services[0].Limits.ColdSlots = 1, 1
				f.publish()
				queued := func() int {
					n := 0
					for _, m := range f.members {
						n += m.gatekeeper.Load().Queued
					}
					return n
				}
				sendRaw(t, f, "GET", "/order/first", 0)
				if !holdsWithin(5*time.Second, func() bool { return runs.Load() == 1 }) {
					t.Fatal("the first request does not run")
				}
				second := sendRaw(t, f, "POST", "/order/second", bodyBytes)
				if !holdsWithin(5*time.Second, func() bool { return queued() == 1 }) {
					t.Fatal("the second request is not queued")
				}
				second.Close()
				if !holdsWithin(leaveTimeout, func() bool { return queued() == 0 }) {
					t.Errorf("the request is still queued %v after its caller has left", leaveTimeout)
				}
				close(release)
				const settle = 200 * time.Millisecond
				if holdsWithin(settle, func() bool { return runs.Load() > 1 }) {
					t.Error("the request ran although its caller had left")
				}
			})
		})
	}
}

// Guards against a target that works on for a caller that has left, hidden by bytes beyond the request.
func TestCallerLeavesAfterExtraBytes(t *testing.T) {
	running, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	blockUntilCancelled := func(int) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			running <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		})
	}
	onBothPaths(t, blockUntilCancelled, func(t *testing.T, f *fleet) {
		conn := sendRaw(t, f, "GET", "/stock/x", 0)
		<-running
		if _, err := io.WriteString(conn, "\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		conn.Close()
		select {
		case <-ended:
		case <-time.After(leaveTimeout):
			t.Errorf("target still runs the request %v after its caller has left", leaveTimeout)
			<-ended
		}
	})
}
