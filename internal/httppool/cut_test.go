package httppool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// cutServer answers each request with response and then ends the connection.
type cutServer struct {
	response string
	// readBody is set if the request is read to its end before the response.
	readBody bool
	// reset is set if the connection is reset instead of closed.
	reset bool
}

// start returns a pool of connections to the server.
func (s cutServer) start(t *testing.T) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	p := New(Config{
		Dial: func(ctx context.Context) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", l.Addr().String())
		},
		MaxConns: 1, MaxIdle: 1, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
	})
	t.Cleanup(p.Close)
	return p
}

func (s cutServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if s.readBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(conn, s.response)
	if s.reset {
		time.Sleep(5 * time.Millisecond) // lets the client read what was sent
		_ = conn.SetLinger(0)
	}
}

// Guards against a part of a response that is taken for the whole: a connection that ends before the request was written, or by a reset, does
// not complete a response that ends with it. Other responses are complete by their own framing.
func TestResponseIsCompleteOnlyAtOrderlyEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	framings := map[string]func(string) (whole, part string){
		"length": func(body string) (string, string) {
			return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body, head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1) + body
		},
		"chunked": func(body string) (string, string) {
			chunk := head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
			return chunk + "0\r\n\r\n", chunk
		},
		"until close": func(body string) (string, string) { return head + "\r\n" + body, "" },
	}
	for framing, format := range framings {
		for _, responseBytes := range []int{5, 3000, 2 << 20} {
			whole, part := format(strings.Repeat("r", responseBytes))
			for _, requestBytes := range []int{0, 10, 300 << 10, 6 << 20} {
				for _, sized := range []bool{true, false} {
					for _, server := range []cutServer{{whole, true, false}, {whole, false, false}, {whole, true, true}, {whole, false, true}, {part, true, false}, {part, false, true}} {
						if server.response == "" || requestBytes == 0 && !(sized && server.readBody) {
							continue
						}
						name := fmt.Sprintf("%s %d, request of %d, %+v", framing, responseBytes, requestBytes, []bool{sized, server.response == whole, server.readBody, server.reset})
						t.Run(name, func(t *testing.T) {
							untilClose := framing == "until close"
							got, err := server.exchange(t, requestBytes, sized)
							switch {
							case server.response == part && err == nil, untilClose && server.reset && err == nil:
								t.Errorf("a cut response of %d bytes is complete", got)
							case untilClose && !server.readBody && requestBytes > 4<<20 && err == nil:
								t.Errorf("a response of %d bytes is complete although the request was not read", got)
							case server.response == whole && server.readBody && !server.reset && (err != nil || got != responseBytes):
								t.Errorf("a whole response has %d bytes, %v", got, err)
							}
						})
					}
				}
			}
		}
	}
}

// exchange sends a request with a body and returns the number of bytes of the response's body, and the error with which it ended.
func (s cutServer) exchange(t *testing.T, requestBytes int, sized bool) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var body io.Reader
	if requestBytes > 0 {
		body = bytes.NewReader(make([]byte, requestBytes))
	}
	req := newRequest(t, ctx, http.MethodPost, body)
	if !sized {
		req.ContentLength = -1
	}
	p := s.start(t)
	resp, err := p.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if p.Idle() > 0 && s.readBody == false && requestBytes > 4<<20 {
		t.Error("a connection is kept although the request was not written")
	}
	return len(data), err
}

// A server that answers instead of asking for the body has all that it wants of the request.
func TestResponseToDeclinedBodyIsComplete(t *testing.T) {
	s := cutServer{response: "HTTP/1.1 503 X\r\n\r\nbusy"}
	req := newRequest(t, t.Context(), http.MethodPost, bytes.NewReader(make([]byte, 6<<20)))
	req.Header.Set("Expect", ExpectContinue)
	resp, err := s.start(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if data, err := io.ReadAll(resp.Body); err != nil || string(data) != "busy" {
		t.Errorf("got %q, %v", data, err)
	}
}
