package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/chervilwell/chervilwell/internal/bodyroom"
)

// endlessBody is a response body that never ends.
type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

func (endlessBody) Close() error { return nil }

// heap returns the bytes in use.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against a faulty service that ends the process for want of memory: each response without end, and each long one, is held up to a
// limit of its own, and there may be any number of them at a time.
func TestResponsesWithoutEndAreBoundedTogether(t *testing.T) {
	const calls, slack = 300, 4 << 20
	for name, length := range map[string]int64{"no length": -1, "a length of 1 MiB": maxBufferedResponse} {
		t.Run(name, func(t *testing.T) {
			room, before := newResponseRoom(bodyroom.NewRoom(maxBufferedResponses)), heap()
			ctx, cancel := context.WithCancel(t.Context())
			outcomes := make([]outcome, calls)
			for i := range outcomes {
				resp := &http.Response{ContentLength: length, Body: endlessBody{}}
				if length > 0 {
					resp.Body = io.NopCloser(io.LimitReader(endlessBody{}, length))
				}
				if err := room.buffer(ctx, resp, &outcomes[i]); err != nil {
					t.Fatal(err)
				}
			}
			if held := int64(heap()) - int64(before); held > maxBufferedResponses+calls*smallResponse+slack {
				t.Errorf("%d calls hold %d bytes", calls, held)
			}
			small := outcome{}
			resp := &http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, smallResponse-1)))}
			if err := room.buffer(ctx, resp, &small); err != nil || small.stream != nil {
				t.Errorf("a small response is not read completely beside the others: %v", err)
			}
			runtime.KeepAlive(outcomes)
			cancel()
			for !room.free.TryAcquire(maxBufferedResponses) {
				runtime.Gosched() // the room is released concurrently
			}
			for !room.shared.TryAcquire(maxBufferedResponses) {
				runtime.Gosched()
			}
		})
	}
}
