// Package trail collects the log lines of all processes about one request and explains the outcome of the request.
package trail

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/events"
)

// Line is a parsed log line.
type Line struct {
	Time     time.Time
	Event    string
	Instance string
	// Pairs holds the fields in the order of the line, without time, level, msg and instance.
	Pairs []Pair
}

// Pair is a field of a log line.
type Pair struct{ Key, Value string }

// Get returns the value of the field key, or "" if the line has no such field.
func (l Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// ErrLine is returned for a line that does not consist of key=value pairs with time and msg.
var ErrLine = errors.New("line has no time=... and msg=...; pass unmodified log lines of the daemons")

// Parse parses a line. Text before time= is ignored. Returns ErrLine (wrapped) if the line is not a log line of a daemon.
func Parse(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, ErrLine
	}
	var l Line
	for rest := text[start:]; rest != ""; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			return Line{}, ErrLine
		}
		value, next := cutValue(after)
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, errors.Wrap(ErrLine, value)
			}
			l.Time = at
		case "msg":
			l.Event = value
		case "instance":
			l.Instance = value
		case "level":
		default:
			l.Pairs = append(l.Pairs, Pair{key, value})
		}
		rest = next
	}
	if l.Event == "" || l.Time.IsZero() {
		return Line{}, ErrLine
	}
	return l, nil
}

// cutValue splits text after its leading value, which may be quoted, and removes the following space.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil && strings.HasPrefix(text, `"`) {
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(strings.TrimRight(text, "\r\n"), " ")
	return value, rest
}

// maxLineBytes is the length limit of a log line.
const maxLineBytes = 1 << 20

// Collect returns the lines about the request id, ordered by time. Lines that Parse does not accept are ignored. It
// returns an error if a log cannot be read.
func Collect(id string, logs ...io.Reader) ([]Line, error) {
	var out []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if !strings.Contains(scanner.Text(), id) {
				continue
			}
			if l, err := Parse(scanner.Text()); err == nil && l.Get("request") == id {
				out = append(out, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "log cannot be read completely")
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out, nil
}

// causes describes each reason for operators.
var causes = map[string]string{
	"busy":             "no gate expected a free slot in time; check waiting and wait of the refused calls, and which targets of the service were listed",
	"rate-limited":     "the targets limit their rate and leave no room in time; see which state a limit, and since when",
	"leaving":          "the target or its process was stopping, and no untried target remained",
	"moved":            "another target had taken over the address; the frontend's list was out of date, compare the revisions",
	"target-down":      "the target accepted no connection; check whether it crashed",
	"shed":             "the target itself refused the request although its gate had a free slot",
	"broken":           "the connection to the target failed after the request was sent; it is not known whether the request ran",
	"unsigned":         "the response did not carry the target's signature and was not returned to the caller",
	"timeout":          "the timeout of the request or of its route expired; the attempts show where the time was spent",
	"cancelled":        "the caller disconnected, or another attempt responded first",
	"unreachable":      "the process beside the target could not be reached",
	"peer-broken":      "the connection to the process beside the target failed after the request was sent; it is not known whether the request ran",
	"no-target":        "no target of the service was listed and in service in the route's home regions",
	"link-busy":        "a link on the path of the request body is saturated: the link of the target's machine or the link to the only region with targets; small requests are still accepted",
	"over-quota":       "the organisation's quota over all processes left no room; the cause of the line \"organisation is over its quota\" tells whether it exceeds its quota, or this process had no reply of a collector",
	"unknown-key":      "no organisation of the configuration in force holds the key of the request",
	"stale-keys":       "the process had no contact with the store for so long that it could not know whether the key is valid",
	"no-configuration": "the process had just started and had no configuration yet",
	"no-route":         "the configuration in force had no route for the host and path; compare its version with the version in force in other processes",
	"no-room":          "the process had no memory for the request's body; chervilwell_body_bytes shows what is in use",
	"stalled":          "the caller paused in the middle of the body while others needed its room or its slot",
	"suspected":        "the request was in flight when a target crashed and runs only at one target until that answers it; another suspect was running there",
	"quarantined":      "the request crashed the targets that ran it; it must not be sent again, and the owner of the service has to find the cause",
	"body-too-long":    "the request body exceeded the limit of the configuration",
}

// Cause describes in one sentence how the request ended and why.
func Cause(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		switch l.Event {
		case events.RequestAnswered:
			return fmt.Sprintf("answered with status %s by %s after %s ms", l.Get("status"), l.Get("target"), l.Get("took"))
		case events.NoRoute:
			return fmt.Sprintf("configuration %s has no route for %s%s", l.Get("config"), l.Get("host"), l.Get("path"))
		case events.KeyRefused:
			return fmt.Sprintf("key refused with status 401: no organisation of configuration %s, in force with an age of %s ms, holds it; compare with the version that added or removed the key", l.Get("config"), l.Get("age"))
		case events.QuotaRefused:
			return "refused with status 429 by the quota of organisation " + l.Get("organisation") + ": " + describeQuota(l)
		case events.RequestRefused, events.RequestFailed:
			if l.Get("reason") == overQuota && i > 0 && lines[i-1].Event == events.QuotaRefused {
				continue // that line says more
			}
			return fmt.Sprintf("%s with status %s (%s): %s", l.Event, l.Get("status"), l.Get("reason"), describeReason(l))
		}
	}
	return "the logs do not show how the request ended; add the log of the instance that received it from the caller"
}

// overQuota is the reason of requests that were refused by the quota of their organisation.
const overQuota = "over-quota"

// describeQuota describes a refusal by a quota.
func describeQuota(l Line) string {
	switch l.Get("cause") {
	case "unreported":
		return "the process had admitted as many requests as it may between two reports; this is rare unless demand has just moved to it, or reports fail"
	case "no-collector":
		return "no collector replied to this process, which admits only its part of the quota until one does; see its lines \"collector of quotas replies\" and the links from its failure domain"
	}
	return fmt.Sprintf("it exceeds %s requests per second with a burst of %s over all processes, of which a fraction of %s was admitted", l.Get("rate"), l.Get("burst"), l.Get("fraction"))
}

// describeReason describes the reason of the line. If it has none, the status came from the target of the last attempt.
func describeReason(line Line) string {
	if text := causes[line.Get("reason")]; text != "" {
		return text
	}
	return "target " + line.Get("target") + " returned this status itself"
}

// Write writes the lines with their times relative to the first, followed by the cause.
func Write(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintln(w, "no log line about the request found; lines about successful requests are sampled, and lines above the rate limit are dropped and counted")
		return err
	}
	start := lines[0].Time
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%+8.3f s  %-24s %s\n", l.Time.Sub(start).Seconds(), l.Instance, l.Event); err != nil {
			return err
		}
		for _, p := range l.Pairs {
			if p.Key == "request" || p.Value == "" {
				continue
			}
			if _, err := fmt.Fprintf(w, "            %s: %s\n", p.Key, p.Value); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintln(w, "cause:", Cause(lines))
	return err
}
