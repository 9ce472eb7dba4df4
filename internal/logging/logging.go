// Package logging creates the loggers of the commands, which write one line of key=value pairs for each event.
package logging

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns a logger that writes events of the given level and above to w as lines of key=value pairs. Unless instance is
// empty, each line has the field instance. New returns an error if the level is unknown.
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
