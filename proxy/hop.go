package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/gate"
	"github.com/chervilwell/chervilwell/internal/bodyroom"
	"github.com/chervilwell/chervilwell/internal/clock"
	"github.com/chervilwell/chervilwell/internal/connlimit"
	"github.com/chervilwell/chervilwell/quarantine"
)

// Headers between a frontend and a gatekeeper, in canonical form.
const (
	// hopHeader describes a call: target ID, start of the target's incarnation, route, caller's service, priority,
	// retryable, the microseconds left to the soft deadline and to the deadline, and the fingerprint.
	hopHeader = "Chervilwell-Hop"
	// hopResponseHeader describes an outcome; see formatOutcome.
	hopResponseHeader = "Chervilwell-Hop-Answer"
	// hopQuarantineHeader holds, in both directions, a quarantine.Notice: what the sender knows of a request that has been in flight at a
	// crash. In a call it also states that the call's target is the home of the request.
	hopQuarantineHeader = "Chervilwell-Hop-Quarantine"
)

// ErrMalformedMessage is returned if a message between instances does not have the format of this version.
var ErrMalformedMessage = errors.New("message between processes is malformed; run the same version everywhere")

// formatCall encodes the hop header of a call.
func formatCall(c *call, now time.Time) string {
	b := make([]byte, 0, 96)
	b = append(append(b, c.targetID...), ' ')
	b = append(strconv.AppendInt(b, c.startedMs, 10), ' ')
	b = append(append(b, c.route...), ' ')
	b = append(append(b, c.caller...), ' ')
	b = append(strconv.AppendInt(b, int64(c.priority), 10), ' ')
	b = append(strconv.AppendBool(b, c.retryable), ' ')
	b = append(strconv.AppendInt(b, c.softDeadline.Sub(now).Microseconds(), 10), ' ')
	b = append(strconv.AppendInt(b, c.deadline.Sub(now).Microseconds(), 10), ' ')
	b = strconv.AppendUint(b, uint64(c.fingerprint), 16)
	return string(b)
}

// callFields is the number of fields of a hop header.
const callFields = 9

// parseCall decodes a hop header into c. An error wraps ErrMalformedMessage.
func parseCall(text string, now time.Time, c *call) error {
	f := strings.Split(text, " ")
	if len(f) != callFields {
		return ErrMalformedMessage
	}
	n := fieldParser{}
	c.targetID, c.startedMs, c.route, c.caller = f[0], n.parse(f[1]), f[2], f[3]
	c.priority, c.retryable = int(n.parse(f[4])), f[5] == "true"
	c.softDeadline = now.Add(time.Duration(n.parse(f[6])) * time.Microsecond)
	c.deadline = now.Add(time.Duration(n.parse(f[7])) * time.Microsecond)
	fingerprint, err := strconv.ParseUint(f[8], 16, 64)
	if err != nil {
		return errors.Wrap(ErrMalformedMessage, f[8])
	}
	c.fingerprint = quarantine.Fingerprint(fingerprint)
	return n.err
}

// fieldParser parses integers and keeps the first error.
type fieldParser struct{ err error }

func (n *fieldParser) parse(s string) int64 {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && n.err == nil {
		n.err = errors.Wrap(ErrMalformedMessage, s)
	}
	return v
}

// formatOutcome encodes the hop response header: run, reason, arrived, leaving, targetLeaving, revision; took, gatekeeperTime and
// retryAfter in microseconds; the load if there is one; and that of the outgoing link if large responses leave over it.
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
	b = append(strconv.AppendBool(b, o.targetLeaving), ' ')
	b = append(strconv.AppendUint(b, o.revision, 10), ' ')
	b = append(strconv.AppendInt(b, o.took.Microseconds(), 10), ' ')
	b = append(strconv.AppendInt(b, o.gatekeeperTime.Microseconds(), 10), ' ')
	b = strconv.AppendInt(b, o.retryAfter.Microseconds(), 10)
	if l := o.load; l != nil {
		for _, n := range [...]int64{
			int64(l.Running), int64(l.Waiting), int64(l.Slots), int64(l.Free),
			l.Wait.Microseconds(), l.Interval.Microseconds(), l.InboundWait.Microseconds(),
		} {
			b = strconv.AppendInt(append(b, ' '), n, 10)
		}
		b = strconv.AppendBool(append(b, ' '), l.Cold)
		b = strconv.AppendBool(append(b, ' '), l.ReserveInbound)
		if l.OutboundRate > 0 {
			b = strconv.AppendInt(append(b, ' '), int64(l.OutboundRate), 10)
			b = strconv.AppendInt(append(b, ' '), l.OutboundWait.Microseconds(), 10)
		}
	}
	return string(b)
}

const (
	outcomeFields     = 9
	outcomeLoadFields = 18
	// outcomeLinkFields is the number of fields of an outcome whose load includes that of the outgoing link.
	outcomeLinkFields = 20
)

// parseOutcome decodes a hop response header into o. An error wraps ErrMalformedMessage.
func parseOutcome(text string, o *outcome) error {
	f := strings.Split(text, " ")
	if len(f) != outcomeFields && len(f) != outcomeLoadFields && len(f) != outcomeLinkFields {
		return ErrMalformedMessage
	}
	n := fieldParser{}
	o.run, o.reason = run(n.parse(f[0])), f[1]
	o.arrived, o.leaving, o.targetLeaving = f[2] == "true", f[3] == "true", f[4] == "true"
	o.revision = uint64(n.parse(f[5]))
	o.took = time.Duration(n.parse(f[6])) * time.Microsecond
	o.gatekeeperTime = time.Duration(n.parse(f[7])) * time.Microsecond
	o.retryAfter = time.Duration(n.parse(f[8])) * time.Microsecond
	if len(f) >= outcomeLoadFields {
		o.load = &gate.Load{
			Running: int(n.parse(f[9])), Waiting: int(n.parse(f[10])), Slots: int(n.parse(f[11])), Free: int(n.parse(f[12])),
			Wait:           time.Duration(n.parse(f[13])) * time.Microsecond,
			Interval:       time.Duration(n.parse(f[14])) * time.Microsecond,
			InboundWait:    time.Duration(n.parse(f[15])) * time.Microsecond,
			Cold:           f[16] == "true",
			ReserveInbound: f[17] == "true",
		}
	}
	if len(f) == outcomeLinkFields {
		o.load.OutboundRate = float64(n.parse(f[18]))
		o.load.OutboundWait = time.Duration(n.parse(f[19])) * time.Microsecond
	}
	if o.run > unknown {
		return ErrMalformedMessage
	}
	return n.err
}

// writeOutcome writes the response to a frontend's request. See writeBody for the error.
func writeOutcome(w http.ResponseWriter, o *outcome) error {
	h := w.Header()
	h[hopResponseHeader] = []string{formatOutcome(o)}
	setQuarantineNotice(h, o.notice)
	if o.run != ran {
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	for name, values := range o.header {
		if name != hopQuarantineHeader {
			h[name] = values
		}
	}
	return writeBody(w, o)
}

// writeBody writes the status, header and body of a response. After an error the response is incomplete and the connection
// has to be aborted.
func writeBody(w http.ResponseWriter, o *outcome) error {
	h := w.Header()
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // disables content type detection
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

// deliver records that the response to the request with the given context is being written, if it holds memory of room or the connection
// that it is read from. The caller must call done after the last write.
func deliver(ctx context.Context, room *bodyroom.Room, o *outcome) (done func()) {
	client := connlimit.ClientOf(ctx)
	switch {
	case client == nil || o.run != ran:
	case o.stream != nil:
		return room.Deliver(client, 0, o.via).Close
	case len(o.body) > smallResponse:
		return room.Deliver(client, int64(len(o.body)), nil).Close
	}
	return func() {}
}

// answerEarly makes the server send a response at once although the rest of the request's body may not have been read, if there is any. By
// default it waits for a sender that pauses. The rest is discarded, and the connection closed if it is long.
func answerEarly(w http.ResponseWriter, rest bool) {
	if rest {
		_ = http.NewResponseController(w).EnableFullDuplex() // fails only for protocols that never wait
	}
}

// remaining returns the time until t.
func remaining(t time.Time) time.Duration { return t.Sub(clock.Now()) }
