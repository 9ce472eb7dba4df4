package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/chervilwell/chervilwell/ring"
)

// Bounds of the lines between the process and whoever reads them.
const (
	// queuedLines is the number of lines that wait for the reader: some seconds of the busiest process.
	queuedLines = 4096
	// batchBytes is what is written at once.
	batchBytes = 32 << 10
	// lossInterval is the least time between two lines that tell of lost ones.
	lossInterval = time.Second
)

// Async hands lines to a writer in the background. A write never blocks: when the queue is full, the new line is lost and counted,
// so that the beginning of a trouble is kept.
type Async struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	told  uint64
	next  time.Time
}

// NewAsync returns a queue in front of out; Serve writes it.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: ring.New[[]byte](queuedLines, ring.Refuse)}
}

// Write implements io.Writer. It always takes the line.
func (a *Async) Write(p []byte) (int, error) {
	a.lines.Put(bytes.Clone(p))
	return len(p), nil
}

// Lost returns the number of lines lost.
func (a *Async) Lost() uint64 { return a.lines.Dropped() }

// Serve writes lines until ctx ends, then those that are left. It is a suture service.
func (a *Async) Serve(ctx context.Context) error {
	for {
		line, err := a.lines.Get(ctx)
		if err != nil {
			a.write(nil)
			return err
		}
		a.write(line)
	}
}

// String names the service in the supervisor's logs.
func (a *Async) String() string { return "log writer" }

// write writes a line and those that have queued up behind it.
func (a *Async) write(line []byte) {
	batch := append(make([]byte, 0, len(line)+512), line...)
	for len(batch) < batchBytes {
		next, ok := a.lines.TryGet()
		if !ok {
			break
		}
		batch = append(batch, next...)
	}
	if lost, now := a.Lost(), time.Now(); lost > a.told && !now.Before(a.next) {
		batch = fmt.Appendf(batch, "time=%s level=warn msg=\"log lines were lost\" count=%d\n", now.UTC().Format(timeFormat), lost-a.told)
		a.told, a.next = lost, now.Add(lossInterval)
	}
	if len(batch) > 0 {
		_, _ = a.out.Write(batch) // there is nowhere left to tell of a failure
	}
}
