package logging

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedWriter blocks in Write until released is closed.
type blockedWriter struct {
	mu       sync.Mutex
	out      strings.Builder
	released chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestAsyncDoesNotBlockOnStalledOutput(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	queue := NewAsync(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = queue.Serve(ctx) }()
	log, err := New(queue, "info", "n1")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * queueCapacity
	start := time.Now()
	for i := range lines {
		log.Warn().Int("i", i).Msg("flood")
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	if lost := queue.Lost(); lost < lines-2*queueCapacity || lost > lines-queueCapacity {
		t.Errorf("%d of %d lines lost", lost, lines)
	}
	close(out.released)
	time.Sleep(20 * time.Millisecond)
	log.Info().Msg("last")
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-done
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.out.String(); !strings.Contains(text, " i=0\n") || !strings.Contains(text, `msg="log lines were lost"`) || !strings.Contains(text, "msg=last") {
		t.Error("output lacks the first line, the report of lost lines or the last line")
	}
}

func TestPairsOfAllValueTypes(t *testing.T) {
	var out strings.Builder
	log, _ := New(&out, "debug", "")
	log.Debug().Str("empty", "").Float64("f", 1.5).Bool("b", true).Strs("list", []string{"a b", "c"}).Str("line", "a\nb").Err(io.EOF).Msg("kinds")
	want := ` level=debug msg=kinds empty="" f=1.5 b=true list=["a b","c"] line="a\nb" error=EOF` + "\n"
	if got := out.String(); !strings.HasPrefix(got, "time=2") || !strings.HasSuffix(got, want) {
		t.Errorf("got %q, want a line that ends in %q", got, want)
	}
}

func BenchmarkLine(b *testing.B) {
	log, _ := New(io.Discard, "info", "obb-muc-1")
	b.ReportAllocs()
	for b.Loop() {
		logRefusal(log)
	}
}

func logRefusal(log zerolog.Logger) {
	log.Warn().Str("request", "9c41d07be2a35f68").Str("route", "r-9dnn2ct").Str("target", "i-7f3a91c2").Uint64("config", 12).
		Dur("left", 300*time.Millisecond).Str("reason", "busy").Msg("request refused")
}
