// Package logging makes the loggers of the commands: one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	// Events of one second have to keep their order when logs of several processes are merged.
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// New returns a logger that writes events of at least level to w as key=value pairs. An instance name, unless empty,
// stands on every line.
func New(w io.Writer, level, instance string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Errorf("log level %q is unknown; use trace, debug, info, warn or error", level)
	}
	log := zerolog.New(keyValue(w)).Level(l).With().Timestamp()
	if instance != "" {
		log = log.Str("instance", instance)
	}
	return log.Logger(), nil
}

// keyValue returns a writer that turns events into lines of key=value pairs.
func keyValue(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: timeFormat,
		FormatTimestamp: func(v any) string {
			text, _ := v.(string)
			t, err := time.Parse(zerolog.TimeFieldFormat, text)
			if err != nil {
				return "time=" + text
			}
			return "time=" + t.UTC().Format(timeFormat)
		},
		FormatLevel:         func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatMessage:       func(v any) string { return "msg=" + quote(fmt.Sprint(v)) },
		FormatFieldName:     func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatFieldValue:    func(v any) string { return quote(fmt.Sprint(v)) },
		FormatErrFieldName:  func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatErrFieldValue: func(v any) string { return quote(fmt.Sprint(v)) },
	}
}

// quote quotes a value that holds white space, quotes or an equals sign, so that a line splits into pairs again.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\r\n\"=") {
		if unquoted, err := strconv.Unquote(s); err == nil {
			s = unquoted
		}
		return strconv.Quote(s)
	}
	return s
}
