// Package logging makes the loggers of the commands: one line of key=value pairs for each event.
package logging

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns a logger that writes events of at least level to w as key=value pairs. An instance name, unless empty,
// stands on every line.
func New(w io.Writer, level, instance string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Errorf("log level %q is unknown; use trace, debug, info, warn or error", level)
	}
	log := zerolog.New(&pairWriter{out: w}).Level(l).With().Timestamp()
	if instance != "" {
		log = log.Str("instance", instance)
	}
	return log.Logger(), nil
}
