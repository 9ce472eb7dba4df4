// Package trail puts together what the processes of the mesh logged about one request, and says why it ended as it did.
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

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Event    string
	Instance string
	// Pairs holds all fields in their order, without time, level, message and instance.
	Pairs []Pair
}

// Pair is one field.
type Pair struct{ Key, Value string }

// Get returns the value of a field, or "".
func (l Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// ErrLine says that a line is not one of key=value pairs with time and message.
var ErrLine = errors.New("line has no time=... msg=...; give the daemons' own log lines")

// Parse reads a line. Whatever stands before its first pair is passed over.
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
		value, next := cut(after)
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

// cut takes a value, quoted or not, off the beginning of a text, and the space behind it.
func cut(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil && strings.HasPrefix(text, `"`) {
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(strings.TrimRight(text, "\r\n"), " ")
	return value, rest
}

// maxLine is the longest line that is read.
const maxLine = 1 << 20

// Collect returns the lines about a request, in order of time. Lines of other forms are passed over.
func Collect(id string, logs ...io.Reader) ([]Line, error) {
	var out []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if !strings.Contains(scanner.Text(), id) {
				continue
			}
			if l, err := Parse(scanner.Text()); err == nil && l.Get("request") == id {
				out = append(out, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "log can't be read to its end")
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out, nil
}

// causes says what the reasons mean for the one who asks.
var causes = map[string]string{
	"busy":             "no gate expected a free slot in time; see waiting and wait of the refused calls, and which targets of the service were listed",
	"leaving":          "the target or its process was on its way out, and no other was left to try",
	"moved":            "the target at the address was another one by then; the frontend's list was older, compare the revisions",
	"target-down":      "the target took no connection; look for its crash",
	"shed":             "the target itself refused the request though its gate had a slot",
	"broken":           "the connection to the target broke after the request was sent, so that nobody knows whether it ran",
	"unsigned":         "the answer bore no mark of the target and was not passed on",
	"timeout":          "the time of the request or of its route was over; see where it went in the attempts",
	"cancelled":        "the caller had left, or another attempt had answered first",
	"unreachable":      "the process beside the target could not be reached",
	"peer-broken":      "the connection to the process beside the target broke after the request was sent, so that nobody knows whether it ran",
	"no-target":        "no target of the service was listed, in service and in the route's home regions",
	"link-busy":        "a link that its body had to cross is full, that of the target's machine or the one to the only region with targets; small requests still pass",
	"no-configuration": "the process had just started and knew no configuration",
	"no-route":         "the configuration in force had no route for its host and path; compare its version with the one in force elsewhere",
	"body-too-long":    "its body was longer than the configuration allows",
}

// Cause says in one sentence why a request ended as it did.
func Cause(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		switch l.Event {
		case events.RequestAnswered:
			return fmt.Sprintf("answered with status %s by %s after %s ms", l.Get("status"), l.Get("target"), l.Get("took"))
		case events.NoRoute:
			return fmt.Sprintf("configuration %s has no route for %s%s", l.Get("config"), l.Get("host"), l.Get("path"))
		case events.RequestRefused, events.RequestFailed:
			return fmt.Sprintf("%s with status %s (%s): %s", l.Event, l.Get("status"), l.Get("reason"), because(l))
		}
	}
	return "the logs don't tell how it ended; give the log of the instance that the caller asked"
}

// because explains the reason of the last line. Without one, the target of the last attempt answered so itself.
func because(last Line) string {
	if text := causes[last.Get("reason")]; text != "" {
		return text
	}
	return "target " + last.Get("target") + " answered so itself"
}

// Write writes the lines as a path, with the cause at its end.
func Write(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintln(w, "no line tells of the request; good ones are sampled, and lines beyond the bound are counted, not written")
		return err
	}
	begin := lines[0].Time
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%+8.3f s  %-24s %s\n", l.Time.Sub(begin).Seconds(), l.Instance, l.Event); err != nil {
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
