package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/intake"
	"github.com/chervilwell/chervilwell/internal/clock"
)

// Headers between a frontend and a gatekeeper, in canonical form.
const (
	// hopHeader describes a call: target, life, route, caller's service, priority, repeatable, useful and left milliseconds.
	hopHeader = "Chervilwell-Hop"
	// hopAnswerHeader describes an outcome, see formatOutcome.
	hopAnswerHeader = "Chervilwell-Hop-Answer"
)

// ErrHop says that a message between processes is not of the form that this version speaks.
var ErrHop = errors.New("message between processes is malformed; run the same version everywhere")

// formatCall writes the hop header of a call.
func formatCall(c *call, now time.Time) string {
	b := make([]byte, 0, 96)
	b = append(append(b, c.targetID...), ' ')
	b = append(strconv.AppendInt(b, c.born, 10), ' ')
	b = append(append(b, c.route...), ' ')
	b = append(append(b, c.caller...), ' ')
	b = append(strconv.AppendInt(b, int64(c.priority), 10), ' ')
	b = append(strconv.AppendBool(b, c.repeatable), ' ')
	b = append(strconv.AppendInt(b, c.useful.Sub(now).Microseconds(), 10), ' ')
	b = strconv.AppendInt(b, c.end.Sub(now).Microseconds(), 10)
	return string(b)
}

// callFields is the number of fields of a hop header.
const callFields = 8

// parseCall reads the hop header of a call.
func parseCall(text string, now time.Time, c *call) error {
	f := strings.Split(text, " ")
	if len(f) != callFields {
		return ErrHop
	}
	n := numbers{}
	c.targetID, c.born, c.route, c.caller = f[0], n.parse(f[1]), f[2], f[3]
	c.priority, c.repeatable = int(n.parse(f[4])), f[5] == "true"
	c.useful = now.Add(time.Duration(n.parse(f[6])) * time.Microsecond)
	c.end = now.Add(time.Duration(n.parse(f[7])) * time.Microsecond)
	return n.err
}

// numbers parses integers and keeps the first error.
type numbers struct{ err error }

func (n *numbers) parse(s string) int64 {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && n.err == nil {
		n.err = errors.Wrap(ErrHop, s)
	}
	return v
}

// formatOutcome writes the hop answer: run, reason, arrived, leaving, revision, times taken, held and to come back, and the load.
func formatOutcome(o *outcome) string {
	b := make([]byte, 0, 96)
	reason := o.reason
	if reason == "" {
		reason = reasonNone
	}
	b = append(strconv.AppendInt(b, int64(o.run), 10), ' ')
	b = append(append(b, reason...), ' ')
	b = append(strconv.AppendBool(b, o.arrived), ' ')
	b = append(strconv.AppendBool(b, o.leaving), ' ')
	b = append(strconv.AppendUint(b, o.revision, 10), ' ')
	b = append(strconv.AppendInt(b, o.took.Microseconds(), 10), ' ')
	b = append(strconv.AppendInt(b, o.held.Microseconds(), 10), ' ')
	b = strconv.AppendInt(b, o.back.Microseconds(), 10)
	if l := o.load; l != nil {
		for _, n := range [...]int64{
			int64(l.Running), int64(l.Waiting), int64(l.Slots),
			l.Wait.Microseconds(), l.Interval.Microseconds(), l.Inbound.Microseconds(),
		} {
			b = strconv.AppendInt(append(b, ' '), n, 10)
		}
		b = strconv.AppendBool(append(b, ' '), l.Cold)
		b = strconv.AppendBool(append(b, ' '), l.Narrow)
	}
	return string(b)
}

const (
	outcomeFields     = 8
	outcomeLoadFields = 16
)

// parseOutcome reads a hop answer into o.
func parseOutcome(text string, o *outcome) error {
	f := strings.Split(text, " ")
	if len(f) != outcomeFields && len(f) != outcomeLoadFields {
		return ErrHop
	}
	n := numbers{}
	o.run, o.reason = run(n.parse(f[0])), f[1]
	o.arrived, o.leaving = f[2] == "true", f[3] == "true"
	o.revision = uint64(n.parse(f[4]))
	o.took = time.Duration(n.parse(f[5])) * time.Microsecond
	o.held = time.Duration(n.parse(f[6])) * time.Microsecond
	o.back = time.Duration(n.parse(f[7])) * time.Microsecond
	if len(f) == outcomeLoadFields {
		o.load = &intake.Load{
			Running: int(n.parse(f[8])), Waiting: int(n.parse(f[9])), Slots: int(n.parse(f[10])),
			Wait:     time.Duration(n.parse(f[11])) * time.Microsecond,
			Interval: time.Duration(n.parse(f[12])) * time.Microsecond,
			Inbound:  time.Duration(n.parse(f[13])) * time.Microsecond,
			Cold:     f[14] == "true",
			Narrow:   f[15] == "true",
		}
	}
	if o.run > unknown {
		return ErrHop
	}
	return n.err
}

// writeOutcome answers a frontend's request.
func writeOutcome(w http.ResponseWriter, o *outcome) error {
	h := w.Header()
	h[hopAnswerHeader] = []string{formatOutcome(o)}
	if o.run != ran {
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	for name, values := range o.header {
		h[name] = values
	}
	return writeBody(w, o)
}

// writeBody sends the head and body of an answer. An error means that it was not sent whole and its connection has to break.
func writeBody(w http.ResponseWriter, o *outcome) error {
	h := w.Header()
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	if o.stream == nil {
		h["Content-Length"] = []string{strconv.Itoa(len(o.body))}
		w.WriteHeader(o.status)
		_, err := w.Write(o.body)
		return err
	}
	defer o.stream.Close()
	delete(h, "Content-Length")
	if o.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(o.length, 10)}
	}
	w.WriteHeader(o.status)
	n, err := io.Copy(w, o.stream)
	if err == nil && o.length >= 0 && n != o.length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// left returns the time until t.
func left(t time.Time) time.Duration { return t.Sub(clock.Now()) }
