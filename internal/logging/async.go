package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/chervilwell/chervilwell/ring"
)

// Limits and intervals of Async.
const (
	// queueCapacity is the number of lines that wait for the writer: several seconds of output of the busiest process.
	queueCapacity = 4096
	// batchBytes is the size in bytes at which a batch of lines is written.
	batchBytes = 32 << 10
	// lossReportInterval is the minimum time between two reports of lost lines.
	lossReportInterval = time.Second
)

// Async is an io.Writer that queues log lines and writes them in the background. Write never blocks: if the queue is full, the
// new line is dropped and counted. The oldest lines are kept, since they show how a fault began.
type Async struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	// lostReported is the number of lost lines reported so far; the next report is due at nextReport.
	lostReported uint64
	nextReport   time.Time
}

// NewAsync returns an Async that writes to out while Serve runs.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: ring.New[[]byte](queueCapacity, ring.Refuse)}
}

// Write implements io.Writer. It queues a copy of p and never returns an error.
func (a *Async) Write(p []byte) (int, error) {
	a.lines.Put(bytes.Clone(p))
	return len(p), nil
}

// Lost returns the number of lines dropped because the queue was full.
func (a *Async) Lost() uint64 { return a.lines.Dropped() }

// Serve writes queued lines until ctx is done, then those that remain. It implements suture.Service.
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

// write writes the given line together with queued lines, up to about batchBytes.
func (a *Async) write(line []byte) {
	batch := append(make([]byte, 0, len(line)+512), line...)
	for len(batch) < batchBytes {
		next, ok := a.lines.TryGet()
		if !ok {
			break
		}
		batch = append(batch, next...)
	}
	if lost, now := a.Lost(), time.Now(); lost > a.lostReported && !now.Before(a.nextReport) {
		batch = fmt.Appendf(batch, "time=%s level=warn msg=\"log lines were lost\" count=%d\n", now.UTC().Format(timeFormat), lost-a.lostReported)
		a.lostReported, a.nextReport = lost, now.Add(lossReportInterval)
	}
	if len(batch) > 0 {
		_, _ = a.out.Write(batch) // a failure to write the log cannot be logged
	}
}
